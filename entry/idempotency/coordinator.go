package idempotency

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/statesync"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/entry/router"
)

// Router routes runs and the requests without an Idempotency-Key.
type Router interface {
	Put(message router.Message) error
}

// Responder receives the answers to callers.
type Responder interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Config holds the construction parameters of a Coordinator.
type Config struct {
	Core       CoreConfig
	Capacity   int        // capacity of each inbox in messages
	AppendRate int        // appends per second by all entries together
	LogService LogService // client of the log service
	Router     Router     // set by SetRouter
	Responder  Responder
	Log        *logrus.Entry
	OnDrained  func() // called at the end of a drain, possibly several times
}

// Coordinator runs the core on its own thread and executes its actions. It is
// placed between the limiter and the router: requests without an Idempotency-Key
// are passed to the router on the calling thread.
type Coordinator struct {
	config        Config
	inbox         *ring.Ring
	core          *Core
	appender      *appender
	draining      atomic.Bool
	drainDeadline time.Time
}

// New returns a coordinator with an empty table.
func New(config Config) *Coordinator {
	inbox := ring.New(ring.Config{Name: "booking", Capacity: config.Capacity})
	return &Coordinator{config: config, inbox: inbox, core: NewCore(config.Core), appender: newAppender(config, inbox)}
}

// Inbox returns the ring from which the coordinator takes its messages, among
// them the records of the log and the revisions of the fleet state.
func (c *Coordinator) Inbox() *ring.Ring { return c.inbox }

// Appends returns the ring from which the appender takes its items.
func (c *Coordinator) Appends() *ring.Ring { return c.appender.inbox }

// SetRouter sets the router. It must be called before the coordinator runs.
func (c *Coordinator) SetRouter(router Router) { c.config.Router = router }

// Services returns the coordinator's threads, to be added to a supervisor.
func (c *Coordinator) Services() []supervisor.Service {
	loop := supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "booking", Inbox: c.inbox, Handler: c, Period: tickPeriod})
	return []supervisor.Service{loop, c.appender}
}

// Put accepts a message for the router without blocking and diverts a request
// with an Idempotency-Key to the inbox. It returns an error if the message was
// not accepted.
func (c *Coordinator) Put(message router.Message) error {
	switch m := message.(type) {
	case router.Request:
		if m.IdempotencyKey() != "" {
			return c.inbox.Put(NewReceived(m))
		}
	case router.Abandoned:
		// A message lost to a full ring is harmless: the caller's wait times out.
		_ = c.inbox.Put(NewAbandoned(m.RequestID()))
	}
	return c.config.Router.Put(message)
}

// PutWithin accepts an answer from the router and passes it to the core if it
// belongs to a run, else to the responder. It waits up to limit for room.
func (c *Coordinator) PutWithin(ctx context.Context, item any, limit time.Duration) error {
	switch m := item.(type) {
	case router.Deliver:
		if IsRun(m.RequestID()) {
			return c.inbox.PutWithin(ctx, NewDelivered(m), limit)
		}
	case router.Refuse:
		if IsRun(m.RequestID()) {
			return c.inbox.PutWithin(ctx, NewFailed(m), limit)
		}
	}
	return c.config.Responder.PutWithin(ctx, item, limit)
}

// Drain starts a drain, which ends when the outcomes of all runs are in the log,
// or after drainTimeout once no run is in progress.
func (c *Coordinator) Drain() { c.draining.Store(true) }

// Start does nothing: the table and the runs are kept across a restart of the
// thread, since the log's records are not delivered a second time.
func (c *Coordinator) Start(time.Time) error { return nil }

// Handle processes one message.
func (c *Coordinator) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case statesync.RecordForwarded:
		if batch, ok := DecodeBatch(m.Record()); ok {
			return c.execute(now, c.core.Handle(now, NewBatchRead(m.Offset(), batch)))
		}
	case statesync.RevisionChanged:
		c.setAppendSpacing(m.Revision().Inventory())
	case Message:
		return c.execute(now, c.core.Handle(now, m))
	}
	return nil
}

// Tick handles timeouts, retries and the end of a drain.
func (c *Coordinator) Tick(now time.Time) error {
	c.checkDrain(now)
	return c.execute(now, c.core.Tick(now))
}

// setAppendSpacing limits this entry to an equal share of AppendRate.
func (c *Coordinator) setAppendSpacing(inventory *fleetstate.Inventory) {
	entries := 0
	for _, instance := range inventory.Instances() {
		if instance.Role() == fleetstate.RoleEntry {
			entries++
		}
	}
	c.appender.setSpacing(time.Duration(entries) * time.Second / time.Duration(c.config.AppendRate))
}

func (c *Coordinator) checkDrain(now time.Time) {
	if !c.draining.Load() {
		return
	}
	if c.drainDeadline.IsZero() {
		c.drainDeadline = now.Add(drainTimeout)
	}
	if c.core.Open() == 0 || (c.core.Running() == 0 && now.After(c.drainDeadline)) {
		c.config.OnDrained()
	}
}

func (c *Coordinator) execute(now time.Time, actions []Action) error {
	for _, action := range actions {
		if err := c.executeAction(now, action); err != nil {
			return err
		}
	}
	return nil
}

func (c *Coordinator) executeAction(now time.Time, action Action) error {
	switch a := action.(type) {
	case AppendIntent:
		if err := c.appender.inbox.Put(a); err != nil {
			return c.execute(now, c.core.Handle(now, NewNotAppended([]string{a.intent.Run()})))
		}
	case AppendOutcome:
		// An item lost to a full ring is harmless: the core retries the append.
		_ = c.appender.inbox.Put(a)
	case Dispatch:
		if err := c.config.Router.Put(a.request); err != nil {
			return c.execute(now, c.core.Handle(now, NewFailed(router.NewRefuse(a.request.ID(), errOverloaded, retryAfter))))
		}
	case Forward:
		return c.config.Responder.PutWithin(context.Background(), a.part, putTimeout)
	case Refuse:
		return c.config.Responder.PutWithin(context.Background(), a.refusal, putTimeout)
	}
	return nil
}
