package fleetstate

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Adoption says which models live backend servers take up beyond the plan,
// because no live one holds them by the plan, and which surplus copies make
// room for them. Processes that see the same plan and the same live backend
// servers come to the same adoption without a planner.
type Failover struct {
	added   map[string][]string // by backend server
	dropped map[string][]string // by backend server
}

// Taken returns the models that a backend server holds beyond the plan.
func (a Failover) Added(backend string) []string { return a.added[backend] }

// Dropped returns the planned models that a backend server gives up.
func (a Failover) Dropped(backend string) []string { return a.dropped[backend] }

// Adopt returns the adoption for the live backend servers.
func PlanFailover(inventory *Inventory, plan *Plan, live map[string]bool) Failover {
	a := newFailoverPlanner(inventory, plan, live)
	for _, model := range slices.Sorted(maps.Keys(a.footprints)) {
		if a.copies[model] == 0 {
			a.place(model)
		}
	}
	return a.failover
}

// adopter is responsible for the memory that is left while models are adopted.
type failoverPlanner struct {
	plan       *Plan
	footprints map[string]int64
	copies     map[string]int   // live ones, by model
	free       map[string]int64 // bytes, by live backend server
	failover   Failover
}

func newFailoverPlanner(inventory *Inventory, plan *Plan, live map[string]bool) *failoverPlanner {
	a := &failoverPlanner{
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
		a.free[name] = backend.memory
		for _, model := range plan.Models(name) {
			a.free[name] -= a.footprints[model]
			a.copies[model]++
		}
	}
	return a
}

// adopt gives the model to the first backend server by rendezvous hashing that
// has room, else to the first that can make room.
func (a *failoverPlanner) place(model string) {
	order := RendezvousOrder(model, slices.Collect(maps.Keys(a.free)))
	for _, backend := range order {
		if a.free[backend] >= a.footprints[model] {
			a.add(backend, model)
			return
		}
	}
	for _, backend := range order {
		if surplus, ok := a.surplus(backend, a.footprints[model]-a.free[backend]); ok {
			for _, drop := range surplus {
				a.drop(backend, drop)
			}
			a.add(backend, model)
			return
		}
	}
}

// surplus returns models of a backend server that have another live copy and
// together take the bytes that are needed.
func (a *failoverPlanner) surplus(backend string, needed int64) ([]string, bool) {
	var chosen []string
	for _, model := range a.plan.Models(backend) {
		if needed <= 0 {
			break
		}
		if a.copies[model] < 2 || slices.Contains(a.failover.dropped[backend], model) {
			continue
		}
		chosen = append(chosen, model)
		needed -= a.footprints[model]
	}
	return chosen, needed <= 0
}

func (a *failoverPlanner) add(backend, model string) {
	a.free[backend] -= a.footprints[model]
	a.copies[model]++
	a.failover.added[backend] = append(a.failover.added[backend], model)
}

func (a *failoverPlanner) drop(backend, model string) {
	a.free[backend] += a.footprints[model]
	a.copies[model]--
	a.failover.dropped[backend] = append(a.failover.dropped[backend], model)
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
