// Package loader loads and unloads models and adapters on one backend server: the
// models of the plan and the adapters that requests need. No other process sends
// orders to this backend server.
//
// An order carries the number of orders that the engine had accepted when it was
// sent. The engine refuses it if the number has changed, so that of several orders
// with the same number at most one is executed at one start of the engine, however late
// it arrives. The next start counts anew: an order without an answer may be executed
// there, so that no order is sent that would leave no room for it.
package loader

import (
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	PollPeriod      time.Duration // time between two polls of an idle engine
	FetchPollPeriod time.Duration // time between two polls while requests wait for adapters
	AdapterLease    time.Duration // time for which a requested adapter stays loaded
	FetchTimeout    time.Duration // longest time for which a request waits for an adapter, from the lobby's decision on
	PlannerTimeout  time.Duration // time without a plan after which that of another planner is accepted
	MaxOrderDelay   time.Duration // longest time after which an order without an answer is executed
}

// Core decides on polls, orders and replies. It does no I/O.
type Core struct {
	config       CoreConfig
	assign       protocol.Assign
	assignedAt   time.Time // time of the last accepted plan; zero before the first
	engine       engineState
	stateKnown   bool // the engine has reported its state at least once
	polledAt     time.Time
	pollPending  bool                 // the last poll has no answer yet
	orderPending bool                 // the last order has no answer yet
	stale        bool                 // the state may lack effects of the last order
	due          time.Time            // time of the next decision that no message brings; zero for none
	pausedUntil  time.Time            // the engine wants no calls until then; zero before its first refusal
	leases       map[string]time.Time // end of each adapter's lease, by MODEL/NAME
	unloads      unloads
	lateOrders   lateOrders
	waiters      []waiter
	actions      []Action
}

// NewCore returns a core without a plan or a state of the engine.
func NewCore(config CoreConfig) *Core {
	return &Core{config: config, leases: make(map[string]time.Time), unloads: make(unloads), lateOrders: make(lateOrders)}
}

// Handle processes one message and returns the actions to execute.
func (c *Core) Handle(now time.Time, message Message) []Action {
	c.actions = nil
	switch m := message.(type) {
	case PlanAssigned:
		c.setPlan(now, m.assign)
	case AdapterRequested:
		c.waiters = append(c.waiters, waiter{fetch: m.fetch, reply: m.reply, deadline: now.Add(c.config.FetchTimeout - m.fetch.Age())})
	case StateReported:
		c.pollPending = false
		c.updateState(now, m.state)
	case EnginePaused:
		c.pausedUntil = now.Add(min(m.wait, maxPause))
	case StateUnavailable:
		c.pollPending = false
	case OrderAnswered:
		c.handleAnswer(now, m)
	}
	c.decide(now)
	return c.actions
}

// Tick returns the actions that are due at the given time.
func (c *Core) Tick(now time.Time) []Action {
	c.actions = nil
	c.decide(now)
	return c.actions
}

// Alarm returns the time at which Tick must be called, or the zero time if the core waits
// only for messages.
func (c *Core) Alarm() time.Time { return c.due }

// setPlan replaces the plan. Of two lobbies that plan at once, the one with the
// lower address has precedence until it has sent no plan for PlannerTimeout.
func (c *Core) setPlan(now time.Time, assign protocol.Assign) {
	if now.Sub(c.assignedAt) < c.config.PlannerTimeout && assign.Planner() > c.assign.Planner() {
		return
	}
	c.assign, c.assignedAt = assign, now
	if c.stateKnown && assign.StartTime() > c.engine.startTime {
		c.pausedUntil = time.Time{} // the engine has started again since it refused
	}
}

// updateState replaces the state of the engine by a new report.
func (c *Core) updateState(now time.Time, state deployment.EngineState) {
	if !c.stateKnown {
		c.leaseAll(now, state.Holdings())
	}
	if c.stateKnown && state.StartTime() != c.engine.startTime {
		clear(c.leases) // a restarted engine has lost its adapters
		clear(c.unloads)
	}
	if !c.stateKnown || state.StartTime() != c.engine.startTime {
		c.lateOrders.expire(now)
		c.actions = append(c.actions, ReportStart{state: state, lateOrders: c.lateOrders.numbers()})
	}
	c.engine, c.stateKnown, c.stale = newEngineState(state), true, c.orderPending
	c.unloads.update(c.engine, c.orderPending)
	c.forgetLeases(now)
}

// handleAnswer records the result of an order. What the engine does after it has started
// an order for an adapter is known; in all other cases it is polled again.
func (c *Core) handleAnswer(now time.Time, m OrderAnswered) {
	c.orderPending = false
	if m.result == deployment.OrderUnanswered {
		c.lateOrders.add(m.order.ExpectedOrders(), c.roomOf(m.order), now.Add(c.config.MaxOrderDelay))
	}
	c.unloads.answered(m.order, m.result)
	if m.result != deployment.OrderStarted || m.order.ExpectedOrders() != c.engine.orders || m.order.Adapter() == "" {
		c.stale, c.polledAt = true, time.Time{}
		return
	}
	c.engine.apply(m.order)
}

// decide answers waiting requests, polls the engine if due and sends the next
// order. It sends none while the state is unknown or stale, another order is
// pending, or the plan is for another start of the engine.
func (c *Core) decide(now time.Time) {
	c.lateOrders.expire(now)
	c.answerWaiters(now)
	if now.Before(c.pausedUntil) {
		c.due = c.pausedUntil
		return
	}
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
	c.due = c.nextDue(period)
	if !c.stateKnown || c.orderPending || c.stale || c.assign.StartTime() != c.engine.startTime {
		return
	}
	if order, ok := c.nextOrder(now); ok {
		c.orderPending = true
		c.unloads.sent(now, order)
		c.actions = append(c.actions, ExecuteOrder{order: order})
	}
}

// nextDue returns the time of the next poll. While the last one has no answer it returns the
// time at which the first wait for an adapter ends, zero if nothing waits.
func (c *Core) nextDue(period time.Duration) time.Time {
	if !c.pollPending {
		return c.polledAt.Add(period)
	}
	var due time.Time
	for _, w := range c.waiters {
		if due.IsZero() || w.deadline.Before(due) {
			due = w.deadline
		}
	}
	return due
}

// nextOrder returns the next order: for adapters that requests wait for, then for
// models of the plan.
func (c *Core) nextOrder(now time.Time) (deployment.Order, bool) {
	if order, ok := c.adapterOrder(now); ok {
		return order, true
	}
	if c.engine.busy {
		return deployment.Order{}, false
	}
	return c.modelOrder()
}

// modelOrder returns an order that loads the first missing model of the plan, or
// unloads another one to make room for it.
func (c *Core) modelOrder() (deployment.Order, bool) {
	for _, size := range c.assign.Models() {
		if c.engine.holdings.Contains(size.Name, "") {
			continue
		}
		order := c.newOrder(deployment.OrderConfig{Model: size.Name})
		if !c.leavesRoom(c.roomOf(order), 1) {
			return c.unloadOrder()
		}
		return order, true
	}
	return deployment.Order{}, false
}

// unloadOrder returns an order that unloads a model that is not in the plan.
func (c *Core) unloadOrder() (deployment.Order, bool) {
	for _, holding := range c.engine.holdings {
		planned := slices.ContainsFunc(c.assign.Models(), func(size protocol.ModelSizeConfig) bool { return size.Name == holding.Model() })
		if !planned {
			return c.newOrder(deployment.OrderConfig{Unload: true, Model: holding.Model()}), c.leavesRoom(room{}, 1)
		}
	}
	return deployment.Order{}, false
}

// newOrder returns an order that the engine accepts only if it has accepted no
// other since the known state.
func (c *Core) newOrder(config deployment.OrderConfig) deployment.Order {
	config.Backend, config.ExpectedOrders = c.assign.Backend(), c.engine.orders
	return deployment.NewOrder(config)
}

// leavesRoom reports whether the engine has room for an item, and beside it for the late
// orders that it may execute after each of the given number of next orders. An order to
// unload is checked too: it frees its room only when the item's runs have ended.
func (c *Core) leavesRoom(needed room, orders int64) bool {
	for n := int64(1); n <= orders; n++ {
		if !c.hasRoom(needed.plus(c.lateOrders.roomFrom(c.engine.orders + n))) {
			return false
		}
	}
	return true
}

// hasRoom reports whether the engine has room for an item.
func (c *Core) hasRoom(needed room) bool {
	used := room{memory: c.reservedMemory(), adapters: c.engine.usedAdapterSlots()}
	return needed.fits(used, room{memory: c.assign.Memory(), adapters: c.assign.AdapterSlots()})
}

// roomOf returns the room that an order takes. A model of unknown size takes the whole
// memory.
func (c *Core) roomOf(order deployment.Order) room {
	size, ok := c.modelSize(order.Model())
	switch {
	case order.Unload():
		return room{}
	case !ok:
		return room{memory: c.assign.Memory(), adapters: 1}
	case order.Adapter() != "":
		return room{memory: size.AdapterMB, adapters: 1}
	default:
		return room{memory: size.WeightsMB}
	}
}

// reservedMemory returns the MB that are in use, including adapters being loaded.
// A model of unknown size counts as the whole memory.
func (c *Core) reservedMemory() float64 {
	sum := 0.0
	for _, holding := range c.engine.holdings {
		size, ok := c.modelSize(holding.Model())
		if !ok {
			return c.assign.Memory()
		}
		sum += size.WeightsMB + float64(len(holding.Adapters()))*size.AdapterMB
	}
	for _, name := range c.engine.loading {
		model, _, _ := strings.Cut(name, "/")
		size, _ := c.modelSize(model)
		sum += size.AdapterMB
	}
	return sum
}

// modelSize returns the sizes of a model and of its adapters. It returns false for
// a model that is not in the plan's lists.
func (c *Core) modelSize(model string) (protocol.ModelSizeConfig, bool) {
	for _, list := range [][]protocol.ModelSizeConfig{c.assign.Models(), c.assign.Others()} {
		for _, size := range list {
			if size.Name == model {
				return size, true
			}
		}
	}
	return protocol.ModelSizeConfig{}, false
}
