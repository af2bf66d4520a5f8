package placement

import (
	"cmp"
	"slices"

	"sesamewell.example/commons/deployment"
)

// hysteresis is the factor by which the load of a backend server must exceed
// that of another before a model is copied to the other one.
const hysteresis = 1.25

// minRelievedLoad is the load, as a share of its slots, from which on a backend
// server is relieved by further copies. Below it, the benefit does not justify the
// loads.
const minRelievedLoad = 0.5

// missingModelLoad is the load, in engines, that stands for a model in demand
// without a copy.
const missingModelLoad = 1000.0

// maxRelieveCandidates limits how many of the most loaded backend servers are
// considered for relief.
const maxRelieveCandidates = 3

// storeRateShare is the share of the weight store's rate that is planned. The
// rest is left for orders that are executed late.
const storeRateShare = 0.9

// storeBurst is the maximum number of loads from the weight store that are
// planned at once.
const storeBurst = 2

// storeLoadCost is the extra cost, in engines, of a load from the weight store
// over one from the backend server's own disk.
const storeLoadCost = 0.02

// idleCopyCost is the cost, in engines, of evicting the last copy of a model
// without demand.
const idleCopyCost = 0.05

// minDemand is the demand, in engines, above which a model without a copy is
// loaded whatever has to be evicted. Below it, the callers have disconnected by
// the time the model is loaded.
const minDemand = 0.01

// draft is a plan of one service that is improved step by step.
type draft struct {
	engine       deployment.EngineConfig
	demand       map[string]float64
	hosts        []*host
	copies       map[string]int // planned copies by model, without those on backend servers that are leaving
	pendingLoads int            // number of planned copies that are not loaded yet
	changes      []Change
	storeTokens  float64 // number of loads from the weight store that may be planned now
}

// host is one backend server in a draft.
type host struct {
	backend deployment.Backend
	models  []string
	fixed   bool // gets no further changes: it is leaving or has loads pending
}

func newDraft(engine deployment.EngineConfig, demand map[string]float64, storeTokens float64) *draft {
	return &draft{engine: engine, demand: demand, copies: make(map[string]int), storeTokens: storeTokens}
}

// add adds a backend server with its planned models.
func (d *draft) add(backend deployment.Backend, models []string) {
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
// store only while its budget is full and another parallel load is allowed.
func (d *draft) restoreMissing() {
	for _, model := range d.engine.Models {
		if d.copies[model.Name] > 0 {
			continue
		}
		reserve := 0.0 // store tokens kept for models in demand
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

// placeInFreeMemory places a copy of a model on a backend server with enough free
// memory, and reports whether there was one.
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

// mayLoad reports whether a model may be loaded on a backend server now: from
// its own disk, or from the weight store within the budget.
func (d *draft) mayLoad(h *host, model string) bool {
	return d.storeTokens >= 1 || h.backend.HasLocalCopy(model)
}

// addCopy adds a copy of a model to a host and records the change. The caller
// has removed the dropped models.
func (d *draft) addCopy(h *host, model string, dropped []string) {
	h.models = append(h.models, model)
	h.fixed = true
	d.copies[model]++
	d.changes = append(d.changes, NewChange(ChangeConfig{
		Backend: h.backend.ID(), Model: model, Dropped: dropped, Demand: d.demand[model], Copies: d.copies[model], HasLocalCopy: h.backend.HasLocalCopy(model),
	}))
	if !h.backend.HasLocalCopy(model) {
		d.storeTokens--
	}
}

// isBetterHost reports whether a is the better host for a copy of a model than b:
// it has a local copy, holds fewer models, or has less load, in this order.
func (d *draft) isBetterHost(a, b *host, model string) bool {
	if localA, localB := a.backend.HasLocalCopy(model), b.backend.HasLocalCopy(model); localA != localB {
		return localA
	}
	if len(a.models) != len(b.models) {
		return len(a.models) < len(b.models)
	}
	return d.hostLoad(a) < d.hostLoad(b)
}

// freeMemory returns the MB that a backend server has free for models.
func (d *draft) freeMemory(h *host) float64 {
	left := d.engine.Memory - d.adapterReserve()
	for _, name := range h.models {
		left -= d.modelMemory(name)
	}
	return left
}

// improve adds copies of models in demand until the limit of parallel loads is
// reached or no change helps.
func (d *draft) improve() {
	for d.pendingLoads < d.maxParallelLoads() && (d.placeDemanded() || d.relieveBusiest()) {
		d.pendingLoads++
	}
}

// maxParallelLoads returns the number of loads that run at full speed in
// parallel.
func (d *draft) maxParallelLoads() int {
	longest := 0.0
	for _, model := range d.engine.Models {
		longest = max(longest, model.LoadTime.Seconds())
	}
	return max(int(d.engine.LoadsPerSec*longest), 1)
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
	return slices.ContainsFunc(names, func(model string) bool { return d.place(model, missingModelLoad) })
}

// relieveBusiest adds one copy of a model that one of the most loaded backend
// servers holds.
func (d *draft) relieveBusiest() bool {
	loaded := slices.DeleteFunc(slices.Clone(d.hosts), func(h *host) bool {
		return h.backend.Leaving() || d.hostLoad(h) < minRelievedLoad
	})
	slices.SortFunc(loaded, func(a, b *host) int { return cmp.Compare(d.hostLoad(b), d.hostLoad(a)) })
	return slices.ContainsFunc(loaded[:min(len(loaded), maxRelieveCandidates)], d.relieveHost)
}

// relieveHost adds one copy of a model that the host holds, trying those that
// load it most first.
func (d *draft) relieveHost(h *host) bool {
	models := slices.Clone(h.models)
	slices.SortFunc(models, func(a, b string) int { return cmp.Compare(d.loadPerCopy(b), d.loadPerCopy(a)) })
	return slices.ContainsFunc(models, func(model string) bool { return d.place(model, d.hostLoad(h)) })
}

// place adds a copy of a model on the backend server with the lowest resulting
// load, provided that it is lower than the given load by the factor hysteresis.
// It evicts other models if needed.
func (d *draft) place(model string, load float64) bool {
	var best *host
	var dropped []string
	least := load / hysteresis
	for _, h := range d.hosts {
		if h.fixed || slices.Contains(h.models, model) || !d.mayLoad(h, model) {
			continue
		}
		evicted, cost, ok := d.evictions(h, model)
		if !ok {
			continue
		}
		if !h.backend.HasLocalCopy(model) {
			cost += storeLoadCost
		}
		load := d.hostLoad(h) + d.demand[model]/float64(d.copies[model]+1) + cost
		for _, name := range evicted {
			load -= d.loadPerCopy(name)
		}
		if d.copies[model] == 0 {
			load = cost // demand for a model without a copy comes to any host that gets it
		}
		if load < least {
			best, dropped, least = h, evicted, load
		}
	}
	if best == nil {
		return false
	}
	for _, name := range dropped {
		d.copies[name]--
		best.models = slices.DeleteFunc(best.models, func(m string) bool { return m == name })
	}
	d.addCopy(best, model, dropped)
	return true
}

// evictions returns the models to evict from a host to make room for another one,
// the cheapest first, and their total cost in engines. It returns false if the
// memory does not suffice even without them.
func (d *draft) evictions(h *host, model string) (evicted []string, cost float64, ok bool) {
	left := d.freeMemory(h) - d.modelMemory(model)
	kept := slices.Clone(h.models)
	for left < 0 && len(kept) > 0 {
		least := slices.MinFunc(kept, func(a, b string) int { return cmp.Compare(d.evictionCost(a), d.evictionCost(b)) })
		left += d.modelMemory(least)
		cost += d.evictionCost(least)
		evicted = append(evicted, least)
		kept = slices.DeleteFunc(kept, func(m string) bool { return m == least })
	}
	return evicted, cost, left >= 0
}

// evictionCost returns the load, in engines, that the eviction of one copy of a
// model adds to the other copies; for the last copy, a multiple of its demand.
func (d *draft) evictionCost(model string) float64 {
	demand, copies := d.demand[model], float64(d.copies[model])
	if copies <= 1 {
		return max(4*demand, idleCopyCost)
	}
	return demand/(copies-1) - demand/copies
}

// loadPerCopy returns the demand for a model that each of its copies serves, in
// engines.
func (d *draft) loadPerCopy(model string) float64 {
	return d.demand[model] / float64(max(d.copies[model], 1))
}

// hostLoad returns the load that the planned models put on a host, in engines.
func (d *draft) hostLoad(h *host) float64 {
	sum := 0.0
	for _, model := range h.models {
		sum += d.loadPerCopy(model)
	}
	return sum
}

// modelMemory returns the MB of a model's weights, 0 if it is not configured.
func (d *draft) modelMemory(name string) float64 {
	for _, model := range d.engine.Models {
		if model.Name == name {
			return model.Memory
		}
	}
	return 0
}

// adapterReserve returns the MB that are kept free for adapters.
func (d *draft) adapterReserve() float64 {
	largest := 0.0
	for _, model := range d.engine.Models {
		if model.Adapters > 0 {
			largest = max(largest, model.AdapterSize)
		}
	}
	return largest * float64(d.engine.AdapterSlots)
}
