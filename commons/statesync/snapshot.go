package statesync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/logbook"
)

// ErrNoSnapshot means that the log service has dropped records that this
// process lacks and keeps no snapshot that contains them.
var ErrNoSnapshot = errors.New("no snapshot contains the records that the log service has dropped")

// SnapshotConfig tells when a registrar appends a snapshot to the log.
type SnapshotConfig struct {
	Period  time.Duration // time without a snapshot after which one is due; zero appends none
	Records int64         // records without a snapshot after which one is due
	Random  *rand.Rand    // spreads the processes' appends
}

// schedule decides when a snapshot is due. The first process whose time has
// come appends it; the others see it in the log and wait anew.
type schedule struct {
	config SnapshotConfig
	since  time.Time // when the newest snapshot was seen; zero at the start
	offset int64     // of the newest snapshot
	spread float64   // share of Period and Records to wait beyond them
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

// noteSnapshot starts to wait anew.
func (s *schedule) noteSnapshot(now time.Time, offset int64) {
	s.since, s.offset = now, offset
	s.drawSpread()
}

// due reports whether a snapshot is due when the log has that head.
func (s *schedule) due(now time.Time, head int64) bool {
	if s.config.Period == 0 || head <= s.offset+1 {
		return false
	}
	if s.since.IsZero() {
		s.since = now
	}
	scale := 1 + s.spread
	late := now.Sub(s.since) >= time.Duration(float64(s.config.Period)*scale)
	long := float64(head-s.offset) >= float64(s.config.Records)*scale
	return late || long
}

// saveWhenDue appends a snapshot when one is due and the register is complete.
func (r *Syncer) appendSnapshotWhenDue(now time.Time, head int64) {
	if r.revision.Offset() < head || !r.schedule.due(now, head) {
		return
	}
	r.schedule.noteSnapshot(now, head)
	body, err := r.Snapshot().Encode()
	if err != nil {
		r.config.Log.WithField("event", "snapshot").WithError(err).Error("snapshot cannot be encoded")
		return
	}
	record, err := fleetstate.NewRecord(fleetstate.RecordConfig{Change: uuid.NewString(), Kind: fleetstate.KindSnapshot, Body: body}).Encode()
	if err != nil {
		r.config.Log.WithField("event", "snapshot").WithError(err).Error("snapshot cannot be encoded")
		return
	}
	if _, err := r.config.LogService.Append(record); err != nil {
		r.config.Log.WithField("event", "snapshot").WithError(err).Warn("snapshot may not be in the log")
		return
	}
	r.config.Log.WithFields(logrus.Fields{"event": "snapshot", "revision": r.revision.Number(), "bytes": len(record)}).Info("snapshot appended")
}

// Snapshot returns the newest revision with what the savers add. It may be
// called from any thread.
func (r *Syncer) Snapshot() fleetstate.Snapshot {
	var saved []fleetstate.SnapshotPart
	for _, saver := range r.config.Savers {
		offset, body := saver.Save()
		saved = append(saved, fleetstate.SnapshotPart{Name: saver.Name(), Offset: offset, Body: body})
	}
	return fleetstate.NewSnapshot(r.Revision(), saved)
}

// catchUp takes the register from the newest snapshot in the log, at the start
// or after the records from this process's offset to first have been dropped.
func (r *Syncer) catchUp(ctx context.Context, first int64) error {
	entries, err := ReadAll(r.config.LogService, first)
	if err != nil {
		r.config.Log.WithField("event", "log_read").WithError(err).Warn("log service cannot be read")
		return r.fetchFromPeers(ctx)
	}
	if snapshot, ok := NewestSnapshot(entries, first); ok {
		if err := r.restore(ctx, snapshot); err != nil {
			return err
		}
	}
	if first > r.revision.Offset() {
		r.config.Log.WithFields(logrus.Fields{"event": "log_trimmed", "oldest": first}).WithError(ErrNoSnapshot).Error("the register cannot be read from the log")
		return r.fetchFromPeers(ctx)
	}
	// Followers get all that the log keeps, since a snapshot holds nothing of
	// those that save nothing.
	r.nextForward = max(r.nextForward, first)
	if err := r.applyRecords(ctx, entries); err != nil {
		return err
	}
	r.publish()
	return nil
}

// Reader is the part of the log service's client that ReadAll uses.
type Reader interface {
	Read(from int64, wait time.Duration) (logbook.Extract, error)
}

// ReadAll returns every record from the offset on.
func ReadAll(service Reader, first int64) ([]logbook.Entry, error) {
	var entries []logbook.Entry
	for from := first; ; {
		extract, err := service.Read(from, 0)
		if err != nil {
			return nil, err
		}
		read := extract.Entries()
		entries = append(entries, read...)
		from += int64(len(read))
		if from >= extract.Head() {
			return entries, nil
		}
	}
}

// NewestSnapshot returns the newest snapshot among the records from first on
// that needs no record before them.
func NewestSnapshot(entries []logbook.Entry, first int64) (fleetstate.Snapshot, bool) {
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

func decodeSnapshotEntry(entry logbook.Entry) (fleetstate.Snapshot, bool) {
	record, err := fleetstate.DecodeRecord(entry.Data())
	if err != nil || record.Kind() != fleetstate.KindSnapshot {
		return fleetstate.Snapshot{}, false
	}
	snapshot, err := record.Snapshot()
	return snapshot, err == nil
}

// adopt takes over a snapshot, unless this process has more.
func (r *Syncer) restore(ctx context.Context, snapshot fleetstate.Snapshot) error {
	next, err := r.revision.Restore(snapshot)
	if err != nil {
		r.config.Log.WithField("event", "snapshot").WithError(err).Error("snapshot is not valid")
		return nil
	}
	r.revision = next
	return r.sendToConsumers(ctx, NewPartsRestored(snapshot.Parts()))
}

// consult takes the register from another process while the log cannot be read
// and there is something to learn.
func (r *Syncer) fetchFromPeers(ctx context.Context) error {
	if r.config.Peers != nil && (r.revision.StateOffset() == 0 || r.config.Monitor.NewestHead() > r.revision.Offset()) {
		if snapshot, ok := r.config.Peers.Fetch(r.revision.Offset(), r.addresses); ok {
			if err := r.restore(ctx, snapshot); err != nil {
				return err
			}
		}
	}
	r.publish()
	return crew.Pause(ctx, r.config.Retry)
}
