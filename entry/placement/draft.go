package placement

import (
	"slices"

	"sesamewell.example/commons/register"
)

// Limits on copies beyond those that keep a model reachable. A copy is added
// above highShare of what its copies can serve, and given up for others when
// one copy less would stay below lowShare.
const (
	minCopies       = 2
	highUtilization = 0.6
	lowUtilization  = 0.3
)

// draft is responsible for one decision: the plan in force, and the changes
// that are made to it.
type draft struct {
	topology     topology
	plan         *register.Plan
	demand       map[string]float64
	maxLoads     int // loads that may still begin
	pendingLoads int
	loads        int

	live        map[string]map[string]bool // residents, by live backend server
	freeMemory  map[string]int64           // bytes, by live backend server
	backendLoad map[string]float64         // tokens per second, by live backend server
	copies      map[string][]string        // live backend servers, by model
	absent      map[string][]string        // backend servers that are down for a while, by model
	changes     map[string]*register.PlanChange
	changed     []string // backend servers with changes, in their order
}

func newDraft(l topology, plan *register.Plan, demand map[string]float64) *draft {
	d := &draft{
		topology:    l,
		plan:        plan,
		demand:      demand,
		live:        make(map[string]map[string]bool, len(l.backends)),
		freeMemory:  make(map[string]int64, len(l.backends)),
		backendLoad: make(map[string]float64, len(l.backends)),
		copies:      make(map[string][]string, len(l.models)),
		absent:      make(map[string][]string),
		changes:     make(map[string]*register.PlanChange),
	}
	return d
}

// addLive counts the planned copies of a live backend server. Those that are
// overdue only take memory.
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

// addAbsent counts the copies of a backend server that may soon be back.
func (d *draft) addAbsent(backend string) {
	for _, model := range d.plan.Models(backend) {
		d.absent[model] = append(d.absent[model], backend)
	}
}

// decide makes the changes that matter most, as far as loads are allowed: a
// live copy for each model, then one in a second failure domain, then copies
// for demand.
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

// clean drops what is not described any more.
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

// share sums up the demand that falls to each backend server.
func (d *draft) distributeDemand() {
	for model, backends := range d.copies {
		slices.Sort(backends)
		for _, backend := range backends {
			d.backendLoad[backend] += d.demand[model] / float64(len(backends))
		}
	}
}

// reach gives a model without a live copy one. A backend server that holds the
// model without a plan keeps it, which costs no load.
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

// secure gives a model a copy in a second failure domain, where memory allows,
// else on a second backend server. Copies on backend servers that may soon be
// back count.
func (d *draft) ensureSecondDomain(model string) {
	held := append(slices.Clone(d.copies[model]), d.absent[model]...)
	domains := d.domains(held)
	if len(domains) >= minCopies {
		return
	}
	if d.placeInFreeMemory(model, domains) || d.placeByEviction(model, domains, d.isSurplus) || len(held) >= minCopies {
		return
	}
	d.placeInFreeMemory(model, nil)
}

// grow adds a copy for demand.
func (d *draft) addForDemand(model string) {
	n := float64(len(d.copies[model]))
	if d.demand[model] <= highUtilization*d.topology.copyRate*n {
		return
	}
	if !d.placeInFreeMemory(model, nil) {
		d.placeByEviction(model, nil, d.isSurplus)
	}
}

// domains returns the failure domains of backend servers.
func (d *draft) domains(backends []string) []string {
	var domains []string
	for _, backend := range backends {
		if domain := d.topology.domains[backend]; !slices.Contains(domains, domain) {
			domains = append(domains, domain)
		}
	}
	return domains
}

// place loads a model at the least loaded live backend server that has room and
// stands in none of the failure domains.
func (d *draft) placeInFreeMemory(model string, without []string) bool {
	best := ""
	for _, backend := range d.topology.backends {
		if d.canHost(model, backend, without) && d.freeMemory[backend] >= d.topology.bytes[model] && (best == "" || d.isBetterHost(backend, best)) {
			best = backend
		}
	}
	if best == "" {
		return false
	}
	d.loadCopy(model, best)
	return true
}

// better reports whether x is to be preferred to y: by load, then by room.
func (d *draft) isBetterHost(x, y string) bool {
	if d.backendLoad[x] != d.backendLoad[y] {
		return d.backendLoad[x] < d.backendLoad[y]
	}
	return d.freeMemory[x] > d.freeMemory[y]
}

// suits reports whether a live backend server may take another copy.
func (d *draft) canHost(model, backend string, without []string) bool {
	_, live := d.live[backend]
	return live && !slices.Contains(d.copies[model], backend) && !slices.Contains(without, d.topology.domains[backend])
}

// makeRoom loads a model where the fewest copies that may be given up make room
// for it.
func (d *draft) placeByEviction(model string, without []string, mayDrop func(model, backend string) bool) bool {
	best, fewest := "", []string(nil)
	for _, backend := range d.topology.backends {
		if !d.canHost(model, backend, without) {
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

// droppable returns copies that may be given up and take the bytes needed.
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

// isSpare reports whether a model keeps another copy that serves already.
func (d *draft) hasOtherCopy(model, backend string) bool {
	return slices.ContainsFunc(d.copies[model], func(other string) bool {
		return other != backend && d.live[other][model]
	})
}

// isSurplus reports whether a copy is needed neither for safety nor for demand.
func (d *draft) isSurplus(model, backend string) bool {
	rest := slices.DeleteFunc(slices.Clone(d.copies[model]), func(other string) bool { return other == backend })
	safe := len(d.domains(rest)) >= minCopies
	return safe && d.hasOtherCopy(model, backend) && d.demand[model] < lowUtilization*d.topology.copyRate*float64(len(rest))
}

// add loads a model.
func (d *draft) loadCopy(model, backend string) {
	d.addCopy(model, backend)
	d.loads++
}

// keep plans a copy that the backend server holds or will load.
func (d *draft) addCopy(model, backend string) {
	d.change(backend).Load = append(d.change(backend).Load, model)
	d.freeMemory[backend] -= d.topology.bytes[model]
	d.copies[model] = append(d.copies[model], backend)
	d.backendLoad[backend] += d.demand[model] / float64(len(d.copies[model]))
}

// drop gives a copy up.
func (d *draft) dropCopy(model, backend string) {
	d.change(backend).Drop = append(d.change(backend).Drop, model)
	d.freeMemory[backend] += d.topology.bytes[model]
	d.copies[model] = slices.DeleteFunc(d.copies[model], func(other string) bool { return other == backend })
}

func (d *draft) change(backend string) *register.PlanChange {
	change, ok := d.changes[backend]
	if !ok {
		change = &register.PlanChange{Backend: backend}
		d.changes[backend] = change
		d.changed = append(d.changed, backend)
	}
	return change
}

// result returns the changes in the order of the backend servers.
func (d *draft) planChanges() []register.PlanChange {
	slices.Sort(d.changed)
	var changes []register.PlanChange
	for _, backend := range d.changed {
		changes = append(changes, *d.changes[backend])
	}
	return changes
}
