package loader

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
)

// Engine is the backend server beside this process.
type Engine interface {
	// State asks for the engine's state.
	State() (charter.State, error)
	// Give gives an order and reports whether the engine carries it out. After
	// an error it may still do so.
	Execute(order charter.Order) (taken bool, err error)
}

// Config holds the construction parameters of a Warden.
type Config struct {
	Core   CoreConfig
	Engine Engine
	Log    *logrus.Entry
}

// Warden is responsible for running the core on its own thread.
type Loader struct {
	config Config
	inbox  *ring.Ring
	caller *engineCaller
	core   *Core
}

// New returns a warden.
func New(config Config) *Loader {
	w := &Loader{config: config, inbox: ring.New(ring.Config{Name: "warden", Capacity: ringCapacity}), core: NewCore(config.Core)}
	w.caller = &engineCaller{config: config, jobs: ring.New(ring.Config{Name: "orders", Capacity: ringCapacity}), replies: w.inbox}
	return w
}

// Services returns the warden's threads, to be added to a crew.
func (w *Loader) Services() []crew.Service {
	duty := crew.NewDuty(crew.DutyConfig{Name: "warden", Inbox: w.inbox, Handler: w, Period: tickPeriod})
	return []crew.Service{duty, w.caller}
}

// Inbox returns the ring that feeds the warden.
func (w *Loader) Inbox() *ring.Ring { return w.inbox }

// Start does nothing: what is known of the engine outlives a restart.
func (w *Loader) Start(time.Time) error { return nil }

// Handle processes one message.
func (w *Loader) Handle(now time.Time, message any) error {
	if m, ok := message.(Message); ok {
		return w.perform(w.core.Handle(now, m))
	}
	return nil
}

// Alarm returns the time at which the core has something to do.
func (w *Loader) Alarm() time.Time { return w.core.Due() }

// Tick does what is due by time alone.
func (w *Loader) Tick(now time.Time) error { return w.perform(w.core.Tick(now)) }

func (w *Loader) perform(actions []Action) error {
	for _, action := range actions {
		switch a := action.(type) {
		case PollState, ExecuteOrder:
			if err := w.caller.jobs.Put(a); err != nil {
				return err
			}
		case Reply:
			a.Send()
		}
	}
	return nil
}

// clerk is responsible for the calls to the engine, one after the other: a
// thread of its own.
type engineCaller struct {
	config  Config
	jobs    *ring.Ring
	replies *ring.Ring
}

// String returns the duty's name.
func (*engineCaller) String() string { return "clerk" }

// Serve carries out looks and orders until ctx ends.
func (c *engineCaller) Serve(ctx context.Context) error {
	for {
		job, err := c.jobs.Take(ctx)
		if err != nil {
			return err
		}
		if err := c.replies.PutWithin(ctx, c.call(job), putTimeout); err != nil {
			return err
		}
	}
}

func (c *engineCaller) call(job any) Message {
	give, ok := job.(ExecuteOrder)
	if !ok {
		return c.poll()
	}
	order := give.Order()
	taken, err := c.config.Engine.Execute(order)
	log := c.config.Log.WithFields(logrus.Fields{
		"event": "order", "backend": order.Backend(), "unload": order.Unload(), "model": order.Model(),
		"adapter": order.Adapter(), "expect": order.Expect(), "taken": taken,
	})
	countOrder(order, taken, err)
	if err != nil {
		log.WithError(err).Warn("order may not have been taken")
	} else if order.Adapter() == "" {
		log.Info("order answered")
	}
	return NewOrderAnswered(order, taken, err == nil)
}

func countOrder(order charter.Order, taken bool, err error) {
	result := "refused"
	switch {
	case err != nil:
		result = "silent"
	case taken:
		result = "taken"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("sesamewell_orders_total{unload=\"%t\",adapter=\"%t\",result=%q}", order.Unload(), order.Adapter() != "", result)).Inc()
}

func (c *engineCaller) poll() Message {
	asked := time.Now()
	state, err := c.config.Engine.State()
	if err != nil {
		c.config.Log.WithField("event", "engine_state").WithError(err).Debug("engine does not report")
		return StateUnavailable{}
	}
	return NewStateReported(asked, state)
}

// Desk is responsible for the calls of lobbies.
type RPCServer struct {
	inbox *ring.Ring
}

// NewDesk returns a desk before a warden.
func NewRPCServer(w *Loader) *RPCServer { return &RPCServer{inbox: w.inbox} }

// Assign takes a plan over.
func (d *RPCServer) Assign(assign notice.Assign, _ *notice.Nothing) error {
	return d.inbox.Put(NewPlanAssigned(assign))
}

// Fetch has an adapter loaded.
func (d *RPCServer) Fetch(fetch notice.Fetch, fetched *notice.Fetched) error {
	reply := ring.New(ring.Config{Name: "reply", Capacity: 1})
	if err := d.inbox.Put(NewAdapterRequested(fetch, reply)); err != nil {
		return err
	}
	answer, err := reply.TakeWithin(context.Background(), fetchTimeout)
	if err != nil {
		return err
	}
	if f, ok := answer.(notice.Fetched); ok {
		*fetched = f
	}
	return nil
}
