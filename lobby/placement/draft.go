package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sesamewell.example/commons/deployment"
)

// maxRelieveCandidates limits how many of the backend servers whose loads cost most are
// considered for relief.
const maxRelieveCandidates = 3

// storeRateShare is the share of the weight store's rate that is planned. The
// rest is left for orders that are executed late.
const storeRateShare = 0.9

// storeBurst is the maximum number of loads from the weight store that are
// planned at once.
const storeBurst = 2

// minDemand is the demand, in engines, above which a model without a copy is
// loaded whatever has to be evicted. Below it, the callers have disconnected by
// the time the model is loaded.
const minDemand = 0.01

// draft is a plan of one service that is improved step by step.
type draft struct {
	engine        deployment.EngineConfig
	demand        map[string]float64
	hosts         []*host
	holders       map[string][]*host // hosts by planned model, without those that are leaving
	memory        map[string]float64 // MB of weights by model
	reserve       float64            // MB that are kept free for adapters
	copies        map[string]int     // planned copies by model, without those on backend servers that are leaving
	capacity      map[string]float64 // sum of the capacities of their hosts by model
	loaded        map[string]int     // those of the copies that are loaded on hosts that run requests at their full rates
	limitedLoaded map[string]float64 // sum of the limited capacities of the hosts that have loaded a model, by model
	parallelLoads int                // number of loads from the weight store that run at full speed in parallel
	pendingLoads  int                // number of planned copies that are not loaded yet and come from the weight store
	changes       []Change
	homes         []homeDemand
	regions       map[string]string  // region of each failure domain
	counted       map[string]float64 // demand that counts for loads, which differs from demand while rates are named
	countedShare  float64            // part of it that the hosts can run
	named         bool               // some hosts name rates
	mostRoom      float64            // largest room of a host
	moving        bool               // only copies count as any last ones, to find those whose move gains
	settling      bool               // limits have just ended, so that no host is relieved
	storeTokens   float64            // number of loads from the weight store that may be planned now
}

// host is one backend server in a draft.
type host struct {
	backend  deployment.Backend
	models   []string
	cold     bool    // serves only its cold rate, so its copies do not count as loaded
	capacity float64 // number of engines that its requests can keep busy, at most one
	room     float64 // capacity that counts for copies that relieve other hosts
	loading  bool    // has planned copies that are not loaded yet, so nothing is evicted there
}

// hostConfig holds the construction parameters of a host.
type hostConfig struct {
	Backend  deployment.Backend
	Cold     bool
	Capacity float64
	Room     float64
	Models   []string // planned models
}

func newDraft(engine deployment.EngineConfig, demand map[string]float64, storeTokens float64) *draft {
	d := &draft{engine: engine, demand: demand, holders: make(map[string][]*host), memory: make(map[string]float64), copies: make(map[string]int), capacity: make(map[string]float64), loaded: make(map[string]int), limitedLoaded: make(map[string]float64), storeTokens: storeTokens, counted: demand, countedShare: 1}
	largestAdapter, longestLoad := 0.0, time.Duration(0)
	for _, model := range engine.Models {
		d.memory[model.Name] = model.Memory
		longestLoad = max(longestLoad, model.LoadTime)
		if model.Adapters > 0 {
			largestAdapter = max(largestAdapter, model.AdapterSize)
		}
	}
	d.parallelLoads = max(int(engine.LoadsPerSec*longestLoad.Seconds()), 1)
	d.reserve = largestAdapter * float64(engine.AdapterSlots)
	return d
}

// limited reports whether a host takes less than an engine can run.
func (h *host) limited() bool { return h.capacity < 1 }

// serves reports whether a host runs requests for a model at its full rate.
func (h *host) serves(model string) bool { return !h.limited() && h.runs(model) }

// runs reports whether a host that is not cold runs requests for a model, if only some.
func (h *host) runs(model string) bool { return !h.cold && h.backend.Holds(model, "") }

// add adds a backend server with its planned models.
func (d *draft) add(config hostConfig) {
	backend := config.Backend
	h := &host{backend: backend, cold: config.Cold, capacity: config.Capacity, room: config.Room, models: slices.Clone(config.Models)}
	for _, model := range config.Models {
		if backend.Leaving() {
			continue
		}
		d.countCopy(h, model)
		d.countLoaded(h, model, 1)
		if backend.Holds(model, "") {
			continue
		}
		h.loading = true
		if !backend.HasLocalCopy(model) {
			d.pendingLoads++
		}
	}
	if !backend.Leaving() {
		d.mostRoom = max(d.mostRoom, h.room)
	}
	d.hosts = append(d.hosts, h)
}

// models returns the planned models by backend server ID.
func (d *draft) models() map[string][]string {
	plan := make(map[string][]string, len(d.hosts))
	for _, h := range d.hosts {
		plan[h.backend.ID()] = h.models
	}
	return plan
}

// restoreMissing places models without a copy, whether in demand or not, in free
// memory or in the place of surplus copies of other models. It uses the weight
// store only while its budget is full.
func (d *draft) restoreMissing() {
	for _, model := range d.engine.Models {
		if d.copies[model.Name] > 0 {
			continue
		}
		reserve := 0.0 // store tokens kept for models in demand
		if d.storeTokens < storeBurst {
			reserve = d.storeTokens
		}
		d.storeTokens -= reserve
		if !d.placeInFreeMemory(model.Name) {
			d.place(model.Name, idleCopyCost)
		}
		d.storeTokens += reserve
	}
}

// placeInFreeMemory places a copy of a model on a backend server with enough free
// memory, and reports whether there was one.
func (d *draft) placeInFreeMemory(model string) bool {
	var best *host
	for _, h := range d.hosts {
		if h.backend.Leaving() || slices.Contains(h.models, model) || d.freeMemory(h) < d.memory[model] || !d.mayLoad(h, model) {
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

// mayLoad reports whether a model may be loaded on a backend server now: from
// its own disk, or from the weight store within the budget.
func (d *draft) mayLoad(h *host, model string) bool {
	return h.backend.HasLocalCopy(model) || d.storeTokens >= 1 && d.pendingLoads < d.parallelLoads
}

// countCopy counts a planned copy of a model on a host.
func (d *draft) countCopy(h *host, model string) {
	d.copies[model]++
	d.capacity[model] += h.capacity
	d.holders[model] = append(d.holders[model], h)
}

// countLoaded adds to the number of loaded copies of a model if a host has one.
func (d *draft) countLoaded(h *host, model string, copies int) {
	switch {
	case h.serves(model):
		d.loaded[model] += copies
	case h.runs(model):
		d.limitedLoaded[model] += float64(copies) * h.capacity
	}
}

// removeCopy removes a copy of a model from a host.
func (d *draft) removeCopy(h *host, model string) {
	d.copies[model]--
	d.capacity[model] -= h.capacity
	d.holders[model] = slices.DeleteFunc(d.holders[model], func(holder *host) bool { return holder == h })
	d.countLoaded(h, model, -1)
	h.models = slices.DeleteFunc(h.models, func(m string) bool { return m == model })
}

// addCopy adds a copy of a model to a host and records the change. The caller
// has removed the dropped models.
func (d *draft) addCopy(h *host, model string, dropped []string) {
	h.models = append(h.models, model)
	h.loading = true
	d.countCopy(h, model)
	d.changes = append(d.changes, NewChange(ChangeConfig{
		Backend: h.backend.ID(), Model: model, Dropped: dropped, Demand: d.demand[model], Copies: d.copies[model], HasLocalCopy: h.backend.HasLocalCopy(model),
	}))
	if !h.backend.HasLocalCopy(model) {
		d.storeTokens--
		d.pendingLoads++
	}
}

// isBetterHost reports whether a is the better host for a copy of a model than b:
// it has a local copy, is not cold, names no rate, holds fewer models, or has less load, in this
// order.
func (d *draft) isBetterHost(a, b *host, model string) bool {
	if localA, localB := a.backend.HasLocalCopy(model), b.backend.HasLocalCopy(model); localA != localB {
		return localA
	}
	if a.cold != b.cold {
		return b.cold
	}
	if a.limited() != b.limited() {
		return b.limited()
	}
	if len(a.models) != len(b.models) {
		return len(a.models) < len(b.models)
	}
	return d.hostLoad(a) < d.hostLoad(b)
}

// freeMemory returns the MB that a backend server has free for models.
func (d *draft) freeMemory(h *host) float64 {
	left := d.engine.Memory - d.reserve
	for _, name := range h.models {
		left -= d.memory[name]
	}
	return left
}

// improve adds copies of models in demand until no further copy helps or may be
// loaded.
func (d *draft) improve() {
	for d.placeDemanded() || d.placeAtHome() || d.relieveBusiest() || d.moveOnlyCopy() {
	}
}

// placeDemanded places one model that is in demand and has no copy, trying those
// in highest demand first.
func (d *draft) placeDemanded() bool {
	var names []string
	for _, model := range d.engine.Models {
		if d.copies[model.Name] == 0 && d.demand[model.Name] > minDemand {
			names = append(names, model.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(d.demand[b], d.demand[a]) })
	return slices.ContainsFunc(names, func(model string) bool { return d.place(model, math.Inf(1)) })
}

// relieveBusiest adds one copy of a model that one of the backend servers holds whose
// loads cost most.
func (d *draft) relieveBusiest() bool {
	if d.settling {
		return false
	}
	return d.forBusiest(func(model string) bool { return d.placeOn(model, -minGain, d.relieves) })
}

// forBusiest calls try with the models of the backend servers whose loads cost most, those
// that load them most first, until it returns true, and reports whether it has.
func (d *draft) forBusiest(try func(model string) bool) bool {
	busiest := make([]hostLoad, 0, len(d.hosts))
	for _, h := range d.hosts {
		if !h.backend.Leaving() {
			load := d.hostLoad(h)
			busiest = append(busiest, hostLoad{host: h, load: load, cost: h.capacity * loadCost(load)})
		}
	}
	slices.SortFunc(busiest, func(a, b hostLoad) int {
		return cmp.Or(cmp.Compare(b.cost, a.cost), cmp.Compare(b.load, a.load))
	})
	return slices.ContainsFunc(busiest[:min(len(busiest), maxRelieveCandidates)], func(b hostLoad) bool {
		models := slices.Clone(b.host.models)
		slices.SortFunc(models, func(a, b string) int { return cmp.Compare(d.loadPerCopy(b), d.loadPerCopy(a)) })
		return slices.ContainsFunc(models, try)
	})
}

// hostLoad is the load of a host and its cost.
type hostLoad struct {
	host *host
	load float64
	cost float64
}

// place adds a copy of a model where that changes the total cost for the better,
// provided that the change is below limit. It evicts other models if needed.
func (d *draft) place(model string, limit float64) bool {
	return d.placeOn(model, limit, func(*host) bool { return true })
}

// placeOn is place on one of the hosts that are allowed.
func (d *draft) placeOn(model string, limit float64, allowed func(h *host) bool) bool {
	target, dropped := d.bestHost(model, limit, allowed)
	if target == nil {
		return false
	}
	for _, name := range dropped {
		d.removeCopy(target, name)
	}
	d.addCopy(target, model, dropped)
	return true
}

// bestHost returns the host that is allowed on which a copy of a model changes the total
// cost most for the better, and the models to evict there. It returns nil if the change is
// nowhere below limit.
func (d *draft) bestHost(model string, limit float64, allowed func(h *host) bool) (best *host, dropped []string) {
	for _, h := range d.hosts {
		if !allowed(h) || h.backend.Leaving() || slices.Contains(h.models, model) || !d.mayLoad(h, model) {
			continue
		}
		evicted, ok := d.evictions(h, model)
		if !ok || h.loading && len(evicted) > 0 {
			continue
		}
		if cost := d.costOf(h, model, evicted); cost < limit {
			best, dropped, limit = h, evicted, cost
		}
	}
	return best, dropped
}

// evictions returns the models to evict from a host to make room for another one,
// the cheapest first. It returns false if the memory does not suffice even without
// them.
func (d *draft) evictions(h *host, model string) (evicted []string, ok bool) {
	left := d.freeMemory(h) - d.memory[model]
	kept := slices.DeleteFunc(slices.Clone(h.models), func(m string) bool { return d.neededAtHome(h, m) })
	for left < 0 && len(kept) > 0 {
		least := slices.MinFunc(kept, func(a, b string) int { return cmp.Compare(d.evictionRank(h, a), d.evictionRank(h, b)) })
		left += d.memory[least]
		evicted = append(evicted, least)
		kept = slices.DeleteFunc(kept, func(m string) bool { return m == least })
	}
	return evicted, left >= 0
}
