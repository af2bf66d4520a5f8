// Package statesync keeps the process's fleet state in sync with the platform's
// log: it applies the records, publishes each new revision to the components that
// act on it, forwards the other records, and appends snapshots.
package statesync

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/logclient"
)

const (
	pendingPoll = 200 * time.Millisecond // longest wait of one read while a subscriber lacks the newest revision
	putTimeout  = 10 * time.Second       // longest wait for room in a consumer's ring
)

// LogService is the part of the client of the log service that a Syncer uses.
type LogService interface {
	Reader
	Append(record []byte) (int64, error)
}

// FreshnessMonitor tracks the process's freshness proofs.
type FreshnessMonitor interface {
	// LogRead records the head returned by a log read that started at sent.
	LogRead(sent time.Time, head int64)
	// Applied records how far the log has been applied, and the IP:port for
	// calls of each instance. stateOffset is the offset after the last record
	// that changed the fleet state, covered the offset of the first record
	// that is not applied.
	Applied(stateOffset, covered int64, addresses map[string]string)
	// NewestHead returns the newest head of the log that the process has
	// read or received.
	NewestHead() int64
}

// Peers gives access to the fleet state of other processes.
type Peers interface {
	// Fetch returns a snapshot that includes the record at offset from, if any
	// of the processes at the addresses has one.
	Fetch(from int64, addresses map[string]string) (fleetstate.Snapshot, bool)
}

// Subscriber receives a RevisionChanged message for each new revision.
type Subscriber interface {
	Put(item any) error
}

// Consumer receives the records that do not change the fleet state.
type Consumer interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Saver is a component whose state must outlast the log's retention. It is also a
// Consumer, to get its state back.
type Saver interface {
	// Name returns the name of the component's part of a snapshot.
	Name() string
	// Save returns the component's state in JSON and the offset of the first
	// record that it does not include. It may be called from any thread.
	Save() (offset int64, body []byte)
}

// Config holds the construction parameters of a Syncer.
type Config struct {
	Log         *logrus.Entry
	LogService  LogService
	Poll        time.Duration // longest wait of one read
	RetryDelay  time.Duration // time between reads while the log service does not answer
	Monitor     FreshnessMonitor
	Peers       Peers
	Subscribers []Subscriber // receive RevisionChanged
	Consumers   []Consumer   // receive RecordForwarded, each record once and in order, and PartsRestored
	Savers      []Saver
	Snapshots   SnapshotConfig
}

// Syncer keeps the fleet state of the process.
type Syncer struct {
	config      Config
	revision    *fleetstate.Revision
	published   atomic.Pointer[fleetstate.Revision]
	nextForward int64 // offset of the first record that has not been forwarded to the consumers
	pending     []Subscriber
	addresses   map[string]string // IP:port for calls, by instance
	schedule    *schedule
}

// New returns a syncer at revision zero.
func New(config Config) *Syncer {
	s := &Syncer{config: config, revision: fleetstate.InitialRevision(), schedule: newSchedule(config.Snapshots)}
	s.published.Store(s.revision)
	return s
}

// Revision returns the newest revision. It may be called from any thread.
func (s *Syncer) Revision() *fleetstate.Revision { return s.published.Load() }

// String returns the thread's name, which supervision events carry.
func (s *Syncer) String() string { return "registrar" }

// Serve reads the log until ctx ends.
func (s *Syncer) Serve(ctx context.Context) error {
	s.pending = s.config.Subscribers
	for ctx.Err() == nil {
		if err := s.Step(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// Step makes one read; Serve repeats it. An error means that a consumer did not
// accept a message in time, or that ctx has ended.
func (s *Syncer) Step(ctx context.Context) error {
	sent := time.Now()
	result, err := s.config.LogService.Read(min(s.nextForward, s.revision.Offset()), s.wait())
	switch {
	case errors.Is(err, logclient.ErrTrimmed):
		return s.catchUp(ctx, result.First())
	case err != nil:
		s.config.Log.WithField("event", "log_read").WithError(err).Warn("log read failed")
		return s.fetchFromPeers(ctx)
	}
	if s.revision.Offset() == 0 && result.Head() > 0 {
		return s.catchUp(ctx, result.First())
	}
	s.config.Monitor.LogRead(sent, result.Head())
	if err := s.applyRecords(ctx, result.Entries()); err != nil {
		return err
	}
	s.publish()
	s.appendSnapshotWhenDue(sent, result.Head())
	return nil
}

// wait returns the longest time that the next read may wait for new records.
func (s *Syncer) wait() time.Duration {
	if len(s.pending) > 0 {
		return min(pendingPoll, s.config.Poll)
	}
	return s.config.Poll
}

// applyRecords applies records. If a consumer does not accept a record, that record
// is read again.
func (s *Syncer) applyRecords(ctx context.Context, entries []logclient.Entry) error {
	for _, entry := range entries {
		if err := s.forward(ctx, entry); err != nil {
			return err
		}
		next, err := s.revision.Apply(entry.Offset(), entry.Data())
		if err != nil {
			s.config.Log.WithFields(logrus.Fields{"event": "change_rejected", "offset": entry.Offset()}).WithError(err).Info("change rejected")
		}
		s.revision = next
	}
	return nil
}

// forward sends a record that does not change the fleet state to all consumers. An
// error means that a consumer did not accept the record in time; the record is
// then read again.
func (s *Syncer) forward(ctx context.Context, entry logclient.Entry) error {
	if entry.Offset() < s.nextForward {
		return nil
	}
	record, err := fleetstate.DecodeRecord(entry.Data())
	if err == nil && record.Kind() == fleetstate.KindSnapshot {
		s.schedule.noteSnapshot(time.Now(), entry.Offset())
	}
	if err == nil && record.Forwarded() {
		if err := s.sendToConsumers(ctx, NewRecordForwarded(entry.Offset(), record)); err != nil {
			return err
		}
	}
	s.nextForward = entry.Offset() + 1
	return nil
}

func (s *Syncer) sendToConsumers(ctx context.Context, message any) error {
	for _, consumer := range s.config.Consumers {
		if err := consumer.PutWithin(ctx, message, putTimeout); err != nil {
			return err
		}
	}
	return nil
}

// publish makes the current revision visible to the other threads.
func (s *Syncer) publish() {
	before := s.published.Swap(s.revision)
	if s.revision.StateOffset() != before.StateOffset() {
		s.pending = s.config.Subscribers
	}
	if s.revision.Number() != before.Number() {
		s.updateAddresses()
		s.config.Log.WithFields(logrus.Fields{"event": "revision", "revision": s.revision.Number()}).Info("revision applied")
	}
	s.notifySubscribers()
	s.config.Monitor.Applied(s.revision.StateOffset(), s.revision.Offset(), s.addresses)
}

func (s *Syncer) updateAddresses() {
	s.addresses = make(map[string]string)
	for _, instance := range s.revision.Inventory().Instances() {
		s.addresses[instance.Name()] = instance.Address()
	}
}

// notifySubscribers sends the current revision to every subscriber that lacks it.
func (s *Syncer) notifySubscribers() {
	if s.revision.StateOffset() == 0 {
		s.pending = nil
		return
	}
	var refused []Subscriber
	for _, subscriber := range s.pending {
		if err := subscriber.Put(NewRevisionChanged(s.revision)); err != nil {
			refused = append(refused, subscriber)
		}
	}
	s.pending = refused
}
