package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/statesync"
)

// Runners carry out attempts at the backend server.
type Runners interface {
	// Run hands an attempt over without blocking.
	Run(run Run) error
	// Stop ends an attempt that is being run.
	Stop(attempt string)
}

// Watch decides whether the side may act on a state of the register.
type FreshnessProof interface {
	Fresh(now time.Time, state int64) bool
}

// Config holds the construction parameters of a Foyer.
type Config struct {
	Core      CoreConfig
	Capacity  int // messages in the inbox
	Runners   Runners
	Proof     FreshnessProof
	Log       *logrus.Entry
	OnDrained func() // called once, when a drain has ended
}

// Foyer is responsible for running the core on its own thread and carrying out
// its actions.
type Dispatcher struct {
	config Config
	inbox  *ring.Ring
	core   *Core

	revision *fleetstate.Revision
	fresh    bool

	queued   atomic.Int64
	running  atomic.Int64
	draining atomic.Bool
}

// New returns a foyer.
func New(config Config) *Dispatcher {
	return &Dispatcher{config: config, inbox: ring.New(ring.Config{Name: "foyer", Capacity: config.Capacity}), revision: fleetstate.InitialRevision()}
}

// Inbox returns the ring that feeds the foyer.
func (f *Dispatcher) Inbox() *ring.Ring { return f.inbox }

// Put offers a message without blocking.
func (f *Dispatcher) Put(message Message) error { return f.inbox.Put(message) }

// PutWithin offers a message and parks up to limit while the inbox is full.
func (f *Dispatcher) PutWithin(ctx context.Context, message Message, limit time.Duration) error {
	return f.inbox.PutWithin(ctx, message, limit)
}

// Queued returns the number of attempts that wait.
func (f *Dispatcher) Queued() int { return int(f.queued.Load()) }

// Running returns the number of attempts at the backend server.
func (f *Dispatcher) Running() int { return int(f.running.Load()) }

// Leaving reports whether new work is refused.
func (f *Dispatcher) Draining() bool { return f.draining.Load() }

// Duty returns the foyer's thread, to be added to a crew.
func (f *Dispatcher) Duty() *crew.Duty {
	return crew.NewDuty(crew.DutyConfig{Name: "foyer", Inbox: f.inbox, Handler: f, Period: tickPeriod})
}

// Start builds the core anew. Attempts of an earlier core are lost; their
// entries learn it from the new incarnation.
func (f *Dispatcher) Start(now time.Time) error {
	config := f.config.Core
	config.Incarnation += "/" + now.UTC().Format(time.RFC3339Nano)
	f.core = NewCore(config)
	f.fresh = f.config.Proof.Fresh(now, f.revision.StateOffset())
	f.core.Handle(now, NewFreshnessChanged(f.fresh))
	if f.revision.StateOffset() > 0 {
		f.core.Handle(now, NewRevisionChanged(f.revision))
	}
	return nil
}

// Handle processes one message.
func (f *Dispatcher) Handle(now time.Time, message any) error {
	if m, ok := message.(statesync.RevisionChanged); ok {
		f.revision = m.Revision()
		message = NewRevisionChanged(f.revision)
	}
	f.updateFreshness(now)
	if m, ok := message.(Message); ok {
		f.perform(now, f.core.Handle(now, m))
	}
	return nil
}

// Tick does what is due by time alone.
func (f *Dispatcher) Tick(now time.Time) error {
	f.updateFreshness(now)
	f.perform(now, f.core.Tick(now))
	return nil
}

// prove tells the core when the side's freshness proof lapses or returns.
func (f *Dispatcher) updateFreshness(now time.Time) {
	fresh := f.config.Proof.Fresh(now, f.revision.StateOffset())
	if fresh != f.fresh {
		f.fresh = fresh
		f.perform(now, f.core.Handle(now, NewFreshnessChanged(fresh)))
	}
}

// Alarm returns the time of the next read that must be answered.
func (f *Dispatcher) Alarm() time.Time { return f.core.Alarm() }

func (f *Dispatcher) perform(now time.Time, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case AnswerBatch:
			a.Send()
		case AnswerRead:
			a.Send()
		case AnswerProbe:
			a.Send()
		case Run:
			f.startRun(now, a)
		case Stop:
			f.config.Runners.Stop(a.attempt)
		case Drained:
			f.config.OnDrained()
		}
	}
	f.queued.Store(int64(f.core.Queued()))
	f.running.Store(int64(f.core.Running()))
	f.draining.Store(f.core.Draining())
}

func (f *Dispatcher) startRun(now time.Time, run Run) {
	if err := f.config.Runners.Run(run); err != nil {
		f.config.Log.WithField("event", "run_refused").WithError(err).Error("no runner took the attempt")
		f.perform(now, f.core.Handle(now, NewAttemptEnded(run.submit.Attempt(), CodeNoRunner, false)))
	}
}

// CodeNoRunner is the cause of an attempt that no runner took.
const CodeNoRunner = "no_runner"
