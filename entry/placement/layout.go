package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/register"
)

// tokenTime is the time between two tokens of one answer that is aimed at.
const targetTokenInterval = 48 * time.Millisecond

// layout is what a planner needs of an inventory, worked out once.
type topology struct {
	models   []string // largest first
	bytes    map[string]int64
	backends []string
	memory   map[string]int64
	domains  map[string]string // by backend server
	copyRate float64           // tokens per second that one copy can serve
}

func newTopology(inventory *register.Inventory) topology {
	l := topology{bytes: inventory.Footprints(), memory: make(map[string]int64), domains: make(map[string]string)}
	for _, model := range inventory.Models() {
		l.models = append(l.models, model.Name())
	}
	slices.SortFunc(l.models, func(x, y string) int {
		return cmp.Or(cmp.Compare(l.bytes[y], l.bytes[x]), strings.Compare(x, y))
	})
	slots := 0
	for _, backend := range inventory.Backends() {
		if backend.Placed() {
			l.backends = append(l.backends, backend.Name())
			l.memory[backend.Name()] = backend.Memory()
			slots += backend.Slots()
		}
	}
	for _, instance := range inventory.Instances() {
		l.domains[instance.Backend()] = instance.Domain()
	}
	if len(l.backends) > 0 {
		l.copyRate = float64(slots) / float64(len(l.backends)) / targetTokenInterval.Seconds()
	}
	return l
}
