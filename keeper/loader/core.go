// Package warden gives the orders of one backend server: it loads the models
// that the plan names and the adapters that requests need, and is the only one
// that orders this backend server.
//
// An order names the number of orders that the engine had accepted when it was
// given, so that of several orders given at the same number at most one is ever
// carried out, however late it arrives.
package loader

import (
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	PollPeriod      time.Duration // between two looks at an engine at rest
	FetchPollPeriod time.Duration // between two looks at an engine that loads
	AdapterLease    time.Duration // for which an adapter that was asked for stays
	FetchTimeout    time.Duration // for which a lobby waits for an adapter
	PlannerTimeout  time.Duration // of a planner, after which another one's plan is taken
}

// Core is responsible for every decision of the warden. It does no input or
// output.
type Core struct {
	config       CoreConfig
	assign       notice.Assign
	assignedAt   time.Time // zero before the first plan
	engine       engineState
	stateKnown   bool
	polledAt     time.Time
	pollPending  bool // a look has no answer yet
	orderPending bool // an order has no answer yet
	stale        bool // the state is older than the last order
	due          time.Time
	leases       map[string]time.Time // by MODEL/NAME
	waiters      []waiter
	actions      []Action
}

// waiter is a lobby that waits for an adapter.
type waiter struct {
	fetch    notice.Fetch
	reply    *ring.Ring
	deadline time.Time
}

// NewCore returns a core that knows nothing of its engine.
func NewCore(config CoreConfig) *Core {
	return &Core{config: config, leases: make(map[string]time.Time)}
}

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	c.actions = nil
	switch m := message.(type) {
	case PlanAssigned:
		c.setPlan(now, m.assign)
	case AdapterRequested:
		c.waiters = append(c.waiters, waiter{fetch: m.fetch, reply: m.reply, deadline: now.Add(c.config.FetchTimeout)})
	case StateReported:
		c.pollPending = false
		c.updateState(m.state)
	case StateUnavailable:
		c.pollPending = false
	case OrderAnswered:
		c.handleAnswer(m)
	}
	c.decide(now)
	return c.actions
}

// Tick returns what is due.
func (c *Core) Tick(now time.Time) []Action {
	c.actions = nil
	c.decide(now)
	return c.actions
}

// Due returns the time at which Tick has something to do.
func (c *Core) Due() time.Time { return c.due }

// take takes a plan over. Of two lobbies that plan, the first by address goes
// before the other until it falls silent.
func (c *Core) setPlan(now time.Time, assign notice.Assign) {
	if now.Sub(c.assignedAt) < c.config.PlannerTimeout && assign.Planner() > c.assign.Planner() {
		return
	}
	c.assign, c.assignedAt = assign, now
}

func (c *Core) updateState(state charter.State) {
	if c.stateKnown && state.Born() != c.engine.startTime {
		clear(c.leases) // a new start holds nothing of before
	}
	c.engine, c.stateKnown, c.stale = newEngineState(state), true, c.orderPending
}

// answer notes what became of an order. What the engine took is seen in its
// next report; what an adapter's order does is known at once.
func (c *Core) handleAnswer(m OrderAnswered) {
	c.orderPending = false
	if !m.answered || !m.taken || m.order.Expect() != c.engine.orders || m.order.Adapter() == "" {
		c.stale, c.polledAt = true, time.Time{}
		return
	}
	c.engine.apply(m.order)
}

func (c *Core) decide(now time.Time) {
	c.answerWaiters(now)
	period := c.config.PollPeriod
	switch {
	case len(c.waiters) > 0:
		period = c.config.FetchPollPeriod
	case c.engine.busy || !c.stateKnown || c.stale:
		period = min(c.config.PollPeriod, loadingPollPeriod)
	}
	if now.Sub(c.polledAt) >= period && !c.pollPending {
		c.polledAt, c.pollPending = now, true
		c.actions = append(c.actions, PollState{})
	}
	c.due = c.polledAt.Add(period)
	if !c.stateKnown || c.orderPending || c.stale || c.assign.Born() != c.engine.startTime {
		return
	}
	if order, ok := c.nextOrder(now); ok {
		c.orderPending = true
		c.actions = append(c.actions, ExecuteOrder{order: order})
	}
}

// serve answers the lobbies whose adapter is there, or will not be in time.
func (c *Core) answerWaiters(now time.Time) {
	kept := c.waiters[:0]
	for _, w := range c.waiters {
		switch {
		case c.engine.holdings.Have(w.fetch.Model(), w.fetch.Adapter()):
			c.leases[adapterKey(w.fetch.Model(), w.fetch.Adapter())] = now.Add(c.config.AdapterLease)
			c.reply(w, c.config.AdapterLease)
		case !now.Before(w.deadline), c.stateKnown && c.unattainable(w.fetch):
			c.reply(w, 0)
		default:
			kept = append(kept, w)
		}
	}
	c.waiters = kept
}

// hopeless reports whether an adapter cannot be there in time: its model is
// missing, or the engine takes no order until it has loaded a model.
func (c *Core) unattainable(fetch notice.Fetch) bool {
	return !c.engine.holdings.Have(fetch.Model(), "") || c.engine.busy && !c.engine.isLoading(fetch.Model(), fetch.Adapter())
}

func (c *Core) reply(w waiter, kept time.Duration) {
	c.actions = append(c.actions, Reply{to: w.reply, fetched: notice.NewFetched(notice.FetchedConfig{Kept: kept})})
}

// next returns the order that is due first: adapters that lobbies wait for,
// then models.
func (c *Core) nextOrder(now time.Time) (charter.Order, bool) {
	for _, w := range c.waiters {
		if order, ok := c.adapterOrder(now, w.fetch); ok {
			return order, true
		}
	}
	if c.engine.busy {
		return charter.Order{}, false
	}
	return c.modelOrder()
}

// adapter returns the order that brings an adapter closer: its own, or one that
// makes room.
func (c *Core) adapterOrder(now time.Time, fetch notice.Fetch) (charter.Order, bool) {
	if c.engine.holdings.Have(fetch.Model(), fetch.Adapter()) || c.engine.isLoading(fetch.Model(), fetch.Adapter()) || !c.engine.holdings.Have(fetch.Model(), "") {
		return charter.Order{}, false
	}
	need, ok := c.modelNeed(fetch.Model())
	if !ok {
		return charter.Order{}, false
	}
	if c.engine.usedPlaces() < c.assign.Places() && c.reservedMemory()+need.Adapter <= c.assign.Memory() {
		return c.newOrder(charter.OrderConfig{Model: fetch.Model(), Adapter: fetch.Adapter()}), len(c.engine.loading) < maxAdapterLoads
	}
	model, name, ok := c.expiredLease(now)
	return c.newOrder(charter.OrderConfig{Unload: true, Model: model, Adapter: name}), ok
}

// oldest returns the adapter whose lease ended first.
func (c *Core) expiredLease(now time.Time) (model, adapter string, found bool) {
	var first time.Time
	for _, holding := range c.engine.holdings {
		for _, name := range holding.Adapters() {
			until := c.leases[adapterKey(holding.Model(), name)]
			if now.Before(until) || found && !until.Before(first) {
				continue
			}
			model, adapter, found, first = holding.Model(), name, true, until
		}
	}
	return model, adapter, found
}

// model returns the order that brings the models closer to the plan.
func (c *Core) modelOrder() (charter.Order, bool) {
	for _, need := range c.assign.Models() {
		if c.engine.holdings.Have(need.Name, "") {
			continue
		}
		if c.reservedMemory()+need.Memory > c.assign.Memory() {
			return c.unloadOrder()
		}
		return c.newOrder(charter.OrderConfig{Model: need.Name}), true
	}
	return charter.Order{}, false
}

// surplus returns the order to unload a model that the plan does not name.
func (c *Core) unloadOrder() (charter.Order, bool) {
	for _, holding := range c.engine.holdings {
		planned := slices.ContainsFunc(c.assign.Models(), func(need notice.ModelNeedConfig) bool { return need.Name == holding.Model() })
		if !planned {
			return c.newOrder(charter.OrderConfig{Unload: true, Model: holding.Model()}), true
		}
	}
	return charter.Order{}, false
}

// order returns an order that the engine takes only if no other has come before.
func (c *Core) newOrder(config charter.OrderConfig) charter.Order {
	config.Backend, config.Expect = c.assign.Backend(), c.engine.orders
	return charter.NewOrder(config)
}

// reserved returns the MB that are taken, adapters on their way included. A
// model of unknown size counts as all memory.
func (c *Core) reservedMemory() float64 {
	sum := 0.0
	for _, holding := range c.engine.holdings {
		need, ok := c.modelNeed(holding.Model())
		if !ok {
			return c.assign.Memory()
		}
		sum += need.Memory + float64(len(holding.Adapters()))*need.Adapter
	}
	for _, name := range c.engine.loading {
		model, _, _ := strings.Cut(name, "/")
		need, _ := c.modelNeed(model)
		sum += need.Adapter
	}
	return sum
}

func (c *Core) modelNeed(model string) (notice.ModelNeedConfig, bool) {
	for _, list := range [][]notice.ModelNeedConfig{c.assign.Models(), c.assign.Others()} {
		for _, need := range list {
			if need.Name == model {
				return need, true
			}
		}
	}
	return notice.ModelNeedConfig{}, false
}
