package placement

import (
	"slices"

	"sesamewell.example/commons/fleetstate"
)

// Limits on copies beyond the first one of each model. A copy is added when the
// demand exceeds highUtilization of what the model's copies can serve. It may be
// evicted for other models when the demand on the remaining copies stays below
// lowUtilization.
const (
	minCopies       = 2 // copies, and failure domains that they are spread over
	highUtilization = 0.6
	lowUtilization  = 0.3
)

// draft computes one decision: the changes to the plan in force.
type draft struct {
	topology     topology
	plan         *fleetstate.Plan
	demand       map[string]float64 // tokens per second, by model
	maxLoads     int                // loads that the changes may order
	pendingLoads int                // planned copies that are not resident yet
	loads        int                // loads that the changes order

	live        map[string]map[string]bool // resident models, by live backend server
	freeMemory  map[string]int64           // bytes, by live backend server
	backendLoad map[string]float64         // tokens per second, by live backend server
	copies      map[string][]string        // live backend servers with a planned copy, by model
	down        map[string][]string        // backend servers that are down but not yet expired, by model
	changes     map[string]*fleetstate.PlanChange
	changed     []string // names of the backend servers in changes
}

func newDraft(t topology, plan *fleetstate.Plan, demand map[string]float64) *draft {
	d := &draft{
		topology:    t,
		plan:        plan,
		demand:      demand,
		live:        make(map[string]map[string]bool, len(t.backends)),
		freeMemory:  make(map[string]int64, len(t.backends)),
		backendLoad: make(map[string]float64, len(t.backends)),
		copies:      make(map[string][]string, len(t.models)),
		down:        make(map[string][]string),
		changes:     make(map[string]*fleetstate.PlanChange),
	}
	return d
}

// addLive adds a live backend server and its planned copies. A copy whose load
// is overdue takes memory but does not count as a copy.
func (d *draft) addLive(backend string, resident map[string]bool, overdue func(model string) bool) {
	d.live[backend] = resident
	d.freeMemory[backend] = d.topology.memory[backend]
	for _, model := range d.plan.Models(backend) {
		bytes, ok := d.topology.bytes[model]
		if !ok {
			continue
		}
		d.freeMemory[backend] -= bytes
		if overdue(model) {
			continue
		}
		d.copies[model] = append(d.copies[model], backend)
		if !resident[model] {
			d.pendingLoads++
		}
	}
}

// addDown adds the planned copies of a backend server that is down and may
// soon be back.
func (d *draft) addDown(backend string) {
	for _, model := range d.plan.Models(backend) {
		d.down[model] = append(d.down[model], backend)
	}
}

// decide computes the changes by priority, up to maxLoads loads: first a live
// copy of each model, then a copy in a second failure domain, then copies for
// demand.
func (d *draft) decide() {
	d.dropUnknown()
	d.distributeDemand()
	for _, step := range []func(model string){d.ensureLiveCopy, d.ensureSecondDomain, d.addForDemand} {
		for _, model := range d.topology.models {
			if d.maxLoads > d.loads {
				step(model)
			}
		}
	}
}

// dropUnknown drops the copies whose model or backend server is no longer in
// the inventory.
func (d *draft) dropUnknown() {
	for _, backend := range d.plan.Backends() {
		_, known := d.topology.memory[backend]
		for _, model := range d.plan.Models(backend) {
			if _, ok := d.topology.bytes[model]; !ok || !known {
				d.change(backend).Drop = append(d.change(backend).Drop, model)
			}
		}
	}
}

// distributeDemand splits the demand for each model evenly among its copies and
// sums it up for each backend server.
func (d *draft) distributeDemand() {
	for model, backends := range d.copies {
		slices.Sort(backends)
		for _, backend := range backends {
			d.backendLoad[backend] += d.demand[model] / float64(len(backends))
		}
	}
}

// ensureLiveCopy plans a copy of a model that has no live one. It prefers a
// backend server where the model is resident without being planned, which costs
// no load.
func (d *draft) ensureLiveCopy(model string) {
	if len(d.copies[model]) > 0 {
		return
	}
	for _, backend := range d.topology.backends {
		if d.live[backend][model] && d.freeMemory[backend] >= d.topology.bytes[model] {
			d.addCopy(model, backend)
			return
		}
	}
	if d.placeInFreeMemory(model, nil) {
		return
	}
	d.placeByEviction(model, nil, d.hasOtherCopy)
}

// ensureSecondDomain plans a copy of a model in a second failure domain, or on a
// second backend server if no other domain has room. Copies on backend servers
// that may soon be back count.
func (d *draft) ensureSecondDomain(model string) {
	held := append(slices.Clone(d.copies[model]), d.down[model]...)
	domains := d.domains(held)
	if len(domains) >= minCopies {
		return
	}
	if d.placeInFreeMemory(model, domains) || d.placeByEviction(model, domains, d.isSurplus) || len(held) >= minCopies {
		return
	}
	d.placeInFreeMemory(model, nil)
}

// addForDemand plans another copy of a model whose copies are above
// highUtilization.
func (d *draft) addForDemand(model string) {
	n := float64(len(d.copies[model]))
	if d.demand[model] <= highUtilization*d.topology.copyRate*n {
		return
	}
	if !d.placeInFreeMemory(model, nil) {
		d.placeByEviction(model, nil, d.isSurplus)
	}
}

// domains returns the distinct failure domains of backend servers.
func (d *draft) domains(backends []string) []string {
	var domains []string
	for _, backend := range backends {
		if domain := d.topology.domains[backend]; !slices.Contains(domains, domain) {
			domains = append(domains, domain)
		}
	}
	return domains
}

// placeInFreeMemory loads a model on the least loaded live backend server that
// has enough free memory and is in none of the excluded failure domains. It
// reports whether there is one.
func (d *draft) placeInFreeMemory(model string, excludedDomains []string) bool {
	best := ""
	for _, backend := range d.topology.backends {
		if d.canHost(model, backend, excludedDomains) && d.freeMemory[backend] >= d.topology.bytes[model] && (best == "" || d.isBetterHost(backend, best)) {
			best = backend
		}
	}
	if best == "" {
		return false
	}
	d.loadCopy(model, best)
	return true
}

// isBetterHost reports whether x is preferred to y: by less load, then by more
// free memory.
func (d *draft) isBetterHost(x, y string) bool {
	if d.backendLoad[x] != d.backendLoad[y] {
		return d.backendLoad[x] < d.backendLoad[y]
	}
	return d.freeMemory[x] > d.freeMemory[y]
}

// canHost reports whether a backend server is live, has no copy of the model and
// is in none of the excluded failure domains.
func (d *draft) canHost(model, backend string, excludedDomains []string) bool {
	_, live := d.live[backend]
	return live && !slices.Contains(d.copies[model], backend) && !slices.Contains(excludedDomains, d.topology.domains[backend])
}

// placeByEviction loads a model on the live backend server where the fewest
// copies of other models must be dropped for it. It reports whether there is
// one.
func (d *draft) placeByEviction(model string, excludedDomains []string, mayDrop func(model, backend string) bool) bool {
	best, fewest := "", []string(nil)
	for _, backend := range d.topology.backends {
		if !d.canHost(model, backend, excludedDomains) {
			continue
		}
		dropped, ok := d.evictions(backend, d.topology.bytes[model]-d.freeMemory[backend], mayDrop)
		if ok && (best == "" || len(dropped) < len(fewest)) {
			best, fewest = backend, dropped
		}
	}
	if best == "" {
		return false
	}
	for _, other := range fewest {
		d.dropCopy(other, best)
	}
	d.loadCopy(model, best)
	return true
}

// evictions returns models whose copies on a backend server may be dropped to
// free the needed bytes, and whether they suffice.
func (d *draft) evictions(backend string, needed int64, mayDrop func(model, backend string) bool) ([]string, bool) {
	var dropped []string
	for _, model := range d.plan.Models(backend) {
		if needed <= 0 {
			break
		}
		if slices.Contains(d.copies[model], backend) && mayDrop(model, backend) {
			dropped = append(dropped, model)
			needed -= d.topology.bytes[model]
		}
	}
	return dropped, needed <= 0
}

// hasOtherCopy reports whether a model is planned and resident on another live
// backend server.
func (d *draft) hasOtherCopy(model, backend string) bool {
	return slices.ContainsFunc(d.copies[model], func(other string) bool {
		return other != backend && d.live[other][model]
	})
}

// isSurplus reports whether a copy can be dropped: the others are spread over
// enough failure domains, one of them is resident, and they stay below
// lowUtilization.
func (d *draft) isSurplus(model, backend string) bool {
	rest := slices.DeleteFunc(slices.Clone(d.copies[model]), func(other string) bool { return other == backend })
	safe := len(d.domains(rest)) >= minCopies
	return safe && d.hasOtherCopy(model, backend) && d.demand[model] < lowUtilization*d.topology.copyRate*float64(len(rest))
}

// loadCopy plans a copy that has to be loaded.
func (d *draft) loadCopy(model, backend string) {
	d.addCopy(model, backend)
	d.loads++
}

// addCopy plans a copy, whether it is resident already or has to be loaded.
func (d *draft) addCopy(model, backend string) {
	d.change(backend).Load = append(d.change(backend).Load, model)
	d.freeMemory[backend] -= d.topology.bytes[model]
	d.copies[model] = append(d.copies[model], backend)
	d.backendLoad[backend] += d.demand[model] / float64(len(d.copies[model]))
}

// dropCopy drops a copy from the plan.
func (d *draft) dropCopy(model, backend string) {
	d.change(backend).Drop = append(d.change(backend).Drop, model)
	d.freeMemory[backend] += d.topology.bytes[model]
	d.copies[model] = slices.DeleteFunc(d.copies[model], func(other string) bool { return other == backend })
}

// change returns the change of a backend server, which it creates if need be.
func (d *draft) change(backend string) *fleetstate.PlanChange {
	change, ok := d.changes[backend]
	if !ok {
		change = &fleetstate.PlanChange{Backend: backend}
		d.changes[backend] = change
		d.changed = append(d.changed, backend)
	}
	return change
}

// planChanges returns the changes, sorted by name of the backend server.
func (d *draft) planChanges() []fleetstate.PlanChange {
	slices.Sort(d.changed)
	var changes []fleetstate.PlanChange
	for _, backend := range d.changed {
		changes = append(changes, *d.changes[backend])
	}
	return changes
}
