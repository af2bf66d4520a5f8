package statesync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/logclient"
	"sesamewell.example/commons/supervisor"
)

// ErrNoSnapshot is logged when the log service has dropped records that this
// process lacks and keeps no snapshot that includes them.
var ErrNoSnapshot = errors.New("no snapshot contains the records that the log service has dropped")

// SnapshotConfig decides when a Syncer appends a snapshot to the log.
type SnapshotConfig struct {
	Period  time.Duration // time since the newest snapshot after which one is due; zero disables snapshots
	Records int64         // number of records since the newest snapshot after which one is due
	Random  *rand.Rand    // spreads the due times, so that not all processes append at once
}

// schedule decides when a snapshot is due. The first process for which one is due
// appends it; the others see it in the log and restart their wait.
type schedule struct {
	config SnapshotConfig
	since  time.Time // time at which the newest snapshot was seen, or of the first check; zero before both
	offset int64     // offset of the newest snapshot
	spread float64   // random share of Period and Records to wait in addition
}

func newSchedule(config SnapshotConfig) *schedule {
	s := &schedule{config: config}
	s.drawSpread()
	return s
}

func (s *schedule) drawSpread() {
	if s.config.Random != nil {
		s.spread = s.config.Random.Float64() / 2
	}
}

// noteSnapshot restarts the wait after a snapshot at offset.
func (s *schedule) noteSnapshot(now time.Time, offset int64) {
	s.since, s.offset = now, offset
	s.drawSpread()
}

// due reports whether a snapshot is due for a log with the given head.
func (s *schedule) due(now time.Time, head int64) bool {
	if s.config.Period == 0 || head <= s.offset+1 {
		return false
	}
	if s.since.IsZero() {
		s.since = now
	}
	scale := 1 + s.spread
	periodOver := now.Sub(s.since) >= time.Duration(float64(s.config.Period)*scale)
	manyRecords := float64(head-s.offset) >= float64(s.config.Records)*scale
	return periodOver || manyRecords
}

// appendSnapshotWhenDue appends a snapshot if one is due and all records up to head
// are applied.
func (s *Syncer) appendSnapshotWhenDue(now time.Time, head int64) {
	if s.revision.Offset() < head || !s.schedule.due(now, head) {
		return
	}
	s.schedule.noteSnapshot(now, head)
	body, err := s.Snapshot().Encode()
	if err != nil {
		s.config.Log.WithField("event", "snapshot").WithError(err).Error("failed to encode snapshot")
		return
	}
	record, err := fleetstate.NewRecord(fleetstate.RecordConfig{Change: uuid.NewString(), Kind: fleetstate.KindSnapshot, Body: body}).Encode()
	if err != nil {
		s.config.Log.WithField("event", "snapshot").WithError(err).Error("failed to encode snapshot")
		return
	}
	if _, err := s.config.LogService.Append(record); err != nil {
		s.config.Log.WithField("event", "snapshot").WithError(err).Warn("snapshot append failed; the snapshot may or may not be in the log")
		return
	}
	s.config.Log.WithFields(logrus.Fields{"event": "snapshot", "revision": s.revision.Number(), "bytes": len(record)}).Info("snapshot appended")
}

// Snapshot returns a snapshot of the newest revision with the parts of all savers.
// It may be called from any thread.
func (s *Syncer) Snapshot() fleetstate.Snapshot {
	var parts []fleetstate.SnapshotPart
	for _, saver := range s.config.Savers {
		offset, body := saver.Save()
		parts = append(parts, fleetstate.SnapshotPart{Name: saver.Name(), Offset: offset, Body: body})
	}
	return fleetstate.NewSnapshot(s.Revision(), parts)
}

// catchUp restores the fleet state from the newest snapshot in the log and the
// records after it, at the start or after the log service has dropped the records
// from this process's offset up to first.
func (s *Syncer) catchUp(ctx context.Context, first int64) error {
	entries, err := ReadAll(s.config.LogService, first)
	if err != nil {
		s.config.Log.WithField("event", "log_read").WithError(err).Warn("log read failed")
		return s.fetchFromPeers(ctx)
	}
	if snapshot, ok := NewestSnapshot(entries, first); ok {
		if err := s.restore(ctx, snapshot); err != nil {
			return err
		}
	}
	if first > s.revision.Offset() {
		s.config.Log.WithFields(logrus.Fields{"event": "log_trimmed", "oldest": first}).WithError(ErrNoSnapshot).Error("fleet state cannot be rebuilt from the log")
		return s.fetchFromPeers(ctx)
	}
	// Forward all records that the log still has: a snapshot has no part for
	// consumers that are not savers.
	s.nextForward = max(s.nextForward, first)
	if err := s.applyRecords(ctx, entries); err != nil {
		return err
	}
	s.publish()
	return nil
}

// Reader is the part of the client of the log service that ReadAll uses.
type Reader interface {
	Read(from int64, wait time.Duration) (logclient.ReadResult, error)
}

// ReadAll returns every record from offset first on.
func ReadAll(service Reader, first int64) ([]logclient.Entry, error) {
	var entries []logclient.Entry
	for from := first; ; {
		result, err := service.Read(from, 0)
		if err != nil {
			return nil, err
		}
		batch := result.Entries()
		entries = append(entries, batch...)
		from += int64(len(batch))
		if from >= result.Head() {
			return entries, nil
		}
	}
}

// NewestSnapshot returns the newest snapshot among entries that needs no record
// before offset first in addition, and whether there is one.
func NewestSnapshot(entries []logclient.Entry, first int64) (fleetstate.Snapshot, bool) {
	var newest fleetstate.Snapshot
	found := false
	for _, entry := range entries {
		snapshot, ok := decodeSnapshotEntry(entry)
		if ok && snapshot.ReplayFrom() >= first && (!found || snapshot.Offset() > newest.Offset()) {
			newest, found = snapshot, true
		}
	}
	return newest, found
}

func decodeSnapshotEntry(entry logclient.Entry) (fleetstate.Snapshot, bool) {
	record, err := fleetstate.DecodeRecord(entry.Data())
	if err != nil || record.Kind() != fleetstate.KindSnapshot {
		return fleetstate.Snapshot{}, false
	}
	snapshot, err := record.Snapshot()
	return snapshot, err == nil
}

// restore takes over the state of a snapshot, unless this process has applied at
// least as many records, and sends its parts to the consumers.
func (s *Syncer) restore(ctx context.Context, snapshot fleetstate.Snapshot) error {
	next, err := s.revision.Restore(snapshot)
	if err != nil {
		s.config.Log.WithField("event", "snapshot").WithError(err).Error("invalid snapshot")
		return nil
	}
	s.revision = next
	return s.sendToConsumers(ctx, NewPartsRestored(snapshot.Parts()))
}

// fetchFromPeers fetches the fleet state from another process while the log cannot
// be read, if this process has no state yet or has received a newer head of the
// log. It then waits before the next log read.
func (s *Syncer) fetchFromPeers(ctx context.Context) error {
	if s.config.Peers != nil && (s.revision.StateOffset() == 0 || s.config.Monitor.NewestHead() > s.revision.Offset()) {
		if snapshot, ok := s.config.Peers.Fetch(s.revision.Offset(), s.addresses); ok {
			if err := s.restore(ctx, snapshot); err != nil {
				return err
			}
		}
	}
	s.publish()
	return supervisor.Sleep(ctx, s.config.RetryDelay)
}
