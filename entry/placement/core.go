// Package placement decides which backend server holds which model. Of all
// entries, only the holder of the planner's claim in the log plans. The others
// poll it, and one of them takes over the claim when it stops answering.
package placement

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/protocol"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Instance        string        // name of this entry in the inventory
	Incarnation     string        // unique to this start of the planner's thread; begins with "Instance/"
	TakeoverTimeout time.Duration // time without an answer after which another entry takes over the claim
	BackendTimeout  time.Duration // time without an answer after which a backend server counts as down
	BackendExpiry   time.Duration // time without an answer after which its copies no longer count
	Period          time.Duration // time between two decisions, and between two polls of a process that is waited for
	IdlePollPeriod  time.Duration // time between two polls of a backend server that loads nothing
	RetryDelay      time.Duration // time after which an append without visible effect is repeated
	DemandWindow    time.Duration // time over which demand is averaged
	LoadTimeout     time.Duration // time after which a planned copy that is not resident no longer counts
}

// Core makes every decision about placement. It does no I/O; Planner executes
// the actions that Tick returns.
type Core struct {
	config          CoreConfig
	revision        *fleetstate.Revision
	claim           fleetstate.Claim
	claimSeenAt     time.Time // when the current claim was first seen
	plannerSeenAt   time.Time // last answer of the claim's holder, or claimSeenAt
	plannerPolledAt time.Time // last poll of the claim's holder
	claimTriedAt    time.Time // last attempt to take the claim
	decidedAt       time.Time // last decision
	appendedAt      time.Time // last change sent to the log; zero once it is in force
	basePlan        int64     // number of the plan that the last change was based on
	backends        map[string]*backend
	bucket          bucket // limits the rate at which this planner orders loads
	topology        topology
	loadsOrdered    int // number of loads ordered since the start of the core
}

// backend is the state of one backend server as last reported by its side.
type backend struct {
	address         string               // IP:port of the side
	polledAt        time.Time            // last poll
	lastSeen        time.Time            // last answer; zero before the first
	unansweredSince time.Time            // first unanswered poll since lastSeen; zero if there is none
	resident        map[string]bool      // models and adapters that can serve requests
	missingSince    map[string]time.Time // planned models that are not resident
	demandTokens    map[string]int64     // tokens requested since the side's start, by model or adapter
	demandRates     map[string]float64   // averaged tokens per second, by model or adapter
}

// NewCore returns a Core with the initial revision of the fleet state.
func NewCore(config CoreConfig) *Core {
	return &Core{
		config:   config,
		revision: fleetstate.InitialRevision(),
		backends: make(map[string]*backend),
	}
}

// Planning reports whether this entry holds the planner's claim.
func (c *Core) Planning() bool { return c.claim.Holder() == c.config.Incarnation }

// LoadsOrdered returns the number of loads that this core has planned.
func (c *Core) LoadsOrdered() int { return c.loadsOrdered }

// Handle processes one message. It returns no actions: all follow from Tick.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case RevisionChanged:
		c.updateRevision(now, m.revision)
	case StockReported:
		c.updateStock(now, m)
	case StockUnavailable:
		if b, ok := c.backends[m.backend]; ok && b.unansweredSince.IsZero() {
			b.unansweredSince = now
		}
	case PulseReceived:
		if m.pulse.Planner() == c.claim.Holder() {
			c.plannerSeenAt = now
		}
	}
	return nil
}

// Tick returns the actions that are due.
func (c *Core) Tick(now time.Time) []Action {
	if len(c.revision.Inventory().Models()) == 0 {
		return nil
	}
	if !c.Planning() {
		return c.watchPlanner(now)
	}
	return append(c.pollSides(now), c.nextChange(now)...)
}

// updateRevision stores a revision of the fleet state. A new claim gives its holder
// a full timeout and starts with an empty bucket.
func (c *Core) updateRevision(now time.Time, revision *fleetstate.Revision) {
	if revision.Inventory() != c.revision.Inventory() {
		c.topology = newTopology(revision.Inventory())
		c.updateBackends(revision.Inventory())
	}
	c.revision = revision
	if claim, _ := revision.Claim(fleetstate.PlannerRole); claim.Epoch() != c.claim.Epoch() {
		c.claim, c.claimSeenAt, c.plannerSeenAt, c.appendedAt = claim, now, now, time.Time{}
		c.bucket = newBucket(now)
	}
	if revision.Plan().Number() != c.basePlan {
		c.appendedAt = time.Time{}
	}
}

// updateBackends keeps one backend for each backend server that has a side and
// takes its models by plan.
func (c *Core) updateBackends(inventory *fleetstate.Inventory) {
	addresses := make(map[string]string)
	for _, instance := range inventory.Instances() {
		if b, ok := inventory.Backend(instance.Backend()); ok && b.TakesModels() && instance.Role() == fleetstate.RoleSide {
			addresses[b.Name()] = instance.Address()
		}
	}
	maps.DeleteFunc(c.backends, func(name string, _ *backend) bool { return addresses[name] == "" })
	for name, address := range addresses {
		if c.backends[name] == nil {
			c.backends[name] = &backend{resident: make(map[string]bool), demandTokens: make(map[string]int64), demandRates: make(map[string]float64)}
		}
		c.backends[name].address = address
	}
}

// watchPlanner polls the holder of the claim, and tries to take the claim over
// after the holder has not answered for the timeout. The timeout grows with
// this entry's rank, so that the entries try one after the other.
func (c *Core) watchPlanner(now time.Time) []Action {
	timeout := c.config.TakeoverTimeout + time.Duration(c.rank())*c.config.RetryDelay
	if c.claim.Epoch() == 0 {
		timeout = time.Duration(c.rank()) * c.config.RetryDelay
	}
	if now.Sub(c.plannerSeenAt) >= timeout {
		if !c.claimTriedAt.IsZero() && now.Sub(c.claimTriedAt) < c.config.RetryDelay {
			return nil
		}
		c.claimTriedAt = now
		return []Action{TakeClaim{epoch: c.claim.Epoch()}}
	}
	name, _, _ := strings.Cut(c.claim.Holder(), "/")
	holder, ok := c.revision.Inventory().Instance(name)
	if !ok || now.Sub(c.plannerPolledAt) < c.config.Period {
		return nil
	}
	c.plannerPolledAt = now
	return []Action{PollPlanner{address: holder.Address()}}
}

// rank returns this entry's position among the entries without the claim, in
// rendezvous order. Zero is the first to take over.
func (c *Core) rank() int {
	var entries []string
	for _, instance := range c.revision.Inventory().Instances() {
		if instance.Role() == fleetstate.RoleEntry && !strings.HasPrefix(c.claim.Holder(), instance.Name()+"/") {
			entries = append(entries, instance.Name())
		}
	}
	return max(slices.Index(fleetstate.RendezvousOrder(fleetstate.PlannerRole, entries), c.config.Instance), 0)
}

// pollSides polls each backend server that is due: each Period while it lacks a
// planned model or does not answer, each BackendTimeout once it is down, and
// otherwise each IdlePollPeriod.
func (c *Core) pollSides(now time.Time) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(c.backends)) {
		b := c.backends[name]
		pause := c.config.IdlePollPeriod
		if b.lastSeen.IsZero() || !b.unansweredSince.IsZero() || c.lacksModel(name, b) {
			pause = c.config.Period
		}
		if c.isDown(now, b) {
			pause = c.config.BackendTimeout
		}
		if b.polledAt.IsZero() || now.Sub(b.polledAt) >= pause {
			b.polledAt = now
			actions = append(actions, PollSide{backend: name, address: b.address})
		}
	}
	return actions
}

// lacksModel reports whether a planned model is not resident on the backend
// server.
func (c *Core) lacksModel(name string, b *backend) bool {
	return slices.ContainsFunc(c.revision.Plan().Models(name), func(model string) bool { return !b.resident[model] })
}

// updateStock stores the answer of a backend server.
func (c *Core) updateStock(now time.Time, m StockReported) {
	b, ok := c.backends[m.backend]
	if !ok {
		return
	}
	elapsed := now.Sub(b.lastSeen)
	if b.lastSeen.IsZero() {
		elapsed = 0
	}
	b.lastSeen, b.unansweredSince = now, time.Time{}
	clear(b.resident)
	for _, name := range m.stock.Resident() {
		b.resident[name] = true
	}
	b.updateMissing(now, c.revision.Plan().Models(m.backend))
	for _, demand := range m.stock.Demand() {
		c.updateDemand(b, demand, elapsed)
	}
}

// updateDemand updates the moving average of the tokens per second that are
// requested of one model or adapter at one side. A counter that has gone back,
// as after a restart of the side, only gives the new starting point.
func (c *Core) updateDemand(b *backend, demand protocol.DemandConfig, elapsed time.Duration) {
	before, known := b.demandTokens[demand.Name]
	b.demandTokens[demand.Name] = demand.Tokens
	if !known || elapsed <= 0 || demand.Tokens < before {
		return
	}
	rate := float64(demand.Tokens-before) / elapsed.Seconds()
	weight := min(elapsed.Seconds()/c.config.DemandWindow.Seconds(), 1)
	b.demandRates[demand.Name] += weight * (rate - b.demandRates[demand.Name])
}

// totalDemand returns the tokens per second that are requested of each model and
// its adapters, over all backend servers that are not down.
func (c *Core) totalDemand(now time.Time) map[string]float64 {
	demand := make(map[string]float64)
	for _, b := range c.backends {
		if c.isDown(now, b) {
			continue
		}
		for name, rate := range b.demandRates {
			model, _ := c.revision.Inventory().ModelFor(name)
			demand[model.Name()] += rate
		}
	}
	return demand
}

// loadOverdue reports whether a planned model has not become resident within
// LoadTimeout.
func (c *Core) loadOverdue(now time.Time, b *backend, model string) bool {
	since, ok := b.missingSince[model]
	return ok && now.Sub(since) >= c.config.LoadTimeout
}

// updateMissing records since when each planned model has not been resident.
func (b *backend) updateMissing(now time.Time, planned []string) {
	missing := make(map[string]time.Time)
	for _, model := range planned {
		if b.resident[model] {
			continue
		}
		missing[model] = now
		if since, ok := b.missingSince[model]; ok {
			missing[model] = since
		}
	}
	b.missingSince = missing
}

// isDown reports whether a backend server has not answered for BackendTimeout.
func (c *Core) isDown(now time.Time, b *backend) bool {
	return !b.unansweredSince.IsZero() && now.Sub(b.unansweredSince) >= c.config.BackendTimeout
}

// nextChange returns the next change of the plan, if one is due and needed.
func (c *Core) nextChange(now time.Time) []Action {
	if now.Sub(c.decidedAt) < c.config.Period || !c.allReported(now) {
		return nil
	}
	if !c.appendedAt.IsZero() && now.Sub(c.appendedAt) < c.config.RetryDelay {
		return nil
	}
	c.decidedAt = now
	d := c.currentDraft(now)
	d.decide()
	changes := d.planChanges()
	if len(changes) == 0 {
		return nil
	}
	c.loadsOrdered += d.loads
	c.bucket.take(d.loads)
	c.appendedAt, c.basePlan = now, c.revision.Plan().Number()
	return []Action{ChangePlan{
		stateOffset: c.revision.StateOffset(),
		epoch:       c.claim.Epoch(),
		base:        c.basePlan,
		changes:     changes,
	}}
}

// allReported reports whether every backend server has answered or is down, or
// the claim is older than twice BackendTimeout. A new planner decides nothing
// before.
func (c *Core) allReported(now time.Time) bool {
	for _, b := range c.backends {
		if b.lastSeen.IsZero() && !c.isDown(now, b) && now.Sub(c.claimSeenAt) < 2*c.config.BackendTimeout {
			return false
		}
	}
	return true
}

// currentDraft returns a draft of the plan in force, without changes.
func (c *Core) currentDraft(now time.Time) *draft {
	d := newDraft(c.topology, c.revision.Plan(), c.totalDemand(now))
	store := c.revision.Inventory().Store()
	for name, b := range c.backends {
		switch {
		case c.revision.Inventory().Evacuated(c.topology.domains[name]): // it keeps its copies, which do not count
		case !c.isDown(now, b):
			d.addLive(name, b.resident, func(model string) bool { return c.loadOverdue(now, b, model) })
		case now.Sub(b.unansweredSince) < c.config.BackendExpiry:
			d.addDown(name)
		}
	}
	d.maxLoads = min(c.bucket.available(now, store.LoadRate()), int(store.FastLoads())-d.pendingLoads)
	return d
}
