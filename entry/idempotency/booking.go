package idempotency

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/register"
	"sesamewell.example/commons/registrar"
	"sesamewell.example/commons/ring"
	"sesamewell.example/entry/usher"
)

// Usher routes the runs, and the requests that need no booking.
type Router interface {
	Put(message usher.Message) error
}

// Gate receives the answers that are not those of runs.
type Gate interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Config holds the construction parameters of a Booking.
type Config struct {
	Core       CoreConfig
	Capacity   int // messages in each inbox
	AppendRate int // appends per second of all entries together
	Service    Log
	Router     Router
	Gate       Gate
	Log        *logrus.Entry
	Drained    func() // called once, when a drain has ended
}

// Booking is responsible for running the core on its own thread and carrying
// out its actions. It stands between the gate and the usher: requests that
// need no booking pass through on the caller's thread.
type Coordinator struct {
	config        Config
	inbox         *ring.Ring
	core          *Core
	appender      *appender
	draining      atomic.Bool
	drainDeadline time.Time
}

// New returns a booking.
func New(config Config) *Coordinator {
	inbox := ring.New(ring.Config{Name: "booking", Capacity: config.Capacity})
	return &Coordinator{config: config, inbox: inbox, core: NewCore(config.Core), appender: newAppender(config, inbox)}
}

// Inbox returns the ring that feeds the booking, which follows the log and the
// revisions of the register.
func (b *Coordinator) Inbox() *ring.Ring { return b.inbox }

// Appends returns the ring that feeds the appender.
func (b *Coordinator) Appends() *ring.Ring { return b.appender.inbox }

// Attach sets the usher, before the booking is served.
func (b *Coordinator) Attach(router Router) { b.config.Router = router }

// Services returns the threads, to be added to a crew.
func (b *Coordinator) Services() []crew.Service {
	duty := crew.NewDuty(crew.DutyConfig{Name: "booking", Inbox: b.inbox, Handler: b, Period: tickPeriod})
	return []crew.Service{duty, b.appender}
}

// Put takes a message of the gate without blocking.
func (b *Coordinator) Put(message usher.Message) error {
	switch m := message.(type) {
	case usher.Ask:
		if m.Key() != "" {
			return b.inbox.Put(NewReceived(m))
		}
	case usher.Leave:
		// A refused Put is harmless: the caller's wait ends by itself.
		_ = b.inbox.Put(NewCallerLeft(m.Request()))
	}
	return b.config.Router.Put(message)
}

// PutWithin takes an answer of the usher and gives it to the core or to the
// gate.
func (b *Coordinator) PutWithin(ctx context.Context, item any, limit time.Duration) error {
	switch m := item.(type) {
	case usher.Deliver:
		if IsRun(m.Request()) {
			return b.inbox.PutWithin(ctx, NewDelivered(m), limit)
		}
	case usher.Refuse:
		if IsRun(m.Request()) {
			return b.inbox.PutWithin(ctx, NewFailed(m), limit)
		}
	}
	return b.config.Gate.PutWithin(ctx, item, limit)
}

// Drain asks the booking to report when the outcomes of all runs are in the
// log, or when the time for that is over.
func (b *Coordinator) Drain() { b.draining.Store(true) }

// Start does nothing: the table and the runs outlive a restart of the duty,
// since the log's records do not come a second time.
func (b *Coordinator) Start(time.Time) error { return nil }

// Handle processes one message.
func (b *Coordinator) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case registrar.Recorded:
		if batch, ok := DecodeBatch(m.Record()); ok {
			return b.execute(now, b.core.Handle(now, NewBatchRead(m.Offset(), batch)))
		}
	case registrar.Revised:
		b.setAppendSpacing(m.Revision().Inventory())
	case Message:
		return b.execute(now, b.core.Handle(now, m))
	}
	return nil
}

// Tick does what is due by time alone.
func (b *Coordinator) Tick(now time.Time) error {
	b.checkDrain(now)
	return b.execute(now, b.core.Tick(now))
}

// pace gives each entry its share of the appends that the log takes.
func (b *Coordinator) setAppendSpacing(inventory *register.Inventory) {
	entries := 0
	for _, instance := range inventory.Instances() {
		if instance.Role() == register.Entry {
			entries++
		}
	}
	b.appender.setSpacing(time.Duration(entries) * time.Second / time.Duration(b.config.AppendRate))
}

func (b *Coordinator) checkDrain(now time.Time) {
	if !b.draining.Load() {
		return
	}
	if b.drainDeadline.IsZero() {
		b.drainDeadline = now.Add(drainTimeout)
	}
	if b.core.Open() == 0 || (b.core.Running() == 0 && now.After(b.drainDeadline)) {
		b.config.Drained()
	}
}

func (b *Coordinator) execute(now time.Time, actions []Action) error {
	for _, action := range actions {
		if err := b.executeAction(now, action); err != nil {
			return err
		}
	}
	return nil
}

func (b *Coordinator) executeAction(now time.Time, action Action) error {
	switch a := action.(type) {
	case AppendIntent:
		if err := b.appender.inbox.Put(a); err != nil {
			return b.execute(now, b.core.Handle(now, NewNotAppended([]string{a.intent.Run()})))
		}
	case AppendOutcome:
		// A refused Put is harmless: the core has the outcome appended again.
		_ = b.appender.inbox.Put(a)
	case Dispatch:
		if err := b.config.Router.Put(a.request); err != nil {
			return b.execute(now, b.core.Handle(now, NewFailed(usher.NewRefuse(a.request.Request(), errOverloaded, retryAfter))))
		}
	case Forward:
		return b.config.Gate.PutWithin(context.Background(), a.piece, putTimeout)
	case Refuse:
		return b.config.Gate.PutWithin(context.Background(), a.refusal, putTimeout)
	}
	return nil
}
