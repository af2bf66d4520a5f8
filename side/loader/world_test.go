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

// modelSizes are the models of the inventory with their bytes.
var modelSizes = map[string]int64{"a": 6, "b": 5, "c": 4, "d": 4, "e": 3, "f": 2}

// world is one backend server, the log, and the sides that were ever started,
// in virtual time.
type simulation struct {
	now          time.Time
	random       *rand.Rand
	faultless    bool // nothing is lost, late or double any more
	engine       *engine
	records      [][]byte
	sides        []*side
	planned      []string
	plannerEpoch int64 // epoch
	planNumber   int64 // number of the plan
}

func newSimulation(seed uint64, fencing bool) *simulation {
	w := &simulation{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1))}
	w.engine = &engine{fencing: fencing, loaded: make(map[string]*loadedItem)}
	check := map[bool]string{true: "yes", false: "no"}[fencing]
	var text strings.Builder
	fmt.Fprintf(&text, "[backend %s]\nkind = engine\nmemory = %d\nslots = 4\nfencing = %s\n", backend, engineSize, check)
	for name, size := range modelSizes {
		fmt.Fprintf(&text, "[model %s]\nmemory = %d\n", name, size)
	}
	w.append(fleetstate.NewRecord(fleetstate.RecordConfig{Kind: fleetstate.KindReplace, Inventory: text.String()}))
	w.append(fleetstate.NewRecord(fleetstate.RecordConfig{Kind: fleetstate.KindClaim, Claim: fleetstate.PlannerRole, Holder: "p"}))
	w.plannerEpoch = int64(len(w.records))
	w.startSide()
	return w
}

func (w *simulation) append(record fleetstate.Record) {
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	w.records = append(w.records, data)
}

// plan appends a plan that holds the models, as far as they fit.
func (w *simulation) plan(models []string) {
	var left int64 = engineSize
	var next []string
	for _, model := range models {
		if modelSizes[model] <= left && !slices.Contains(next, model) {
			left -= modelSizes[model]
			next = append(next, model)
		}
	}
	change := fleetstate.PlanChange{Backend: backend, Load: next}
	for _, model := range w.planned {
		if !slices.Contains(next, model) {
			change.Drop = append(change.Drop, model)
		}
	}
	record, err := fleetstate.NewPlanRecord(fleetstate.PlanConfig{Epoch: w.plannerEpoch, Base: w.planNumber, Changes: []fleetstate.PlanChange{change}})
	if err != nil {
		panic(err)
	}
	w.append(record)
	w.planNumber = int64(len(w.records))
	slices.Sort(next)
	w.planned = next
}

// side is one side process with its order thread.
type side struct {
	core        *loader.Core
	name        string
	revision    *fleetstate.Revision
	freshAt     map[int64]time.Time // when it last knew a state of the register to be current
	pausedUntil time.Time           // until when it stands still
	stopped     bool
	inbox       []loader.Message
	outbox      []loader.Order
}

func (w *simulation) startSide() {
	name := fmt.Sprintf("side/%d", len(w.sides))
	w.sides = append(w.sides, &side{name: name, revision: fleetstate.InitialRevision(), freshAt: make(map[int64]time.Time), core: loader.NewCore(loader.CoreConfig{
		Backend: backend, Incarnation: name, ClaimLease: lease, MaxOrderDelay: orderDelay,
		OrderTTL: time.Second, RetryInterval: 3 * time.Second, PollPeriod: 500 * time.Millisecond,
		AdoptionDelay: 10 * time.Second, IdleRetention: 20 * time.Second, UnloadDelay: time.Second, MaxModelLoads: 2,
	})})
}

// advance lets one step of time pass.
func (w *simulation) advance() {
	w.now = w.now.Add(step)
	w.engine.advance(w.now)
	for _, s := range w.sides {
		if !s.stopped && !w.now.Before(s.pausedUntil) {
			w.runSide(s)
		}
	}
}

// run lets a side do what is due. Orders decided before a pause are sent after
// it, if at all: the order thread checks the proof and the expiry.
func (w *simulation) runSide(s *side) {
	w.sendOrders(s)
	if w.faultless || w.random.IntN(4) == 0 {
		w.readLog(s)
	}
	inbox := s.inbox
	s.inbox = nil
	for _, message := range inbox {
		w.perform(s, s.core.Handle(w.now, message))
	}
	w.perform(s, s.core.Tick(w.now))
	if w.faultless || w.random.IntN(2) == 0 {
		w.sendOrders(s)
	}
}

func (w *simulation) readLog(s *side) {
	for offset := s.revision.Offset(); offset < int64(len(w.records)); offset++ {
		// A rejected record leaves the revision as it is.
		s.revision, _ = s.revision.Apply(offset, w.records[offset])
	}
	s.freshAt[s.revision.StateOffset()] = w.now
	s.inbox = append(s.inbox, loader.NewRevisionChanged(s.revision))
}

func (w *simulation) perform(s *side, actions []loader.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case loader.PollState:
			w.pollState(s)
		case loader.TakeClaim:
			w.append(fleetstate.NewRecord(fleetstate.RecordConfig{
				Kind: fleetstate.KindClaim, Claim: fleetstate.BackendRole(backend), Holder: s.name, Epoch: a.Epoch(),
			}))
		case loader.Order:
			s.outbox = append(s.outbox, a)
		}
	}
}

// look answers with the engine's state, sometimes late and so out of order.
func (w *simulation) pollState(s *side) {
	asked := w.now
	w.engine.schedule(w.now.Add(w.randomDelay(time.Second)), func() {
		state := w.engine.state()
		w.engine.schedule(w.engine.now.Add(w.randomDelay(2*time.Second)), func() {
			s.inbox = append(s.inbox, loader.NewStateReported(asked, state))
		})
	})
}

// send is the order thread: it sends what is neither too old nor decided from a
// state of the register that may no longer stand.
func (w *simulation) sendOrders(s *side) {
	for _, order := range s.outbox {
		if w.now.After(order.Expiry()) || w.now.Sub(s.freshAt[order.StateOffset()]) > lease {
			continue
		}
		copies := 1
		if !w.faultless {
			copies = []int{0, 1, 1, 1, 2}[w.random.IntN(5)]
		}
		for range copies {
			w.engine.schedule(w.now.Add(w.randomDelay(orderDelay)), func() { w.engine.execute(order) })
		}
	}
	s.outbox = nil
}

func (w *simulation) randomDelay(limit time.Duration) time.Duration {
	if w.faultless || w.random.IntN(3) > 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(limit)))
}

// engine is an engine that takes every load, whether it fits or not.
type engine struct {
	now     time.Time
	fencing bool
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

func (e *engine) schedule(at time.Time, do func()) {
	e.events = append(e.events, event{at: at, run: do})
}

func (e *engine) advance(now time.Time) {
	e.now = now
	for name, h := range e.loaded {
		switch {
		case now.Before(h.phaseEnd):
		case h.phase == loader.Loading:
			h.phase = loader.Resident
		case h.phase == loader.Unloading:
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
	h, ok := e.loaded[order.Name()]
	switch {
	case order.Verb() == loader.Load && !ok:
		e.loaded[order.Name()] = &loadedItem{bytes: order.Bytes(), phase: loader.Loading, phaseEnd: e.now.Add(loadTime)}
	case order.Verb() == loader.Unload && ok && h.phase != loader.Unloading:
		h.phase, h.phaseEnd = loader.Unloading, e.now.Add(300*time.Millisecond)
	}
	e.peak = max(e.peak, e.used())
}

func (e *engine) used() int64 {
	var bytes int64
	for _, h := range e.loaded {
		bytes += h.bytes
	}
	return bytes
}

func (e *engine) restart() { e.loaded = make(map[string]*loadedItem) }

func (e *engine) state() loader.EngineState {
	config := loader.EngineStateConfig{Fence: e.fence}
	for name, h := range e.loaded {
		config.Holdings = append(config.Holdings, loader.HoldingConfig{Name: name, Bytes: h.bytes, Phase: h.phase})
	}
	return loader.NewEngineState(config)
}

func (e *engine) resident() []string {
	var names []string
	for name, h := range e.loaded {
		if h.phase == loader.Resident {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
