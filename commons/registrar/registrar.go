// Package registrar follows the platform's log and publishes each accepted
// revision of the register to the duties that act on it.
package registrar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/logbook"
	"sesamewell.example/commons/register"
)

// Named limits of the registrar.
const (
	unsentPoll = 200 * time.Millisecond // longest wait of a read while a subscriber lacks the newest revision
	handOver   = 10 * time.Second       // longest wait for room in a follower's ring
)

// Log is the part of the log service's client that the registrar uses.
type Log interface {
	Reader
	Append(record []byte) (int64, error)
}

// Watch decides on the process's freshness proof.
type Watch interface {
	// LogRead takes the head that a read, begun at sent, returned.
	LogRead(sent time.Time, head int64)
	// Folded takes the state that the register has reached, and the addresses
	// of the instances that it describes.
	Folded(state, known int64, instances map[string]string)
	// Heard returns the newest head of the log that the process has heard of.
	Heard() int64
}

// Peers hand out their registers.
type Peers interface {
	// Fetch returns a snapshot that contains the record at the offset, if any
	// of the processes at the addresses has it.
	Fetch(from int64, addresses map[string]string) (register.Snapshot, bool)
}

// Inbox receives a Revised message for each new revision.
type Inbox interface {
	Put(item any) error
}

// Follower receives records that the register passes on.
type Follower interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Saver is a duty whose state has to outlast the log's retention. It is also a
// Follower, to get its state back.
type Saver interface {
	// Name returns the name of the duty's part of a snapshot.
	Name() string
	// Save returns the duty's state in JSON and the offset of the first record
	// that it does not contain. It may be called from any thread.
	Save() (offset int64, body []byte)
}

// Config holds the construction parameters of a Registrar.
type Config struct {
	Log         *logrus.Entry
	Service     Log
	Poll        time.Duration // longest wait of one read
	Retry       time.Duration // time between reads while the log service does not answer
	Watch       Watch
	Peers       Peers
	Subscribers []Inbox    // receive Revised
	Followers   []Follower // receive Recorded, each record once and in order, and Restored
	Savers      []Saver
	Snapshots   SnapshotConfig
}

// Registrar is responsible for the process's view of the register.
type Registrar struct {
	config   Config
	revision *register.Revision
	shown    atomic.Pointer[register.Revision]
	passed   int64 // offset of the first record that the followers do not have
	unsent   []Inbox
	doors    map[string]string // address of each instance's door
	schedule *schedule
}

// New returns a registrar at revision zero.
func New(config Config) *Registrar {
	r := &Registrar{config: config, revision: register.Initial(), schedule: newSchedule(config.Snapshots)}
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
		if err := r.Step(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// Step makes one read, which Serve repeats. Its error means that a follower cannot be told.
func (r *Registrar) Step(ctx context.Context) error {
	sent := time.Now()
	extract, err := r.config.Service.Read(min(r.passed, r.revision.Offset()), r.wait())
	switch {
	case errors.Is(err, logbook.ErrTrimmed):
		return r.catchUp(ctx, extract.First())
	case err != nil:
		r.config.Log.WithField("event", "log_read").WithError(err).Warn("log service cannot be read")
		return r.consult(ctx)
	}
	if r.revision.Offset() == 0 && extract.Head() > 0 {
		return r.catchUp(ctx, extract.First())
	}
	r.config.Watch.LogRead(sent, extract.Head())
	if err := r.fold(ctx, extract.Entries()); err != nil {
		return err
	}
	r.show()
	r.saveWhenDue(sent, extract.Head())
	return nil
}

// wait returns the longest time that the next read may take.
func (r *Registrar) wait() time.Duration {
	if len(r.unsent) > 0 {
		return min(unsentPoll, r.config.Poll)
	}
	return r.config.Poll
}

// fold applies records. Each is read again when a follower did not take it.
func (r *Registrar) fold(ctx context.Context, entries []logbook.Entry) error {
	for _, entry := range entries {
		if err := r.passOn(ctx, entry); err != nil {
			return err
		}
		next, err := r.revision.Fold(entry.Offset(), entry.Data())
		if err != nil {
			r.config.Log.WithFields(logrus.Fields{"event": "change_rejected", "offset": entry.Offset()}).WithError(err).Info("change rejected")
		}
		r.revision = next
	}
	return nil
}

// passOn gives a record that the register does not fold to all followers. Its
// error means that a follower did not take the record in time; the record is
// then read again.
func (r *Registrar) passOn(ctx context.Context, entry logbook.Entry) error {
	if entry.Offset() < r.passed {
		return nil
	}
	record, err := register.DecodeRecord(entry.Data())
	if err == nil && record.Kind() == register.Save {
		r.schedule.noteSnapshot(time.Now(), entry.Offset())
	}
	if err == nil && record.PassedOn() {
		if err := r.tell(ctx, NewRecorded(entry.Offset(), record)); err != nil {
			return err
		}
	}
	r.passed = entry.Offset() + 1
	return nil
}

func (r *Registrar) tell(ctx context.Context, message any) error {
	for _, follower := range r.config.Followers {
		if err := follower.PutWithin(ctx, message, handOver); err != nil {
			return err
		}
	}
	return nil
}

// show publishes the current revision to the process.
func (r *Registrar) show() {
	before := r.shown.Swap(r.revision)
	if r.revision.State() != before.State() {
		r.unsent = r.config.Subscribers
	}
	if r.revision.Number() != before.Number() {
		r.listDoors()
		r.config.Log.WithFields(logrus.Fields{"event": "revision", "revision": r.revision.Number()}).Info("revision in force")
	}
	r.publish()
	r.config.Watch.Folded(r.revision.State(), r.revision.Offset(), r.doors)
}

func (r *Registrar) listDoors() {
	r.doors = make(map[string]string)
	for _, instance := range r.revision.Inventory().Instances() {
		r.doors[instance.Name()] = instance.Link()
	}
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
