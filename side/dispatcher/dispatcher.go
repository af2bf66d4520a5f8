package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/statesync"
	"sesamewell.example/commons/supervisor"
)

// Runners run attempts at the backend server.
type Runners interface {
	// Run starts an attempt without blocking.
	Run(run Run) error
	// Stop stops a running attempt.
	Stop(attempt string)
	// PieceTaken reports that a piece of an answer has been taken from the inbox.
	PieceTaken()
}

// FreshnessProof decides whether a fleet state may still be acted on.
type FreshnessProof interface {
	// Fresh reports whether the state with this offset is proven current at now.
	Fresh(now time.Time, stateOffset int64) bool
}

// Config holds the construction parameters of a Dispatcher.
type Config struct {
	Core      CoreConfig
	Capacity  int // capacity of the inbox in messages
	Runners   Runners
	Proof     FreshnessProof
	Log       *logrus.Entry
	OnDrained func() // called once, at the end of a drain
}

// Dispatcher runs the core on its own thread and executes the core's actions.
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

// New returns a dispatcher. Its thread runs once EventLoop is added to a supervisor.
func New(config Config) *Dispatcher {
	return &Dispatcher{config: config, inbox: ring.New(ring.Config{Name: "foyer", Capacity: config.Capacity}), revision: fleetstate.InitialRevision()}
}

// Inbox returns the ring of the dispatcher's incoming messages.
func (d *Dispatcher) Inbox() *ring.Ring { return d.inbox }

// Put queues a message without blocking. It returns an error if the inbox is full.
func (d *Dispatcher) Put(message Message) error { return d.inbox.Put(message) }

// PutWithin queues a message and blocks up to limit while the inbox is full.
func (d *Dispatcher) PutWithin(ctx context.Context, message Message, limit time.Duration) error {
	return d.inbox.PutWithin(ctx, message, limit)
}

// Queued returns the number of queued attempts.
func (d *Dispatcher) Queued() int { return int(d.queued.Load()) }

// Running returns the number of attempts that run at the backend server.
func (d *Dispatcher) Running() int { return int(d.running.Load()) }

// Draining reports whether new attempts are refused because the side is draining.
func (d *Dispatcher) Draining() bool { return d.draining.Load() }

// EventLoop returns the dispatcher's thread, to be added to a supervisor.
func (d *Dispatcher) EventLoop() *supervisor.EventLoop {
	return supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "foyer", Inbox: d.inbox, Handler: d, Period: tickPeriod})
}

// Start creates a new core. The attempts of the previous core are lost; their
// entries detect this by the new incarnation.
func (d *Dispatcher) Start(now time.Time) error {
	config := d.config.Core
	config.Incarnation += "/" + now.UTC().Format(time.RFC3339Nano)
	d.core = NewCore(config)
	d.fresh = d.config.Proof.Fresh(now, d.revision.StateOffset())
	d.core.Handle(now, NewFreshnessChanged(d.fresh))
	if d.revision.StateOffset() > 0 {
		d.core.Handle(now, NewRevisionChanged(d.revision))
	}
	return nil
}

// Handle processes one message.
func (d *Dispatcher) Handle(now time.Time, message any) error {
	if m, ok := message.(statesync.RevisionChanged); ok {
		d.revision = m.Revision()
		message = NewRevisionChanged(d.revision)
	}
	if _, ok := message.(ChunkReceived); ok {
		defer d.config.Runners.PieceTaken()
	}
	d.updateFreshness(now)
	if m, ok := message.(Message); ok {
		d.execute(now, d.core.Handle(now, m))
	}
	return nil
}

// Tick executes the actions that are due at now.
func (d *Dispatcher) Tick(now time.Time) error {
	d.updateFreshness(now)
	d.execute(now, d.core.Tick(now))
	return nil
}

// updateFreshness notifies the core when the freshness proof of the fleet state
// expires or is renewed.
func (d *Dispatcher) updateFreshness(now time.Time) {
	fresh := d.config.Proof.Fresh(now, d.revision.StateOffset())
	if fresh != d.fresh {
		d.fresh = fresh
		d.execute(now, d.core.Handle(now, NewFreshnessChanged(fresh)))
	}
}

// Alarm returns the time at which the next open read must be answered or the next turn
// comes, or the zero time if nothing waits for either.
func (d *Dispatcher) Alarm() time.Time { return d.core.Alarm() }

func (d *Dispatcher) execute(now time.Time, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case AnswerBatch:
			a.Send()
		case AnswerRead:
			a.Send()
		case AnswerProbe:
			a.Send()
		case Run:
			d.startRun(now, a)
		case Stop:
			d.config.Runners.Stop(a.attempt)
		case RecordLimit:
			d.config.Log.WithFields(logrus.Fields{"event": "limit", "rate": a.rate, "before": a.before}).Info("backend server names another rate in its answers, or none any more")
		case Drained:
			d.config.OnDrained()
		}
	}
	d.queued.Store(int64(d.core.Queued()))
	d.running.Store(int64(d.core.Running()))
	d.draining.Store(d.core.Draining())
}

func (d *Dispatcher) startRun(now time.Time, run Run) {
	if err := d.config.Runners.Run(run); err != nil {
		d.config.Log.WithField("event", "run_refused").WithError(err).Error("failed to start attempt: no runner accepted it")
		d.execute(now, d.core.Handle(now, NewAttemptEnded(run.submit.Attempt(), CodeNoRunner, false)))
	}
}

// CodeNoRunner is the cause of the failure of an attempt that no runner accepted.
const CodeNoRunner = "no_runner"
