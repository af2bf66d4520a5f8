package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/fleetstate"
)

// targetTokenInterval is the target for the time between two tokens of one
// answer.
const targetTokenInterval = 48 * time.Millisecond

// topology is the part of an inventory that planning needs. It is computed once
// for each inventory.
type topology struct {
	models   []string          // names, largest model first
	bytes    map[string]int64  // memory that a copy takes, by model
	backends []string          // names of the backend servers that take models by plan
	memory   map[string]int64  // memory in bytes, by backend server
	domains  map[string]string // failure domain, by backend server
	copyRate float64           // tokens per second that one copy can serve
}

func newTopology(inventory *fleetstate.Inventory) topology {
	t := topology{bytes: inventory.Footprints(), memory: make(map[string]int64), domains: make(map[string]string)}
	for _, model := range inventory.Models() {
		t.models = append(t.models, model.Name())
	}
	slices.SortFunc(t.models, func(x, y string) int {
		return cmp.Or(cmp.Compare(t.bytes[y], t.bytes[x]), strings.Compare(x, y))
	})
	slots := 0
	for _, backend := range inventory.Backends() {
		if backend.TakesModels() {
			t.backends = append(t.backends, backend.Name())
			t.memory[backend.Name()] = backend.Memory()
			slots += backend.Slots()
		}
	}
	for _, instance := range inventory.Instances() {
		t.domains[instance.Backend()] = instance.Domain()
	}
	if len(t.backends) > 0 {
		t.copyRate = float64(slots) / float64(len(t.backends)) / targetTokenInterval.Seconds()
	}
	return t
}
