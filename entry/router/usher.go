package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
	"sesamewell.example/commons/registrar"
	"sesamewell.example/commons/ring"
)

// Lines reach the sides.
type Transport interface {
	// Submit hands an attempt to the line of a side without blocking.
	Submit(side string, submit notice.Submit) error
	// Probe asks a side how it would serve a request, without blocking.
	Probe(side string, query notice.Query) error
	// Cancel ends an attempt at a side.
	Cancel(side, attempt string)
}

// Gate receives Deliver and Refuse actions.
type Responder interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Config holds the construction parameters of an Usher.
type Config struct {
	Core      CoreConfig
	Capacity  int // messages in the inbox
	Transport Transport
	Responder Responder
	Log       *logrus.Entry
}

// Usher is responsible for running the core on its own thread and carrying out
// its actions.
type Router struct {
	config    Config
	inbox     *ring.Ring
	core      *Core
	inventory InventoryChanged
	closed    ClosedSides
	placement PlacementChanged
	open      atomic.Int64
}

// New returns an usher.
func New(config Config) *Router {
	return &Router{config: config, inbox: ring.New(ring.Config{Name: "usher", Capacity: config.Capacity})}
}

// Inbox returns the ring that feeds the usher.
func (u *Router) Inbox() *ring.Ring { return u.inbox }

// Put offers a message without blocking.
func (u *Router) Put(message Message) error { return u.inbox.Put(message) }

// PutWithin offers a message and parks up to limit while the inbox is full.
func (u *Router) PutWithin(ctx context.Context, message Message, limit time.Duration) error {
	return u.inbox.PutWithin(ctx, message, limit)
}

// Open returns the number of requests without an end.
func (u *Router) Open() int { return int(u.open.Load()) }

// Duty returns the usher's thread, to be added to a crew.
func (u *Router) Duty() *crew.Duty {
	return crew.NewDuty(crew.DutyConfig{Name: "usher", Inbox: u.inbox, Handler: u, Period: tickPeriod})
}

// Start builds the core anew from the last revision. Requests of an earlier
// core are lost; the gate ends them when their time is over.
func (u *Router) Start(now time.Time) error {
	u.core = NewCore(u.config.Core)
	if u.inventory.inventory != nil {
		u.core.Handle(now, u.inventory)
		u.core.Handle(now, u.placement)
	}
	u.core.Handle(now, u.closed)
	return nil
}

// Handle processes one message.
func (u *Router) Handle(now time.Time, message any) error {
	if m, ok := message.(registrar.Revised); ok {
		u.inventory = NewInventoryChanged(m.Revision().Inventory())
		u.placement = NewPlacementChanged(plannedSides(m.Revision()))
		u.core.Handle(now, u.placement)
		message = u.inventory
	}
	if m, ok := message.(ClosedSides); ok {
		u.closed = m
	}
	if m, ok := message.(Message); ok {
		return u.execute(now, u.core.Handle(now, m))
	}
	return nil
}

// planned returns the sides that shall hold each model by the plan in force.
func plannedSides(revision *register.Revision) map[string][]string {
	copies := make(map[string][]string)
	var static []string
	for _, instance := range revision.Inventory().Instances() {
		backend, ok := revision.Inventory().Backend(instance.Backend())
		if !ok || backend.Kind() != register.Engine {
			continue
		}
		if !backend.Placed() {
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

// Tick does what is due by time alone.
func (u *Router) Tick(now time.Time) error { return u.execute(now, u.core.Tick(now)) }

func (u *Router) execute(now time.Time, actions []Action) error {
	u.open.Store(int64(u.core.Open()))
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			if err := u.send(now, a); err != nil {
				return err
			}
		case Probe:
			if err := u.probe(now, a); err != nil {
				return err
			}
		case Cancel:
			u.config.Transport.Cancel(a.side, a.attempt)
		default:
			if err := u.config.Responder.PutWithin(context.Background(), a, putTimeout); err != nil {
				return err
			}
		}
	}
	return nil
}

// Alarm returns the time at which a request has waited for its probes.
func (u *Router) Alarm() time.Time { return u.core.Alarm() }

func (u *Router) probe(now time.Time, probe Probe) error {
	if err := u.config.Transport.Probe(probe.side, probe.query); err != nil {
		return u.execute(now, u.core.Handle(now, NewProbeFailed(probe.side)))
	}
	return nil
}

// send hands an attempt to its side's line. A refusal there is an attempt that
// was not run.
func (u *Router) send(now time.Time, send Send) error {
	err := u.config.Transport.Submit(send.side, send.submit)
	if err == nil {
		return nil
	}
	u.config.Log.WithFields(logrus.Fields{"event": "line_refused", "side": send.side}).WithError(err).Warn("attempt not sent")
	return u.execute(now, u.core.Handle(now, NewSubmitFailed(send.side, []string{send.submit.Attempt()}, false)))
}
