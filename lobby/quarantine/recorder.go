package quarantine

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
)

const (
	minRetryPeriod = time.Second     // time between the first two attempts of a call of the store
	maxRetryPeriod = 8 * time.Second // longest such time, after several that failed
	checkPeriod    = time.Second     // time between two looks at the era of the store
	// lateWrite is the time within which the store may still execute a write that it has
	// not answered, after newer ones.
	lateWrite = 10 * time.Second
)

// EvidenceStore keeps what lobbies know of suspects while all lobbies are down.
type EvidenceStore interface {
	// SaveSuspects replaces what a lobby has saved by what it knew at a given time, and
	// removes it if that is nothing.
	SaveSuspects(lobby string, at time.Time, suspects []protocol.SuspectConfig) error
	// SavedSuspects returns what lobbies have saved, by their RPC addresses, with ages as
	// of a given time.
	SavedSuspects(now time.Time) (map[string][]protocol.SuspectConfig, error)
	// Era returns the number of times that the store has come back from a backup, as far
	// as its answers have told.
	Era() int64
}

// RecallObserver is told what lobbies had saved before this one started.
type RecallObserver interface {
	// SuspectsRecalled takes the suspects by the RPC addresses of their lobbies, with
	// ages as of a given time. After an error it is called again.
	SuspectsRecalled(at time.Time, saved map[string][]protocol.SuspectConfig) error
}

// RecorderConfig holds the construction parameters of a Recorder.
type RecorderConfig struct {
	Self     string // RPC address of this lobby
	Store    EvidenceStore
	Observer RecallObserver
	Log      *logrus.Entry
}

// Recorder reads once what lobbies have saved of suspects, and then saves what this one
// learns. It has a thread of its own because calls of the store block.
type Recorder struct {
	config RecorderConfig
	inbox  *ring.Ring

	recalled  bool
	latest    snapshot
	pending   bool      // the latest evidence is to be written
	written   bool      // the store should hold the latest evidence
	era       int64     // of the store before that write
	failed    bool      // a write has failed since the last one that did not, and may be executed yet
	repeatAt  time.Time // time at which the latest evidence is written once more; zero for none
	pause     time.Duration
	due       time.Time // time of the next call of the store
	reachable bool
}

// snapshot is what this lobby knew of suspects at a time.
type snapshot struct {
	at       time.Time
	suspects []protocol.SuspectConfig
}

// NewRecorder returns a recorder. It runs once EventLoop is added to a supervisor.
func NewRecorder(config RecorderConfig) *Recorder {
	return &Recorder{config: config, inbox: ring.New(ring.Config{Name: "suspects", Capacity: 1}), reachable: true}
}

// EventLoop returns the recorder's thread.
func (r *Recorder) EventLoop() *supervisor.EventLoop {
	return supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "suspects", Inbox: r.inbox, Handler: r, Period: checkPeriod})
}

// Inbox returns the ring that holds the evidence to be written.
func (r *Recorder) Inbox() *ring.Ring { return r.inbox }

// Save queues what this lobby knows at a given time, in place of older evidence that still
// waits. It does not block.
func (r *Recorder) Save(at time.Time, suspects []protocol.SuspectConfig) {
	message := snapshot{at: at, suspects: suspects}
	for errors.Is(r.inbox.Put(message), ring.ErrFull) {
		var older [1]any
		r.inbox.Drain(older[:])
	}
}

// Start makes the first call of the store due.
func (r *Recorder) Start(now time.Time) error {
	r.due = now
	return nil
}

// Handle takes the evidence to be written.
func (r *Recorder) Handle(now time.Time, message any) error {
	if latest, ok := message.(snapshot); ok {
		r.latest, r.pending = latest, true
		if r.due.Before(now) {
			r.due = now
		}
	}
	return nil
}

// Alarm returns the time of the next call of the store, zero if none is to be made.
func (r *Recorder) Alarm() time.Time {
	if r.recalled && !r.pending {
		return time.Time{}
	}
	return r.due
}

// Tick calls the store if that is due.
func (r *Recorder) Tick(now time.Time) error {
	r.checkWritten(now)
	if r.recalled && !r.pending || now.Before(r.due) {
		return nil
	}
	call := r.save
	if !r.recalled {
		call = r.recall
	}
	r.schedule(now, call(now))
	return nil
}

// checkWritten makes the latest evidence pending again if the store may have lost it: it
// has come back from a backup, or may have executed an older write since.
func (r *Recorder) checkWritten(now time.Time) {
	if r.written && r.config.Store.Era() > r.era {
		r.pending, r.written = true, false
	}
	if !r.repeatAt.IsZero() && !now.Before(r.repeatAt) {
		r.pending, r.repeatAt = true, time.Time{}
	}
}

// schedule sets the time of the next call of the store after one that ended with err.
func (r *Recorder) schedule(now time.Time, err error) {
	r.logResult(err)
	if err == nil {
		r.pause, r.due = 0, now
		return
	}
	r.pause = min(max(2*r.pause, minRetryPeriod), maxRetryPeriod)
	r.due = now.Add(r.pause)
}

// recall reads what lobbies have saved.
func (r *Recorder) recall(now time.Time) error {
	saved, err := r.config.Store.SavedSuspects(now)
	if err != nil {
		return err
	}
	if err := r.config.Observer.SuspectsRecalled(now, saved); err != nil {
		return errors.Wrap(err, "pass on what was saved")
	}
	suspects := 0
	for _, list := range saved {
		suspects += len(list)
	}
	r.config.Log.WithFields(logrus.Fields{"event": "suspects_recalled", "lobbies": len(saved), "suspects": suspects}).Info("evidence against crashing requests read from the store")
	own := saved[r.config.Self]
	r.recalled, r.written, r.era = true, len(own) > 0, r.config.Store.Era()
	r.latest = snapshot{at: now, suspects: own}
	return nil
}

// save writes the latest evidence.
func (r *Recorder) save(now time.Time) error {
	era := r.config.Store.Era()
	if err := r.config.Store.SaveSuspects(r.config.Self, r.latest.at, r.latest.suspects); err != nil {
		r.failed = true
		return err
	}
	r.config.Log.WithFields(logrus.Fields{"event": "suspects_saved", "suspects": len(r.latest.suspects), "era": era}).Info("evidence against crashing requests written to the store")
	r.pending, r.written, r.era = false, true, era
	if r.failed {
		r.failed, r.repeatAt = false, now.Add(lateWrite)
	}
	return nil
}

// logResult logs when calls of the store begin to fail or succeed again.
func (r *Recorder) logResult(err error) {
	log := r.config.Log.WithFields(logrus.Fields{"event": "store", "reads": "suspects"})
	if err != nil && r.reachable {
		log.WithError(err).Warn("evidence against crashing requests not saved or read")
	}
	if err == nil && !r.reachable {
		log.Info("store reachable")
	}
	r.reachable = err == nil
}
