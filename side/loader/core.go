// Package hall gives the orders of one backend server and keeps the ledger of
// its accelerator memory: the one writer of what the engine holds.
//
// Memory is reserved before the order that uses it, and given up only when the
// engine's own report shows that nothing holds it and no order can still bring
// it back. An order that has not taken effect may be lost or only late. An
// engine that checks fencing numbers refuses it once it has taken a higher
// number. With an engine that does not, it counts until the longest delay of an
// order is over.
package loader

import (
	"slices"
	"time"

	"sesamewell.example/commons/fleetstate"
)

// ordersPerClaim is the number of fencing numbers that belong to one claim:
// an order's number is the claim's epoch times this, plus the order's own.
const ordersPerClaim = 1 << 20

// servingRole is the role that an engine is told to have.
const servingRole = "serve"

// withheldRetry is the time until an order that was not sent is given again.
const withheldRetryDelay = 200 * time.Millisecond

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Backend       string        // name of the backend server
	Incarnation   string        // unique to this start of the side
	ClaimLease    time.Duration // longest time for which a holder acts on a claim that was superseded
	MaxOrderDelay time.Duration // longest time from sending an order until it takes effect
	OrderTTL      time.Duration // longest time from a decision until its order is sent
	RetryInterval time.Duration // time until an order without effect is given again
	PollPeriod    time.Duration // time between two looks at the engine
	AdoptionDelay time.Duration // time for which a model is left without a live copy
	IdleRetention time.Duration // time for which what is no longer wanted stays while nothing needs its memory
	UnloadDelay   time.Duration // time from the last advertisement of a model until it is unloaded
	MaxModelLoads int           // models loaded at once
}

// Core is responsible for every decision of the hall. It does no input or
// output; its duty carries out the actions that Handle and Tick return.
type Core struct {
	config          CoreConfig
	revision        *fleetstate.Revision
	backend         fleetstate.Backend
	liveInstances   []string // instances; empty while unknown
	ledger          *ledger
	engine          EngineState
	stateTime       time.Time // of the last report
	polledAt        time.Time // of the last action Look
	claimProposedAt time.Time // of the last action TakeClaim
	epoch           int64     // of the own claim, zero without
	firstHolder     bool      // nobody held a claim before
	claimedAt       time.Time // the claim's beginning
	orderCount      int64
	fenceRaisedAt   time.Time // of the last order that only brings a fencing number
	maxAdapterLoads int       // loaded at once
	adoption        fleetstate.Failover
	orphanedSince   time.Time // since when models have been without a live copy
}

// NewCore returns a core that knows nothing of its engine.
func NewCore(config CoreConfig) *Core {
	return &Core{config: config, revision: fleetstate.InitialRevision(), ledger: newLedger()}
}

// Reserved returns the bytes that the ledger counts.
func (c *Core) Reserved() int64 { return c.ledger.reserved() }

// Epoch returns the epoch of the claim that this core acts on, zero if none.
func (c *Core) Epoch() int64 { return c.epoch }

// Ready reports whether the engine has been seen.
func (c *Core) Ready() bool { return !c.stateTime.IsZero() }

// Holds returns what the engine can run requests for and is not about to
// unload, in the order of the names.
func (c *Core) Available() []string {
	var names []string
	for _, name := range c.ledger.names() {
		if c.ledger.resident(name) && c.ledger.items[name].unadvertisedSince.IsZero() {
			names = append(names, name)
		}
	}
	return names
}

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case RevisionChanged:
		c.applyRevision(now, m.revision)
		c.updateAdoption(now)
	case InstancesListed:
		c.liveInstances = m.instances
		c.updateAdoption(now)
	case StateReported:
		c.applyState(m)
	case OrderWithheld:
		c.rescheduleWithheld(now, m.order)
		return nil
	}
	return c.Tick(now)
}

// Tick returns what is due.
func (c *Core) Tick(now time.Time) []Action {
	var actions []Action
	if now.Sub(c.polledAt) >= c.config.PollPeriod {
		c.polledAt = now
		actions = append(actions, PollState{})
	}
	if !c.backend.TakesModels() || c.stateTime.IsZero() {
		return actions
	}
	if c.epoch == 0 {
		return append(actions, c.proposeClaim(now)...)
	}
	if !c.earlierOrdersDone() {
		return append(actions, c.raiseFence(now)...)
	}
	return append(actions, c.reconcile(now)...)
}

// revise takes a new state of the register over. A claim that another process
// took ends the right to give orders for good.
func (c *Core) applyRevision(now time.Time, revision *fleetstate.Revision) {
	c.revision = revision
	c.backend, _ = revision.Inventory().Backend(c.config.Backend)
	c.maxAdapterLoads = adapterShare(revision.Inventory())
	claim, _ := revision.Claim(fleetstate.BackendRole(c.config.Backend))
	switch {
	case claim.Holder() != c.config.Incarnation:
		c.epoch = 0
	case c.epoch == 0:
		c.epoch, c.claimedAt, c.orderCount = claim.Epoch(), now, 0
	}
}

// adapterShare returns the backend server's share of the adapters that the
// weight store serves at full speed.
func adapterShare(inventory *fleetstate.Inventory) int {
	engines := 0
	for _, backend := range inventory.Backends() {
		if backend.TakesModels() {
			engines++
		}
	}
	return max(int(inventory.Store().FastAdapterLoads())/max(engines, 1), 1)
}

// claim asks for the claim on the backend server. A process that held it and
// lost it does not take it back: its successor is at work.
func (c *Core) proposeClaim(now time.Time) []Action {
	if !c.claimedAt.IsZero() || !c.claimProposedAt.IsZero() && now.Sub(c.claimProposedAt) < c.config.RetryInterval {
		return nil
	}
	standing, ok := c.revision.Claim(fleetstate.BackendRole(c.config.Backend))
	c.firstHolder = !ok
	c.claimProposedAt = now
	return []Action{TakeClaim{epoch: standing.Epoch()}}
}

// settled reports whether no order of an earlier holder can still take effect.
// Until then this holder gives no order that takes memory, so that whatever the
// earlier one has in flight fits as it did when it was given.
func (c *Core) earlierOrdersDone() bool {
	if c.firstHolder {
		return true
	}
	if c.backend.Fencing() {
		return c.engine.Fence() >= c.epoch*ordersPerClaim
	}
	return c.stateTime.After(c.claimedAt.Add(c.config.ClaimLease + c.config.OrderTTL + c.config.MaxOrderDelay))
}

// raise brings the engine a fencing number of this claim.
func (c *Core) raiseFence(now time.Time) []Action {
	if !c.backend.Fencing() || !c.fenceRaisedAt.IsZero() && now.Sub(c.fenceRaisedAt) < c.config.RetryInterval {
		return nil
	}
	c.fenceRaisedAt = now
	return []Action{c.newOrder(now, OrderConfig{Verb: ConfirmRole, Role: servingRole})}
}

// report takes over the engine's state. Reports that were asked for before the
// last one are dropped.
func (c *Core) applyState(m StateReported) {
	if m.requestedAt.Before(c.stateTime) {
		return
	}
	c.stateTime, c.engine = m.requestedAt, m.state
	c.ledger.applyState(m.state, c.loadOrdersDone)
}

// withheld makes the item of an order that was not sent due again soon. A new
// state of the register is proven a moment after the hall is told of it.
func (c *Core) rescheduleWithheld(now time.Time, order Order) {
	if i, ok := c.ledger.items[order.Name()]; ok {
		i.lastOrderAt = now.Add(withheldRetryDelay - c.config.RetryInterval)
	}
}

// gone reports whether no order to load an item can still take effect.
func (c *Core) loadOrdersDone(i *item) bool {
	if i.loadFence == 0 {
		return true
	}
	if c.backend.Fencing() && c.engine.Fence() > i.loadFence {
		return true
	}
	return c.stateTime.After(i.loadExpiry.Add(c.config.MaxOrderDelay))
}

// order returns the orders that bring the engine closer to the plan. What is
// not wanted leaves when its memory is needed, else after a while.
func (c *Core) reconcile(now time.Time) []Action {
	wanted := c.desiredItems(now)
	loads, blocked := c.loadOrders(now, wanted)
	return append(c.unloadOrders(now, wanted, blocked), loads...)
}

// want is one model or adapter that the engine shall hold.
type desiredItem struct {
	name  string
	base  string
	bytes int64
}

// wanted returns what the engine shall hold: models before adapters.
func (c *Core) desiredItems(now time.Time) []desiredItem {
	inventory := c.revision.Inventory()
	var wanted []desiredItem
	for _, name := range c.desiredModels(now) {
		if model, ok := inventory.Model(name); ok {
			wanted = append(wanted, desiredItem{name: name, bytes: model.Memory() + model.Cache()})
		}
	}
	models := len(wanted)
	for _, adapter := range inventory.Adapters() {
		beside := func(w desiredItem) bool { return w.name == adapter.Model() }
		if slices.ContainsFunc(wanted[:models], beside) {
			wanted = append(wanted, desiredItem{name: adapter.Name(), base: adapter.Model(), bytes: adapter.Memory()})
		}
	}
	return wanted
}

// adopt works out which models without a live copy fall to this backend server.
func (c *Core) updateAdoption(now time.Time) {
	if len(c.liveInstances) == 0 {
		return
	}
	live := map[string]bool{c.config.Backend: true}
	for _, name := range c.liveInstances {
		if instance, ok := c.revision.Inventory().Instance(name); ok {
			live[instance.Backend()] = true
		}
	}
	c.adoption = fleetstate.PlanFailover(c.revision.Inventory(), c.revision.Plan(), live)
	switch {
	case len(c.adoption.Added(c.config.Backend)) == 0:
		c.orphanedSince = time.Time{}
	case c.orphanedSince.IsZero():
		c.orphanedSince = now
	}
}

// models returns the planned models and, once the grace is over, the adopted
// ones.
func (c *Core) desiredModels(now time.Time) []string {
	planned := c.revision.Plan().Models(c.config.Backend)
	if c.orphanedSince.IsZero() || now.Sub(c.orphanedSince) < c.config.AdoptionDelay {
		return planned
	}
	dropped := c.adoption.Dropped(c.config.Backend)
	kept := slices.DeleteFunc(slices.Clone(planned), func(model string) bool { return slices.Contains(dropped, model) })
	return append(kept, c.adoption.Added(c.config.Backend)...)
}

// load orders what is wanted and fits beside everything that is counted. It
// reports whether something does not fit.
func (c *Core) loadOrders(now time.Time, wanted []desiredItem) (actions []Action, blocked bool) {
	for _, w := range wanted {
		i := c.ledger.items[w.name]
		if i != nil {
			i.idleSince, i.unadvertisedSince = time.Time{}, time.Time{}
		}
		if i != nil && (i.phase != "" || !c.mayOrder(now, i)) || i == nil && !c.mayStartLoad(w) {
			continue
		}
		if i = c.reserve(w); i == nil {
			blocked = true
			continue
		}
		order := c.newOrder(now, OrderConfig{Verb: Load, Name: w.name, Base: w.base, Bytes: w.bytes})
		i.base, i.lastOrderAt, i.loadFence, i.loadExpiry = w.base, now, order.Fence(), order.Expiry()
		actions = append(actions, order)
	}
	return actions, blocked
}

// mayBegin reports whether another load may begin: adapters after their model,
// and no more of either at once than the settings allow.
func (c *Core) mayStartLoad(w desiredItem) bool {
	if w.base == "" {
		return c.countLoading(false) < c.config.MaxModelLoads
	}
	return c.ledger.resident(w.base) && c.countLoading(true) < c.maxAdapterLoads
}

// reserve counts the bytes of a load and returns its item, or nil when the
// memory does not suffice.
func (c *Core) reserve(w desiredItem) *item {
	i, ok := c.ledger.items[w.name]
	if !ok {
		i = &item{name: w.name}
	}
	if c.ledger.reserved()+max(w.bytes-i.bytes, 0) > c.backend.Memory() {
		return nil
	}
	i.bytes = max(i.bytes, w.bytes)
	c.ledger.items[w.name] = i
	return i
}

// unload orders what is not wanted out of memory, adapters first.
func (c *Core) unloadOrders(now time.Time, wanted []desiredItem, blocked bool) []Action {
	keep := make(map[string]bool, len(wanted))
	for _, w := range wanted {
		keep[w.name] = true
	}
	var actions, models []Action
	for _, name := range c.ledger.names() {
		i := c.ledger.items[name]
		if keep[name] || !c.mayUnload(now, i, blocked) {
			continue
		}
		i.lastOrderAt = now
		order := c.newOrder(now, OrderConfig{Verb: Unload, Name: i.name, Base: i.base})
		if i.base == "" {
			models = append(models, order)
		} else {
			actions = append(actions, order)
		}
	}
	return append(actions, models...)
}

// mayUnload marks an unwanted item as idle, then as leaving, and reports
// whether its order is due.
func (c *Core) mayUnload(now time.Time, i *item, blocked bool) bool {
	if i.idleSince.IsZero() {
		i.idleSince = now
	}
	if !blocked && now.Sub(i.idleSince) < c.config.IdleRetention {
		return false
	}
	if i.unadvertisedSince.IsZero() {
		i.unadvertisedSince = now
	}
	if i.phase == Resident && now.Sub(i.unadvertisedSince) < c.config.UnloadDelay {
		return false
	}
	return c.mayOrder(now, i)
}

// loading returns the number of models, or of adapters, that are counted but
// not resident.
func (c *Core) countLoading(adapters bool) int {
	n := 0
	for _, i := range c.ledger.items {
		if (i.base != "") == adapters && i.phase != Resident {
			n++
		}
	}
	return n
}

// due reports whether no order about the item was given lately.
func (c *Core) mayOrder(now time.Time, i *item) bool {
	return i.lastOrderAt.IsZero() || now.Sub(i.lastOrderAt) >= c.config.RetryInterval
}

// newOrder returns an order with the next fencing number.
func (c *Core) newOrder(now time.Time, config OrderConfig) Order {
	c.orderCount++
	config.Fence = c.epoch*ordersPerClaim + c.orderCount
	config.StateOffset = c.revision.StateOffset()
	config.Expiry = now.Add(c.config.OrderTTL)
	return Order{config: config}
}
