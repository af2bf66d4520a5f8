package hall_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/side/hall"
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
type world struct {
	now     time.Time
	random  *rand.Rand
	calm    bool // nothing is lost, late or double any more
	engine  *engine
	records [][]byte
	sides   []*side
	planned []string
	planner int64 // epoch
	base    int64 // number of the plan
}

func newWorld(seed uint64, fencing bool) *world {
	w := &world{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1))}
	w.engine = &engine{fencing: fencing, held: make(map[string]*held)}
	check := map[bool]string{true: "yes", false: "no"}[fencing]
	var text strings.Builder
	fmt.Fprintf(&text, "[backend %s]\nkind = engine\nmemory = %d\nslots = 4\nfencing = %s\n", backend, engineSize, check)
	for name, size := range modelSizes {
		fmt.Fprintf(&text, "[model %s]\nmemory = %d\n", name, size)
	}
	w.append(fleetstate.NewRecord(fleetstate.RecordConfig{Kind: fleetstate.KindReplace, Inventory: text.String()}))
	w.append(fleetstate.NewRecord(fleetstate.RecordConfig{Kind: fleetstate.KindClaim, Claim: fleetstate.PlannerRole, Holder: "p"}))
	w.planner = int64(len(w.records))
	w.startSide()
	return w
}

func (w *world) append(record fleetstate.Record) {
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	w.records = append(w.records, data)
}

// plan appends a plan that holds the models, as far as they fit.
func (w *world) plan(models []string) {
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
	record, err := fleetstate.NewPlanRecord(fleetstate.PlanConfig{Epoch: w.planner, Base: w.base, Changes: []fleetstate.PlanChange{change}})
	if err != nil {
		panic(err)
	}
	w.append(record)
	w.base = int64(len(w.records))
	slices.Sort(next)
	w.planned = next
}

// side is one side process with its order thread.
type side struct {
	core     *hall.Core
	name     string
	revision *fleetstate.Revision
	proven   map[int64]time.Time // when it last knew a state of the register to be current
	paused   time.Time           // until when it stands still
	dead     bool
	inbox    []hall.Message
	outbox   []hall.Order
}

func (w *world) startSide() {
	name := fmt.Sprintf("side/%d", len(w.sides))
	w.sides = append(w.sides, &side{name: name, revision: fleetstate.InitialRevision(), proven: make(map[int64]time.Time), core: hall.NewCore(hall.CoreConfig{
		Backend: backend, Incarnation: name, Lease: lease, OrderDelay: orderDelay,
		SendLimit: time.Second, Retry: 3 * time.Second, Period: 500 * time.Millisecond,
		Grace: 10 * time.Second, Linger: 20 * time.Second, Settle: time.Second, Loads: 2,
	})})
}

// advance lets one step of time pass.
func (w *world) advance() {
	w.now = w.now.Add(step)
	w.engine.advance(w.now)
	for _, s := range w.sides {
		if !s.dead && !w.now.Before(s.paused) {
			w.run(s)
		}
	}
}

// run lets a side do what is due. Orders decided before a pause are sent after
// it, if at all: the order thread checks the proof and the expiry.
func (w *world) run(s *side) {
	w.send(s)
	if w.calm || w.random.IntN(4) == 0 {
		w.read(s)
	}
	inbox := s.inbox
	s.inbox = nil
	for _, message := range inbox {
		w.carryOut(s, s.core.Handle(w.now, message))
	}
	w.carryOut(s, s.core.Tick(w.now))
	if w.calm || w.random.IntN(2) == 0 {
		w.send(s)
	}
}

func (w *world) read(s *side) {
	for offset := s.revision.Offset(); offset < int64(len(w.records)); offset++ {
		// A rejected record leaves the revision as it is.
		s.revision, _ = s.revision.Apply(offset, w.records[offset])
	}
	s.proven[s.revision.StateOffset()] = w.now
	s.inbox = append(s.inbox, hall.NewRevised(s.revision))
}

func (w *world) carryOut(s *side, actions []hall.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case hall.Look:
			w.look(s)
		case hall.TakeClaim:
			w.append(fleetstate.NewRecord(fleetstate.RecordConfig{
				Kind: fleetstate.KindClaim, Claim: fleetstate.BackendRole(backend), Holder: s.name, Epoch: a.Epoch(),
			}))
		case hall.Order:
			s.outbox = append(s.outbox, a)
		}
	}
}

// look answers with the engine's state, sometimes late and so out of order.
func (w *world) look(s *side) {
	asked := w.now
	w.engine.at(w.now.Add(w.delay(time.Second)), func() {
		state := w.engine.state()
		w.engine.at(w.engine.now.Add(w.delay(2*time.Second)), func() {
			s.inbox = append(s.inbox, hall.NewReported(asked, state))
		})
	})
}

// send is the order thread: it sends what is neither too old nor decided from a
// state of the register that may no longer stand.
func (w *world) send(s *side) {
	for _, order := range s.outbox {
		if w.now.After(order.Expiry()) || w.now.Sub(s.proven[order.State()]) > lease {
			continue
		}
		copies := 1
		if !w.calm {
			copies = []int{0, 1, 1, 1, 2}[w.random.IntN(5)]
		}
		for range copies {
			w.engine.at(w.now.Add(w.delay(orderDelay)), func() { w.engine.take(order) })
		}
	}
	s.outbox = nil
}

func (w *world) delay(limit time.Duration) time.Duration {
	if w.calm || w.random.IntN(3) > 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(limit)))
}

// engine is an engine that takes every load, whether it fits or not.
type engine struct {
	now     time.Time
	fencing bool
	fence   int64
	held    map[string]*held
	events  []event
	peak    int64
	refused int
}

type held struct {
	bytes int64
	phase hall.Phase
	done  time.Time
}

type event struct {
	at time.Time
	do func()
}

func (e *engine) at(at time.Time, do func()) { e.events = append(e.events, event{at: at, do: do}) }

func (e *engine) advance(now time.Time) {
	e.now = now
	for name, h := range e.held {
		switch {
		case now.Before(h.done):
		case h.phase == hall.Loading:
			h.phase = hall.Resident
		case h.phase == hall.Unloading:
			delete(e.held, name)
		}
	}
	events := e.events
	e.events = nil
	for _, event := range events {
		if event.at.After(now) {
			e.events = append(e.events, event)
			continue
		}
		event.do()
	}
}

func (e *engine) take(order hall.Order) {
	if e.fencing && order.Fence() < e.fence {
		e.refused++
		return
	}
	e.fence = max(e.fence, order.Fence())
	h, ok := e.held[order.Name()]
	switch {
	case order.Verb() == hall.Load && !ok:
		e.held[order.Name()] = &held{bytes: order.Bytes(), phase: hall.Loading, done: e.now.Add(loadTime)}
	case order.Verb() == hall.Unload && ok && h.phase != hall.Unloading:
		h.phase, h.done = hall.Unloading, e.now.Add(300*time.Millisecond)
	}
	e.peak = max(e.peak, e.used())
}

func (e *engine) used() int64 {
	var bytes int64
	for _, h := range e.held {
		bytes += h.bytes
	}
	return bytes
}

func (e *engine) restart() { e.held = make(map[string]*held) }

func (e *engine) state() hall.State {
	config := hall.StateConfig{Fence: e.fence}
	for name, h := range e.held {
		config.Holdings = append(config.Holdings, hall.HoldingConfig{Name: name, Bytes: h.bytes, Phase: h.phase})
	}
	return hall.NewState(config)
}

func (e *engine) resident() []string {
	var names []string
	for name, h := range e.held {
		if h.phase == hall.Resident {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
