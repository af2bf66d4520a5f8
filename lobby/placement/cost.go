package placement

// The cost of a plan is the sum of the costs of its hosts' loads. It is lower the
// more evenly the load is spread, and a copy of a model pays as long as it lowers
// the sum, however many copies there are already. The demand for a model divides over its
// copies by the capacities of their hosts.

// minGain is the reduction of the total load cost from which on a model gets
// another copy. Below it, the benefit does not justify the load.
const minGain = 0.05

// storeLoadCost is the extra cost of a load from the weight store over one from
// the backend server's own disk.
const storeLoadCost = 0.02

// coldHostCost is the extra cost of a copy on a backend server that is cold, and serves only
// its cold rate at first, or names a rate.
const coldHostCost = 0.02

// idleCopyCost is the cost of evicting the last copy of a model without demand.
const idleCopyCost = 0.05

// demandedCopyCost is the cost of evicting the last loaded copy of a model in demand,
// and lastCopyFactor what is added to it as a multiple of the demand.
const (
	demandedCopyCost = 0.5
	lastCopyFactor   = 4
)

// onlyCopyCost is the cost of evicting the only copy of a model in demand while capacities
// are limited, which is more than the relief of other hosts can gain.
const onlyCopyCost = 1e6

// unloadCost is the cost of evicting a copy as a multiple of its load: an engine
// unloads a model only when the running requests for it have ended.
const unloadCost = 0.5

const (
	// fullLoad is the load from which on requests have to wait for a free slot at
	// times, and overloadFactor the weight of the load beyond it.
	fullLoad       = 0.7
	overloadFactor = 5
)

// loadCost returns the cost of a load on one host. It grows with the square of the
// load, since every request waits for those that share its engine, and steeply once
// slots run short.
func loadCost(load float64) float64 {
	beyond := max(load-fullLoad, 0)
	return load*load + overloadFactor*beyond*beyond
}

// costOf returns by how much the cost of the plan changes if a host gets a copy of
// a model in place of the evicted ones. It includes the cost of the load itself and
// that of evicting last copies.
func (d *draft) costOf(target *host, model string, evicted []string) float64 {
	demand, capacity := d.countedDemand(model), d.capacity[model]
	perCapacity := demand / (capacity + target.capacity)
	load := d.hostLoad(target) + perCapacity
	cost := 0.0
	if !target.backend.HasLocalCopy(model) {
		cost += storeLoadCost
	}
	if target.cold || target.limited() {
		cost += coldHostCost
	}
	for _, name := range evicted {
		load -= d.loadPerCopy(name)
		cost += d.evictionCost(target, name)
	}
	cost += target.capacity * (loadCost(load) - loadCost(d.hostLoad(target)))
	if d.copies[model] > 0 {
		cost += d.shiftCost(target, model, perCapacity-demand/capacity)
	}
	return cost
}

// shiftCost returns by how much the cost changes if each copy of a model outside
// the given host gets the given load in addition.
func (d *draft) shiftCost(except *host, model string, added float64) float64 {
	cost := 0.0
	for _, h := range d.holders[model] {
		if h != except {
			load := d.hostLoad(h)
			cost += h.capacity * (loadCost(load+added) - loadCost(load))
		}
	}
	return cost
}

// evictionCost returns by how much the cost rises if a copy of a model is evicted
// from the given host, apart from the load that it takes off that host. Copies that
// are planned but not loaded, or on a backend server that is cold or names a rate, cannot
// take over its load.
func (d *draft) evictionCost(h *host, model string) float64 {
	if !h.backend.Holds(model, "") {
		return d.shiftCost(h, model, d.evictionLoad(h, model))
	}
	if d.loadedElsewhere(h, model) < 1 {
		return d.lastCopyCost(h, model)
	}
	return d.shiftCost(h, model, d.evictionLoad(h, model)) + unloadCost*h.capacity*d.loadPerCopy(model)
}

// loadedElsewhere returns the number of loaded copies of a model on other hosts.
func (d *draft) loadedElsewhere(h *host, model string) int {
	if h.serves(model) {
		return d.loaded[model] - 1
	}
	return d.loaded[model]
}

// lastCopyCost returns the cost of evicting the last loaded copy of a model that a host has,
// apart from those on hosts with limited capacities.
func (d *draft) lastCopyCost(h *host, model string) float64 {
	if d.demand[model] > minDemand {
		if d.named && !d.moving && d.limitedElsewhere(h, model) < d.countedDemand(model) {
			return onlyCopyCost
		}
		return demandedCopyCost + lastCopyFactor*d.countedDemand(model)
	}
	return idleCopyCost
}

// limitedElsewhere returns the capacity of the other hosts with limited capacities that have
// loaded a model.
func (d *draft) limitedElsewhere(h *host, model string) float64 {
	if h.limited() && h.runs(model) {
		return d.limitedLoaded[model] - h.capacity
	}
	return d.limitedLoaded[model]
}

// evictionLoad returns the load that the eviction of a host's copy of a model adds to
// each of its other copies. While the host is cold, they have most of its load already.
func (d *draft) evictionLoad(h *host, model string) float64 {
	if h.cold {
		return d.loadPerCopy(model)
	}
	demand, copies := d.countedDemand(model), float64(d.loaded[model])
	if h.limited() && copies >= 1 {
		return demand/copies - demand/(copies+h.capacity)
	}
	if copies <= 1 {
		return demand
	}
	return demand/(copies-1) - demand/copies
}

// evictionRank orders the models of a host for eviction, the cheapest first.
func (d *draft) evictionRank(h *host, model string) float64 {
	if d.loadedElsewhere(h, model) < 1 {
		return d.lastCopyCost(h, model)
	}
	return d.evictionLoad(h, model)
}

// loadPerCopy returns the load that the demand for a model puts on each host that holds
// it.
func (d *draft) loadPerCopy(model string) float64 {
	if d.copies[model] == 0 {
		return d.countedDemand(model)
	}
	return d.countedDemand(model) / d.capacity[model]
}

// hostLoad returns the load that the planned models put on a host, as a part of its
// capacity.
func (d *draft) hostLoad(h *host) float64 {
	sum := 0.0
	for _, model := range h.models {
		sum += d.loadPerCopy(model)
	}
	return sum
}
