package fleetstate

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Failover lists the models that live backend servers load in addition to the
// plan, because no live one holds them by the plan, and the surplus copies that
// they unload to free memory. Processes with the same plan and the same live
// backend servers compute the same Failover without a planner.
type Failover struct {
	added   map[string][]string // by backend server
	dropped map[string][]string // by backend server
}

// Added returns the models that a backend server holds in addition to the plan.
func (f Failover) Added(backend string) []string { return f.added[backend] }

// Dropped returns the planned models that a backend server unloads.
func (f Failover) Dropped(backend string) []string { return f.dropped[backend] }

// PlanFailover returns the failover for the live backend servers.
func PlanFailover(inventory *Inventory, plan *Plan, live map[string]bool) Failover {
	p := newFailoverPlanner(inventory, plan, live)
	for _, model := range slices.Sorted(maps.Keys(p.footprints)) {
		if p.copies[model] == 0 {
			p.place(model)
		}
	}
	return p.failover
}

// failoverPlanner tracks copies and free memory while models are placed.
type failoverPlanner struct {
	plan       *Plan
	footprints map[string]int64
	copies     map[string]int   // number of live copies by model
	free       map[string]int64 // free bytes by live backend server
	failover   Failover
}

func newFailoverPlanner(inventory *Inventory, plan *Plan, live map[string]bool) *failoverPlanner {
	p := &failoverPlanner{
		plan:       plan,
		footprints: inventory.Footprints(),
		copies:     make(map[string]int),
		free:       make(map[string]int64),
		failover:   Failover{added: make(map[string][]string), dropped: make(map[string][]string)},
	}
	for name, backend := range inventory.backends {
		if !backend.TakesModels() || !live[name] {
			continue
		}
		p.free[name] = backend.memory
		for _, model := range plan.Models(name) {
			p.free[name] -= p.footprints[model]
			p.copies[model]++
		}
	}
	return p
}

// place adds the model to the first backend server in rendezvous order that has
// enough free memory, else to the first that can free enough.
func (p *failoverPlanner) place(model string) {
	order := RendezvousOrder(model, slices.Collect(maps.Keys(p.free)))
	for _, backend := range order {
		if p.free[backend] >= p.footprints[model] {
			p.add(backend, model)
			return
		}
	}
	for _, backend := range order {
		if surplus, ok := p.surplus(backend, p.footprints[model]-p.free[backend]); ok {
			for _, drop := range surplus {
				p.drop(backend, drop)
			}
			p.add(backend, model)
			return
		}
	}
}

// surplus returns models of a backend server that have another live copy and
// together take at least the needed bytes, and whether there are enough.
func (p *failoverPlanner) surplus(backend string, needed int64) ([]string, bool) {
	var chosen []string
	for _, model := range p.plan.Models(backend) {
		if needed <= 0 {
			break
		}
		if p.copies[model] < 2 || slices.Contains(p.failover.dropped[backend], model) {
			continue
		}
		chosen = append(chosen, model)
		needed -= p.footprints[model]
	}
	return chosen, needed <= 0
}

func (p *failoverPlanner) add(backend, model string) {
	p.free[backend] -= p.footprints[model]
	p.copies[model]++
	p.failover.added[backend] = append(p.failover.added[backend], model)
}

func (p *failoverPlanner) drop(backend, model string) {
	p.free[backend] += p.footprints[model]
	p.copies[model]--
	p.failover.dropped[backend] = append(p.failover.dropped[backend], model)
}

// RendezvousOrder returns the names in the order of their rendezvous hashes
// with key, highest first.
func RendezvousOrder(key string, names []string) []string {
	weights := make(map[string]uint64, len(names))
	for _, name := range names {
		weights[name] = xxhash.Sum64String(key + "\x00" + name)
	}
	order := slices.Clone(names)
	slices.SortFunc(order, func(x, y string) int {
		return cmp.Or(cmp.Compare(weights[y], weights[x]), strings.Compare(x, y))
	})
	return order
}
