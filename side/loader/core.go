// Package loader loads and unloads models and adapters on one backend server and
// accounts for its accelerator memory. No other process sends orders to this
// backend server.
//
// Memory is reserved before the order that uses it is sent. It is released only
// when the engine reports that the item is not loaded and no order can still load
// it: an order without an effect may be lost or only delayed. An engine that
// checks fencing numbers refuses a delayed order once it has accepted a higher
// number. With an engine that does not check them, the memory stays reserved until
// the longest delay of an order has passed.
package loader

import (
	"slices"
	"time"

	"sesamewell.example/commons/fleetstate"
)

// ordersPerClaim is the number of fencing numbers per claim. The fencing number
// of an order is the claim's epoch times ordersPerClaim plus the order's count
// within the claim.
const ordersPerClaim = 1 << 20

// servingRole is the role that a ConfirmRole order sets.
const servingRole = "serve"

// withheldRetryDelay is the time until an order that was not sent is issued again.
const withheldRetryDelay = 200 * time.Millisecond

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Backend       string        // name of the backend server
	Incarnation   string        // ID of this start of the side
	ClaimLease    time.Duration // longest time for which a holder acts on a superseded claim
	MaxOrderDelay time.Duration // longest time from sending an order until it takes effect
	OrderTTL      time.Duration // longest time from a decision until its order is sent
	RetryDelay    time.Duration // time after which an order without an effect is issued again
	PollPeriod    time.Duration // time between two polls of the engine
	AdoptionDelay time.Duration // time without a live copy after which a model is adopted: loaded here although not planned here
	IdleRetention time.Duration // time for which an undesired item stays loaded while its memory is not needed
	UnloadDelay   time.Duration // time from the last advertisement of an item until it is unloaded
	MaxModelLoads int           // maximum number of models that load at once
}

// Core decides on polls, claims and orders. It does no I/O itself; the Loader
// executes the actions that Handle and Tick return.
type Core struct {
	config          CoreConfig
	revision        *fleetstate.Revision
	backend         fleetstate.Backend
	liveInstances   []string // names of the live instances; empty while unknown
	ledger          *ledger
	engine          EngineState
	stateTime       time.Time // request time of the last state report; zero before the first
	polledAt        time.Time // time of the last PollState action
	claimProposedAt time.Time // time of the last TakeClaim action
	epoch           int64     // epoch of this core's claim; zero without a claim
	firstHolder     bool      // no process held the claim before
	claimedAt       time.Time // time at which this core obtained the claim; zero before
	orderCount      int64     // number of orders issued under the claim
	fenceRaisedAt   time.Time // time of the last order that only raises the engine's fencing number
	maxAdapterLoads int       // maximum number of adapters that load at once
	adoption        fleetstate.Failover
	orphanedSince   time.Time // time since which models to adopt have had no live copy; zero without any
}

// NewCore returns a core without a claim or a state of the engine.
func NewCore(config CoreConfig) *Core {
	return &Core{config: config, revision: fleetstate.InitialRevision(), ledger: newLedger()}
}

// Reserved returns the reserved accelerator memory in bytes.
func (c *Core) Reserved() int64 { return c.ledger.reserved() }

// Epoch returns the epoch of the claim that this core acts on, or zero if it holds
// none.
func (c *Core) Epoch() int64 { return c.epoch }

// Ready reports whether the engine has reported its state.
func (c *Core) Ready() bool { return !c.stateTime.IsZero() }

// Available returns the sorted names of the resident models and adapters that are
// not about to be unloaded.
func (c *Core) Available() []string {
	var names []string
	for _, name := range c.ledger.names() {
		if c.ledger.resident(name) && c.ledger.items[name].unadvertisedSince.IsZero() {
			names = append(names, name)
		}
	}
	return names
}

// Handle processes one message and returns the actions to execute.
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

// Tick returns the actions that are due at now.
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

// applyRevision applies a new revision of the fleet state. Once another process has
// taken the claim, this core never issues orders again.
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

// adapterShare returns how many adapters this backend server may load at once: its
// share of the number that the weight store serves at full speed, at least 1.
func adapterShare(inventory *fleetstate.Inventory) int {
	engines := 0
	for _, backend := range inventory.Backends() {
		if backend.TakesModels() {
			engines++
		}
	}
	return max(int(inventory.Store().FastAdapterLoads())/max(engines, 1), 1)
}

// proposeClaim requests the claim on the backend server. A core that has lost the
// claim does not take it back, because its successor is already running.
func (c *Core) proposeClaim(now time.Time) []Action {
	if !c.claimedAt.IsZero() || !c.claimProposedAt.IsZero() && now.Sub(c.claimProposedAt) < c.config.RetryDelay {
		return nil
	}
	current, ok := c.revision.Claim(fleetstate.BackendRole(c.config.Backend))
	c.firstHolder = !ok
	c.claimProposedAt = now
	return []Action{TakeClaim{epoch: current.Epoch()}}
}

// earlierOrdersDone reports whether no order of an earlier claim holder can still
// take effect. Until then, this core issues no order that uses memory, so that the
// earlier holder's orders in flight still fit as they did when they were issued.
func (c *Core) earlierOrdersDone() bool {
	if c.firstHolder {
		return true
	}
	if c.backend.Fencing() {
		return c.engine.Fence() >= c.epoch*ordersPerClaim
	}
	return c.stateTime.After(c.claimedAt.Add(c.config.ClaimLease + c.config.OrderTTL + c.config.MaxOrderDelay))
}

// raiseFence raises the engine's fencing number to one of this claim.
func (c *Core) raiseFence(now time.Time) []Action {
	if !c.backend.Fencing() || !c.fenceRaisedAt.IsZero() && now.Sub(c.fenceRaisedAt) < c.config.RetryDelay {
		return nil
	}
	c.fenceRaisedAt = now
	return []Action{c.newOrder(now, OrderConfig{Verb: ConfirmRole, Role: servingRole})}
}

// applyState applies a state report of the engine. A report that was requested
// before the last applied one is dropped.
func (c *Core) applyState(m StateReported) {
	if m.requestedAt.Before(c.stateTime) {
		return
	}
	c.stateTime, c.engine = m.requestedAt, m.state
	c.ledger.applyState(m.state, c.loadOrdersDone)
}

// rescheduleWithheld schedules an order that was not sent for an early retry,
// because the proof of a new fleet state arrives shortly after the state itself.
func (c *Core) rescheduleWithheld(now time.Time, order Order) {
	if i, ok := c.ledger.items[order.Name()]; ok {
		i.lastOrderAt = now.Add(withheldRetryDelay - c.config.RetryDelay)
	}
}

// loadOrdersDone reports whether no order to load an item can still take effect.
func (c *Core) loadOrdersDone(i *item) bool {
	if i.loadFence == 0 {
		return true
	}
	if c.backend.Fencing() && c.engine.Fence() > i.loadFence {
		return true
	}
	return c.stateTime.After(i.loadExpiry.Add(c.config.MaxOrderDelay))
}

// reconcile returns the orders that bring the engine closer to the desired state.
// Items that are not desired are unloaded when their memory is needed, otherwise
// after IdleRetention.
func (c *Core) reconcile(now time.Time) []Action {
	desired := c.desiredItems(now)
	loads, blocked := c.loadOrders(now, desired)
	return append(c.unloadOrders(now, desired, blocked), loads...)
}

// desiredItem is a model or adapter that should be loaded. base is the model of an
// adapter.
type desiredItem struct {
	name  string
	base  string
	bytes int64
}

// desiredItems returns the items that should be loaded, models before adapters.
func (c *Core) desiredItems(now time.Time) []desiredItem {
	inventory := c.revision.Inventory()
	var desired []desiredItem
	for _, name := range c.desiredModels(now) {
		if model, ok := inventory.Model(name); ok {
			desired = append(desired, desiredItem{name: name, bytes: model.Memory() + model.Cache()})
		}
	}
	models := len(desired)
	for _, adapter := range inventory.Adapters() {
		isBase := func(d desiredItem) bool { return d.name == adapter.Model() }
		if slices.ContainsFunc(desired[:models], isBase) {
			desired = append(desired, desiredItem{name: adapter.Name(), base: adapter.Model(), bytes: adapter.Memory()})
		}
	}
	return desired
}

// updateAdoption computes which models without a live copy this backend server
// has to load.
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

// desiredModels returns the planned models and, after AdoptionDelay, the adopted
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

// loadOrders returns orders to load the desired items that fit beside all reserved
// memory. blocked reports whether an item did not fit.
func (c *Core) loadOrders(now time.Time, desired []desiredItem) (actions []Action, blocked bool) {
	for _, d := range desired {
		i := c.ledger.items[d.name]
		if i != nil {
			i.idleSince, i.unadvertisedSince = time.Time{}, time.Time{}
		}
		if i != nil && (i.phase != "" || !c.mayOrder(now, i)) || i == nil && !c.mayStartLoad(d) {
			continue
		}
		if i = c.reserve(d); i == nil {
			blocked = true
			continue
		}
		order := c.newOrder(now, OrderConfig{Verb: Load, Name: d.name, Base: d.base, Bytes: d.bytes})
		i.base, i.lastOrderAt, i.loadFence, i.loadExpiry = d.base, now, order.Fence(), order.Expiry()
		actions = append(actions, order)
	}
	return actions, blocked
}

// mayStartLoad reports whether the load of an item may start: an adapter after its
// model, and no more models or adapters at once than their limits allow.
func (c *Core) mayStartLoad(d desiredItem) bool {
	if d.base == "" {
		return c.countLoading(false) < c.config.MaxModelLoads
	}
	return c.ledger.resident(d.base) && c.countLoading(true) < c.maxAdapterLoads
}

// reserve reserves the memory of a load and returns its item, or nil if there is
// not enough memory.
func (c *Core) reserve(d desiredItem) *item {
	i, ok := c.ledger.items[d.name]
	if !ok {
		i = &item{name: d.name}
	}
	if c.ledger.reserved()+max(d.bytes-i.bytes, 0) > c.backend.Memory() {
		return nil
	}
	i.bytes = max(i.bytes, d.bytes)
	c.ledger.items[d.name] = i
	return i
}

// unloadOrders returns orders to unload the items that are not desired, adapters
// first.
func (c *Core) unloadOrders(now time.Time, desired []desiredItem, blocked bool) []Action {
	keep := make(map[string]bool, len(desired))
	for _, d := range desired {
		keep[d.name] = true
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

// mayUnload marks an undesired item as idle, then as no longer advertised, and
// reports whether its unload order is due.
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

// countLoading returns the number of models, or of adapters, in the ledger that
// are not resident.
func (c *Core) countLoading(adapters bool) int {
	n := 0
	for _, i := range c.ledger.items {
		if (i.base != "") == adapters && i.phase != Resident {
			n++
		}
	}
	return n
}

// mayOrder reports whether no order for the item was issued within RetryDelay.
func (c *Core) mayOrder(now time.Time, i *item) bool {
	return i.lastOrderAt.IsZero() || now.Sub(i.lastOrderAt) >= c.config.RetryDelay
}

// newOrder returns an order with the next fencing number.
func (c *Core) newOrder(now time.Time, config OrderConfig) Order {
	c.orderCount++
	config.Fence = c.epoch*ordersPerClaim + c.orderCount
	config.StateOffset = c.revision.StateOffset()
	config.Expiry = now.Add(c.config.OrderTTL)
	return Order{config: config}
}
