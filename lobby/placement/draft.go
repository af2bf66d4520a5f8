package placement

import (
	"cmp"
	"slices"

	"sesamewell.example/commons/charter"
)

// slack is by how much a backend server's load must exceed that of another
// before a model is copied there.
const hysteresis = 1.25

// comfortable is the share of its slots that a backend server may have taken
// before copies for its sake are worth their loads.
const minRelievedLoad = 0.5

// missing is what a model without a copy counts that is asked for, in engines.
const missingModelLoad = 1000.0

// relieved is the number of loaded backend servers that are looked at in turn.
const maxRelieveCandidates = 3

// storeShare is the part of the weight store's rate that is planned for: orders
// that are carried out late come on top.
const storeRateShare = 0.9

// storeBurst is the number of loads from the weight store that may be planned
// at once.
const storeBurst = 2

// storeCost is what a load from the weight store counts against one from the
// backend server's own disk, in engines.
const storeLoadCost = 0.02

// standby is what the last copy of a model counts that nobody asks for, in
// engines.
const idleCopyCost = 0.05

// wanted is the demand, in engines, from which on a model without a copy is
// loaded whatever has to go. Below it, whoever asked has left by then.
const minDemand = 0.01

// draft is responsible for improving the plan of one service step by step.
type draft struct {
	engine       charter.EngineConfig
	demand       map[string]float64
	hosts        []*host
	copies       map[string]int // planned, at backend servers that stay
	pendingLoads int            // planned models that are not held yet
	changes      []Change
	storeTokens  float64 // loads from the weight store that may be planned now
}

// host is one backend server in a draft.
type host struct {
	backend charter.Backend
	models  []string
	fixed   bool // it leaves, or has not carried out its plan yet
}

func newDraft(engine charter.EngineConfig, asked map[string]float64, store float64) *draft {
	return &draft{engine: engine, demand: asked, copies: make(map[string]int), storeTokens: store}
}

func (d *draft) add(backend charter.Backend, models []string) {
	h := &host{backend: backend, models: slices.Clone(models), fixed: backend.Leaving()}
	for _, model := range models {
		if backend.Leaving() {
			continue
		}
		d.copies[model]++
		if !backend.Holds(model, "") {
			d.pendingLoads++
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
func (d *draft) restoreMissing() {
	for _, model := range d.engine.Models {
		if d.copies[model.Name] > 0 {
			continue
		}
		reserve := 0.0 // loads from the store that are kept for models in demand
		if d.storeTokens < storeBurst || d.pendingLoads >= d.maxParallelLoads() {
			reserve = d.storeTokens
		}
		d.storeTokens -= reserve
		if d.placeInFreeMemory(model.Name) || d.place(model.Name, hysteresis*idleCopyCost) {
			d.pendingLoads++
		}
		d.storeTokens += reserve
	}
}

// settle plans a copy of a model where there is room for it, at a backend server
// that has it on hand if there is one, else at the least loaded.
func (d *draft) placeInFreeMemory(model string) bool {
	var best *host
	for _, h := range d.hosts {
		if h.backend.Leaving() || slices.Contains(h.models, model) || d.freeMemory(h) < d.modelMemory(model) || !d.mayLoad(h, model) {
			continue
		}
		if best == nil || d.isBetterHost(h, best, model) {
			best = h
		}
	}
	if best == nil {
		return false
	}
	d.addCopy(best, model, nil)
	return true
}

// loads reports whether a model may be loaded at a backend server now.
func (d *draft) mayLoad(h *host, model string) bool {
	return d.storeTokens >= 1 || h.backend.OnHand(model)
}

// plan adds a copy of a model in the place of others.
func (d *draft) addCopy(h *host, model string, dropped []string) {
	h.models = append(h.models, model)
	h.fixed = true
	d.copies[model]++
	d.changes = append(d.changes, NewChange(ChangeConfig{
		Backend: h.backend.ID(), Model: model, Dropped: dropped, Demand: d.demand[model], Copies: d.copies[model], OnHand: h.backend.OnHand(model),
	}))
	if !h.backend.OnHand(model) {
		d.storeTokens--
	}
}

func (d *draft) isBetterHost(a, b *host, model string) bool {
	if onA, onB := a.backend.OnHand(model), b.backend.OnHand(model); onA != onB {
		return onA
	}
	if len(a.models) != len(b.models) {
		return len(a.models) < len(b.models)
	}
	return d.hostLoad(a) < d.hostLoad(b)
}

// free returns the MB that a backend server has left for models.
func (d *draft) freeMemory(h *host) float64 {
	left := d.engine.Memory - d.adapterReserve()
	for _, name := range h.models {
		left -= d.modelMemory(name)
	}
	return left
}

// improve makes as many changes for the models in demand as loads may be under
// way.
func (d *draft) improve() {
	for d.pendingLoads < d.maxParallelLoads() && (d.placeDemanded() || d.relieveBusiest()) {
		d.pendingLoads++
	}
}

// atOnce returns how many loads run at full speed beside each other.
func (d *draft) maxParallelLoads() int {
	longest := 0.0
	for _, model := range d.engine.Models {
		longest = max(longest, model.Load.Seconds())
	}
	return max(int(d.engine.LoadsPerSec*longest), 1)
}

// placeMissing places a model that is asked for and has no copy, the most wanted
// first.
func (d *draft) placeDemanded() bool {
	var names []string
	for _, model := range d.engine.Models {
		if d.copies[model.Name] == 0 && d.demand[model.Name] > minDemand {
			names = append(names, model.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(d.demand[b], d.demand[a]) })
	return slices.ContainsFunc(names, func(model string) bool { return d.place(model, missingModelLoad) })
}

// relieve copies a model away from one of the most loaded backend servers.
func (d *draft) relieveBusiest() bool {
	loaded := slices.DeleteFunc(slices.Clone(d.hosts), func(h *host) bool {
		return h.backend.Leaving() || d.hostLoad(h) < minRelievedLoad
	})
	slices.SortFunc(loaded, func(a, b *host) int { return cmp.Compare(d.hostLoad(b), d.hostLoad(a)) })
	return slices.ContainsFunc(loaded[:min(len(loaded), maxRelieveCandidates)], d.relieveHost)
}

func (d *draft) relieveHost(h *host) bool {
	models := slices.Clone(h.models)
	slices.SortFunc(models, func(a, b string) int { return cmp.Compare(d.loadPerCopy(b), d.loadPerCopy(a)) })
	return slices.ContainsFunc(models, func(model string) bool { return d.place(model, d.hostLoad(h)) })
}

// place plans a copy of a model at the backend server that is left with the
// least load, if that is well below the load that the copy relieves.
func (d *draft) place(model string, load float64) bool {
	var best *host
	var out []string
	least := load / hysteresis
	for _, h := range d.hosts {
		if h.fixed || slices.Contains(h.models, model) || !d.mayLoad(h, model) {
			continue
		}
		gone, cost, ok := d.evictions(h, model)
		if !ok {
			continue
		}
		if !h.backend.OnHand(model) {
			cost += storeLoadCost
		}
		load := d.hostLoad(h) + d.demand[model]/float64(d.copies[model]+1) + cost
		for _, name := range gone {
			load -= d.loadPerCopy(name)
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
	d.addCopy(best, model, out)
	return true
}

// room returns the models that would have to go for another one, those first
// that are missed least, and the load that their going adds elsewhere.
func (d *draft) evictions(h *host, model string) (gone []string, cost float64, ok bool) {
	left := d.freeMemory(h) - d.modelMemory(model)
	kept := slices.Clone(h.models)
	for left < 0 && len(kept) > 0 {
		least := slices.MinFunc(kept, func(a, b string) int { return cmp.Compare(d.evictionCost(a), d.evictionCost(b)) })
		left += d.modelMemory(least)
		cost += d.evictionCost(least)
		gone = append(gone, least)
		kept = slices.DeleteFunc(kept, func(m string) bool { return m == least })
	}
	return gone, cost, left >= 0
}

// loss returns what the going of one copy costs, in engines.
func (d *draft) evictionCost(model string) float64 {
	asked, copies := d.demand[model], float64(d.copies[model])
	if copies <= 1 {
		return max(4*asked, idleCopyCost)
	}
	return asked/(copies-1) - asked/copies
}

// part returns what one copy of a model gets.
func (d *draft) loadPerCopy(model string) float64 {
	return d.demand[model] / float64(max(d.copies[model], 1))
}

func (d *draft) hostLoad(h *host) float64 {
	sum := 0.0
	for _, model := range h.models {
		sum += d.loadPerCopy(model)
	}
	return sum
}

func (d *draft) modelMemory(name string) float64 {
	for _, model := range d.engine.Models {
		if model.Name == name {
			return model.Memory
		}
	}
	return 0
}

// adapters returns the MB that are kept free for adapters.
func (d *draft) adapterReserve() float64 {
	largest := 0.0
	for _, model := range d.engine.Models {
		if model.Adapters > 0 {
			largest = max(largest, model.Adapter)
		}
	}
	return largest * float64(d.engine.Places)
}
