package resumption

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
)

const (
	journalCapacity = 8                      // saves that may be queued; the core makes one at a time
	minRetryPeriod  = 300 * time.Millisecond // time between two calls while the store does not answer, at first
	maxRetryPeriod  = time.Second            // the same after many calls
	eraPeriod       = time.Second            // time between two checks whether other calls have found the store restored
	readPeriod      = 5 * time.Second        // time between two reads while a service has several versions
	idleReadPeriod  = 30 * time.Second       // time between two reads otherwise, which show whether the store was restored
	maxRead         = 1 << 12                // streams that are passed to the observer at once
	// slots is the number of saves of a lobby that the store keeps. They last for savedRetention
	// at least, since a lobby saves streams every minSavePeriod at most.
	slots = int(savedRetention/minSavePeriod) + 1
)

// Store keeps at which software versions streams began.
type Store interface {
	// SavedStreams returns all that is kept, and the position at which the next read starts.
	SavedStreams() (protocol.SavedStreams, deployment.Position, error)
	// SavedStreamsSince returns what was saved at or after a position, and the position at
	// which the next read starts. It returns the MissedErr of the journal's configuration if
	// that is no longer known.
	SavedStreamsSince(from deployment.Position) (protocol.SavedStreams, deployment.Position, error)
	// SaveStreams writes what a lobby adds. The streams replace those of its slot. It returns
	// the era of the store.
	SaveStreams(lobby string, slot int, save protocol.StreamsSave) (era int64, err error)
	// SaveVersions writes all versions of which streams may be open, as of an era of the store.
	// It returns the era in which they were written.
	SaveVersions(era int64, versions []protocol.SoftwareVersionConfig) (written int64, err error)
	// StoreEra returns the highest era that an answer of the store has stated to this process.
	StoreEra() int64
	// ClearStreams removes all streams, but no versions.
	ClearStreams() error
}

// Observer is told what the journal has read and written.
type Observer interface {
	// StreamsRead takes what the store keeps, or a part of it. complete is set with the last
	// part.
	StreamsRead(saved protocol.SavedStreams, complete bool) error
	// StreamsSaved takes note that the store has taken the save of a serial.
	StreamsSaved(serial uint64) error
	// StreamsRestored takes note that the store has lost what was saved lately.
	StreamsRestored() error
}

// JournalConfig holds the construction parameters of a Journal.
type JournalConfig struct {
	Self     string // RPC address of this lobby
	Store    Store
	Observer Observer
	// MissedErr is the error of a read from a position from which on the store has dropped records.
	MissedErr error
	Log       *logrus.Entry
}

// Journal reads what the store keeps of streams once, and again from time to time, and writes
// what is passed to it. It has a thread of its own because calls of the store block.
type Journal struct {
	config    JournalConfig
	inbox     *ring.Ring // of protocol.StreamsSave
	position  deployment.Position
	read      bool      // all has been read and passed to the observer
	readOnce  bool      // the same, at some time since the start
	lastRead  time.Time // time of the last read
	several   bool      // a service had several versions at the last save
	restored  bool      // the store came back from a backup, of which the observer has not been told
	lossy     bool      // what was read first may lack versions, and nobody who knew all has written them since
	complete  int64     // era of the store in which all versions were written last; zero if not known
	slot      int       // that was written last
	pending   *protocol.StreamsSave
	written   uint64 // serial of the last save that the store has taken
	reachable bool
	failures  int // calls that have failed since the last one that did not
	failed    *metrics.Counter
}

// NewJournal returns a journal that uses the store while Serve runs.
func NewJournal(config JournalConfig) *Journal {
	return &Journal{
		config: config, reachable: true, inbox: ring.New(ring.Config{Name: "streams", Capacity: journalCapacity}),
		failed: metrics.GetOrCreateCounter("sesamewell_stream_saves_failed_total"),
	}
}

// String returns the thread's name, which supervision events carry.
func (*Journal) String() string { return "streams" }

// Inbox returns the ring from which the journal takes its saves.
func (j *Journal) Inbox() *ring.Ring { return j.inbox }

// Save queues what is to be saved. A save that is dropped, since others wait, is made again.
func (j *Journal) Save(save protocol.StreamsSave) {
	if j.inbox.Put(save) != nil {
		j.failed.Inc()
	}
}

// Serve uses the store until ctx ends.
func (j *Journal) Serve(ctx context.Context) error {
	for {
		if err := j.step(time.Now()); err != nil {
			j.logResult(err)
			if err := supervisor.Sleep(ctx, j.retryPeriod()); err != nil {
				return err
			}
			j.failures++
			continue
		}
		j.logResult(nil)
		j.failures = 0
		if j.restored {
			continue
		}
		item, err := j.inbox.TakeWithin(ctx, min(j.untilRead(time.Now()), eraPeriod))
		if err != nil {
			return err
		}
		if save, ok := item.(protocol.StreamsSave); ok {
			j.pending = &save
		}
	}
}

// retryPeriod returns the time until the next call after one has failed.
func (j *Journal) retryPeriod() time.Duration {
	return min(minRetryPeriod<<min(j.failures, 5), maxRetryPeriod)
}

// step reads the store if that is due, and writes the save that waits.
func (j *Journal) step(now time.Time) error {
	if err := j.tellRestore(); err != nil {
		return err
	}
	if !j.read || j.untilRead(now) <= 0 || j.config.Store.StoreEra() > j.position.Era() {
		if err := j.readStore(now); err != nil {
			return err
		}
	}
	if j.pending == nil {
		return nil
	}
	return j.write(*j.pending)
}

// untilRead returns the time until the store is to be read again.
func (j *Journal) untilRead(now time.Time) time.Duration {
	period := idleReadPeriod
	if j.several || j.lossy {
		period = readPeriod
	}
	return period - now.Sub(j.lastRead)
}

func (j *Journal) readStore(now time.Time) error {
	saved, position, err := j.readNew()
	if err != nil {
		return err
	}
	if j.read && position.Era() != j.position.Era() {
		j.noteRestore(position.Era())
		return nil
	}
	if slot, ok := saved.Slot(j.config.Self); ok && !j.read {
		j.slot = slot
	}
	j.noteEra(saved, position)
	parts := split(saved, j.lossy)
	for i, part := range parts {
		if err := j.config.Observer.StreamsRead(part, i == len(parts)-1); err != nil {
			return err
		}
	}
	j.position, j.lastRead, j.read, j.readOnce = position, now, true, true
	return nil
}

// firstEra is the highest era of a store that has not come back from a backup.
const firstEra = 1

// noteEra notes whether what has been read may lack versions. What a lobby has read or learnt
// before the store came back from a backup it still knows.
func (j *Journal) noteEra(saved protocol.SavedStreams, position deployment.Position) {
	era := position.Era()
	lost := saved.Era() != era && (saved.Era() != 0 || era > firstEra)
	if saved.Era() != 0 {
		j.complete = saved.Era()
	}
	switch log := j.config.Log.WithFields(logrus.Fields{"event": "versions_read", "era": era, "complete_in": j.complete}); {
	case !j.readOnce && lost:
		j.lossy = true
		log.Warn("store restored since all software versions were written: streams that nobody remembers go on nowhere")
	case j.lossy && saved.Era() == era:
		j.lossy = false
		log.Info("all software versions were written again")
	}
}

// readNew returns what has been saved since the last read, or all if that is not known.
func (j *Journal) readNew() (protocol.SavedStreams, deployment.Position, error) {
	if !j.read {
		return j.config.Store.SavedStreams()
	}
	saved, position, err := j.config.Store.SavedStreamsSince(j.position)
	if errors.Is(err, j.config.MissedErr) {
		return j.config.Store.SavedStreams()
	}
	return saved, position, err
}

// split returns what the store keeps in parts that the observer can take in a short time: the
// versions first, then the newest streams up to the number that is remembered.
func split(saved protocol.SavedStreams, lossy bool) []protocol.SavedStreams {
	parts := []protocol.SavedStreams{protocol.NewSavedStreams(protocol.SavedStreamsConfig{Versions: saved.Versions(), Lossy: lossy})}
	var groups []protocol.StreamsConfig
	size, total := 0, 0
	flush := func() {
		if len(groups) > 0 {
			parts = append(parts, protocol.NewSavedStreams(protocol.SavedStreamsConfig{Streams: groups, Lossy: lossy}))
		}
		groups, size = nil, 0
	}
	for _, group := range saved.Streams() {
		if size+len(group.Streams) > maxRead {
			flush()
		}
		if total += len(group.Streams); total > maxStreams {
			break
		}
		groups, size = append(groups, group), size+len(group.Streams)
	}
	flush()
	return parts
}

// write writes a save, unless the store has taken it already.
func (j *Journal) write(save protocol.StreamsSave) error {
	if !save.Empty() && save.Serial() > j.written {
		era, err := j.config.Store.SaveStreams(j.config.Self, (j.slot+1)%slots, save)
		if err != nil {
			j.failed.Inc()
			return err
		}
		j.slot = (j.slot + 1) % slots
		if era != j.position.Era() {
			j.pending = nil
			j.noteRestore(era)
			return nil
		}
		j.written = save.Serial()
	}
	if era := j.position.Era(); len(save.Known()) > 0 && j.complete != era {
		written, err := j.config.Store.SaveVersions(era, save.Known())
		if err != nil {
			j.failed.Inc()
			return err
		}
		if written != era {
			j.pending = nil
			j.noteRestore(written)
			return nil
		}
		j.complete = era
	}
	if j.several && !save.Several() { // all services have one version
		if err := j.config.Store.ClearStreams(); err != nil {
			j.config.Log.WithField("event", "streams").WithError(err).Warn("streams of earlier versions left in the store")
		}
	}
	if err := j.config.Observer.StreamsSaved(save.Serial()); err != nil {
		return err
	}
	j.several, j.pending = save.Several(), nil
	return nil
}

// noteRestore notes that the store came back from a backup: the observer is to be told, and all
// of it to be read anew.
func (j *Journal) noteRestore(era int64) {
	j.config.Log.WithFields(logrus.Fields{"event": "store_restored", "reads": "streams", "era": era, "previous_era": j.position.Era()}).Warn("store restored: what is known of streams is saved again")
	j.restored, j.read = true, false
}

// tellRestore tells the observer that the store came back from a backup, if it has not been told.
func (j *Journal) tellRestore() error {
	if !j.restored {
		return nil
	}
	if err := j.config.Observer.StreamsRestored(); err != nil {
		return err
	}
	j.restored = false
	return nil
}

// logResult logs when calls of the store begin to fail or succeed again.
func (j *Journal) logResult(err error) {
	log := j.config.Log.WithFields(logrus.Fields{"event": "store", "reads": "streams"})
	if err != nil && j.reachable {
		log.WithError(err).Warn("streams not saved or read")
	}
	if err == nil && !j.reachable {
		log.Info("store reachable")
	}
	j.reachable = err == nil
}
