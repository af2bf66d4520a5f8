package register

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
type Adoption struct {
	taken   map[string][]string // by backend server
	dropped map[string][]string // by backend server
}

// Taken returns the models that a backend server holds beyond the plan.
func (a Adoption) Taken(backend string) []string { return a.taken[backend] }

// Dropped returns the planned models that a backend server gives up.
func (a Adoption) Dropped(backend string) []string { return a.dropped[backend] }

// Adopt returns the adoption for the live backend servers.
func Adopt(inventory *Inventory, plan *Plan, live map[string]bool) Adoption {
	a := newAdopter(inventory, plan, live)
	for _, model := range slices.Sorted(maps.Keys(a.footprints)) {
		if a.copies[model] == 0 {
			a.adopt(model)
		}
	}
	return a.adoption
}

// adopter is responsible for the memory that is left while models are adopted.
type adopter struct {
	plan       *Plan
	footprints map[string]int64
	copies     map[string]int   // live ones, by model
	free       map[string]int64 // bytes, by live backend server
	adoption   Adoption
}

func newAdopter(inventory *Inventory, plan *Plan, live map[string]bool) *adopter {
	a := &adopter{
		plan:       plan,
		footprints: inventory.Footprints(),
		copies:     make(map[string]int),
		free:       make(map[string]int64),
		adoption:   Adoption{taken: make(map[string][]string), dropped: make(map[string][]string)},
	}
	for name, backend := range inventory.backends {
		if !backend.Placed() || !live[name] {
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
func (a *adopter) adopt(model string) {
	order := RendezvousOrder(model, slices.Collect(maps.Keys(a.free)))
	for _, backend := range order {
		if a.free[backend] >= a.footprints[model] {
			a.take(backend, model)
			return
		}
	}
	for _, backend := range order {
		if surplus, ok := a.surplus(backend, a.footprints[model]-a.free[backend]); ok {
			for _, drop := range surplus {
				a.drop(backend, drop)
			}
			a.take(backend, model)
			return
		}
	}
}

// surplus returns models of a backend server that have another live copy and
// together take the bytes that are needed.
func (a *adopter) surplus(backend string, needed int64) ([]string, bool) {
	var chosen []string
	for _, model := range a.plan.Models(backend) {
		if needed <= 0 {
			break
		}
		if a.copies[model] < 2 || slices.Contains(a.adoption.dropped[backend], model) {
			continue
		}
		chosen = append(chosen, model)
		needed -= a.footprints[model]
	}
	return chosen, needed <= 0
}

func (a *adopter) take(backend, model string) {
	a.free[backend] -= a.footprints[model]
	a.copies[model]++
	a.adoption.taken[backend] = append(a.adoption.taken[backend], model)
}

func (a *adopter) drop(backend, model string) {
	a.free[backend] += a.footprints[model]
	a.copies[model]--
	a.adoption.dropped[backend] = append(a.adoption.dropped[backend], model)
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
