package loader_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/side/loader"
)

// Sizes and times of the simulated backend server.
const (
	step       = 100 * time.Millisecond
	engineSize = 10
	lease      = 5 * time.Second
	orderDelay = 10 * time.Second
	loadTime   = 2 * time.Second
	backend    = "engine-1"
)

// modelSizes maps the models of the inventory to their memory in bytes.
var modelSizes = map[string]int64{"a": 6, "b": 5, "c": 4, "d": 4, "e": 3, "f": 2}

// simulation simulates one backend server, the log and all sides that were started
// so far in virtual time.
type simulation struct {
	now          time.Time
	random       *rand.Rand
	faultless    bool // messages are no longer lost, delayed or duplicated
	engine       *engine
	records      [][]byte
	sides        []*side
	planned      []string
	plannerEpoch int64 // epoch of the planner's claim
	planNumber   int64 // number of the last plan record
}

func newSimulation(seed uint64, fencing bool) *simulation {
	sim := &simulation{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1))}
	sim.engine = &engine{fencing: fencing, loaded: make(map[string]*loadedItem)}
	fencingText := map[bool]string{true: "yes", false: "no"}[fencing]
	var text strings.Builder
	fmt.Fprintf(&text, "[backend %s]\nkind = engine\nmemory = %d\nslots = 4\nfencing = %s\n", backend, engineSize, fencingText)
	for name, size := range modelSizes {
		fmt.Fprintf(&text, "[model %s]\nmemory = %d\n", name, size)
	}
	sim.append(fleetstate.NewRecord(fleetstate.RecordConfig{Kind: fleetstate.KindReplace, Inventory: text.String()}))
	sim.append(fleetstate.NewRecord(fleetstate.RecordConfig{Kind: fleetstate.KindClaim, Claim: fleetstate.PlannerRole, Holder: "p"}))
	sim.plannerEpoch = int64(len(sim.records))
	sim.startSide()
	return sim
}

func (sim *simulation) append(record fleetstate.Record) {
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	sim.records = append(sim.records, data)
}

// plan appends a plan record with those of the models that fit, in their order.
func (sim *simulation) plan(models []string) {
	var left int64 = engineSize
	var next []string
	for _, model := range models {
		if modelSizes[model] <= left && !slices.Contains(next, model) {
			left -= modelSizes[model]
			next = append(next, model)
		}
	}
	change := fleetstate.PlanChange{Backend: backend, Load: next}
	for _, model := range sim.planned {
		if !slices.Contains(next, model) {
			change.Drop = append(change.Drop, model)
		}
	}
	record, err := fleetstate.NewPlanRecord(fleetstate.PlanConfig{Epoch: sim.plannerEpoch, Base: sim.planNumber, Changes: []fleetstate.PlanChange{change}})
	if err != nil {
		panic(err)
	}
	sim.append(record)
	sim.planNumber = int64(len(sim.records))
	slices.Sort(next)
	sim.planned = next
}

// side is a side process: its core and the queues of its messages and orders.
type side struct {
	core        *loader.Core
	name        string
	revision    *fleetstate.Revision
	freshAt     map[int64]time.Time // time at which each fleet state was last proven fresh
	pausedUntil time.Time           // end of the side's pause
	stopped     bool
	inbox       []loader.Message
	outbox      []loader.Order
}

func (sim *simulation) startSide() {
	name := fmt.Sprintf("side/%d", len(sim.sides))
	sim.sides = append(sim.sides, &side{name: name, revision: fleetstate.InitialRevision(), freshAt: make(map[int64]time.Time), core: loader.NewCore(loader.CoreConfig{
		Backend: backend, Incarnation: name, ClaimLease: lease, MaxOrderDelay: orderDelay,
		OrderTTL: time.Second, RetryDelay: 3 * time.Second, PollPeriod: 500 * time.Millisecond,
		AdoptionDelay: 10 * time.Second, IdleRetention: 20 * time.Second, UnloadDelay: time.Second, MaxModelLoads: 2,
	})})
}

// advance advances virtual time by one step.
func (sim *simulation) advance() {
	sim.now = sim.now.Add(step)
	sim.engine.advance(sim.now)
	for _, s := range sim.sides {
		if !s.stopped && !sim.now.Before(s.pausedUntil) {
			sim.runSide(s)
		}
	}
}

// runSide runs one step of a side. Orders issued before a pause are sent after it,
// unless they have expired or their fleet state is no longer proven fresh.
func (sim *simulation) runSide(s *side) {
	sim.sendOrders(s)
	if sim.faultless || sim.random.IntN(4) == 0 {
		sim.readLog(s)
	}
	inbox := s.inbox
	s.inbox = nil
	for _, message := range inbox {
		sim.execute(s, s.core.Handle(sim.now, message))
	}
	sim.execute(s, s.core.Tick(sim.now))
	if sim.faultless || sim.random.IntN(2) == 0 {
		sim.sendOrders(s)
	}
}

func (sim *simulation) readLog(s *side) {
	for offset := s.revision.Offset(); offset < int64(len(sim.records)); offset++ {
		// A rejected record leaves the revision as it is.
		s.revision, _ = s.revision.Apply(offset, sim.records[offset])
	}
	s.freshAt[s.revision.StateOffset()] = sim.now
	s.inbox = append(s.inbox, loader.NewRevisionChanged(s.revision))
}

func (sim *simulation) execute(s *side, actions []loader.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case loader.PollState:
			sim.pollState(s)
		case loader.TakeClaim:
			sim.append(fleetstate.NewRecord(fleetstate.RecordConfig{
				Kind: fleetstate.KindClaim, Claim: fleetstate.BackendRole(backend), Holder: s.name, Epoch: a.Epoch(),
			}))
		case loader.Order:
			s.outbox = append(s.outbox, a)
		}
	}
}

// pollState delivers the engine's state, sometimes delayed and so out of order.
func (sim *simulation) pollState(s *side) {
	requestedAt := sim.now
	sim.engine.schedule(sim.now.Add(sim.randomDelay(time.Second)), func() {
		state := sim.engine.state()
		sim.engine.schedule(sim.engine.now.Add(sim.randomDelay(2*time.Second)), func() {
			s.inbox = append(s.inbox, loader.NewStateReported(requestedAt, state))
		})
	})
}

// sendOrders sends the orders that have not expired and whose fleet state is
// proven fresh. Until faultless is set, some are lost or duplicated.
func (sim *simulation) sendOrders(s *side) {
	for _, order := range s.outbox {
		if sim.now.After(order.Expiry()) || sim.now.Sub(s.freshAt[order.StateOffset()]) > lease {
			continue
		}
		copies := 1
		if !sim.faultless {
			copies = []int{0, 1, 1, 1, 2}[sim.random.IntN(5)]
		}
		for range copies {
			sim.engine.schedule(sim.now.Add(sim.randomDelay(orderDelay)), func() { sim.engine.execute(order) })
		}
	}
	s.outbox = nil
}

func (sim *simulation) randomDelay(limit time.Duration) time.Duration {
	if sim.faultless || sim.random.IntN(3) > 0 {
		return 0
	}
	return time.Duration(sim.random.Int64N(int64(limit)))
}

// engine is an engine that accepts every load, even if it does not fit.
type engine struct {
	now     time.Time
	fencing bool
	forgets bool // a restart clears the fencing number
	fence   int64
	loaded  map[string]*loadedItem
	events  []event
	peak    int64
	refused int
}

type loadedItem struct {
	bytes    int64
	phase    loader.Phase
	phaseEnd time.Time
}

type event struct {
	at  time.Time
	run func()
}

func (e *engine) schedule(at time.Time, run func()) {
	e.events = append(e.events, event{at: at, run: run})
}

func (e *engine) advance(now time.Time) {
	e.now = now
	for name, item := range e.loaded {
		switch {
		case now.Before(item.phaseEnd):
		case item.phase == loader.Loading:
			item.phase = loader.Resident
		case item.phase == loader.Unloading:
			delete(e.loaded, name)
		}
	}
	events := e.events
	e.events = nil
	for _, event := range events {
		if event.at.After(now) {
			e.events = append(e.events, event)
			continue
		}
		event.run()
	}
}

func (e *engine) execute(order loader.Order) {
	if e.fencing && order.Fence() < e.fence {
		e.refused++
		return
	}
	e.fence = max(e.fence, order.Fence())
	item, ok := e.loaded[order.Name()]
	switch {
	case order.Verb() == loader.Load && !ok:
		e.loaded[order.Name()] = &loadedItem{bytes: order.Bytes(), phase: loader.Loading, phaseEnd: e.now.Add(loadTime)}
	case order.Verb() == loader.Unload && ok && item.phase != loader.Unloading:
		item.phase, item.phaseEnd = loader.Unloading, e.now.Add(300*time.Millisecond)
	}
	e.peak = max(e.peak, e.used())
}

func (e *engine) used() int64 {
	var bytes int64
	for _, item := range e.loaded {
		bytes += item.bytes
	}
	return bytes
}

func (e *engine) restart() {
	e.loaded = make(map[string]*loadedItem)
	if e.forgets {
		e.fence = 0
	}
}

func (e *engine) state() loader.EngineState {
	config := loader.EngineStateConfig{Fence: e.fence}
	for name, item := range e.loaded {
		config.Holdings = append(config.Holdings, loader.HoldingConfig{Name: name, Bytes: item.bytes, Phase: item.phase})
	}
	return loader.NewEngineState(config)
}

func (e *engine) resident() []string {
	var names []string
	for name, item := range e.loaded {
		if item.phase == loader.Resident {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
