// Package registrar follows the platform's log and publishes each accepted
// revision of the register to the duties that act on it.
package registrar

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/logbook"
	"sesamewell.example/commons/register"
)

// retryPause is the time between reads while the log service does not answer.
const retryPause = 200 * time.Millisecond

// Log is the part of the log service's client that the registrar uses.
type Log interface {
	Read(from int64, wait time.Duration) (logbook.Extract, error)
}

// Inbox receives a Revised message for each new revision.
type Inbox interface {
	Put(item any) error
}

// Revised tells a duty that a new revision is in force.
type Revised struct {
	revision *register.Revision
}

// NewRevised returns the message for a revision.
func NewRevised(revision *register.Revision) Revised { return Revised{revision: revision} }

// Revision returns the revision.
func (r Revised) Revision() *register.Revision { return r.revision }

// Config holds the construction parameters of a Registrar.
type Config struct {
	Log         *logrus.Entry
	Service     Log
	Poll        time.Duration // longest wait of one read
	Subscribers []Inbox
}

// Registrar is responsible for the process's view of the register.
type Registrar struct {
	config   Config
	revision *register.Revision
	unsent   []Inbox
}

// New returns a registrar at revision zero.
func New(config Config) *Registrar {
	return &Registrar{config: config, revision: register.Initial()}
}

// String returns the duty's name.
func (r *Registrar) String() string { return "registrar" }

// Serve reads the log until ctx ends.
func (r *Registrar) Serve(ctx context.Context) error {
	r.unsent = r.config.Subscribers
	for ctx.Err() == nil {
		extract, err := r.config.Service.Read(r.revision.Offset(), r.wait())
		if err != nil {
			r.config.Log.WithField("event", "log_read").WithError(err).Warn("log service cannot be read")
			r.pause(ctx)
			continue
		}
		r.fold(extract)
		r.publish()
	}
	return ctx.Err()
}

func (r *Registrar) wait() time.Duration {
	if len(r.unsent) > 0 {
		return retryPause
	}
	return r.config.Poll
}

func (r *Registrar) fold(extract logbook.Extract) {
	before := r.revision.Number()
	for _, entry := range extract.Entries() {
		next, err := r.revision.Fold(entry.Offset(), entry.Data())
		if err != nil {
			r.config.Log.WithFields(logrus.Fields{"event": "change_rejected", "offset": entry.Offset()}).WithError(err).Info("change rejected")
		}
		r.revision = next
	}
	if r.revision.Number() == before {
		return
	}
	r.unsent = r.config.Subscribers
	r.config.Log.WithFields(logrus.Fields{"event": "revision", "revision": r.revision.Number()}).Info("revision in force")
}

// publish sends the current revision to every subscriber that lacks it.
func (r *Registrar) publish() {
	if r.revision.Number() == 0 {
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
