package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/lobby/placement"
)

const self = "10.0.0.2:7000"

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// fleet is a planner with engines that apply its plan at once, or not at all if
// stuck is set.
type fleet struct {
	now         time.Time
	core        *placement.Core
	loaded      map[string][]string // models by backend server ID
	localCopies map[string][]string
	leaving     map[string]bool
	domains     map[string]string // failure domain by backend server ID
	versions    map[string]string // of the software, by backend server ID
	demand      map[string]float64
	cold        string // the backend server that says that it is cold
	stuck       bool   // the engines do not apply the plan

	homeDemand []protocol.HomeDemandConfig
	plan       map[string][]string
	loads      int
	startTime  int64 // start time of every engine
}

func newFleet(loaded map[string][]string) *fleet {
	f := &fleet{now: noon, loaded: loaded, localCopies: make(map[string][]string), leaving: make(map[string]bool), demand: make(map[string]float64)}
	f.core = placement.NewCore(placement.CoreConfig{
		Self: self, PeerTimeout: 1500 * time.Millisecond, SettlePeriod: 2 * time.Second, LoadRateFactor: 1.1, Regions: map[string]string{"d1": "north", "d2": "south"},
	})
	engine := &deployment.EngineConfig{Slots: 64, Memory: 230, AdapterSlots: 8, LoadsPerSec: 2.8}
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		engine.Models = append(engine.Models, deployment.ModelConfig{Name: name, Memory: 70, LoadTime: 4 * time.Second, Adapters: 3, AdapterSize: 1})
	}
	f.core.SetConfiguration(deployment.NewConfiguration(deployment.Config{Services: []deployment.ServiceConfig{{Name: "s", Engine: engine, ColdStart: 3 * time.Second, ColdRate: 13}}}))
	return f
}

// advance runs the planner for the given time and returns the assignments of its
// last decision.
func (f *fleet) advance(span time.Duration) map[string]protocol.Assign {
	var last map[string]protocol.Assign
	for end := f.now.Add(span); f.now.Before(end); {
		f.now = f.now.Add(500 * time.Millisecond)
		f.core.SetBackends(f.list())
		f.core.UpdatePeer(f.now, protocol.NewDigest(protocol.DigestConfig{Sender: self, Demand: f.demand, HomeDemand: f.homeDemand}))
		plan, assigns := f.core.Decide(f.now)
		last = assigns
		if plan != nil {
			f.apply(plan)
		}
	}
	return last
}

func (f *fleet) apply(plan map[string][]string) {
	f.plan = plan
	if f.stuck {
		return
	}
	for id, models := range plan {
		if _, ok := f.loaded[id]; !ok {
			continue
		}
		for _, model := range models {
			if !slices.Contains(f.loaded[id], model) {
				f.loads++
			}
		}
		f.loaded[id] = slices.Clone(models)
	}
}

func (f *fleet) list() []deployment.Backend {
	var list []deployment.Backend
	for id, models := range f.loaded {
		config := deployment.BackendConfig{ID: id, Service: "s", Address: id + ":80", Slots: 64, StartTime: f.startTime, Leaving: f.leaving[id], Domain: f.domains[id], Version: f.versions[id], LocalCopies: f.localCopies[id]}
		if id == f.cold {
			config.ColdFor = time.Second
		}
		for _, model := range models {
			config.Holdings = append(config.Holdings, deployment.HoldingConfig{Model: model})
		}
		list = append(list, deployment.NewBackend(config))
	}
	return list
}

func (f *fleet) copies(model string) int {
	n := 0
	for id, models := range f.loaded {
		if slices.Contains(models, model) && !f.leaving[id] {
			n++
		}
	}
	return n
}

func TestNoLoadsWhileDemandIsServed(t *testing.T) {
	cases := map[string]map[string]float64{
		"no demand":     {},
		"little demand": {"a": 0.04, "d": 0.013},
	}
	for name, demand := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(map[string][]string{"e1": {"a", "b", "c"}, "e2": {"d", "e", "f"}})
			f.demand = demand
			f.advance(20 * time.Second)
			if diff := cmp.Diff(0, f.loads); diff != "" {
				t.Errorf("loads (-want +got):\n%s", diff)
			}
		})
	}
}

func TestBusyModelGetsCopiesAndKeepsThem(t *testing.T) {
	f := newFleet(map[string][]string{"e1": {"a", "b", "c"}, "e2": {"d", "e", "f"}, "e3": {"b", "c", "d"}})
	f.demand = map[string]float64{"a": 0.9}
	f.advance(20 * time.Second)
	if got := f.copies("a"); got < 2 {
		t.Errorf("%d copies of the busy model", got)
	}
	loads := f.loads
	f.advance(30 * time.Second)
	if diff := cmp.Diff(loads, f.loads); diff != "" {
		t.Errorf("loads under constant demand (-want +got):\n%s", diff)
	}
}

// TestHotModelGetsACopyForEachEngineOfDemand guards against a model that is hot
// enough for many engines but stays on a few, whose requests then wait although
// other engines are idle.
func TestHotModelGetsACopyForEachEngineOfDemand(t *testing.T) {
	cases := map[string]struct {
		demand map[string]float64
		want   int // copies of the hot model "a"
	}{
		"three engines":               {demand: map[string]float64{"a": 3}, want: 3},
		"six engines":                 {demand: map[string]float64{"a": 6}, want: 6},
		"six engines beside others":   {demand: map[string]float64{"a": 6, "b": 0.5, "c": 0.5, "d": 0.5, "e": 0.5, "f": 0.5}, want: 6},
		"twelve engines beside a few": {demand: map[string]float64{"a": 12, "b": 0.2, "f": 0.2}, want: 12},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			loaded := make(map[string][]string)
			for i := range 18 {
				loaded[fmt.Sprintf("e%02d", i)] = []string{"a", "b", "c", "d", "e", "f"}[3*(i%2) : 3*(i%2)+3]
			}
			for i := 2; i < 18; i += 2 {
				loaded[fmt.Sprintf("e%02d", i)] = []string{"b", "c", "d"}
			}
			f := newFleet(loaded)
			f.demand = tc.demand
			f.advance(15 * time.Second)
			if got := f.copies("a"); got < tc.want {
				t.Errorf("%d copies of the hot model, want %d; plan %v", got, tc.want, f.plan)
			}
		})
	}
}

// TestHotModelIsLoadedFromManyDisksAtOnce guards against a slow recovery after all
// engines have restarted empty: loads from their own disks share nothing, so a hot
// model has to come back on several engines in one decision.
func TestHotModelIsLoadedFromManyDisksAtOnce(t *testing.T) {
	f := newFleet(make(map[string][]string))
	for i := range 18 {
		id := fmt.Sprint("e", i)
		f.loaded[id], f.localCopies[id] = nil, []string{"a", "b", "c"}
	}
	f.demand = map[string]float64{"a": 14, "b": 0.3, "c": 0.1}
	f.stuck = true
	f.advance(2500 * time.Millisecond) // up to the first plan
	copies := 0
	for _, models := range f.plan {
		if slices.Contains(models, "a") {
			copies++
		}
	}
	if copies < 14 {
		t.Errorf("%d copies of the hot model in the first plan, want 14; plan %v", copies, f.plan)
	}
}

// TestEvictionsSpareModelsInDemand guards against evictions that leave callers
// without a loaded copy: planned copies serve nobody before they are loaded, and a
// model that is evicted for another one and loaded elsewhere again is away for
// seconds.
func TestEvictionsSpareModelsInDemand(t *testing.T) {
	cases := map[string]struct {
		loaded map[string][]string
		demand map[string]float64
		stuck  bool                // further loads do not end
		want   map[string][]string // models that these backend servers keep
	}{
		"loaded copy of a hot model whose other copies are pending": {
			loaded: map[string][]string{"e1": {"a", "b", "c"}, "e2": {"d", "e", "f"}, "e3": {"d", "e", "f"}},
			demand: map[string]float64{"a": 2, "b": 0.1, "c": 0.1, "d": 0.05, "e": 0.05, "f": 0.05},
			stuck:  true, want: map[string][]string{"e1": {"a", "b", "c"}},
		},
		"last copies in demand beside a warm model": {
			loaded: map[string][]string{"e1": {"a", "b", "c"}, "e2": {"d", "e", "f"}},
			demand: map[string]float64{"a": 0.6, "b": 0.02, "c": 0.02, "d": 0.02, "e": 0.02, "f": 0.02},
			want:   map[string][]string{"e1": {"a", "b", "c"}, "e2": {"d", "e", "f"}},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(tc.loaded)
			f.demand, f.stuck = tc.demand, tc.stuck
			for range 20 {
				f.advance(500 * time.Millisecond)
				for id, models := range tc.want {
					for _, model := range models {
						if f.plan != nil && !slices.Contains(f.plan[id], model) {
							t.Fatalf("%s evicted from %s; plan %v", model, id, f.plan)
						}
					}
				}
			}
		})
	}
}

func TestModelWithoutACopyIsPlaced(t *testing.T) {
	cases := map[string]struct {
		loaded map[string][]string
		demand map[string]float64
	}{
		"free memory":            {loaded: map[string][]string{"e1": {"a", "b", "c"}, "e2": {"d", "e"}}},
		"little demand":          {loaded: map[string][]string{"e1": {"a", "b", "c"}, "e2": {"a", "d", "e"}}, demand: map[string]float64{"a": 0.13, "f": 0.011}},
		"demand, no free memory": {loaded: map[string][]string{"e1": {"a", "b", "c"}, "e2": {"a", "d", "e"}}, demand: map[string]float64{"a": 0.13, "f": 0.02}},
		"all engines empty":      {loaded: map[string][]string{"e1": nil, "e2": nil}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(tc.loaded)
			f.demand = tc.demand
			f.advance(6 * time.Second)
			if got := f.copies("f"); got < 1 {
				t.Errorf("no copy of the model; plan %v", f.plan)
			}
		})
	}
}

func TestFreeMemoryIsFilledFromDisk(t *testing.T) {
	f := newFleet(map[string][]string{"e1": nil, "e2": nil})
	f.localCopies = map[string][]string{"e1": {"d", "e", "f"}, "e2": {"a", "b", "c"}}
	f.advance(4 * time.Second)
	for id, models := range f.loaded {
		for _, model := range models {
			if !slices.Contains(f.localCopies[id], model) {
				t.Errorf("%s loads %s, of which it has no local copy", id, model)
			}
		}
	}
}

func TestCopiesOnLeavingBackendServersDoNotCount(t *testing.T) {
	cases := map[string]func(f *fleet){
		"the list says so": func(f *fleet) { f.leaving["e1"] = true },
		"a lobby has been told": func(f *fleet) {
			f.core.UpdatePeer(f.now, protocol.NewDigest(protocol.DigestConfig{Sender: self, Leaving: map[string]int64{"e1": 0}}))
		},
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(map[string][]string{"e1": {"a", "b", "c"}, "e2": {"d", "e"}, "e3": {"f"}})
			f.demand = map[string]float64{"a": 0.09, "b": 0.011, "c": 0.011}
			f.advance(4 * time.Second)
			leave(f)
			f.advance(4 * time.Second)
			for _, model := range []string{"a", "b", "c"} {
				if !slices.Contains(f.loaded["e2"], model) && !slices.Contains(f.loaded["e3"], model) {
					t.Errorf("no copy of %s other than the one on a leaving server; loaded %v", model, f.loaded)
				}
			}
		})
	}
}

// TestCopiesOnServersThatAreGoneDoNotCount guards against a plan that, while all engines
// restart, spares the models of engines that are still listed and gone.
// TestColdCopiesServeTheirRateOnly guards against the eviction of a copy that serves, in
// favour of one on a backend server that is cold.
func TestColdCopiesServeTheirRateOnly(t *testing.T) {
	cases := map[string]struct {
		cold string // backend server that is cold
		want []string
	}{
		"none":              {want: []string{"e1"}},
		"the less busy one": {cold: "e2", want: []string{"e2"}},
		"the busier one":    {cold: "e1", want: []string{"e1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(map[string][]string{"e1": {"a", "b", "c"}, "e2": {"a", "d", "e"}})
			f.cold = tc.cold
			f.demand = map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1, "d": 0.06, "e": 0.06}
			f.advance(4 * time.Second)
			f.demand["f"] = 0.02
			f.advance(2 * time.Second)
			var holders []string
			for _, id := range []string{"e1", "e2"} {
				if slices.Contains(f.loaded[id], "f") {
					holders = append(holders, id)
				}
			}
			if diff := cmp.Diff(tc.want, holders); diff != "" {
				t.Errorf("the new model displaces the copy of a at (-want +got):\n%s\n%v", diff, f.loaded)
			}
		})
	}
}

func TestCopiesOnServersThatAreGoneDoNotCount(t *testing.T) {
	cases := map[string]struct {
		start int64 // start time with which e1 was found gone
		want  int   // copies of "f" elsewhere
	}{
		"this start":  {start: 0, want: 1},
		"other start": {start: 7, want: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(map[string][]string{"e1": {"d", "e", "f"}, "e2": {"a", "b"}})
			f.localCopies["e2"] = []string{"f"}
			f.demand = map[string]float64{"f": 0.2}
			f.core.SetBackends(f.list())
			f.core.UpdatePeer(f.now, protocol.NewDigest(protocol.DigestConfig{Sender: self, Replaced: map[string]int64{"e1": tc.start}}))
			f.advance(4 * time.Second)
			got := 0
			if slices.Contains(f.plan["e2"], "f") {
				got = 1
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("copies elsewhere (-want +got):\n%s; plan %v", diff, f.plan)
			}
		})
	}
}

func TestDigestWithoutDemandKeepsTheLast(t *testing.T) {
	f := newFleet(map[string][]string{"e1": {"a", "b", "c"}, "e2": {"d", "e"}})
	f.demand = map[string]float64{"f": 0.5}
	f.advance(500 * time.Millisecond)
	f.demand = nil
	f.advance(4 * time.Second)
	if got := f.copies("f"); got < 1 {
		t.Errorf("no copy of the model in demand; plan %v", f.plan)
	}
}

func TestOnlyOneLobbyPlans(t *testing.T) {
	other := func(address string) func(f *fleet) {
		return func(f *fleet) {
			f.core.UpdatePeer(f.now, protocol.NewDigest(protocol.DigestConfig{Sender: address}))
		}
	}
	cases := map[string]struct {
		peer func(f *fleet)
		wait time.Duration
		want bool
	}{
		"alone":                             {want: true},
		"peer with higher address":          {peer: other("10.0.0.3:7000"), want: true},
		"peer with lower address":           {peer: other("10.0.0.1:7000"), want: false},
		"peer with lower address timed out": {peer: other("10.0.0.1:7000"), wait: 2 * time.Second, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(map[string][]string{"e1": {"a"}})
			f.core.SetBackends(f.list())
			if tc.peer != nil {
				tc.peer(f)
			}
			plan, _ := f.core.Decide(f.now.Add(tc.wait))
			if diff := cmp.Diff(tc.want, plan != nil); diff != "" {
				t.Errorf("plans (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLoadsStayWithinTheWeightStoreRate guards against more planned loads than
// the weight store's rate allows while all engines restart empty every 10 s.
func TestLoadsStayWithinTheWeightStoreRate(t *testing.T) {
	for _, engines := range []int{1, 9, 18, 36} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			loaded := make(map[string][]string)
			for i := range engines {
				loaded[fmt.Sprint("e", i)] = nil
			}
			f := newFleet(loaded)
			f.demand = map[string]float64{"a": 2.2}
			var planned []int // number of loads in each half second
			for i := range 120 {
				before := f.loads
				f.advance(500 * time.Millisecond)
				planned = append(planned, f.loads-before)
				if i%20 == 19 {
					f.startTime++
					for id := range f.loaded {
						f.loaded[id] = nil
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

// TestNamesAreForgotten guards against memory that grows with each backend server, lobby and
// service that there ever was, also at lobbies that do not plan.
func TestNamesAreForgotten(t *testing.T) {
	cases := map[string]struct{ leader string }{"planner": {leader: self}, "another lobby": {leader: "10.0.0.1:7000"}}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(map[string][]string{"e1": {"a"}})
			for n := range 200 {
				service := fmt.Sprint("s-", n)
				f.core.SetConfiguration(deployment.NewConfiguration(deployment.Config{Services: []deployment.ServiceConfig{{Name: service, Engine: &deployment.EngineConfig{Slots: 64, Memory: 230, Models: []deployment.ModelConfig{{Name: "a", Memory: 70}}}}}}))
				gone := deployment.BackendConfig{ID: fmt.Sprint("gone-", n), Service: service, Address: "10.0.9.9:80", Slots: 64, StartTime: 7}
				f.core.SetBackends([]deployment.Backend{deployment.NewBackend(gone)})
				for _, sender := range []string{tc.leader, fmt.Sprint("10.0.1.", n, ":7000")} {
					f.core.UpdatePeer(f.now, protocol.NewDigest(protocol.DigestConfig{
						Sender: sender, Demand: map[string]float64{"a": 1}, Replaced: map[string]int64{gone.ID: 7}, Leaving: map[string]int64{gone.ID: 7},
					}))
				}
				f.now = f.now.Add(time.Second)
				f.core.Decide(f.now)
			}
			if got := f.core.Names(); got > 70 {
				t.Errorf("%d names are kept, more than 70", got)
			}
		})
	}
}
