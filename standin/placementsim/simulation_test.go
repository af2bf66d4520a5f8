package placementsim_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/entry/placement"
	"sesamewell.example/side/loader"
)

// Sizes and times of the simulated fleet.
const (
	step               = 250 * time.Millisecond
	lease              = 3 * time.Second
	listLag            = 2 * time.Second
	loadTime           = time.Second
	engineCount        = 6
	domainCount        = 3
	modelCount         = 12
	engineMemory       = 24 // bytes; two copies of each model fit on five engines
	largeEngineMemory  = 28 // bytes; two copies of each model fit on four engines
	loadRate           = 3  // loads begun per second
	maxConcurrentLoads = 11
)

// simulation simulates a fleet and its log in virtual time.
type simulation struct {
	now              time.Time
	engineMemory     int64 // bytes of each engine
	random           *rand.Rand
	records          [][]byte
	logDown          bool
	entries          []*entry
	sides            []*side
	listings         []listing
	unavailableSince map[string]time.Time     // start of the current outage of each model without a live copy
	longestOutages   map[string]time.Duration // longest time of each model without a live copy
	loadStarts       []time.Time              // start of each load of a model
	demand           map[string]int64         // tokens per step of each model, over all its copies
}

// listing is the list of live instances at one time.
type listing struct {
	at    time.Time
	names []string
}

// entry is one entry with its planner.
type entry struct {
	name        string
	domain      string
	core        *placement.Core
	revision    *fleetstate.Revision
	starts      int
	stopped     bool
	pausedUntil time.Time          // end of the process's pause
	outbox      []placement.Action // actions to be executed in the next step
}

// side is one side with its engine.
type side struct {
	name         string
	backend      string
	domain       string
	core         *loader.Core
	revision     *fleetstate.Revision
	freshAt      map[int64]time.Time // time at which each fleet state was last proven fresh
	starts       int
	stopped      bool
	loaded       map[string]*loadedItem
	fence        int64 // newest fencing number that the engine received
	servedTokens map[string]int64
}

// loadedItem is one model or adapter in an engine's memory.
type loadedItem struct {
	base    string
	bytes   int64
	readyAt time.Time
}

func newSimulation(seed uint64, memory int64) *simulation {
	sim := &simulation{
		now: time.Unix(1_000_000, 0), engineMemory: memory, random: rand.New(rand.NewPCG(seed, 2)),
		unavailableSince: make(map[string]time.Time), longestOutages: make(map[string]time.Duration), demand: make(map[string]int64),
	}
	var text strings.Builder
	for i := range engineCount {
		s := &side{name: fmt.Sprintf("side-%d", i), backend: fmt.Sprintf("engine-%d", i), domain: fmt.Sprint("domain-", i%domainCount)}
		fmt.Fprintf(&text, "[backend %s]\nkind = engine\nmemory = %d\nslots = 8\nfencing = yes\n", s.backend, memory)
		fmt.Fprintf(&text, "[instance %s]\nrole = side\nlink = 10.0.0.1:%d\ndomain = %s\nbackend = %s\n", s.name, 7100+i, s.domain, s.backend)
		sim.sides = append(sim.sides, s)
		sim.startSide(s)
	}
	for i := range domainCount {
		e := &entry{name: fmt.Sprintf("entry-%d", i), domain: fmt.Sprint("domain-", i)}
		fmt.Fprintf(&text, "[instance %s]\nrole = entry\nlink = 10.0.0.1:%d\ndomain = %s\n", e.name, 7000+i, e.domain)
		sim.entries = append(sim.entries, e)
		sim.startEntry(e)
	}
	for i := range modelCount {
		fmt.Fprintf(&text, "[model model-%d]\nmemory = %d\n", i, 2+i%5)
		if i%2 == 0 {
			fmt.Fprintf(&text, "[adapter adapter-%d]\nmodel = model-%d\nmemory = 1\n", i, i)
		}
	}
	fmt.Fprintf(&text, "[store weights]\nrate = %d\nloads = %d\nadapters = 90\n", loadRate, maxConcurrentLoads)
	sim.append(fleetstate.NewRecord(fleetstate.RecordConfig{Kind: fleetstate.KindReplace, Inventory: text.String()}))
	return sim
}

func (sim *simulation) startEntry(e *entry) {
	e.starts++
	e.stopped, e.revision, e.outbox = false, fleetstate.InitialRevision(), nil
	e.core = placement.NewCore(placement.CoreConfig{
		Instance: e.name, Incarnation: fmt.Sprintf("%s/%d", e.name, e.starts),
		TakeoverTimeout: 10 * time.Second, BackendTimeout: 5 * time.Second, BackendExpiry: time.Minute, Period: time.Second,
		IdlePollPeriod: 10 * time.Second, RetryDelay: 3 * time.Second, DemandWindow: time.Minute, LoadTimeout: 2 * time.Minute,
	})
}

// startSide starts a side and its engine, whose memory is empty.
func (sim *simulation) startSide(s *side) {
	s.starts++
	s.stopped, s.revision, s.freshAt = false, fleetstate.InitialRevision(), make(map[int64]time.Time)
	s.loaded, s.servedTokens, s.fence = make(map[string]*loadedItem), make(map[string]int64), 0
	s.core = loader.NewCore(loader.CoreConfig{
		Backend: s.backend, Incarnation: fmt.Sprintf("%s/%d", s.name, s.starts),
		ClaimLease: lease, MaxOrderDelay: 10 * time.Second, OrderTTL: time.Second, RetryDelay: 3 * time.Second,
		PollPeriod: 500 * time.Millisecond, AdoptionDelay: 10 * time.Second, IdleRetention: time.Minute, UnloadDelay: time.Second, MaxModelLoads: 2,
	})
}

// append adds a record to the log, unless the log is down.
func (sim *simulation) append(record fleetstate.Record) {
	if sim.logDown {
		return
	}
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	sim.records = append(sim.records, data)
}

// catchUp returns the revision with all newer records of the log applied.
func (sim *simulation) catchUp(revision *fleetstate.Revision) *fleetstate.Revision {
	for offset := revision.Offset(); offset < int64(len(sim.records)); offset++ {
		// A rejected record leaves the revision as it is.
		revision, _ = revision.Apply(offset, sim.records[offset])
	}
	return revision
}

// advance advances virtual time step by step.
func (sim *simulation) advance(duration time.Duration) {
	for end := sim.now.Add(duration); sim.now.Before(end); {
		sim.now = sim.now.Add(step)
		sim.updateListings()
		for _, s := range sim.sides {
			if !s.stopped {
				sim.runSide(s)
			}
		}
		sim.serveDemand()
		for _, e := range sim.entries {
			if !e.stopped && !sim.now.Before(e.pausedUntil) {
				sim.runEntry(e)
			}
		}
		sim.checkState()
	}
}

// updateListings records the current instances and drops old lists, so that
// listings[0] is the list that the platform shows, listLag behind.
func (sim *simulation) updateListings() {
	current := listing{at: sim.now}
	for _, s := range sim.sides {
		if !s.stopped {
			current.names = append(current.names, s.name)
		}
	}
	for _, e := range sim.entries {
		if !e.stopped {
			current.names = append(current.names, e.name)
		}
	}
	sim.listings = append(sim.listings, current)
	for len(sim.listings) > 1 && sim.now.Sub(sim.listings[1].at) >= listLag {
		sim.listings = sim.listings[1:]
	}
}

func (sim *simulation) runSide(s *side) {
	if !sim.logDown {
		if next := sim.catchUp(s.revision); next != s.revision {
			s.revision = next
			sim.executeSideActions(s, s.core.Handle(sim.now, loader.NewRevisionChanged(next)))
		}
	}
	// As in a real side, a new state counts as fresh only after the loader has
	// handled it. While the log is down, the sides confirm their states to each
	// other, so the state stays fresh.
	s.freshAt[s.revision.StateOffset()] = sim.now
	if sim.random.IntN(8) == 0 {
		sim.executeSideActions(s, s.core.Handle(sim.now, loader.NewInstancesListed(sim.listings[0].names)))
	}
	sim.executeSideActions(s, s.core.Tick(sim.now))
}

// serveDemand spreads the demand for each model over its live copies.
func (sim *simulation) serveDemand() {
	for _, model := range slices.Sorted(maps.Keys(sim.demand)) {
		copies := sim.copies(model)
		for i, s := range copies {
			s.servedTokens[model] += (sim.demand[model] + int64(i)) / int64(len(copies))
		}
	}
}

func (sim *simulation) executeSideActions(s *side, actions []loader.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case loader.PollState:
			sim.executeSideActions(s, s.core.Handle(sim.now, loader.NewStateReported(sim.now, s.state(sim.now))))
		case loader.TakeClaim:
			sim.append(fleetstate.NewRecord(fleetstate.RecordConfig{
				Kind: fleetstate.KindClaim, Claim: fleetstate.BackendRole(s.backend),
				Holder: fmt.Sprintf("%s/%d", s.name, s.starts), Epoch: a.Epoch(),
			}))
		case loader.Order:
			sim.executeOrder(s, a)
		}
	}
}

// executeOrder executes an order on a side's engine, unless the state behind it
// is no longer fresh or its fencing number is too old.
func (sim *simulation) executeOrder(s *side, order loader.Order) {
	if sim.now.Sub(s.freshAt[order.StateOffset()]) > lease {
		s.core.Handle(sim.now, loader.NewOrderWithheld(order))
		return
	}
	if order.Fence() < s.fence {
		return
	}
	s.fence = order.Fence()
	switch _, ok := s.loaded[order.Name()]; {
	case order.Verb() == loader.Unload:
		delete(s.loaded, order.Name())
	case order.Verb() == loader.Load && !ok:
		s.loaded[order.Name()] = &loadedItem{base: order.Base(), bytes: order.Bytes(), readyAt: sim.now.Add(loadTime)}
		if order.Base() == "" {
			sim.loadStarts = append(sim.loadStarts, sim.now)
		}
	}
}

func (s *side) state(now time.Time) loader.EngineState {
	config := loader.EngineStateConfig{Fence: s.fence}
	for _, name := range slices.Sorted(maps.Keys(s.loaded)) {
		item, phase := s.loaded[name], loader.Resident
		if now.Before(item.readyAt) {
			phase = loader.Loading
		}
		config.Holdings = append(config.Holdings, loader.HoldingConfig{Name: name, Base: item.base, Bytes: item.bytes, Phase: phase})
	}
	return loader.NewEngineState(config)
}

func (sim *simulation) runEntry(e *entry) {
	actions := e.outbox
	e.outbox = nil
	sim.executePlannerActions(e, actions)
	if !sim.logDown {
		if next := sim.catchUp(e.revision); next != e.revision {
			e.revision = next
			e.core.Handle(sim.now, placement.NewRevisionChanged(next))
		}
	}
	// Actions decided just before a pause are executed after it.
	e.outbox = e.core.Tick(sim.now)
}

func (sim *simulation) executePlannerActions(e *entry, actions []placement.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case placement.PollSide:
			e.core.Handle(sim.now, sim.pollSide(a.Backend()))
		case placement.PollPlanner:
			sim.pollPlanner(e, a.Address())
		case placement.TakeClaim:
			sim.append(fleetstate.NewRecord(fleetstate.RecordConfig{
				Kind: fleetstate.KindClaim, Claim: fleetstate.PlannerRole, Holder: fmt.Sprintf("%s/%d", e.name, e.starts), Epoch: a.Epoch(),
			}))
		case placement.ChangePlan:
			record, err := fleetstate.NewPlanRecord(fleetstate.PlanConfig{Epoch: a.Epoch(), Base: a.Base(), Changes: a.Changes()})
			if err != nil {
				panic(err)
			}
			sim.append(record)
		}
	}
}

func (sim *simulation) pollSide(backend string) placement.Message {
	s := sim.sideOf(backend)
	if s.stopped {
		return placement.NewStockUnavailable(backend)
	}
	config := protocol.StockConfig{Resident: s.core.Summary().Resident(), Pending: s.core.Summary().Pending()}
	for _, name := range slices.Sorted(maps.Keys(s.servedTokens)) {
		config.Demand = append(config.Demand, protocol.DemandConfig{Name: name, Tokens: s.servedTokens[name]})
	}
	return placement.NewStockReported(backend, protocol.NewStock(config))
}

// pollPlanner delivers the pulse of the planner at an address, unless it is
// stopped or paused.
func (sim *simulation) pollPlanner(caller *entry, link string) {
	for i, e := range sim.entries {
		if link == fmt.Sprintf("10.0.0.1:%d", 7000+i) && !e.stopped && !sim.now.Before(e.pausedUntil) {
			caller.core.Handle(sim.now, placement.NewPulseReceived(protocol.NewPulse(protocol.PulseConfig{Planner: fmt.Sprintf("%s/%d", e.name, e.starts)})))
		}
	}
}

func (sim *simulation) sideOf(backend string) *side {
	return sim.sides[slices.IndexFunc(sim.sides, func(s *side) bool { return s.backend == backend })]
}

// activePlanner returns the entry whose current process holds the planner's
// claim, or nil.
func (sim *simulation) activePlanner() *entry {
	claim, _ := sim.catchUp(fleetstate.InitialRevision()).Claim(fleetstate.PlannerRole)
	for _, e := range sim.entries {
		if claim.Holder() == fmt.Sprintf("%s/%d", e.name, e.starts) {
			return e
		}
	}
	return nil
}

// copies returns the live sides that can run requests for a model and, if it has
// one, its adapter.
func (sim *simulation) copies(model string) []*side {
	var copies []*side
	for _, s := range sim.sides {
		stock := s.core.Summary()
		adapter := strings.Replace(model, "model", "adapter", 1)
		_, hasAdapter := s.revision.Inventory().Adapter(adapter)
		if !s.stopped && stock.CanRun(model) && (!hasAdapter || stock.CanRun(adapter)) {
			copies = append(copies, s)
		}
	}
	return copies
}

// checkState updates the outages of models that no live side can run, and
// panics if an engine holds more than its memory.
func (sim *simulation) checkState() {
	for i := range modelCount {
		model := fmt.Sprintf("model-%d", i)
		if len(sim.copies(model)) > 0 {
			delete(sim.unavailableSince, model)
			continue
		}
		if _, ok := sim.unavailableSince[model]; !ok {
			sim.unavailableSince[model] = sim.now
		}
		sim.longestOutages[model] = max(sim.longestOutages[model], sim.now.Sub(sim.unavailableSince[model])+step)
	}
	for _, s := range sim.sides {
		var used int64
		for _, item := range s.loaded {
			used += item.bytes
		}
		if used > sim.engineMemory {
			panic(fmt.Sprintf("%s holds %d bytes, but its memory is %d", s.backend, used, sim.engineMemory))
		}
	}
}

// longestOutage returns the longest time that any model was without a live copy.
func (sim *simulation) longestOutage() time.Duration {
	var longest time.Duration
	for _, duration := range sim.longestOutages {
		longest = max(longest, duration)
	}
	return longest
}

func (sim *simulation) stopDomain(domain string) {
	for _, s := range sim.sides {
		s.stopped = s.stopped || s.domain == domain
	}
	for _, e := range sim.entries {
		e.stopped = e.stopped || e.domain == domain
	}
}

func (sim *simulation) restartStopped() {
	for _, s := range sim.sides {
		if s.stopped {
			sim.startSide(s)
		}
	}
	for _, e := range sim.entries {
		if e.stopped {
			sim.startEntry(e)
		}
	}
}
