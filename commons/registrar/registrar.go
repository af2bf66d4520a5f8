// Package registrar follows the platform's log and publishes each accepted
// revision of the register to the duties that act on it.
package registrar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/logbook"
	"sesamewell.example/commons/register"
)

// Named limits of the registrar.
const (
	retryPause = 200 * time.Millisecond // time between reads while the log service does not answer
	handOver   = 10 * time.Second       // longest wait for room in a follower's ring
)

// Log is the part of the log service's client that the registrar uses.
type Log interface {
	Read(from int64, wait time.Duration) (logbook.Extract, error)
}

// Inbox receives a Revised message for each new revision.
type Inbox interface {
	Put(item any) error
}

// Watch decides on the process's freshness proof.
type Watch interface {
	// LogRead takes the head that a read, begun at sent, returned.
	LogRead(sent time.Time, head int64)
	// Folded takes the state that the register has reached, and the addresses
	// of the instances that it describes.
	Folded(state, known int64, instances map[string]string)
}

// Revised tells a duty that a new revision is in force.
type Revised struct {
	revision *register.Revision
}

// NewRevised returns the message for a revision.
func NewRevised(revision *register.Revision) Revised { return Revised{revision: revision} }

// Revision returns the revision.
func (r Revised) Revision() *register.Revision { return r.revision }

// Recorded brings a record that the register passes on.
type Recorded struct {
	offset int64
	record register.Record
}

// NewRecorded returns the message for the record at an offset.
func NewRecorded(offset int64, record register.Record) Recorded {
	return Recorded{offset: offset, record: record}
}

// Offset returns the record's offset in the log.
func (r Recorded) Offset() int64 { return r.offset }

// Record returns the record.
func (r Recorded) Record() register.Record { return r.record }

// Config holds the construction parameters of a Registrar.
type Config struct {
	Log         *logrus.Entry
	Service     Log
	Poll        time.Duration // longest wait of one read
	Watch       Watch
	Subscribers []Inbox    // receive Revised
	Followers   []Follower // receive Recorded, each record once and in order
}

// Follower receives records that the register passes on.
type Follower interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Registrar is responsible for the process's view of the register.
type Registrar struct {
	config   Config
	revision *register.Revision
	shown    atomic.Pointer[register.Revision]
	unsent   []Inbox
	doors    map[string]string // address of each instance's door
}

// New returns a registrar at revision zero.
func New(config Config) *Registrar {
	r := &Registrar{config: config, revision: register.Initial()}
	r.shown.Store(r.revision)
	return r
}

// Revision returns the newest revision. It may be called from any thread.
func (r *Registrar) Revision() *register.Revision { return r.shown.Load() }

// String returns the duty's name.
func (r *Registrar) String() string { return "registrar" }

// Serve reads the log until ctx ends.
func (r *Registrar) Serve(ctx context.Context) error {
	r.unsent = r.config.Subscribers
	for ctx.Err() == nil {
		sent := time.Now()
		extract, err := r.config.Service.Read(r.revision.Offset(), r.wait())
		if err != nil {
			r.config.Log.WithField("event", "log_read").WithError(err).Warn("log service cannot be read")
			r.pause(ctx)
			continue
		}
		r.config.Watch.LogRead(sent, extract.Head())
		if err := r.fold(ctx, extract); err != nil {
			return err
		}
		r.shown.Store(r.revision)
		r.publish()
		r.config.Watch.Folded(r.revision.State(), r.revision.Offset(), r.doors)
	}
	return ctx.Err()
}

func (r *Registrar) wait() time.Duration {
	if len(r.unsent) > 0 {
		return retryPause
	}
	return r.config.Poll
}

func (r *Registrar) fold(ctx context.Context, extract logbook.Extract) error {
	before := r.revision
	for _, entry := range extract.Entries() {
		if err := r.passOn(ctx, entry); err != nil {
			return err
		}
		next, err := r.revision.Fold(entry.Offset(), entry.Data())
		if err != nil {
			r.config.Log.WithFields(logrus.Fields{"event": "change_rejected", "offset": entry.Offset()}).WithError(err).Info("change rejected")
		}
		r.revision = next
	}
	if r.revision.State() == before.State() {
		return nil
	}
	r.unsent = r.config.Subscribers
	if r.revision.Number() == before.Number() {
		return nil
	}
	r.doors = addresses(r.revision)
	r.config.Log.WithFields(logrus.Fields{"event": "revision", "revision": r.revision.Number()}).Info("revision in force")
	return nil
}

// passOn gives a record that the register does not fold to all followers. Its
// error means that a follower did not take the record in time; the record is
// then read again.
func (r *Registrar) passOn(ctx context.Context, entry logbook.Entry) error {
	record, err := register.DecodeRecord(entry.Data())
	if err != nil || !record.PassedOn() {
		return nil
	}
	for _, follower := range r.config.Followers {
		if err := follower.PutWithin(ctx, NewRecorded(entry.Offset(), record), handOver); err != nil {
			return err
		}
	}
	return nil
}

// publish sends the current revision to every subscriber that lacks it.
func (r *Registrar) publish() {
	if r.revision.State() == 0 {
		r.unsent = nil
		return
	}
	var refused []Inbox
	for _, subscriber := range r.unsent {
		if err := subscriber.Put(NewRevised(r.revision)); err != nil {
			refused = append(refused, subscriber)
		}
	}
	r.unsent = refused
}

func (r *Registrar) pause(ctx context.Context) {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// addresses returns the doors of the instances that a revision describes.
func addresses(revision *register.Revision) map[string]string {
	found := make(map[string]string)
	for _, instance := range revision.Inventory().Instances() {
		found[instance.Name()] = instance.Link()
	}
	return found
}
