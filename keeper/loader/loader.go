package loader

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
)

// Engine is the client of the backend server beside this process.
type Engine interface {
	// State requests the engine's state.
	State() (deployment.EngineState, error)
	// Execute sends an order. The result is also valid after an error.
	Execute(order deployment.Order) (deployment.OrderResult, error)
}

// Config holds the construction parameters of a Loader.
type Config struct {
	Core   CoreConfig
	Engine Engine
	Log    *logrus.Entry
}

// Loader runs the core on its own thread.
type Loader struct {
	config Config
	inbox  *ring.Ring
	caller *engineCaller
	core   *Core
}

// New returns a loader.
func New(config Config) *Loader {
	l := &Loader{config: config, inbox: ring.New(ring.Config{Name: "warden", Capacity: ringCapacity}), core: NewCore(config.Core)}
	l.caller = &engineCaller{config: config, jobs: ring.New(ring.Config{Name: "orders", Capacity: ringCapacity}), replies: l.inbox}
	return l
}

// Services returns the loader's threads, to be added to a supervisor.
func (l *Loader) Services() []supervisor.Service {
	loop := supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "warden", Inbox: l.inbox, Handler: l, Period: tickPeriod})
	return []supervisor.Service{loop, l.caller}
}

// Inbox returns the ring from which the loader reads its messages.
func (l *Loader) Inbox() *ring.Ring { return l.inbox }

// Start does nothing: the core's state is kept when the thread restarts.
func (l *Loader) Start(time.Time) error { return nil }

// Handle processes one message of the inbox.
func (l *Loader) Handle(now time.Time, message any) error {
	if m, ok := message.(Message); ok {
		return l.execute(l.core.Handle(now, m))
	}
	return nil
}

// Alarm returns the time at which the core is due.
func (l *Loader) Alarm() time.Time { return l.core.Alarm() }

// Tick executes the actions that are due without a message.
func (l *Loader) Tick(now time.Time) error { return l.execute(l.core.Tick(now)) }

// execute executes the actions of the core. It returns an error if the ring of
// the engine caller is full.
func (l *Loader) execute(actions []Action) error {
	for _, action := range actions {
		switch a := action.(type) {
		case PollState, ExecuteOrder:
			if err := l.caller.jobs.Put(a); err != nil {
				return err
			}
		case Reply:
			a.Send()
		case ReportStart:
			l.config.Log.WithFields(logrus.Fields{
				"event": "engine_started", "started": time.UnixMilli(a.State().StartTime()).UTC(), "orders": a.State().Orders(), "late_orders": a.LateOrders(),
			}).Info("engine has started since the last look")
		}
	}
	return nil
}

// engineCaller makes the calls to the engine on its own thread, one at a time.
type engineCaller struct {
	config  Config
	jobs    *ring.Ring
	replies *ring.Ring
}

// String returns the thread's name, which supervision events carry.
func (*engineCaller) String() string { return "clerk" }

// Serve polls the engine and sends it orders until ctx ends.
func (c *engineCaller) Serve(ctx context.Context) error {
	for {
		job, err := c.jobs.Take(ctx)
		if err != nil {
			return err
		}
		for _, message := range c.call(job) {
			if err := c.replies.PutWithin(ctx, message, putTimeout); err != nil {
				return err
			}
		}
	}
}

// call makes one call and returns the messages about its result.
func (c *engineCaller) call(job any) []Message {
	execute, ok := job.(ExecuteOrder)
	if !ok {
		return c.poll()
	}
	order := execute.Order()
	result, err := c.config.Engine.Execute(order)
	log := c.config.Log.WithFields(logrus.Fields{
		"event": "order", "backend": order.Backend(), "unload": order.Unload(), "model": order.Model(),
		"adapter": order.Adapter(), "expect": order.ExpectedOrders(), "result": result,
	})
	countOrder(order, result)
	if paused, ok := c.paused(err); ok {
		return []Message{paused, NewOrderAnswered(order, result)}
	}
	if err != nil {
		log.WithError(err).Warn("order may not have been taken")
	} else if order.Adapter() == "" || order.Unload() && result == deployment.OrderStarted {
		log.Info("engine answered the order")
	}
	return []Message{NewOrderAnswered(order, result)}
}

// paused returns the message about a refusal of the engine that states a time.
func (c *engineCaller) paused(err error) (EnginePaused, bool) {
	var pause *deployment.PauseError
	if !errors.As(err, &pause) {
		return EnginePaused{}, false
	}
	c.config.Log.WithFields(logrus.Fields{"event": "engine_paused", "asked": pause.Wait(), "until": time.Now().Add(min(pause.Wait(), maxPause))}).Info("engine refused a call and wants no others for a time")
	return NewEnginePaused(pause.Wait()), true
}

func countOrder(order deployment.Order, result deployment.OrderResult) {
	metrics.GetOrCreateCounter(fmt.Sprintf("sesamewell_orders_total{unload=\"%t\",adapter=\"%t\",result=%q}", order.Unload(), order.Adapter() != "", result)).Inc()
}

func (c *engineCaller) poll() []Message {
	requestedAt := time.Now()
	state, err := c.config.Engine.State()
	if paused, ok := c.paused(err); ok {
		return []Message{paused, StateUnavailable{}}
	}
	if err != nil {
		c.config.Log.WithField("event", "engine_state").WithError(err).Debug("engine state not available")
		return []Message{StateUnavailable{}}
	}
	return []Message{NewStateReported(requestedAt, state)}
}
