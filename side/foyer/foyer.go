package foyer

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
type Watch interface {
	Fresh(now time.Time, state int64) bool
}

// Config holds the construction parameters of a Foyer.
type Config struct {
	Core     CoreConfig
	Capacity int // messages in the inbox
	Runners  Runners
	Watch    Watch
	Log      *logrus.Entry
	Drained  func() // called once, when a drain has ended
}

// Foyer is responsible for running the core on its own thread and carrying out
// its actions.
type Foyer struct {
	config Config
	inbox  *ring.Ring
	core   *Core

	revision *fleetstate.Revision
	fresh    bool

	queued  atomic.Int64
	running atomic.Int64
	leaving atomic.Bool
}

// New returns a foyer.
func New(config Config) *Foyer {
	return &Foyer{config: config, inbox: ring.New(ring.Config{Name: "foyer", Capacity: config.Capacity}), revision: fleetstate.InitialRevision()}
}

// Inbox returns the ring that feeds the foyer.
func (f *Foyer) Inbox() *ring.Ring { return f.inbox }

// Put offers a message without blocking.
func (f *Foyer) Put(message Message) error { return f.inbox.Put(message) }

// PutWithin offers a message and parks up to limit while the inbox is full.
func (f *Foyer) PutWithin(ctx context.Context, message Message, limit time.Duration) error {
	return f.inbox.PutWithin(ctx, message, limit)
}

// Queued returns the number of attempts that wait.
func (f *Foyer) Queued() int { return int(f.queued.Load()) }

// Running returns the number of attempts at the backend server.
func (f *Foyer) Running() int { return int(f.running.Load()) }

// Leaving reports whether new work is refused.
func (f *Foyer) Leaving() bool { return f.leaving.Load() }

// Duty returns the foyer's thread, to be added to a crew.
func (f *Foyer) Duty() *crew.Duty {
	return crew.NewDuty(crew.DutyConfig{Name: "foyer", Inbox: f.inbox, Handler: f, Period: tickPeriod})
}

// Start builds the core anew. Attempts of an earlier core are lost; their
// entries learn it from the new incarnation.
func (f *Foyer) Start(now time.Time) error {
	config := f.config.Core
	config.Incarnation += "/" + now.UTC().Format(time.RFC3339Nano)
	f.core = NewCore(config)
	f.fresh = f.config.Watch.Fresh(now, f.revision.StateOffset())
	f.core.Handle(now, NewProved(f.fresh))
	if f.revision.StateOffset() > 0 {
		f.core.Handle(now, NewRevised(f.revision))
	}
	return nil
}

// Handle processes one message.
func (f *Foyer) Handle(now time.Time, message any) error {
	if m, ok := message.(statesync.RevisionChanged); ok {
		f.revision = m.Revision()
		message = NewRevised(f.revision)
	}
	f.prove(now)
	if m, ok := message.(Message); ok {
		f.carryOut(now, f.core.Handle(now, m))
	}
	return nil
}

// Tick does what is due by time alone.
func (f *Foyer) Tick(now time.Time) error {
	f.prove(now)
	f.carryOut(now, f.core.Tick(now))
	return nil
}

// prove tells the core when the side's freshness proof lapses or returns.
func (f *Foyer) prove(now time.Time) {
	fresh := f.config.Watch.Fresh(now, f.revision.StateOffset())
	if fresh != f.fresh {
		f.fresh = fresh
		f.carryOut(now, f.core.Handle(now, NewProved(fresh)))
	}
}

// Alarm returns the time of the next read that must be answered.
func (f *Foyer) Alarm() time.Time { return f.core.Alarm() }

func (f *Foyer) carryOut(now time.Time, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case AnswerBatch:
			a.Send()
		case AnswerRead:
			a.Send()
		case AnswerProbe:
			a.Send()
		case Run:
			f.run(now, a)
		case Stop:
			f.config.Runners.Stop(a.attempt)
		case Drained:
			f.config.Drained()
		}
	}
	f.queued.Store(int64(f.core.Queued()))
	f.running.Store(int64(f.core.Running()))
	f.leaving.Store(f.core.Leaving())
}

func (f *Foyer) run(now time.Time, run Run) {
	if err := f.config.Runners.Run(run); err != nil {
		f.config.Log.WithField("event", "run_refused").WithError(err).Error("no runner took the attempt")
		f.carryOut(now, f.core.Handle(now, NewEnded(run.submit.Attempt(), CodeNoRunner, false)))
	}
}

// CodeNoRunner is the cause of an attempt that no runner took.
const CodeNoRunner = "no_runner"
