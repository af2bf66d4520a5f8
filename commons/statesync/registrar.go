// Package registrar follows the platform's log and publishes each accepted
// revision of the register to the duties that act on it.
package statesync

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/logbook"
)

// Named limits of the registrar.
const (
	pendingPoll     = 200 * time.Millisecond // longest wait of a read while a subscriber lacks the newest revision
	consumerTimeout = 10 * time.Second       // longest wait for room in a follower's ring
)

// Log is the part of the log service's client that the registrar uses.
type Log interface {
	Reader
	Append(record []byte) (int64, error)
}

// Watch decides on the process's freshness proof.
type FreshnessMonitor interface {
	// LogRead takes the head that a read, begun at sent, returned.
	LogRead(sent time.Time, head int64)
	// Folded takes the state that the register has reached, and the addresses
	// of the instances that it describes.
	Applied(state, known int64, instances map[string]string)
	// Heard returns the newest head of the log that the process has heard of.
	NewestHead() int64
}

// Peers hand out their registers.
type Peers interface {
	// Fetch returns a snapshot that contains the record at the offset, if any
	// of the processes at the addresses has it.
	Fetch(from int64, addresses map[string]string) (fleetstate.Snapshot, bool)
}

// Inbox receives a Revised message for each new revision.
type Subscriber interface {
	Put(item any) error
}

// Follower receives records that the register passes on.
type Consumer interface {
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
	LogService  Log
	Poll        time.Duration // longest wait of one read
	Retry       time.Duration // time between reads while the log service does not answer
	Monitor     FreshnessMonitor
	Peers       Peers
	Subscribers []Subscriber // receive Revised
	Consumers   []Consumer   // receive Recorded, each record once and in order, and Restored
	Savers      []Saver
	Snapshots   SnapshotConfig
}

// Registrar is responsible for the process's view of the register.
type Syncer struct {
	config      Config
	revision    *fleetstate.Revision
	published   atomic.Pointer[fleetstate.Revision]
	nextForward int64 // offset of the first record that the followers do not have
	pending     []Subscriber
	addresses   map[string]string // address of each instance's door
	schedule    *schedule
}

// New returns a registrar at revision zero.
func New(config Config) *Syncer {
	r := &Syncer{config: config, revision: fleetstate.InitialRevision(), schedule: newSchedule(config.Snapshots)}
	r.published.Store(r.revision)
	return r
}

// Revision returns the newest revision. It may be called from any thread.
func (r *Syncer) Revision() *fleetstate.Revision { return r.published.Load() }

// String returns the duty's name.
func (r *Syncer) String() string { return "registrar" }

// Serve reads the log until ctx ends.
func (r *Syncer) Serve(ctx context.Context) error {
	r.pending = r.config.Subscribers
	for ctx.Err() == nil {
		if err := r.Step(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// Step makes one read, which Serve repeats. Its error means that a follower cannot be told.
func (r *Syncer) Step(ctx context.Context) error {
	sent := time.Now()
	extract, err := r.config.LogService.Read(min(r.nextForward, r.revision.Offset()), r.wait())
	switch {
	case errors.Is(err, logbook.ErrTrimmed):
		return r.catchUp(ctx, extract.First())
	case err != nil:
		r.config.Log.WithField("event", "log_read").WithError(err).Warn("log service cannot be read")
		return r.fetchFromPeers(ctx)
	}
	if r.revision.Offset() == 0 && extract.Head() > 0 {
		return r.catchUp(ctx, extract.First())
	}
	r.config.Monitor.LogRead(sent, extract.Head())
	if err := r.applyRecords(ctx, extract.Entries()); err != nil {
		return err
	}
	r.publish()
	r.appendSnapshotWhenDue(sent, extract.Head())
	return nil
}

// wait returns the longest time that the next read may take.
func (r *Syncer) wait() time.Duration {
	if len(r.pending) > 0 {
		return min(pendingPoll, r.config.Poll)
	}
	return r.config.Poll
}

// fold applies records. Each is read again when a follower did not take it.
func (r *Syncer) applyRecords(ctx context.Context, entries []logbook.Entry) error {
	for _, entry := range entries {
		if err := r.forward(ctx, entry); err != nil {
			return err
		}
		next, err := r.revision.Apply(entry.Offset(), entry.Data())
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
func (r *Syncer) forward(ctx context.Context, entry logbook.Entry) error {
	if entry.Offset() < r.nextForward {
		return nil
	}
	record, err := fleetstate.DecodeRecord(entry.Data())
	if err == nil && record.Kind() == fleetstate.KindSnapshot {
		r.schedule.noteSnapshot(time.Now(), entry.Offset())
	}
	if err == nil && record.Forwarded() {
		if err := r.sendToConsumers(ctx, NewRecordForwarded(entry.Offset(), record)); err != nil {
			return err
		}
	}
	r.nextForward = entry.Offset() + 1
	return nil
}

func (r *Syncer) sendToConsumers(ctx context.Context, message any) error {
	for _, follower := range r.config.Consumers {
		if err := follower.PutWithin(ctx, message, consumerTimeout); err != nil {
			return err
		}
	}
	return nil
}

// show publishes the current revision to the process.
func (r *Syncer) publish() {
	before := r.published.Swap(r.revision)
	if r.revision.StateOffset() != before.StateOffset() {
		r.pending = r.config.Subscribers
	}
	if r.revision.Number() != before.Number() {
		r.updateAddresses()
		r.config.Log.WithFields(logrus.Fields{"event": "revision", "revision": r.revision.Number()}).Info("revision in force")
	}
	r.notifySubscribers()
	r.config.Monitor.Applied(r.revision.StateOffset(), r.revision.Offset(), r.addresses)
}

func (r *Syncer) updateAddresses() {
	r.addresses = make(map[string]string)
	for _, instance := range r.revision.Inventory().Instances() {
		r.addresses[instance.Name()] = instance.Address()
	}
}

// publish sends the current revision to every subscriber that lacks it.
func (r *Syncer) notifySubscribers() {
	if r.revision.StateOffset() == 0 {
		r.pending = nil
		return
	}
	var refused []Subscriber
	for _, subscriber := range r.pending {
		if err := subscriber.Put(NewRevisionChanged(r.revision)); err != nil {
			refused = append(refused, subscriber)
		}
	}
	r.pending = refused
}
