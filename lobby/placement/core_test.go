package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
	"sesamewell.example/lobby/placement"
)

const self = "10.0.0.2:7000"

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// fleet is a planner with engines that carry its plan out at once, or never.
type fleet struct {
	now     time.Time
	core    *placement.Core
	holds   map[string][]string // by backend server
	onHand  map[string][]string
	leaving map[string]bool
	asked   map[string]float64
	stuck   bool // engines load nothing
	plan    map[string][]string
	loads   int
	born    int64
}

func newFleet(holds map[string][]string) *fleet {
	f := &fleet{now: noon, holds: holds, onHand: make(map[string][]string), leaving: make(map[string]bool), asked: make(map[string]float64)}
	f.core = placement.NewCore(placement.CoreConfig{
		Self: self, PeerTimeout: 1500 * time.Millisecond, SettlePeriod: 2 * time.Second, LoadRateFactor: 1.1,
	})
	engine := &charter.EngineConfig{Slots: 64, Memory: 230, Places: 8, LoadsPerSec: 2.8}
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		engine.Models = append(engine.Models, charter.ModelConfig{Name: name, Memory: 70, Load: 4 * time.Second, Adapters: 3, Adapter: 1})
	}
	f.core.SetConfiguration(charter.New(charter.Config{Services: []charter.ServiceConfig{{Name: "s", Engine: engine}}}))
	return f
}

// pass lets time go by and returns what the keepers were told last.
func (f *fleet) pass(span time.Duration) map[string]notice.Assign {
	var told map[string]notice.Assign
	for end := f.now.Add(span); f.now.Before(end); {
		f.now = f.now.Add(500 * time.Millisecond)
		f.core.SetBackends(f.list())
		f.core.UpdatePeer(f.now, notice.NewDigest(notice.DigestConfig{Sender: self, Asked: f.asked}))
		plan, assigns := f.core.Decide(f.now)
		told = assigns
		if plan != nil {
			f.carryOut(plan)
		}
	}
	return told
}

func (f *fleet) carryOut(plan map[string][]string) {
	f.plan = plan
	if f.stuck {
		return
	}
	for id, models := range plan {
		if _, ok := f.holds[id]; !ok {
			continue
		}
		for _, model := range models {
			if !slices.Contains(f.holds[id], model) {
				f.loads++
			}
		}
		f.holds[id] = slices.Clone(models)
	}
}

func (f *fleet) list() []charter.Backend {
	var list []charter.Backend
	for id, models := range f.holds {
		config := charter.BackendConfig{ID: id, Service: "s", Address: id + ":80", Slots: 64, Born: f.born, Leaving: f.leaving[id], OnHand: f.onHand[id]}
		for _, model := range models {
			config.Holdings = append(config.Holdings, charter.HoldingConfig{Model: model})
		}
		list = append(list, charter.NewBackend(config))
	}
	return list
}

func (f *fleet) copies(model string) int {
	n := 0
	for id, models := range f.holds {
		if slices.Contains(models, model) && !f.leaving[id] {
			n++
		}
	}
	return n
}

func TestNothingMovesWhileDemandIsServed(t *testing.T) {
	cases := map[string]map[string]float64{
		"no demand":     {},
		"little demand": {"a": 0.04, "d": 0.013},
	}
	for name, asked := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(map[string][]string{"e1": {"a", "b", "c"}, "e2": {"d", "e", "f"}})
			f.asked = asked
			f.pass(20 * time.Second)
			if diff := cmp.Diff(0, f.loads); diff != "" {
				t.Errorf("loads (-want +got):\n%s", diff)
			}
		})
	}
}

func TestBusyModelGetsCopiesAndKeepsThem(t *testing.T) {
	f := newFleet(map[string][]string{"e1": {"a", "b", "c"}, "e2": {"d", "e", "f"}, "e3": {"b", "c", "d"}})
	f.asked = map[string]float64{"a": 0.9}
	f.pass(20 * time.Second)
	if got := f.copies("a"); got < 2 {
		t.Errorf("%d copies of the busy model", got)
	}
	loads := f.loads
	f.pass(30 * time.Second)
	if diff := cmp.Diff(loads, f.loads); diff != "" {
		t.Errorf("loads while the demand stays as it is (-want +got):\n%s", diff)
	}
}

func TestModelWithoutACopyIsPlaced(t *testing.T) {
	cases := map[string]struct {
		holds map[string][]string
		asked map[string]float64
	}{
		"there is room":      {holds: map[string][]string{"e1": {"a", "b", "c"}, "e2": {"d", "e"}}},
		"hardly asked for":   {holds: map[string][]string{"e1": {"a", "b", "c"}, "e2": {"a", "d", "e"}}, asked: map[string]float64{"a": 0.13, "f": 0.011}},
		"asked for, no room": {holds: map[string][]string{"e1": {"a", "b", "c"}, "e2": {"a", "d", "e"}}, asked: map[string]float64{"a": 0.13, "f": 0.02}},
		"all engines empty":  {holds: map[string][]string{"e1": nil, "e2": nil}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(tc.holds)
			f.asked = tc.asked
			f.pass(6 * time.Second)
			if got := f.copies("f"); got < 1 {
				t.Errorf("no copy of the model; plan %v", f.plan)
			}
		})
	}
}

func TestRoomIsFilledFromDisk(t *testing.T) {
	f := newFleet(map[string][]string{"e1": nil, "e2": nil})
	f.onHand = map[string][]string{"e1": {"d", "e", "f"}, "e2": {"a", "b", "c"}}
	f.pass(4 * time.Second)
	for id, models := range f.holds {
		for _, model := range models {
			if !slices.Contains(f.onHand[id], model) {
				t.Errorf("%s loads %s, which it has not on hand", id, model)
			}
		}
	}
}

func TestLeavingBackendServersDoNotCount(t *testing.T) {
	f := newFleet(map[string][]string{"e1": {"a", "b", "c"}, "e2": {"d", "e"}, "e3": {"f"}})
	f.asked = map[string]float64{"a": 0.09, "b": 0.011, "c": 0.011}
	f.pass(4 * time.Second)
	f.leaving["e1"] = true
	f.pass(4 * time.Second)
	for _, model := range []string{"a", "b", "c"} {
		if got := f.copies(model); got < 1 {
			t.Errorf("no copy of %s beside the one that leaves", model)
		}
	}
}

func TestOnlyOneLobbyPlans(t *testing.T) {
	other := func(door string) func(f *fleet) {
		return func(f *fleet) {
			f.core.UpdatePeer(f.now, notice.NewDigest(notice.DigestConfig{Sender: door}))
		}
	}
	cases := map[string]struct {
		hear func(f *fleet)
		wait time.Duration
		want bool
	}{
		"alone":             {want: true},
		"later one known":   {hear: other("10.0.0.3:7000"), want: true},
		"earlier one known": {hear: other("10.0.0.1:7000"), want: false},
		"earlier one gone":  {hear: other("10.0.0.1:7000"), wait: 2 * time.Second, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(map[string][]string{"e1": {"a"}})
			f.core.SetBackends(f.list())
			if tc.hear != nil {
				tc.hear(f)
			}
			plan, _ := f.core.Decide(f.now.Add(tc.wait))
			if diff := cmp.Diff(tc.want, plan != nil); diff != "" {
				t.Errorf("plans (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLoadsKeepToTheWeightStoresRate counts the loads that are planned when all
// engines come back empty, again and again, and the planner changes.
func TestLoadsKeepToTheWeightStoresRate(t *testing.T) {
	for _, engines := range []int{1, 9, 18, 36} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			holds := make(map[string][]string)
			for i := range engines {
				holds[fmt.Sprint("e", i)] = nil
			}
			f := newFleet(holds)
			f.asked = map[string]float64{"a": 2.2}
			var planned []int // loads, each half second
			for i := range 120 {
				before := f.loads
				f.pass(500 * time.Millisecond)
				planned = append(planned, f.loads-before)
				if i%20 == 19 {
					f.born++
					for id := range f.holds {
						f.holds[id] = nil
					}
				}
			}
			const window, allowed = 10, 2.8*5*1.1 + 3
			for i := range len(planned) - window {
				sum := 0
				for _, n := range planned[i : i+window+1] {
					sum += n
				}
				if float64(sum) > allowed {
					t.Errorf("%d loads within 5 s, more than %.1f", sum, float64(allowed))
				}
			}
		})
	}
}
