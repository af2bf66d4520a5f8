package hall

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/ring"
)

// Runners carry out attempts at the backend server.
type Runners interface {
	// Run hands an attempt over without blocking.
	Run(run Run) error
	// Stop ends an attempt that is being run.
	Stop(attempt string)
}

// Config holds the construction parameters of a Hall.
type Config struct {
	Core     CoreConfig
	Capacity int // messages in the inbox
	Runners  Runners
	Log      *logrus.Entry
	Drained  func() // called once, when a drain has ended
}

// Hall is responsible for running the core on its own thread and carrying out
// its actions.
type Hall struct {
	config Config
	inbox  *ring.Ring
	core   *Core

	queued  atomic.Int64
	running atomic.Int64
	leaving atomic.Bool
}

// New returns a hall.
func New(config Config) *Hall {
	return &Hall{config: config, inbox: ring.New(ring.Config{Name: "hall", Capacity: config.Capacity})}
}

// Inbox returns the ring that feeds the hall.
func (h *Hall) Inbox() *ring.Ring { return h.inbox }

// Put offers a message without blocking.
func (h *Hall) Put(message Message) error { return h.inbox.Put(message) }

// PutWithin offers a message and parks up to limit while the inbox is full.
func (h *Hall) PutWithin(ctx context.Context, message Message, limit time.Duration) error {
	return h.inbox.PutWithin(ctx, message, limit)
}

// Queued returns the number of attempts that wait.
func (h *Hall) Queued() int { return int(h.queued.Load()) }

// Running returns the number of attempts at the backend server.
func (h *Hall) Running() int { return int(h.running.Load()) }

// Leaving reports whether new work is refused.
func (h *Hall) Leaving() bool { return h.leaving.Load() }

// Duty returns the hall's thread, to be added to a crew.
func (h *Hall) Duty() *crew.Duty {
	return crew.NewDuty(crew.DutyConfig{Name: "hall", Inbox: h.inbox, Handler: h, Period: tickPeriod})
}

// Start builds the core anew. Attempts of an earlier core are lost; their
// entries learn it from the new incarnation.
func (h *Hall) Start(now time.Time) error {
	config := h.config.Core
	config.Incarnation += "/" + now.UTC().Format(time.RFC3339Nano)
	h.core = NewCore(config)
	return nil
}

// Handle processes one message.
func (h *Hall) Handle(now time.Time, message any) error {
	if m, ok := message.(Message); ok {
		h.carryOut(now, h.core.Handle(now, m))
	}
	return nil
}

// Tick does what is due by time alone.
func (h *Hall) Tick(now time.Time) error {
	h.carryOut(now, h.core.Tick(now))
	return nil
}

// Alarm returns the time of the next read that must be answered.
func (h *Hall) Alarm() time.Time { return h.core.Alarm() }

func (h *Hall) carryOut(now time.Time, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case AnswerBatch:
			// A refused Put means that the caller has stopped waiting.
			_ = a.reply.Put(a.receipts)
		case AnswerRead:
			_ = a.reply.Put(a.pages)
		case Run:
			h.run(now, a)
		case Stop:
			h.config.Runners.Stop(a.attempt)
		case Drained:
			h.config.Drained()
		}
	}
	h.queued.Store(int64(h.core.Queued()))
	h.running.Store(int64(h.core.Running()))
	h.leaving.Store(h.core.Leaving())
}

func (h *Hall) run(now time.Time, run Run) {
	if err := h.config.Runners.Run(run); err != nil {
		h.config.Log.WithField("event", "run_refused").WithError(err).Error("no runner took the attempt")
		h.carryOut(now, h.core.Handle(now, NewEnded(run.submit.Attempt(), CodeNoRunner, false)))
	}
}

// CodeNoRunner is the cause of an attempt that no runner took.
const CodeNoRunner = "no_runner"
