// Package pitch decides which backend server holds which model: the placement
// planner. One entry holds the planner's claim and plans; the others watch it
// and take its place when it falls silent.
package pitch

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
	Instance    string        // name of this entry
	Incarnation string        // unique to this start of the planner's duty; begins with "Instance/"
	Takeover    time.Duration // silence of the planner after which another entry takes its place
	Silence     time.Duration // time without an answer after which a backend server counts as down
	Absence     time.Duration // time down after which its copies no longer count
	Period      time.Duration // time between two decisions
	Idle        time.Duration // time between two looks at a backend server that loads nothing
	Retry       time.Duration // time until an append that shows no effect is repeated
	Average     time.Duration // time over which demand is averaged
	LoadLimit   time.Duration // time after which a copy that is not resident does not count
}

// Core is responsible for every decision about placement. It does no input or
// output; its duty carries out the actions that Handle and Tick return.
type Core struct {
	config   CoreConfig
	revision *register.Revision
	claim    register.Claim
	claimed  time.Time // when the claim that stands was first seen
	pulse    time.Time // last sign of the planner
	asked    time.Time // of the planner
	tried    time.Time // of the own claim
	decided  time.Time
	appended time.Time // of the last change; zero once it is in force
	base     int64     // number of the plan that the last change was made from
	backends map[string]*backend
	pacer    pacer
	layout   layout
	moves    int
}

// backend is responsible for what the planner knows of one backend server.
type backend struct {
	link     string
	asked    time.Time
	seen     time.Time
	missed   time.Time // first of the misses since it was last seen
	resident map[string]bool
	lacking  map[string]time.Time // planned models that are not resident, since when
	tokens   map[string]int64
	rates    map[string]float64
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
func (c *Core) Moves() int { return c.moves }

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case Revised:
		c.revise(now, m.revision)
	case Reported:
		c.report(now, m)
	case Missed:
		if b, ok := c.backends[m.backend]; ok && b.missed.IsZero() {
			b.missed = now
		}
	case Pulsed:
		if m.pulse.Planner() == c.claim.Holder() {
			c.pulse = now
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
		return c.watch(now)
	}
	return append(c.askSides(now), c.plan(now)...)
}

func (c *Core) revise(now time.Time, revision *register.Revision) {
	if revision.Inventory() != c.revision.Inventory() {
		c.layout = newLayout(revision.Inventory())
		c.follow(revision.Inventory())
	}
	c.revision = revision
	if claim, _ := revision.Claim(register.PlannerRole); claim.Epoch() != c.claim.Epoch() {
		c.claim, c.claimed, c.pulse, c.appended = claim, now, now, time.Time{}
		c.pacer = newPacer(now)
	}
	if revision.Plan().Number() != c.base {
		c.appended = time.Time{}
	}
}

// follow keeps one entry for each engine that has a side.
func (c *Core) follow(inventory *register.Inventory) {
	links := make(map[string]string)
	for _, instance := range inventory.Instances() {
		if b, ok := inventory.Backend(instance.Backend()); ok && b.Placed() && instance.Role() == register.Side {
			links[b.Name()] = instance.Link()
		}
	}
	maps.DeleteFunc(c.backends, func(name string, _ *backend) bool { return links[name] == "" })
	for name, link := range links {
		if c.backends[name] == nil {
			c.backends[name] = &backend{resident: make(map[string]bool), tokens: make(map[string]int64), rates: make(map[string]float64)}
		}
		c.backends[name].link = link
	}
}

// watch asks the planner for a sign of life, and takes its place when there has
// been none for a while. The entries take turns, in an order by hash.
func (c *Core) watch(now time.Time) []Action {
	patience := c.config.Takeover + time.Duration(c.rank())*c.config.Retry
	if c.claim.Epoch() == 0 {
		patience = time.Duration(c.rank()) * c.config.Retry
	}
	if now.Sub(c.pulse) >= patience {
		if !c.tried.IsZero() && now.Sub(c.tried) < c.config.Retry {
			return nil
		}
		c.tried = now
		return []Action{TakeClaim{epoch: c.claim.Epoch()}}
	}
	name, _, _ := strings.Cut(c.claim.Holder(), "/")
	holder, ok := c.revision.Inventory().Instance(name)
	if !ok || now.Sub(c.asked) < c.config.Period {
		return nil
	}
	c.asked = now
	return []Action{AskPlanner{link: holder.Link()}}
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
func (c *Core) askSides(now time.Time) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(c.backends)) {
		b := c.backends[name]
		pause := c.config.Idle
		if b.seen.IsZero() || !b.missed.IsZero() || c.waiting(name, b) {
			pause = c.config.Period
		}
		if c.down(now, b) {
			pause = c.config.Silence
		}
		if b.asked.IsZero() || now.Sub(b.asked) >= pause {
			b.asked = now
			actions = append(actions, AskSide{backend: name, link: b.link})
		}
	}
	return actions
}

// waiting reports whether the backend server lacks a planned model.
func (c *Core) waiting(name string, b *backend) bool {
	return slices.ContainsFunc(c.revision.Plan().Models(name), func(model string) bool { return !b.resident[model] })
}

func (c *Core) report(now time.Time, m Reported) {
	b, ok := c.backends[m.backend]
	if !ok {
		return
	}
	elapsed := now.Sub(b.seen)
	if b.seen.IsZero() {
		elapsed = 0
	}
	b.seen, b.missed = now, time.Time{}
	clear(b.resident)
	for _, name := range m.stock.Resident() {
		b.resident[name] = true
	}
	b.note(now, c.revision.Plan().Models(m.backend))
	for _, asked := range m.stock.Demand() {
		c.observe(b, asked, elapsed)
	}
}

// observe averages the tokens per second that are asked of a model at one side.
func (c *Core) observe(b *backend, asked notice.DemandConfig, elapsed time.Duration) {
	before, known := b.tokens[asked.Name]
	b.tokens[asked.Name] = asked.Tokens
	if !known || elapsed <= 0 || asked.Tokens < before {
		return
	}
	rate := float64(asked.Tokens-before) / elapsed.Seconds()
	weight := min(elapsed.Seconds()/c.config.Average.Seconds(), 1)
	b.rates[asked.Name] += weight * (rate - b.rates[asked.Name])
}

// demand returns the tokens per second that are asked of each model, with its
// adapters.
func (c *Core) demand(now time.Time) map[string]float64 {
	demand := make(map[string]float64)
	for _, b := range c.backends {
		if c.down(now, b) {
			continue
		}
		for name, rate := range b.rates {
			model, _ := c.revision.Inventory().Serves(name)
			demand[model.Name()] += rate
		}
	}
	return demand
}

// overdue reports whether a planned model has not become resident in time.
func (c *Core) overdue(now time.Time, b *backend, model string) bool {
	since, ok := b.lacking[model]
	return ok && now.Sub(since) >= c.config.LoadLimit
}

// note keeps the time since when the backend server lacks planned models.
func (b *backend) note(now time.Time, planned []string) {
	lacking := make(map[string]time.Time)
	for _, model := range planned {
		if b.resident[model] {
			continue
		}
		lacking[model] = now
		if since, ok := b.lacking[model]; ok {
			lacking[model] = since
		}
	}
	b.lacking = lacking
}

// down reports whether a backend server does not answer.
func (c *Core) down(now time.Time, b *backend) bool {
	return !b.missed.IsZero() && now.Sub(b.missed) >= c.config.Silence
}

// plan returns the next change of the plan.
func (c *Core) plan(now time.Time) []Action {
	if now.Sub(c.decided) < c.config.Period || !c.surveyed(now) {
		return nil
	}
	if !c.appended.IsZero() && now.Sub(c.appended) < c.config.Retry {
		return nil
	}
	c.decided = now
	d := c.draft(now)
	d.decide()
	changes := d.result()
	if len(changes) == 0 {
		return nil
	}
	c.moves += d.loads
	c.pacer.spend(d.loads)
	c.appended, c.base = now, c.revision.Plan().Number()
	return []Action{Change{
		state:   c.revision.State(),
		epoch:   c.claim.Epoch(),
		base:    c.base,
		changes: changes,
	}}
}

// surveyed reports whether every backend server has answered or is down. A new
// planner decides nothing before.
func (c *Core) surveyed(now time.Time) bool {
	for _, b := range c.backends {
		if b.seen.IsZero() && !c.down(now, b) && now.Sub(c.claimed) < 2*c.config.Silence {
			return false
		}
	}
	return true
}

// draft returns the plan in force as the start of a new one.
func (c *Core) draft(now time.Time) *draft {
	d := newDraft(c.layout, c.revision.Plan(), c.demand(now))
	store := c.revision.Inventory().Store()
	for name, b := range c.backends {
		switch {
		case !c.down(now, b):
			d.addLive(name, b.resident, func(model string) bool { return c.overdue(now, b, model) })
		case now.Sub(b.missed) < c.config.Absence:
			d.addAbsent(name)
		}
	}
	d.allowed = min(c.pacer.allowed(now, store.Rate()), int(store.Loads())-d.inFlight)
	return d
}
