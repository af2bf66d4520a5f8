package planner

import (
	"cmp"
	"slices"

	"sesamewell.example/commons/charter"
)

// slack is by how much a backend server's load must exceed that of another
// before a model is copied there.
const slack = 1.25

// comfortable is the share of its slots that a backend server may have taken
// before copies for its sake are worth their loads.
const comfortable = 0.5

// missing is what a model without a copy counts that is asked for, in engines.
const missing = 1000.0

// relieved is the number of loaded backend servers that are looked at in turn.
const relieved = 3

// storeShare is the part of the weight store's rate that is planned for: orders
// that are carried out late come on top.
const storeShare = 0.9

// storeBurst is the number of loads from the weight store that may be planned
// at once.
const storeBurst = 2

// storeCost is what a load from the weight store counts against one from the
// backend server's own disk, in engines.
const storeCost = 0.02

// standby is what the last copy of a model counts that nobody asks for, in
// engines.
const standby = 0.05

// wanted is the demand, in engines, from which on a model without a copy is
// loaded whatever has to go. Below it, whoever asked has left by then.
const wanted = 0.01

// draft is responsible for improving the plan of one service step by step.
type draft struct {
	engine  charter.EngineConfig
	asked   map[string]float64
	hosts   []*host
	copies  map[string]int // planned, at backend servers that stay
	moving  int            // planned models that are not held yet
	changes []Change
	store   float64 // loads from the weight store that may be planned now
}

// host is one backend server in a draft.
type host struct {
	backend charter.Backend
	models  []string
	fixed   bool // it leaves, or has not carried out its plan yet
}

func newDraft(engine charter.EngineConfig, asked map[string]float64, store float64) *draft {
	return &draft{engine: engine, asked: asked, copies: make(map[string]int), store: store}
}

func (d *draft) add(backend charter.Backend, models []string) {
	h := &host{backend: backend, models: slices.Clone(models), fixed: backend.Leaving()}
	for _, model := range models {
		if backend.Leaving() {
			continue
		}
		d.copies[model]++
		if !backend.Holds(model, "") {
			d.moving++
			h.fixed = true
		}
	}
	d.hosts = append(d.hosts, h)
}

// models returns the plan by backend server.
func (d *draft) models() map[string][]string {
	plan := make(map[string][]string, len(d.hosts))
	for _, h := range d.hosts {
		plan[h.backend.ID()] = h.models
	}
	return plan
}

// restore gives models that have no copy back to backend servers: where there
// is room, or something is held in more copies than it is asked for. The weight
// store is used only while nothing else needs it.
func (d *draft) restore() {
	for _, model := range d.engine.Models {
		if d.copies[model.Name] > 0 {
			continue
		}
		reserve := 0.0 // loads from the store that are kept for models in demand
		if d.store < storeBurst || d.moving >= d.atOnce() {
			reserve = d.store
		}
		d.store -= reserve
		if d.settle(model.Name) || d.place(model.Name, slack*standby) {
			d.moving++
		}
		d.store += reserve
	}
}

// settle plans a copy of a model where there is room for it, at a backend server
// that has it on hand if there is one, else at the least loaded.
func (d *draft) settle(model string) bool {
	var best *host
	for _, h := range d.hosts {
		if h.backend.Leaving() || slices.Contains(h.models, model) || d.free(h) < d.memory(model) || !d.loads(h, model) {
			continue
		}
		if best == nil || d.nearer(h, best, model) {
			best = h
		}
	}
	if best == nil {
		return false
	}
	d.plan(best, model, nil)
	return true
}

// loads reports whether a model may be loaded at a backend server now.
func (d *draft) loads(h *host, model string) bool {
	return d.store >= 1 || h.backend.OnHand(model)
}

// plan adds a copy of a model in the place of others.
func (d *draft) plan(h *host, model string, dropped []string) {
	h.models = append(h.models, model)
	h.fixed = true
	d.copies[model]++
	d.changes = append(d.changes, NewChange(ChangeConfig{
		Backend: h.backend.ID(), Model: model, Dropped: dropped, Asked: d.asked[model], Copies: d.copies[model], OnHand: h.backend.OnHand(model),
	}))
	if !h.backend.OnHand(model) {
		d.store--
	}
}

func (d *draft) nearer(a, b *host, model string) bool {
	if onA, onB := a.backend.OnHand(model), b.backend.OnHand(model); onA != onB {
		return onA
	}
	if len(a.models) != len(b.models) {
		return len(a.models) < len(b.models)
	}
	return d.load(a) < d.load(b)
}

// free returns the MB that a backend server has left for models.
func (d *draft) free(h *host) float64 {
	left := d.engine.Memory - d.adapters()
	for _, name := range h.models {
		left -= d.memory(name)
	}
	return left
}

// improve makes as many changes for the models in demand as loads may be under
// way.
func (d *draft) improve() {
	for d.moving < d.atOnce() && (d.placeMissing() || d.relieve()) {
		d.moving++
	}
}

// atOnce returns how many loads run at full speed beside each other.
func (d *draft) atOnce() int {
	longest := 0.0
	for _, model := range d.engine.Models {
		longest = max(longest, model.Load.Seconds())
	}
	return max(int(d.engine.LoadsPerSec*longest), 1)
}

// placeMissing places a model that is asked for and has no copy, the most wanted
// first.
func (d *draft) placeMissing() bool {
	var names []string
	for _, model := range d.engine.Models {
		if d.copies[model.Name] == 0 && d.asked[model.Name] > wanted {
			names = append(names, model.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(d.asked[b], d.asked[a]) })
	return slices.ContainsFunc(names, func(model string) bool { return d.place(model, missing) })
}

// relieve copies a model away from one of the most loaded backend servers.
func (d *draft) relieve() bool {
	loaded := slices.DeleteFunc(slices.Clone(d.hosts), func(h *host) bool {
		return h.backend.Leaving() || d.load(h) < comfortable
	})
	slices.SortFunc(loaded, func(a, b *host) int { return cmp.Compare(d.load(b), d.load(a)) })
	return slices.ContainsFunc(loaded[:min(len(loaded), relieved)], d.relieveOne)
}

func (d *draft) relieveOne(h *host) bool {
	models := slices.Clone(h.models)
	slices.SortFunc(models, func(a, b string) int { return cmp.Compare(d.part(b), d.part(a)) })
	return slices.ContainsFunc(models, func(model string) bool { return d.place(model, d.load(h)) })
}

// place plans a copy of a model at the backend server that is left with the
// least load, if that is well below the load that the copy relieves.
func (d *draft) place(model string, load float64) bool {
	var best *host
	var out []string
	least := load / slack
	for _, h := range d.hosts {
		if h.fixed || slices.Contains(h.models, model) || !d.loads(h, model) {
			continue
		}
		gone, cost, ok := d.room(h, model)
		if !ok {
			continue
		}
		if !h.backend.OnHand(model) {
			cost += storeCost
		}
		load := d.load(h) + d.asked[model]/float64(d.copies[model]+1) + cost
		for _, name := range gone {
			load -= d.part(name)
		}
		if d.copies[model] == 0 {
			load = cost // it is asked for wherever it is
		}
		if load < least {
			best, out, least = h, gone, load
		}
	}
	if best == nil {
		return false
	}
	for _, name := range out {
		d.copies[name]--
		best.models = slices.DeleteFunc(best.models, func(m string) bool { return m == name })
	}
	d.plan(best, model, out)
	return true
}

// room returns the models that would have to go for another one, those first
// that are missed least, and the load that their going adds elsewhere.
func (d *draft) room(h *host, model string) (gone []string, cost float64, ok bool) {
	left := d.free(h) - d.memory(model)
	kept := slices.Clone(h.models)
	for left < 0 && len(kept) > 0 {
		least := slices.MinFunc(kept, func(a, b string) int { return cmp.Compare(d.loss(a), d.loss(b)) })
		left += d.memory(least)
		cost += d.loss(least)
		gone = append(gone, least)
		kept = slices.DeleteFunc(kept, func(m string) bool { return m == least })
	}
	return gone, cost, left >= 0
}

// loss returns what the going of one copy costs, in engines.
func (d *draft) loss(model string) float64 {
	asked, copies := d.asked[model], float64(d.copies[model])
	if copies <= 1 {
		return max(4*asked, standby)
	}
	return asked/(copies-1) - asked/copies
}

// part returns what one copy of a model gets.
func (d *draft) part(model string) float64 {
	return d.asked[model] / float64(max(d.copies[model], 1))
}

func (d *draft) load(h *host) float64 {
	sum := 0.0
	for _, model := range h.models {
		sum += d.part(model)
	}
	return sum
}

func (d *draft) memory(name string) float64 {
	for _, model := range d.engine.Models {
		if model.Name == name {
			return model.Memory
		}
	}
	return 0
}

// adapters returns the MB that are kept free for adapters.
func (d *draft) adapters() float64 {
	largest := 0.0
	for _, model := range d.engine.Models {
		if model.Adapters > 0 {
			largest = max(largest, model.Adapter)
		}
	}
	return largest * float64(d.engine.Places)
}
