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
	journalCapacity = 256                    // saves that may be queued
	retryPeriod     = 300 * time.Millisecond // time between two calls while the store does not answer
	readPeriod      = 5 * time.Second        // time between two reads while a service has several versions
	idlePeriod      = time.Minute            // longest wait for a save otherwise
	// slots is the number of saves of a lobby that the store keeps. They last for maxRetention
	// at least, since a lobby saves streams every minSavePeriod at most.
	slots = int(maxRetention/minSavePeriod) + 1
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
}

// Observer is told what the journal has read.
type Observer interface {
	// StreamsRead takes what the store keeps, or a part of it.
	StreamsRead(saved protocol.SavedStreams) error
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

// Journal reads what the store keeps of streams once, and again from time to time while a
// service has several versions, and writes what is passed to it. It has a thread of its own
// because calls of the store block.
type Journal struct {
	config    JournalConfig
	inbox     *ring.Ring // of protocol.StreamsSave
	position  deployment.Position
	read      bool      // the store has been read
	lastRead  time.Time // time of the last read
	mixed     bool      // a service had several versions at the last save
	slot      int       // that was written last
	pending   *protocol.StreamsSave
	reachable bool
	failures  *metrics.Counter
	refused   *metrics.Counter
}

// NewJournal returns a journal that uses the store while Serve runs.
func NewJournal(config JournalConfig) *Journal {
	return &Journal{
		config: config, reachable: true, inbox: ring.New(ring.Config{Name: "streams", Capacity: journalCapacity}),
		failures: metrics.GetOrCreateCounter("sesamewell_stream_saves_failed_total"),
		refused:  metrics.GetOrCreateCounter("sesamewell_stream_saves_dropped_total"),
	}
}

// String returns the thread's name, which supervision events carry.
func (*Journal) String() string { return "streams" }

// Inbox returns the ring from which the journal takes its saves.
func (j *Journal) Inbox() *ring.Ring { return j.inbox }

// Save queues what is to be saved. It is dropped while the store has not answered for long.
func (j *Journal) Save(save protocol.StreamsSave) {
	if j.inbox.Put(save) != nil {
		j.refused.Inc()
	}
}

// Serve uses the store until ctx ends.
func (j *Journal) Serve(ctx context.Context) error {
	for {
		if err := j.step(time.Now()); err != nil {
			j.logResult(err)
			if err := supervisor.Sleep(ctx, retryPeriod); err != nil {
				return err
			}
			continue
		}
		j.logResult(nil)
		item, err := j.inbox.TakeWithin(ctx, j.untilRead(time.Now()))
		if err != nil {
			return err
		}
		if save, ok := item.(protocol.StreamsSave); ok {
			j.pending = &save
		}
	}
}

// step reads the store if that is due, and writes the save that waits.
func (j *Journal) step(now time.Time) error {
	if !j.read || j.untilRead(now) <= 0 {
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
	if !j.mixed {
		return idlePeriod
	}
	return readPeriod - now.Sub(j.lastRead)
}

func (j *Journal) readStore(now time.Time) error {
	saved, position, err := j.readNew()
	if err != nil {
		return err
	}
	if j.read && position.Era() != j.position.Era() {
		return j.restored(position.Era())
	}
	if slot, ok := saved.Slot(j.config.Self); ok && !j.read {
		j.slot = slot
	}
	j.position, j.lastRead, j.read = position, now, true
	return j.config.Observer.StreamsRead(saved)
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

func (j *Journal) write(save protocol.StreamsSave) error {
	era, err := j.config.Store.SaveStreams(j.config.Self, (j.slot+1)%slots, save)
	if err != nil {
		j.failures.Inc()
		return err
	}
	j.slot, j.pending = (j.slot+1)%slots, nil
	j.mixed = len(save.Streams()) > 0 || j.mixed && len(save.Removed()) == 0
	if era != j.position.Era() {
		return j.restored(era)
	}
	return nil
}

// restored notes that the store came back from a backup, and has all of it read anew.
func (j *Journal) restored(era int64) error {
	j.config.Log.WithFields(logrus.Fields{"event": "store_restored", "reads": "streams", "era": era, "previous_era": j.position.Era()}).Warn("store restored: what is known of streams is saved again")
	j.read = false
	return j.config.Observer.StreamsRestored()
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
