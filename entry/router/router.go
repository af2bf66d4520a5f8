package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/statesync"
	"sesamewell.example/commons/supervisor"
)

// Transport sends messages to the sides. Its methods do not block.
type Transport interface {
	// Submit queues an attempt for a side.
	Submit(side string, submit protocol.Submit) error
	// Probe queues a query to a side about its load and a request.
	Probe(side string, query protocol.Query) error
	// Cancel cancels an attempt at a side.
	Cancel(side, attempt string)
}

// Responder receives the Deliver, Refuse and CrashReport actions. PutWithin waits
// up to limit for room.
type Responder interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Config holds the construction parameters of a Router.
type Config struct {
	Core      CoreConfig
	Capacity  int // capacity of the inbox in messages
	Transport Transport
	Responder Responder
	Log       *logrus.Entry
}

// Router runs a Core on its own thread and executes its actions.
type Router struct {
	config    Config
	inbox     *ring.Ring
	core      *Core
	inventory InventoryChanged // last one received, for a restart
	closed    ClosedSides      // last one received, for a restart
	placement PlacementChanged // last one received, for a restart
	open      atomic.Int64     // requests that have not ended
}

// New returns a router. Its thread runs once EventLoop is added to a supervisor.
func New(config Config) *Router {
	return &Router{config: config, inbox: ring.New(ring.Config{Name: "usher", Capacity: config.Capacity})}
}

// Inbox returns the ring that holds the router's messages.
func (r *Router) Inbox() *ring.Ring { return r.inbox }

// Put adds a message to the inbox without blocking. It returns an error if the
// inbox is full.
func (r *Router) Put(message Message) error { return r.inbox.Put(message) }

// PutWithin adds a message to the inbox and waits up to limit while the inbox is
// full.
func (r *Router) PutWithin(ctx context.Context, message Message, limit time.Duration) error {
	return r.inbox.PutWithin(ctx, message, limit)
}

// Open returns the number of requests that have not ended.
func (r *Router) Open() int { return int(r.open.Load()) }

// EventLoop returns the router's thread, to be added to a supervisor.
func (r *Router) EventLoop() *supervisor.EventLoop {
	return supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "usher", Inbox: r.inbox, Handler: r, Period: tickPeriod})
}

// Start creates a new core from the last revision, plan and closed sides. Requests
// of an earlier core are lost. The front end ends them at their deadlines.
func (r *Router) Start(now time.Time) error {
	r.core = NewCore(r.config.Core)
	if r.inventory.inventory != nil {
		r.core.Handle(now, r.inventory)
		r.core.Handle(now, r.placement)
	}
	r.core.Handle(now, r.closed)
	return nil
}

// Handle processes one message.
func (r *Router) Handle(now time.Time, message any) error {
	if m, ok := message.(statesync.RevisionChanged); ok {
		logEvacuations(r.config.Log, r.inventory.inventory, m.Revision().Inventory())
		r.inventory = NewInventoryChanged(m.Revision().Inventory())
		r.placement = NewPlacementChanged(plannedSides(m.Revision()))
		r.core.Handle(now, r.placement)
		message = r.inventory
	}
	if m, ok := message.(ClosedSides); ok {
		r.closed = m
	}
	if m, ok := message.(Message); ok {
		return r.execute(now, r.core.Handle(now, m))
	}
	return nil
}

// plannedSides returns the names of the sides that hold each model according to
// the plan of the revision. Static engines are not under the plan: they count as
// holders of every planned model.
func plannedSides(revision *fleetstate.Revision) map[string][]string {
	copies := make(map[string][]string)
	var static []string
	for _, instance := range revision.Inventory().Instances() {
		backend, ok := revision.Inventory().Backend(instance.Backend())
		if !ok || backend.Kind() != fleetstate.Engine {
			continue
		}
		if !backend.TakesModels() {
			static = append(static, instance.Name())
		}
		for _, model := range revision.Plan().Models(instance.Backend()) {
			copies[model] = append(copies[model], instance.Name())
		}
	}
	for model, sides := range copies {
		copies[model] = append(sides, static...)
	}
	return copies
}

// Tick executes the actions that are due by time.
func (r *Router) Tick(now time.Time) error { return r.execute(now, r.core.Tick(now)) }

// execute executes the core's actions.
func (r *Router) execute(now time.Time, actions []Action) error {
	r.open.Store(int64(r.core.Open()))
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			if err := r.send(now, a); err != nil {
				return err
			}
		case Probe:
			if err := r.probe(now, a); err != nil {
				return err
			}
		case Cancel:
			r.config.Transport.Cancel(a.side, a.attempt)
		default:
			if err := r.config.Responder.PutWithin(context.Background(), a, putTimeout); err != nil {
				return err
			}
		}
	}
	return nil
}

// Alarm returns the time at which the oldest wait for probe replies ends, or the
// zero time if no request waits.
func (r *Router) Alarm() time.Time { return r.core.Alarm() }

// probe sends a probe. An error of the transport counts as a failed probe.
func (r *Router) probe(now time.Time, probe Probe) error {
	if err := r.config.Transport.Probe(probe.side, probe.query); err != nil {
		return r.execute(now, r.core.Handle(now, NewProbeFailed(probe.side)))
	}
	return nil
}

// send submits an attempt. If the transport refuses it, the attempt has not run.
func (r *Router) send(now time.Time, send Send) error {
	err := r.config.Transport.Submit(send.side, send.submit)
	if err == nil {
		return nil
	}
	r.config.Log.WithFields(logrus.Fields{"event": "line_refused", "side": send.side}).WithError(err).Warn("attempt not sent")
	return r.execute(now, r.core.Handle(now, NewSubmitFailed(send.side, []string{send.submit.Attempt()}, false)))
}
