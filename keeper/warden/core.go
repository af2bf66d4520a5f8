// Package warden gives the orders of one backend server: it loads the models
// that the plan names and the adapters that requests need, and is the only one
// that orders this backend server.
//
// An order names the number of orders that the engine had accepted when it was
// given, so that of several orders given at the same number at most one is ever
// carried out, however late it arrives.
package warden

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
	Look     time.Duration // between two looks at an engine at rest
	Watch    time.Duration // between two looks at an engine that loads
	Lease    time.Duration // for which an adapter that was asked for stays
	Patience time.Duration // for which a lobby waits for an adapter
	Silence  time.Duration // of a planner, after which another one's plan is taken
}

// Core is responsible for every decision of the warden. It does no input or
// output.
type Core struct {
	config   CoreConfig
	assign   notice.Assign
	assigned time.Time // zero before the first plan
	stock    stock
	seen     bool
	looked   time.Time
	looking  bool // a look has no answer yet
	pending  bool // an order has no answer yet
	blind    bool // the state is older than the last order
	due      time.Time
	leases   map[string]time.Time // by MODEL/NAME
	waiting  []waiter
	actions  []Action
}

// waiter is a lobby that waits for an adapter.
type waiter struct {
	fetch notice.Fetch
	reply *ring.Ring
	until time.Time
}

// NewCore returns a core that knows nothing of its engine.
func NewCore(config CoreConfig) *Core {
	return &Core{config: config, leases: make(map[string]time.Time)}
}

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	c.actions = nil
	switch m := message.(type) {
	case Assigned:
		c.take(now, m.assign)
	case Wanted:
		c.waiting = append(c.waiting, waiter{fetch: m.fetch, reply: m.reply, until: now.Add(c.config.Patience)})
	case Reported:
		c.looking = false
		c.report(m.state)
	case Silent:
		c.looking = false
	case Answered:
		c.answer(m)
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
func (c *Core) take(now time.Time, assign notice.Assign) {
	if now.Sub(c.assigned) < c.config.Silence && assign.Planner() > c.assign.Planner() {
		return
	}
	c.assign, c.assigned = assign, now
}

func (c *Core) report(state charter.State) {
	if c.seen && state.Born() != c.stock.born {
		clear(c.leases) // a new start holds nothing of before
	}
	c.stock, c.seen, c.blind = newStock(state), true, c.pending
}

// answer notes what became of an order. What the engine took is seen in its
// next report; what an adapter's order does is known at once.
func (c *Core) answer(m Answered) {
	c.pending = false
	if !m.known || !m.taken || m.order.Expect() != c.stock.orders || m.order.Adapter() == "" {
		c.blind, c.looked = true, time.Time{}
		return
	}
	c.stock.took(m.order)
}

func (c *Core) decide(now time.Time) {
	c.serve(now)
	period := c.config.Look
	switch {
	case len(c.waiting) > 0:
		period = c.config.Watch
	case c.stock.busy || !c.seen || c.blind:
		period = min(c.config.Look, busyWatch)
	}
	if now.Sub(c.looked) >= period && !c.looking {
		c.looked, c.looking = now, true
		c.actions = append(c.actions, Look{})
	}
	c.due = c.looked.Add(period)
	if !c.seen || c.pending || c.blind || c.assign.Born() != c.stock.born {
		return
	}
	if order, ok := c.next(now); ok {
		c.pending = true
		c.actions = append(c.actions, Give{order: order})
	}
}

// serve answers the lobbies whose adapter is there, or will not be in time.
func (c *Core) serve(now time.Time) {
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		switch {
		case c.stock.holdings.Have(w.fetch.Model(), w.fetch.Adapter()):
			c.leases[key(w.fetch.Model(), w.fetch.Adapter())] = now.Add(c.config.Lease)
			c.reply(w, c.config.Lease)
		case !now.Before(w.until), c.seen && c.hopeless(w.fetch):
			c.reply(w, 0)
		default:
			kept = append(kept, w)
		}
	}
	c.waiting = kept
}

// hopeless reports whether an adapter cannot be there in time: its model is
// missing, or the engine takes no order until it has loaded a model.
func (c *Core) hopeless(fetch notice.Fetch) bool {
	return !c.stock.holdings.Have(fetch.Model(), "") || c.stock.busy && !c.stock.awaits(fetch.Model(), fetch.Adapter())
}

func (c *Core) reply(w waiter, kept time.Duration) {
	c.actions = append(c.actions, Reply{to: w.reply, fetched: notice.NewFetched(notice.FetchedConfig{Kept: kept})})
}

// next returns the order that is due first: adapters that lobbies wait for,
// then models.
func (c *Core) next(now time.Time) (charter.Order, bool) {
	for _, w := range c.waiting {
		if order, ok := c.adapter(now, w.fetch); ok {
			return order, true
		}
	}
	if c.stock.busy {
		return charter.Order{}, false
	}
	return c.model()
}

// adapter returns the order that brings an adapter closer: its own, or one that
// makes room.
func (c *Core) adapter(now time.Time, fetch notice.Fetch) (charter.Order, bool) {
	if c.stock.holdings.Have(fetch.Model(), fetch.Adapter()) || c.stock.awaits(fetch.Model(), fetch.Adapter()) || !c.stock.holdings.Have(fetch.Model(), "") {
		return charter.Order{}, false
	}
	need, ok := c.need(fetch.Model())
	if !ok {
		return charter.Order{}, false
	}
	if c.stock.places() < c.assign.Places() && c.reserved()+need.Adapter <= c.assign.Memory() {
		return c.order(charter.OrderConfig{Model: fetch.Model(), Adapter: fetch.Adapter()}), len(c.stock.coming) < maxComing
	}
	model, name, ok := c.oldest(now)
	return c.order(charter.OrderConfig{Unload: true, Model: model, Adapter: name}), ok
}

// oldest returns the adapter whose lease ended first.
func (c *Core) oldest(now time.Time) (model, adapter string, found bool) {
	var first time.Time
	for _, holding := range c.stock.holdings {
		for _, name := range holding.Adapters() {
			until := c.leases[key(holding.Model(), name)]
			if now.Before(until) || found && !until.Before(first) {
				continue
			}
			model, adapter, found, first = holding.Model(), name, true, until
		}
	}
	return model, adapter, found
}

// model returns the order that brings the models closer to the plan.
func (c *Core) model() (charter.Order, bool) {
	for _, need := range c.assign.Models() {
		if c.stock.holdings.Have(need.Name, "") {
			continue
		}
		if c.reserved()+need.Memory > c.assign.Memory() {
			return c.surplus()
		}
		return c.order(charter.OrderConfig{Model: need.Name}), true
	}
	return charter.Order{}, false
}

// surplus returns the order to unload a model that the plan does not name.
func (c *Core) surplus() (charter.Order, bool) {
	for _, holding := range c.stock.holdings {
		planned := slices.ContainsFunc(c.assign.Models(), func(need notice.ModelNeedConfig) bool { return need.Name == holding.Model() })
		if !planned {
			return c.order(charter.OrderConfig{Unload: true, Model: holding.Model()}), true
		}
	}
	return charter.Order{}, false
}

// order returns an order that the engine takes only if no other has come before.
func (c *Core) order(config charter.OrderConfig) charter.Order {
	config.Backend, config.Expect = c.assign.Backend(), c.stock.orders
	return charter.NewOrder(config)
}

// reserved returns the MB that are taken, adapters on their way included. A
// model of unknown size counts as all memory.
func (c *Core) reserved() float64 {
	sum := 0.0
	for _, holding := range c.stock.holdings {
		need, ok := c.need(holding.Model())
		if !ok {
			return c.assign.Memory()
		}
		sum += need.Memory + float64(len(holding.Adapters()))*need.Adapter
	}
	for _, name := range c.stock.coming {
		model, _, _ := strings.Cut(name, "/")
		need, _ := c.need(model)
		sum += need.Adapter
	}
	return sum
}

func (c *Core) need(model string) (notice.ModelNeedConfig, bool) {
	for _, list := range [][]notice.ModelNeedConfig{c.assign.Models(), c.assign.Others()} {
		for _, need := range list {
			if need.Name == model {
				return need, true
			}
		}
	}
	return notice.ModelNeedConfig{}, false
}
