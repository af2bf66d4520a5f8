// Package scribe appends records to the platform's log on a thread of its own,
// so that the duty that decides on a record never waits for the log service.
package logappender

import (
	"context"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/ring"
)

// Log is the part of the log service's client that the scribe uses.
type LogService interface {
	Append(record []byte) (int64, error)
}

// Config holds the construction parameters of a Scribe.
type Config struct {
	LogService LogService
	Capacity   int // records that may wait
	Log        *logrus.Entry
}

// Scribe is responsible for the appends of one process that need no answer:
// whoever asked learns from the fold of the log whether its record counts, and
// asks again if it does not.
type Appender struct {
	config Config
	inbox  *ring.Ring
}

// New returns a scribe.
func New(config Config) *Appender {
	return &Appender{config: config, inbox: ring.New(ring.Config{Name: "scribe", Capacity: config.Capacity})}
}

// Inbox returns the ring that feeds the scribe.
func (s *Appender) Inbox() *ring.Ring { return s.inbox }

// Append hands a record over without blocking.
func (s *Appender) Append(record fleetstate.Record) error { return s.inbox.Put(record) }

// String returns the duty's name.
func (s *Appender) String() string { return "scribe" }

// Serve appends records until ctx ends.
func (s *Appender) Serve(ctx context.Context) error {
	for {
		item, err := s.inbox.Take(ctx)
		if err != nil {
			return err
		}
		if record, ok := item.(fleetstate.Record); ok {
			s.append(record)
		}
	}
}

func (s *Appender) append(record fleetstate.Record) {
	log := s.config.Log.WithFields(logrus.Fields{"event": "append", "kind": record.Kind(), "change": record.Change()})
	data, err := record.Encode()
	if err != nil {
		log.WithError(err).Error("record cannot be encoded")
		return
	}
	if _, err := s.config.LogService.Append(data); err != nil {
		log.WithError(err).Warn("record may not be in the log")
	}
}
