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
	engineMemory       = 24 // of an engine: two copies of each model fit on five
	largeEngineMemory  = 28 // of an engine: two copies of each model fit on four
	loadRate           = 3
	maxConcurrentLoads = 11
)

// world is a fleet with its log, in virtual time.
type simulation struct {
	now              time.Time
	engineMemory     int64 // of each engine
	random           *rand.Rand
	records          [][]byte
	logDown          bool
	entries          []*entry
	sides            []*side
	listings         []listing
	unavailableSince map[string]time.Time     // models without a live copy, since when
	longestOutages   map[string]time.Duration // longest time without one
	loadStarts       []time.Time              // of each load
	demand           map[string]int64         // tokens per step, over all copies
}

// listed is the list of live instances at a time.
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
	pausedUntil time.Time // until when it stands still
	outbox      []placement.Action
}

// side is one side with its engine.
type side struct {
	name         string
	backend      string
	domain       string
	core         *loader.Core
	revision     *fleetstate.Revision
	freshAt      map[int64]time.Time
	starts       int
	stopped      bool
	loaded       map[string]*loadedItem
	fence        int64
	servedTokens map[string]int64
}

// held is one model or adapter in an engine's memory.
type loadedItem struct {
	base    string
	bytes   int64
	readyAt time.Time
}

func newSimulation(seed uint64, memory int64) *simulation {
	w := &simulation{
		now: time.Unix(1_000_000, 0), engineMemory: memory, random: rand.New(rand.NewPCG(seed, 2)),
		unavailableSince: make(map[string]time.Time), longestOutages: make(map[string]time.Duration), demand: make(map[string]int64),
	}
	var text strings.Builder
	for i := range engineCount {
		s := &side{name: fmt.Sprintf("side-%d", i), backend: fmt.Sprintf("engine-%d", i), domain: fmt.Sprint("domain-", i%domainCount)}
		fmt.Fprintf(&text, "[backend %s]\nkind = engine\nmemory = %d\nslots = 8\nfencing = yes\n", s.backend, memory)
		fmt.Fprintf(&text, "[instance %s]\nrole = side\nlink = 10.0.0.1:%d\ndomain = %s\nbackend = %s\n", s.name, 7100+i, s.domain, s.backend)
		w.sides = append(w.sides, s)
		w.startSide(s)
	}
	for i := range domainCount {
		e := &entry{name: fmt.Sprintf("entry-%d", i), domain: fmt.Sprint("domain-", i)}
		fmt.Fprintf(&text, "[instance %s]\nrole = entry\nlink = 10.0.0.1:%d\ndomain = %s\n", e.name, 7000+i, e.domain)
		w.entries = append(w.entries, e)
		w.startEntry(e)
	}
	for i := range modelCount {
		fmt.Fprintf(&text, "[model model-%d]\nmemory = %d\n", i, 2+i%5)
		if i%2 == 0 {
			fmt.Fprintf(&text, "[adapter adapter-%d]\nmodel = model-%d\nmemory = 1\n", i, i)
		}
	}
	fmt.Fprintf(&text, "[store weights]\nrate = %d\nloads = %d\nadapters = 90\n", loadRate, maxConcurrentLoads)
	w.append(fleetstate.NewRecord(fleetstate.RecordConfig{Kind: fleetstate.KindReplace, Inventory: text.String()}))
	return w
}

func (w *simulation) startEntry(e *entry) {
	e.starts++
	e.stopped, e.revision, e.outbox = false, fleetstate.InitialRevision(), nil
	e.core = placement.NewCore(placement.CoreConfig{
		Instance: e.name, Incarnation: fmt.Sprintf("%s/%d", e.name, e.starts),
		TakeoverTimeout: 10 * time.Second, BackendTimeout: 5 * time.Second, BackendExpiry: time.Minute, Period: time.Second,
		IdlePollPeriod: 10 * time.Second, RetryDelay: 3 * time.Second, DemandWindow: time.Minute, LoadTimeout: 2 * time.Minute,
	})
}

// startSide starts a side, and its engine with an empty memory.
func (w *simulation) startSide(s *side) {
	s.starts++
	s.stopped, s.revision, s.freshAt = false, fleetstate.InitialRevision(), make(map[int64]time.Time)
	s.loaded, s.servedTokens, s.fence = make(map[string]*loadedItem), make(map[string]int64), 0
	s.core = loader.NewCore(loader.CoreConfig{
		Backend: s.backend, Incarnation: fmt.Sprintf("%s/%d", s.name, s.starts),
		ClaimLease: lease, MaxOrderDelay: 10 * time.Second, OrderTTL: time.Second, RetryInterval: 3 * time.Second,
		PollPeriod: 500 * time.Millisecond, AdoptionDelay: 10 * time.Second, IdleRetention: time.Minute, UnloadDelay: time.Second, MaxModelLoads: 2,
	})
}

// append adds a record to the log, unless the log is down.
func (w *simulation) append(record fleetstate.Record) {
	if w.logDown {
		return
	}
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	w.records = append(w.records, data)
}

// fold brings a revision up to the head of the log.
func (w *simulation) catchUp(revision *fleetstate.Revision) *fleetstate.Revision {
	for offset := revision.Offset(); offset < int64(len(w.records)); offset++ {
		// A rejected record leaves the revision as it is.
		revision, _ = revision.Apply(offset, w.records[offset])
	}
	return revision
}

// pass lets time go by.
func (w *simulation) advance(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.updateListings()
		for _, s := range w.sides {
			if !s.stopped {
				w.runSide(s)
			}
		}
		w.serveDemand()
		for _, e := range w.entries {
			if !e.stopped && !w.now.Before(e.pausedUntil) {
				w.runEntry(e)
			}
		}
		w.checkState()
	}
}

func (w *simulation) updateListings() {
	current := listing{at: w.now}
	for _, s := range w.sides {
		if !s.stopped {
			current.names = append(current.names, s.name)
		}
	}
	for _, e := range w.entries {
		if !e.stopped {
			current.names = append(current.names, e.name)
		}
	}
	w.listings = append(w.listings, current)
	for len(w.listings) > 1 && w.now.Sub(w.listings[1].at) >= listLag {
		w.listings = w.listings[1:]
	}
}

func (w *simulation) runSide(s *side) {
	if !w.logDown {
		if next := w.catchUp(s.revision); next != s.revision {
			s.revision = next
			w.executeSideActions(s, s.core.Handle(w.now, loader.NewRevisionChanged(next)))
		}
	}
	// The proof of a new state comes after the hall has been told of it, as in
	// the side. In an outage of the whole log, the sides vouch for each other.
	s.freshAt[s.revision.StateOffset()] = w.now
	if w.random.IntN(8) == 0 {
		w.executeSideActions(s, s.core.Handle(w.now, loader.NewInstancesListed(w.listings[0].names)))
	}
	w.executeSideActions(s, s.core.Tick(w.now))
}

// serve spreads the tokens that are asked of each model over its live copies.
func (w *simulation) serveDemand() {
	for _, model := range slices.Sorted(maps.Keys(w.demand)) {
		copies := w.copies(model)
		for i, s := range copies {
			s.servedTokens[model] += (w.demand[model] + int64(i)) / int64(len(copies))
		}
	}
}

func (w *simulation) executeSideActions(s *side, actions []loader.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case loader.PollState:
			w.executeSideActions(s, s.core.Handle(w.now, loader.NewStateReported(w.now, s.state(w.now))))
		case loader.TakeClaim:
			w.append(fleetstate.NewRecord(fleetstate.RecordConfig{
				Kind: fleetstate.KindClaim, Claim: fleetstate.BackendRole(s.backend),
				Holder: fmt.Sprintf("%s/%d", s.name, s.starts), Epoch: a.Epoch(),
			}))
		case loader.Order:
			w.executeOrder(s, a)
		}
	}
}

// order lets an engine carry out an order.
func (w *simulation) executeOrder(s *side, order loader.Order) {
	if w.now.Sub(s.freshAt[order.StateOffset()]) > lease {
		s.core.Handle(w.now, loader.NewOrderWithheld(order))
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
		s.loaded[order.Name()] = &loadedItem{base: order.Base(), bytes: order.Bytes(), readyAt: w.now.Add(loadTime)}
		if order.Base() == "" {
			w.loadStarts = append(w.loadStarts, w.now)
		}
	}
}

func (s *side) state(now time.Time) loader.EngineState {
	config := loader.EngineStateConfig{Fence: s.fence}
	for _, name := range slices.Sorted(maps.Keys(s.loaded)) {
		h, phase := s.loaded[name], loader.Resident
		if now.Before(h.readyAt) {
			phase = loader.Loading
		}
		config.Holdings = append(config.Holdings, loader.HoldingConfig{Name: name, Base: h.base, Bytes: h.bytes, Phase: phase})
	}
	return loader.NewEngineState(config)
}

func (w *simulation) runEntry(e *entry) {
	late := e.outbox
	e.outbox = nil
	w.executePlannerActions(e, late)
	if !w.logDown {
		if next := w.catchUp(e.revision); next != e.revision {
			e.revision = next
			e.core.Handle(w.now, placement.NewRevisionChanged(next))
		}
	}
	// What is decided last before a pause is appended after it.
	e.outbox = e.core.Tick(w.now)
}

func (w *simulation) executePlannerActions(e *entry, actions []placement.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case placement.PollSide:
			e.core.Handle(w.now, w.pollSide(a.Backend()))
		case placement.PollPlanner:
			w.pollPlanner(e, a.Link())
		case placement.TakeClaim:
			w.append(fleetstate.NewRecord(fleetstate.RecordConfig{
				Kind: fleetstate.KindClaim, Claim: fleetstate.PlannerRole, Holder: fmt.Sprintf("%s/%d", e.name, e.starts), Epoch: a.Epoch(),
			}))
		case placement.ChangePlan:
			record, err := fleetstate.NewPlanRecord(fleetstate.PlanConfig{Epoch: a.Epoch(), Base: a.Base(), Changes: a.Changes()})
			if err != nil {
				panic(err)
			}
			w.append(record)
		}
	}
}

func (w *simulation) pollSide(backend string) placement.Message {
	s := w.sideOf(backend)
	if s.stopped {
		return placement.NewStockUnavailable(backend)
	}
	config := protocol.StockConfig{Resident: s.core.Summary().Resident(), Pending: s.core.Summary().Pending()}
	for _, name := range slices.Sorted(maps.Keys(s.servedTokens)) {
		config.Demand = append(config.Demand, protocol.DemandConfig{Name: name, Tokens: s.servedTokens[name]})
	}
	return placement.NewStockReported(backend, protocol.NewStock(config))
}

func (w *simulation) pollPlanner(asking *entry, link string) {
	for i, e := range w.entries {
		if link == fmt.Sprintf("10.0.0.1:%d", 7000+i) && !e.stopped && !w.now.Before(e.pausedUntil) {
			asking.core.Handle(w.now, placement.NewPulseReceived(protocol.NewPulse(protocol.PulseConfig{Planner: fmt.Sprintf("%s/%d", e.name, e.starts)})))
		}
	}
}

func (w *simulation) sideOf(backend string) *side {
	return w.sides[slices.IndexFunc(w.sides, func(s *side) bool { return s.backend == backend })]
}

// planner returns the entry that plans, or nil.
func (w *simulation) activePlanner() *entry {
	claim, _ := w.catchUp(fleetstate.InitialRevision()).Claim(fleetstate.PlannerRole)
	for _, e := range w.entries {
		if claim.Holder() == fmt.Sprintf("%s/%d", e.name, e.starts) {
			return e
		}
	}
	return nil
}

// copies returns the live sides that can run requests for a model and all of
// its adapters.
func (w *simulation) copies(model string) []*side {
	var copies []*side
	for _, s := range w.sides {
		stock := s.core.Summary()
		adapter := strings.Replace(model, "model", "adapter", 1)
		_, adapted := s.revision.Inventory().Adapter(adapter)
		if !s.stopped && stock.CanRun(model) && (!adapted || stock.CanRun(adapter)) {
			copies = append(copies, s)
		}
	}
	return copies
}

// observe notes the models that no live side can run, and what no engine may do.
func (w *simulation) checkState() {
	for i := range modelCount {
		model := fmt.Sprintf("model-%d", i)
		if len(w.copies(model)) > 0 {
			delete(w.unavailableSince, model)
			continue
		}
		if _, ok := w.unavailableSince[model]; !ok {
			w.unavailableSince[model] = w.now
		}
		w.longestOutages[model] = max(w.longestOutages[model], w.now.Sub(w.unavailableSince[model])+step)
	}
	for _, s := range w.sides {
		var used int64
		for _, h := range s.loaded {
			used += h.bytes
		}
		if used > w.engineMemory {
			panic(fmt.Sprintf("%s holds %d bytes of %d", s.backend, used, w.engineMemory))
		}
	}
}

// longest returns the longest time that any model was without a live copy.
func (w *simulation) longestOutage() time.Duration {
	var longest time.Duration
	for _, span := range w.longestOutages {
		longest = max(longest, span)
	}
	return longest
}

func (w *simulation) stopDomain(domain string) {
	for _, s := range w.sides {
		s.stopped = s.stopped || s.domain == domain
	}
	for _, e := range w.entries {
		e.stopped = e.stopped || e.domain == domain
	}
}

func (w *simulation) restartStopped() {
	for _, s := range w.sides {
		if s.stopped {
			w.startSide(s)
		}
	}
	for _, e := range w.entries {
		if e.stopped {
			w.startEntry(e)
		}
	}
}
