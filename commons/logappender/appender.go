// Package logappender appends records to the platform's log on a thread of its
// own, so that the thread that decides on a record never waits for the log
// service.
package logappender

import (
	"context"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/ring"
)

// LogService is the part of the client of the log service that an Appender uses.
type LogService interface {
	Append(record []byte) (int64, error)
}

// Config holds the construction parameters of an Appender.
type Config struct {
	LogService LogService
	Capacity   int // capacity of the inbox in messages
	Log        *logrus.Entry
}

// Appender appends records whose outcome is not reported to the caller. The
// state built from the log shows a caller whether its record took effect; if not,
// the caller appends it again.
type Appender struct {
	config Config
	inbox  *ring.Ring
}

// New returns an appender, which is to be added to a supervisor.
func New(config Config) *Appender {
	return &Appender{config: config, inbox: ring.New(ring.Config{Name: "scribe", Capacity: config.Capacity})}
}

// Inbox returns the ring of records that wait to be appended.
func (a *Appender) Inbox() *ring.Ring { return a.inbox }

// Append queues a record without blocking. It returns an error of the ring if the
// record was not queued.
func (a *Appender) Append(record fleetstate.Record) error { return a.inbox.Put(record) }

// String returns the thread's name, which supervision events carry.
func (a *Appender) String() string { return "scribe" }

// Serve appends queued records until ctx is done.
func (a *Appender) Serve(ctx context.Context) error {
	for {
		item, err := a.inbox.Take(ctx)
		if err != nil {
			return err
		}
		if record, ok := item.(fleetstate.Record); ok {
			a.append(record)
		}
	}
}

func (a *Appender) append(record fleetstate.Record) {
	log := a.config.Log.WithFields(logrus.Fields{"event": "append", "kind": record.Kind(), "change": record.Change()})
	data, err := record.Encode()
	if err != nil {
		log.WithError(err).Error("failed to encode log record")
		return
	}
	if _, err := a.config.LogService.Append(data); err != nil {
		log.WithError(err).Warn("append failed; the record may not be in the log")
	}
}
