package placementsim_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/testkit"
)

// TestMain runs the tests with a fixed seed for rapid.
func TestMain(m *testing.M) { testkit.RunRapid(m, testkit.RapidSeed, nil) }

// settleTime is the time in which a new fleet loads two copies of every model.
const settleTime = 2 * time.Minute

// newSettledSimulation returns a simulation in which every model has its copies.
func newSettledSimulation(seed uint64) *simulation {
	return newSettledSimulationWith(seed, engineMemory)
}

func newSettledSimulationWith(seed uint64, memory int64) *simulation {
	sim := newSimulation(seed, memory)
	sim.advance(settleTime)
	clear(sim.longestOutages)
	return sim
}

func TestInitialPlacement(t *testing.T) {
	sim := newSettledSimulation(1)
	spread := make(map[string]int) // number of failure domains by model
	for i := range modelCount {
		model := fmt.Sprintf("model-%d", i)
		var seen []string
		for _, s := range sim.copies(model) {
			if !slices.Contains(seen, s.domain) {
				seen = append(seen, s.domain)
			}
		}
		spread[model] = len(seen)
	}
	want := make(map[string]int)
	for model := range spread {
		want[model] = 2
	}
	if diff := gocmp.Diff(want, spread); diff != "" {
		t.Errorf("failure domains (-want +got):\n%s", diff)
	}
	if diff := gocmp.Diff(2*modelCount, len(sim.loadStarts)); diff != "" {
		t.Errorf("loads (-want +got):\n%s", diff)
	}
	for i, start := range sim.loadStarts {
		if j := i + 2*loadRate + 1; j < len(sim.loadStarts) && sim.loadStarts[j].Sub(start) < time.Second {
			t.Errorf("loads %d to %d began within a second", i, j)
		}
	}
}

func TestModelsStayAvailable(t *testing.T) {
	cases := map[string]struct {
		faults func(sim *simulation)
		memory int64         // bytes of each engine; zero for the default
		limit  time.Duration // longest time that a model may be without a live copy
	}{
		"calm":                 {faults: func(*simulation) {}},
		"backend server dies":  {faults: func(sim *simulation) { sim.sides[2].stopped = true }},
		"failure domain lost":  {faults: func(sim *simulation) { sim.stopDomain("domain-1") }},
		"planner dies":         {faults: func(sim *simulation) { sim.activePlanner().stopped = true }},
		"log down":             {faults: func(sim *simulation) { sim.logDown = true }},
		"demand grows tenfold": {faults: func(sim *simulation) { sim.demand["model-3"] = 1000 }},
		"planner paused, then resumed after a takeover": {faults: func(sim *simulation) {
			sim.activePlanner().pausedUntil = sim.now.Add(time.Minute)
		}},
		"backend servers die one by one": {faults: func(sim *simulation) {
			sim.sides[0].stopped = true
			sim.advance(2 * time.Minute)
			sim.sides[1].stopped = true
			sim.advance(2 * time.Minute)
			sim.sides[2].stopped = true
		}, memory: largeEngineMemory},
		"planner dies, then all copies of a model": {faults: func(sim *simulation) {
			sim.activePlanner().stopped = true
			sim.stopSidesWith("model-4")
		}, limit: 45 * time.Second},
		"log down, then all copies of a model": {faults: func(sim *simulation) {
			sim.logDown = true
			sim.stopSidesWith("model-4")
		}, limit: 45 * time.Second},
		"no planner left, then all copies of a model": {faults: func(sim *simulation) {
			for _, e := range sim.entries {
				e.stopped = true
			}
			sim.stopSidesWith("model-4")
		}, limit: 45 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSettledSimulationWith(7, cmp.Or(tc.memory, engineMemory))
			tc.faults(sim)
			sim.advance(4 * time.Minute)
			if got := sim.longestOutage(); got > tc.limit {
				t.Errorf("a model was without a live copy for %s, longer than %s", got, tc.limit)
			}
			if diff := gocmp.Diff(0, len(sim.unavailableSince)); diff != "" {
				t.Errorf("models without a live copy at the end (-want +got):\n%s", diff)
			}
		})
	}
}

// stopSidesWith stops every side that can run requests for a model.
func (sim *simulation) stopSidesWith(model string) {
	for _, s := range sim.copies(model) {
		s.stopped = true
	}
}

func TestCopiesFollowDemand(t *testing.T) {
	sim := newSettledSimulation(3)
	sim.demand["model-3"] = 10
	sim.advance(2 * time.Minute)
	before := len(sim.copies("model-3"))
	sim.demand["model-3"] = 100
	sim.advance(3 * time.Minute)
	after := len(sim.copies("model-3"))
	if after <= before {
		t.Errorf("%d copies at the initial demand, %d at ten times the demand", before, after)
	}
	loads := len(sim.loadStarts)
	sim.advance(10 * time.Minute)
	if diff := gocmp.Diff(loads, len(sim.loadStarts)); diff != "" {
		t.Errorf("loads under constant demand (-want +got):\n%s", diff)
	}
}

// faults maps names to the random changes of a fleet's state. They may occur at
// any time, repeatedly and while others last. Rapid draws them by the sorted
// names, so a renamed fault changes the drawn sequences.
var faults = map[string]func(t *rapid.T, sim *simulation){
	"nothing": func(*rapid.T, *simulation) {},
	"backend server dies": func(t *rapid.T, sim *simulation) {
		if sim.stoppedSides() < engineCount/2 {
			sim.sides[rapid.IntRange(0, engineCount-1).Draw(t, "side")].stopped = true
		}
	},
	"failure domain lost": func(t *rapid.T, sim *simulation) {
		if sim.stoppedSides() == 0 {
			sim.stopDomain(fmt.Sprint("domain-", rapid.IntRange(0, domainCount-1).Draw(t, "domain")))
		}
	},
	"all back":     func(_ *rapid.T, sim *simulation) { sim.restartStopped() },
	"log down":     func(_ *rapid.T, sim *simulation) { sim.logDown = true },
	"log up":       func(_ *rapid.T, sim *simulation) { sim.logDown = false },
	"planner dies": func(_ *rapid.T, sim *simulation) { sim.withActivePlanner(func(e *entry) { e.stopped = true }) },
	"planner paused": func(t *rapid.T, sim *simulation) {
		pause := rapid.IntRange(1, 60).Draw(t, "pause")
		sim.withActivePlanner(func(e *entry) { e.pausedUntil = sim.now.Add(time.Duration(pause) * time.Second) })
	},
	"demand": func(t *rapid.T, sim *simulation) {
		model := fmt.Sprintf("model-%d", rapid.IntRange(0, modelCount-1).Draw(t, "model"))
		sim.demand[model] = rapid.Int64Range(0, 1000).Draw(t, "tokens")
	},
}

func (sim *simulation) withActivePlanner(do func(*entry)) {
	if e := sim.activePlanner(); e != nil {
		do(e)
	}
}

func (sim *simulation) stoppedSides() int {
	stopped := 0
	for _, s := range sim.sides {
		if s.stopped {
			stopped++
		}
	}
	return stopped
}

// TestModelsComeBackUnderAnyFaults checks that no model is without a live copy for
// longer than the limit, whatever sequence of faults is drawn.
func TestModelsComeBackUnderAnyFaults(t *testing.T) {
	kinds := make([]string, 0, len(faults))
	for kind := range faults {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	const limit = 90 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		sim := newSettledSimulation(rapid.Uint64().Draw(t, "seed"))
		for range 8 {
			faults[rapid.SampledFrom(kinds).Draw(t, "fault")](t, sim)
			sim.advance(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
		}
		sim.advance(limit)
		if got := sim.longestOutage(); got > limit {
			t.Fatalf("a model was without a live copy for %s, longer than %s", got, limit)
		}
	})
}
