// Package pitch decides which backend server holds which model: the placement
// planner. One entry holds the planner's claim and plans; the others watch it
// and take its place when it falls silent.
package placement

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Instance        string        // name of this entry
	Incarnation     string        // unique to this start of the planner's duty; begins with "Instance/"
	TakeoverTimeout time.Duration // silence of the planner after which another entry takes its place
	BackendTimeout  time.Duration // time without an answer after which a backend server counts as down
	BackendExpiry   time.Duration // time down after which its copies no longer count
	Period          time.Duration // time between two decisions
	IdlePollPeriod  time.Duration // time between two looks at a backend server that loads nothing
	RetryDelay      time.Duration // time until an append that shows no effect is repeated
	DemandWindow    time.Duration // time over which demand is averaged
	LoadTimeout     time.Duration // time after which a copy that is not resident does not count
}

// Core is responsible for every decision about placement. It does no input or
// output; its duty carries out the actions that Handle and Tick return.
type Core struct {
	config          CoreConfig
	revision        *register.Revision
	claim           register.Claim
	claimSeenAt     time.Time // when the claim that stands was first seen
	plannerSeenAt   time.Time // last sign of the planner
	plannerPolledAt time.Time // of the planner
	claimTriedAt    time.Time // of the own claim
	decidedAt       time.Time
	appendedAt      time.Time // of the last change; zero once it is in force
	basePlan        int64     // number of the plan that the last change was made from
	backends        map[string]*backend
	bucket          bucket
	topology        topology
	loadsOrdered    int
}

// backend is responsible for what the planner knows of one backend server.
type backend struct {
	link            string
	polledAt        time.Time
	lastSeen        time.Time
	unansweredSince time.Time // first of the misses since it was last seen
	resident        map[string]bool
	missingSince    map[string]time.Time // planned models that are not resident, since when
	demandTokens    map[string]int64
	demandRates     map[string]float64
}

// NewCore returns a core that knows nothing.
func NewCore(config CoreConfig) *Core {
	return &Core{
		config:   config,
		revision: register.Initial(),
		backends: make(map[string]*backend),
	}
}

// Planning reports whether this entry holds the planner's claim.
func (c *Core) Planning() bool { return c.claim.Holder() == c.config.Incarnation }

// Moves returns the number of loads that this planner has ordered.
func (c *Core) LoadsOrdered() int { return c.loadsOrdered }

// Handle processes one message.
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

// Tick returns what is due.
func (c *Core) Tick(now time.Time) []Action {
	if len(c.revision.Inventory().Models()) == 0 {
		return nil
	}
	if !c.Planning() {
		return c.watchPlanner(now)
	}
	return append(c.pollSides(now), c.nextChange(now)...)
}

func (c *Core) updateRevision(now time.Time, revision *register.Revision) {
	if revision.Inventory() != c.revision.Inventory() {
		c.topology = newTopology(revision.Inventory())
		c.updateBackends(revision.Inventory())
	}
	c.revision = revision
	if claim, _ := revision.Claim(register.PlannerRole); claim.Epoch() != c.claim.Epoch() {
		c.claim, c.claimSeenAt, c.plannerSeenAt, c.appendedAt = claim, now, now, time.Time{}
		c.bucket = newBucket(now)
	}
	if revision.Plan().Number() != c.basePlan {
		c.appendedAt = time.Time{}
	}
}

// follow keeps one entry for each engine that has a side.
func (c *Core) updateBackends(inventory *register.Inventory) {
	links := make(map[string]string)
	for _, instance := range inventory.Instances() {
		if b, ok := inventory.Backend(instance.Backend()); ok && b.Placed() && instance.Role() == register.Side {
			links[b.Name()] = instance.Link()
		}
	}
	maps.DeleteFunc(c.backends, func(name string, _ *backend) bool { return links[name] == "" })
	for name, link := range links {
		if c.backends[name] == nil {
			c.backends[name] = &backend{resident: make(map[string]bool), demandTokens: make(map[string]int64), demandRates: make(map[string]float64)}
		}
		c.backends[name].link = link
	}
}

// watch asks the planner for a sign of life, and takes its place when there has
// been none for a while. The entries take turns, in an order by hash.
func (c *Core) watchPlanner(now time.Time) []Action {
	patience := c.config.TakeoverTimeout + time.Duration(c.rank())*c.config.RetryDelay
	if c.claim.Epoch() == 0 {
		patience = time.Duration(c.rank()) * c.config.RetryDelay
	}
	if now.Sub(c.plannerSeenAt) >= patience {
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
	return []Action{PollPlanner{link: holder.Link()}}
}

// rank returns this entry's place in the order of succession.
func (c *Core) rank() int {
	var entries []string
	for _, instance := range c.revision.Inventory().Instances() {
		if instance.Role() == register.Entry && !strings.HasPrefix(c.claim.Holder(), instance.Name()+"/") {
			entries = append(entries, instance.Name())
		}
	}
	return max(slices.Index(register.RendezvousOrder(register.PlannerRole, entries), c.config.Instance), 0)
}

// askSides asks for the stock of each backend server, more often while it is
// loading or does not answer.
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
			actions = append(actions, PollSide{backend: name, link: b.link})
		}
	}
	return actions
}

// waiting reports whether the backend server lacks a planned model.
func (c *Core) lacksModel(name string, b *backend) bool {
	return slices.ContainsFunc(c.revision.Plan().Models(name), func(model string) bool { return !b.resident[model] })
}

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
	for _, asked := range m.stock.Demand() {
		c.updateDemand(b, asked, elapsed)
	}
}

// observe averages the tokens per second that are asked of a model at one side.
func (c *Core) updateDemand(b *backend, asked notice.DemandConfig, elapsed time.Duration) {
	before, known := b.demandTokens[asked.Name]
	b.demandTokens[asked.Name] = asked.Tokens
	if !known || elapsed <= 0 || asked.Tokens < before {
		return
	}
	rate := float64(asked.Tokens-before) / elapsed.Seconds()
	weight := min(elapsed.Seconds()/c.config.DemandWindow.Seconds(), 1)
	b.demandRates[asked.Name] += weight * (rate - b.demandRates[asked.Name])
}

// demand returns the tokens per second that are asked of each model, with its
// adapters.
func (c *Core) totalDemand(now time.Time) map[string]float64 {
	demand := make(map[string]float64)
	for _, b := range c.backends {
		if c.isDown(now, b) {
			continue
		}
		for name, rate := range b.demandRates {
			model, _ := c.revision.Inventory().Serves(name)
			demand[model.Name()] += rate
		}
	}
	return demand
}

// overdue reports whether a planned model has not become resident in time.
func (c *Core) loadOverdue(now time.Time, b *backend, model string) bool {
	since, ok := b.missingSince[model]
	return ok && now.Sub(since) >= c.config.LoadTimeout
}

// note keeps the time since when the backend server lacks planned models.
func (b *backend) updateMissing(now time.Time, planned []string) {
	lacking := make(map[string]time.Time)
	for _, model := range planned {
		if b.resident[model] {
			continue
		}
		lacking[model] = now
		if since, ok := b.missingSince[model]; ok {
			lacking[model] = since
		}
	}
	b.missingSince = lacking
}

// down reports whether a backend server does not answer.
func (c *Core) isDown(now time.Time, b *backend) bool {
	return !b.unansweredSince.IsZero() && now.Sub(b.unansweredSince) >= c.config.BackendTimeout
}

// plan returns the next change of the plan.
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
		state:   c.revision.State(),
		epoch:   c.claim.Epoch(),
		base:    c.basePlan,
		changes: changes,
	}}
}

// surveyed reports whether every backend server has answered or is down. A new
// planner decides nothing before.
func (c *Core) allReported(now time.Time) bool {
	for _, b := range c.backends {
		if b.lastSeen.IsZero() && !c.isDown(now, b) && now.Sub(c.claimSeenAt) < 2*c.config.BackendTimeout {
			return false
		}
	}
	return true
}

// draft returns the plan in force as the start of a new one.
func (c *Core) currentDraft(now time.Time) *draft {
	d := newDraft(c.topology, c.revision.Plan(), c.totalDemand(now))
	store := c.revision.Inventory().Store()
	for name, b := range c.backends {
		switch {
		case !c.isDown(now, b):
			d.addLive(name, b.resident, func(model string) bool { return c.loadOverdue(now, b, model) })
		case now.Sub(b.unansweredSince) < c.config.BackendExpiry:
			d.addAbsent(name)
		}
	}
	d.maxLoads = min(c.bucket.available(now, store.Rate()), int(store.Loads())-d.pendingLoads)
	return d
}
