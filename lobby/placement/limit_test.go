package placement_test

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/lobby/placement"
)

// Sizes and times of the simulated fleet.
const (
	limitStep      = 250 * time.Millisecond
	limitedEngines = 13
	freeEngines    = 5
	limitedModels  = 39
	limitSlots     = 16
	storeLoadTime  = 4 * time.Second
	diskLoadTime   = time.Second
	demandUnit     = 1000 // parts of an engine in which served demand is counted
)

// limitedFleet plays a planner and engines that load one model at a time, in virtual time.
// Some of the engines name rates for a time.
type limitedFleet struct {
	now      time.Time
	random   *rand.Rand
	core     *placement.Core
	ids      []string
	models   []string           // in the order of falling demand
	demand   map[string]float64 // of the callers, in engines
	refused  map[string]float64 // demand by those that are refused and ask again
	loaded   map[string][]string
	disks    map[string][]string
	loading  map[string]pendingLoad // by engine
	capacity map[string]float64     // of the engines that name a rate
	since    time.Time              // time from which on they do
	limited  int                    // number of engines that are to name rates
	loads    int                    // begun
	lost     []string               // models that ceased to be loaded anywhere
	retries  float64                // times that a refused request is asked for again
	told     bool                   // the planner is told of the rates
}

// pendingLoad is a model that an engine loads.
type pendingLoad struct {
	model string
	end   time.Time
}

func newLimitedFleet(seed uint64, engines float64) *limitedFleet {
	f := &limitedFleet{
		now: noon, random: rand.New(rand.NewPCG(seed, 5)), demand: make(map[string]float64), refused: make(map[string]float64),
		loaded: make(map[string][]string), disks: make(map[string][]string), loading: make(map[string]pendingLoad), capacity: make(map[string]float64), limited: limitedEngines, told: true,
	}
	f.core = placement.NewCore(placement.CoreConfig{Self: self, PeerTimeout: 1500 * time.Millisecond, SettlePeriod: 800 * time.Millisecond, LoadRateFactor: 1.1})
	engine := &deployment.EngineConfig{Slots: limitSlots, Memory: 230, AdapterSlots: 8, LoadsPerSec: 2.8}
	sum := 0.0
	for i := range limitedModels {
		sum += 1 / float64(i+1)
	}
	for i := range limitedModels {
		name := fmt.Sprintf("m%02d", i)
		f.models = append(f.models, name)
		f.demand[name] = engines / sum / float64(i+1)
		engine.Models = append(engine.Models, deployment.ModelConfig{Name: name, Memory: 70, LoadTime: storeLoadTime, Adapters: 3, AdapterSize: 1})
	}
	f.core.SetConfiguration(deployment.NewConfiguration(deployment.Config{Services: []deployment.ServiceConfig{{Name: "s", Engine: engine}}}))
	order := f.random.Perm(limitedModels)
	for i := range limitedEngines + freeEngines {
		id := fmt.Sprintf("e%02d", i)
		f.ids = append(f.ids, id)
		for k := range 3 {
			f.loaded[id] = append(f.loaded[id], f.models[order[(3*i+k)%limitedModels]])
		}
		for _, m := range f.random.Perm(limitedModels)[:4] {
			f.disks[id] = append(f.disks[id], f.models[m])
		}
	}
	return f
}

// limit lets engines name rates of one to three requests a second, which run for a second.
func (f *limitedFleet) limit() {
	f.since = f.now
	for _, i := range f.random.Perm(len(f.ids))[:f.limited] {
		f.capacity[f.ids[i]] = float64(1+f.random.IntN(3)) / limitSlots
	}
}

func (f *limitedFleet) endLimit() { clear(f.capacity) }

// advance advances virtual time and returns the average share of the demand that is served.
func (f *limitedFleet) advance(span time.Duration) float64 {
	sum, steps := 0.0, 0
	for end := f.now.Add(span); f.now.Before(end); steps++ {
		f.now = f.now.Add(limitStep)
		f.endLoads()
		f.inform()
		plan, _ := f.core.Decide(f.now)
		before := f.copies()
		for _, id := range slices.Sorted(maps.Keys(plan)) {
			f.apply(id, plan[id])
		}
		for model := range before {
			if f.copies()[model] == 0 && len(f.capacity) > 0 {
				f.lost = append(f.lost, fmt.Sprint(model, " ", f.now.Sub(f.since)))
			}
		}
		sum += f.served()
	}
	return sum / float64(steps)
}

// copies returns the number of loaded copies by model.
func (f *limitedFleet) copies() map[string]int {
	copies := make(map[string]int)
	for _, models := range f.loaded {
		for _, model := range models {
			copies[model]++
		}
	}
	return copies
}

func (f *limitedFleet) endLoads() {
	for id, load := range f.loading {
		if !f.now.Before(load.end) {
			f.loaded[id] = append(f.loaded[id], load.model)
			delete(f.loading, id)
		}
	}
}

// inform tells the planner of the engines, the rates and the demand.
func (f *limitedFleet) inform() {
	var list []deployment.Backend
	var limits placement.Limits
	for _, id := range f.ids {
		config := deployment.BackendConfig{ID: id, Service: "s", Address: id + ":80", Slots: limitSlots, LocalCopies: f.disks[id]}
		for _, model := range f.loaded[id] {
			config.Holdings = append(config.Holdings, deployment.HoldingConfig{Model: model})
		}
		list = append(list, deployment.NewBackend(config))
		if engines, ok := f.capacity[id]; ok && f.told {
			limits = append(limits, placement.NewLimit(placement.LimitConfig{Backend: id, Engines: engines, Since: f.since}))
		}
	}
	f.core.SetBackends(list)
	f.core.SetLimits(limits)
	demand := make(map[string]float64)
	for _, model := range f.models {
		demand[model] = f.demand[model]*(0.9+0.2*f.random.Float64()) + f.refused[model]
	}
	f.core.UpdatePeer(f.now, protocol.NewDigest(protocol.DigestConfig{Sender: self, Demand: demand}))
}

// apply lets an engine unload what is not planned and load one model that is missing.
func (f *limitedFleet) apply(id string, planned []string) {
	f.loaded[id] = slices.DeleteFunc(f.loaded[id], func(model string) bool { return !slices.Contains(planned, model) })
	missing := slices.IndexFunc(planned, func(model string) bool { return !slices.Contains(f.loaded[id], model) })
	if _, busy := f.loading[id]; busy || missing < 0 {
		return
	}
	took := storeLoadTime
	if slices.Contains(f.disks[id], planned[missing]) {
		took = diskLoadTime
	}
	f.loading[id] = pendingLoad{model: planned[missing], end: f.now.Add(took)}
	f.loads++
}

// served returns the share of the demand that the engines can serve with what they have
// loaded, and updates the demand by refused requests: it follows a rise within half a second
// and a fall within three.
func (f *limitedFleet) served() float64 {
	flow := newLimitedFlow(f)
	served, total := 0, 0
	for _, model := range f.models {
		wanted := int(f.demand[model] * demandUnit)
		got := flow.add(model, wanted)
		served, total = served+got, total+wanted
		change := f.retries*float64(wanted-got)/demandUnit - f.refused[model]
		window := 3 * time.Second
		if change > 0 {
			window = 500 * time.Millisecond
		}
		f.refused[model] += change * limitStep.Seconds() / window.Seconds()
	}
	return float64(served) / float64(total)
}

// limitedFlow is a maximum flow of demand from the models to the engines that have loaded
// them, in units of demandUnit.
type limitedFlow struct {
	fleet *limitedFleet
	room  map[string]int            // left by engine
	used  map[string]map[string]int // by engine and model
}

func newLimitedFlow(f *limitedFleet) *limitedFlow {
	flow := &limitedFlow{fleet: f, room: make(map[string]int), used: make(map[string]map[string]int)}
	for _, id := range f.ids {
		flow.room[id], flow.used[id] = demandUnit, make(map[string]int)
		if engines, ok := f.capacity[id]; ok {
			flow.room[id] = int(engines * demandUnit)
		}
	}
	return flow
}

// add adds a model's demand and returns how much of it can be served.
func (flow *limitedFlow) add(model string, wanted int) int {
	left := wanted
	for left > 0 {
		got := flow.augment(model, left, make(map[string]bool))
		if got == 0 {
			break
		}
		left -= got
	}
	return wanted - left
}

// augment serves some of a model's demand, and moves that of other models if needed.
func (flow *limitedFlow) augment(model string, wanted int, visited map[string]bool) int {
	for _, id := range flow.fleet.ids {
		if visited[id] || !slices.Contains(flow.fleet.loaded[id], model) {
			continue
		}
		visited[id] = true
		if got := min(flow.room[id], wanted); got > 0 {
			flow.room[id] -= got
			flow.used[id][model] += got
			return got
		}
		for _, other := range slices.Sorted(maps.Keys(flow.used[id])) {
			there := flow.used[id][other]
			if other == model || there == 0 {
				continue
			}
			if got := flow.augment(other, min(wanted, there), visited); got > 0 {
				flow.used[id][other] -= got
				flow.used[id][model] += got
				return got
			}
		}
	}
	return 0
}

// TestModelsMoveToServersThatNameNoRate guards against hot models that stay on engines which
// take few requests while others have room, and against loads without end if no engine has.
func TestModelsMoveToServersThatNameNoRate(t *testing.T) {
	cases := map[string]struct {
		engines   float64 // demand in all
		retries   float64
		served    float64 // least share of the demand that is served in the 19 s of the limits
		servedEnd float64 // as served, after 19 s
		loads     int     // most loads in these 19 s
		loadsEnd  int     // most loads in the 15 s after them
	}{
		"little demand":                 {engines: 2.5, served: 0.94, servedEnd: 0.97, loads: 5, loadsEnd: 1},
		"little demand, with retries":   {engines: 2.5, retries: 2, served: 0.94, servedEnd: 0.98, loads: 7, loadsEnd: 1},
		"more demand":                   {engines: 3.5, served: 0.91, servedEnd: 0.97, loads: 9, loadsEnd: 2},
		"more demand, with retries":     {engines: 3.5, retries: 2, served: 0.91, servedEnd: 0.97, loads: 14, loadsEnd: 3},
		"much demand":                   {engines: 5.5, served: 0.83, servedEnd: 0.91, loads: 12, loadsEnd: 4},
		"much demand, with retries":     {engines: 5.5, retries: 2, served: 0.80, servedEnd: 0.89, loads: 20, loadsEnd: 5},
		"too much demand":               {engines: 7, served: 0.74, servedEnd: 0.83, loads: 12, loadsEnd: 5},
		"too much demand, with retries": {engines: 7, retries: 2, served: 0.73, servedEnd: 0.82, loads: 22, loadsEnd: 6},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			const seeds = 5
			served, servedEnd, loads, loadsEnd := 0.0, 0.0, 0, 0
			for seed := range uint64(seeds) {
				f := newLimitedFleet(seed, tc.engines)
				f.retries = tc.retries
				f.advance(40 * time.Second)
				before := f.loads
				f.limit()
				served += f.advance(19*time.Second) / seeds
				servedEnd += f.served() / seeds
				during := f.loads
				f.endLimit()
				f.advance(15 * time.Second)
				loads, loadsEnd = loads+during-before, loadsEnd+f.loads-during
				if len(f.lost) > 0 {
					t.Errorf("seed %d: %v lost their last copies", seed, f.lost)
				}
			}
			t.Logf("served %.3f, %.3f at the end; %.1f loads, %.1f afterwards", served, servedEnd, float64(loads)/seeds, float64(loadsEnd)/seeds)
			if served < tc.served || servedEnd < tc.servedEnd {
				t.Errorf("served %.3f of the demand, %.3f at the end of the limits; want %.2f and %.2f", served, servedEnd, tc.served, tc.servedEnd)
			}
			if loads > tc.loads*seeds || loadsEnd > tc.loadsEnd*seeds {
				t.Errorf("%d loads and %d after the limits in %d runs; want at most %d and %d in each", loads, loadsEnd, seeds, tc.loads, tc.loadsEnd)
			}
		})
	}
}

// TestShortLimitsCauseNoLoads guards against loads for rates that are named for less time
// than a load takes, and against models that move to and fro.
func TestShortLimitsCauseNoLoads(t *testing.T) {
	cases := map[string]struct {
		lasts, pause time.Duration
		engines      int // that name rates, if not limitedEngines
		want         int // most loads
	}{
		"a second, again and again": {lasts: time.Second, pause: 2 * time.Second, want: 0},
		"for ever":                  {lasts: time.Minute, pause: time.Second, want: 12},
		"on all engines":            {lasts: time.Minute, pause: time.Second, engines: limitedEngines + freeEngines, want: 12},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newLimitedFleet(1, 3.5)
			f.limited = max(tc.engines, limitedEngines)
			f.advance(40 * time.Second)
			loads := f.loads
			for end := f.now.Add(time.Minute); f.now.Before(end); {
				f.limit()
				f.advance(tc.lasts)
				f.endLimit()
				f.advance(tc.pause)
			}
			if got := f.loads - loads; got > tc.want {
				t.Errorf("%d loads, want at most %d", got, tc.want)
			}
		})
	}
}

// TestPlansIgnoreRatesThatDoNotBind guards against limits that change plans although they
// don't keep the engine from being busy or are of another start of the engine.
func TestPlansIgnoreRatesThatDoNotBind(t *testing.T) {
	cases := map[string]placement.LimitConfig{
		"as much as an engine runs": {Engines: 1},
		"more":                      {Engines: 7},
		"another start":             {Engines: 0.1, Start: 7},
		"unknown backend server":    {Backend: "e99", Engines: 0.1},
	}
	for name, config := range cases {
		t.Run(name, func(t *testing.T) {
			var plans [2]map[string][]string
			for i := range plans {
				f := newFleet(map[string][]string{"e1": {"a", "b", "c"}, "e2": {"d", "e", "f"}, "e3": {"b", "c", "d"}, "e4": {"e", "f"}})
				if config.Backend == "" {
					config.Backend = "e2"
				}
				if i > 0 {
					f.core.SetLimits(placement.Limits{placement.NewLimit(config)})
				}
				f.demand = map[string]float64{"a": 0.9, "b": 0.3, "d": 0.6}
				f.advance(10 * time.Second)
				f.demand = map[string]float64{"a": 0.1, "c": 0.9, "f": 0.6}
				f.advance(time.Second)
				plans[i] = f.plan
			}
			if diff := cmp.Diff(plans[0], plans[1]); diff != "" {
				t.Errorf("plans without and with the rate (-without +with):\n%s", diff)
			}
		})
	}
}

// planObserver keeps the last plan.
type planObserver struct{ plan map[string][]string }

func (o *planObserver) Planned(plan map[string][]string) { o.plan = plan }

// TestPlannerIsToldOfLimits guards against limits that do not reach the decisions of the
// planner, or that outlive what it was told last.
func TestPlannerIsToldOfLimits(t *testing.T) {
	limits := placement.Limits{placement.NewLimit(placement.LimitConfig{Backend: "e1", Start: 1, Engines: 0.1, Since: noon.Add(-time.Minute)})}
	cases := map[string]struct {
		messages []any
		want     string // the engine that is to load the model
	}{
		"none":          {want: "e1"},
		"one":           {messages: []any{limits}, want: "e2"},
		"one, no more":  {messages: []any{limits, placement.Limits{}}, want: "e1"},
		"one, none yet": {messages: []any{placement.Limits{}, limits}, want: "e2"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			log, observer := logrus.New(), &planObserver{}
			log.SetOutput(io.Discard)
			planner := placement.New(placement.Config{
				Core:    placement.CoreConfig{Self: self, PeerTimeout: time.Second, SettlePeriod: time.Second, LoadRateFactor: 1},
				Keepers: &fakeKeepers{sent: make(map[string]int)}, Observer: observer, Store: &fakeDemandStore{}, Log: logrus.NewEntry(log),
			})
			handle(t, planner, deployment.NewConfiguration(deployment.Config{Services: []deployment.ServiceConfig{{
				Name: "s", Engine: &deployment.EngineConfig{Slots: 8, Memory: 100, LoadsPerSec: 1, Models: []deployment.ModelConfig{{Name: "a", Memory: 10}}},
			}}}))
			handleBackends(t, planner, 1, 1)
			for _, message := range tc.messages {
				handle(t, planner, message)
			}
			for i := range 20 {
				tick(t, planner, noon.Add(time.Duration(i)*limitStep))
			}
			if diff := cmp.Diff([]string{"a"}, observer.plan[tc.want]); diff != "" {
				t.Errorf("models of %s (-want +got):\n%s", tc.want, diff)
			}
		})
	}
}
