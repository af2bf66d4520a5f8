package placement

import "slices"

// countedDemand returns the demand for a model that counts for loads, in engines.
func (d *draft) countedDemand(model string) float64 { return d.counted[model] * d.countedShare }

// limitDemand sets the demand that counts if some hosts name rates. Of what the hosts cannot
// run, the same part of each model's demand counts: otherwise it would always pay to relieve
// some host.
func (d *draft) limitDemand(demand map[string]float64) {
	d.counted = demand
	sum, capacity := 0.0, 0.0
	for _, h := range d.hosts {
		if !h.backend.Leaving() {
			capacity += h.capacity
		}
	}
	for _, model := range d.engine.Models {
		sum += demand[model.Name]
	}
	if d.limited() && sum > fullLoad*capacity {
		d.countedShare = fullLoad * capacity / sum
	}
}

// limited reports whether the capacity of a host is limited.
func (d *draft) limited() bool {
	return slices.ContainsFunc(d.hosts, func(h *host) bool { return !h.backend.Leaving() && h.limited() })
}

// relieves reports whether a host may get copies that relieve others.
func (d *draft) relieves(h *host) bool { return h.room >= minReliefCapacity*d.mostRoom }

// moveOnlyCopy adds a copy, on a host whose capacity is limited, of a model whose only copy
// is in the place of one that would relieve others. It is evicted there when the new copy
// is loaded.
func (d *draft) moveOnlyCopy() bool {
	if !d.limited() {
		return false
	}
	return d.forBusiest(func(model string) bool {
		d.moving = true
		_, blocking := d.bestHost(model, -minGain, d.relieves)
		d.moving = false
		return slices.ContainsFunc(blocking, func(name string) bool {
			return d.demand[name] > minDemand && d.mayMove(name) && d.placeOn(name, onlyCopyCost/2, (*host).limited)
		})
	})
}

// mayMove reports whether no copy of a model is pending and one more on a host with a limited
// capacity can make up for the eviction of another.
func (d *draft) mayMove(model string) bool {
	for _, h := range d.holders[model] {
		if !h.backend.Holds(model, "") {
			return false
		}
	}
	room := 0.0
	for _, h := range d.hosts {
		if h.limited() {
			room = max(room, h.capacity)
		}
	}
	return d.limitedLoaded[model]+room >= d.countedDemand(model)
}
