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

// TestMain fixes what rapid draws.
func TestMain(m *testing.M) { testkit.RunRapid(m, testkit.RapidSeed, nil) }

// settleTime is the time in which a fleet places all models at its start.
const settleTime = 2 * time.Minute

// settled returns a fleet in which every model has its copies.
func newSettledSimulation(seed uint64) *simulation {
	return newSettledSimulationWith(seed, engineMemory)
}

func newSettledSimulationWith(seed uint64, memory int64) *simulation {
	w := newSimulation(seed, memory)
	w.advance(settleTime)
	clear(w.longestOutages)
	return w
}

func TestInitialPlacement(t *testing.T) {
	w := newSettledSimulation(1)
	spread := make(map[string]int) // failure domains, by model
	for i := range modelCount {
		model := fmt.Sprintf("model-%d", i)
		var seen []string
		for _, s := range w.copies(model) {
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
	if diff := gocmp.Diff(2*modelCount, len(w.loadStarts)); diff != "" {
		t.Errorf("loads (-want +got):\n%s", diff)
	}
	for i, began := range w.loadStarts {
		if j := i + 2*loadRate + 1; j < len(w.loadStarts) && w.loadStarts[j].Sub(began) < time.Second {
			t.Errorf("loads %d to %d began within a second", i, j)
		}
	}
}

func TestModelsStayAvailable(t *testing.T) {
	cases := map[string]struct {
		faults func(w *simulation)
		memory int64         // of each engine, if not as usual
		limit  time.Duration // longest time that a model may be without a live copy
	}{
		"calm":                 {faults: func(*simulation) {}},
		"backend server dies":  {faults: func(w *simulation) { w.sides[2].stopped = true }},
		"failure domain lost":  {faults: func(w *simulation) { w.stopDomain("domain-1") }},
		"planner dies":         {faults: func(w *simulation) { w.activePlanner().stopped = true }},
		"log down":             {faults: func(w *simulation) { w.logDown = true }},
		"demand grows tenfold": {faults: func(w *simulation) { w.demand["model-3"] = 1000 }},
		"planner paused, then resumed beside a new one": {faults: func(w *simulation) {
			w.activePlanner().pausedUntil = w.now.Add(time.Minute)
		}},
		"one after the other": {faults: func(w *simulation) {
			w.sides[0].stopped = true
			w.advance(2 * time.Minute)
			w.sides[1].stopped = true
			w.advance(2 * time.Minute)
			w.sides[2].stopped = true
		}, memory: largeEngineMemory},
		"planner dies, then all copies of a model": {faults: func(w *simulation) {
			w.activePlanner().stopped = true
			w.stopSidesWith("model-4")
		}, limit: 45 * time.Second},
		"log down, then all copies of a model": {faults: func(w *simulation) {
			w.logDown = true
			w.stopSidesWith("model-4")
		}, limit: 45 * time.Second},
		"no planner left, then all copies of a model": {faults: func(w *simulation) {
			for _, e := range w.entries {
				e.stopped = true
			}
			w.stopSidesWith("model-4")
		}, limit: 45 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := newSettledSimulationWith(7, cmp.Or(tc.memory, engineMemory))
			tc.faults(w)
			w.advance(4 * time.Minute)
			if got := w.longestOutage(); got > tc.limit {
				t.Errorf("a model was without a live copy for %s, longer than %s", got, tc.limit)
			}
			if diff := gocmp.Diff(0, len(w.unavailableSince)); diff != "" {
				t.Errorf("models without a live copy at the end (-want +got):\n%s", diff)
			}
		})
	}
}

// killCopies ends every backend server that holds a model.
func (w *simulation) stopSidesWith(model string) {
	for _, s := range w.copies(model) {
		s.stopped = true
	}
}

func TestCopiesFollowDemand(t *testing.T) {
	w := newSettledSimulation(3)
	w.demand["model-3"] = 10
	w.advance(2 * time.Minute)
	few := len(w.copies("model-3"))
	w.demand["model-3"] = 100
	w.advance(3 * time.Minute)
	many := len(w.copies("model-3"))
	if many <= few {
		t.Errorf("%d copies at the first demand, %d at ten times as much", few, many)
	}
	loads := len(w.loadStarts)
	w.advance(10 * time.Minute)
	if diff := gocmp.Diff(loads, len(w.loadStarts)); diff != "" {
		t.Errorf("loads while the demand stays as it is (-want +got):\n%s", diff)
	}
}

// faults are what a fleet meets at any moment, together or twice.
var faults = map[string]func(t *rapid.T, w *simulation){
	"nothing": func(*rapid.T, *simulation) {},
	"backend server dies": func(t *rapid.T, w *simulation) {
		if w.stoppedSides() < engineCount/2 {
			w.sides[rapid.IntRange(0, engineCount-1).Draw(t, "side")].stopped = true
		}
	},
	"failure domain lost": func(t *rapid.T, w *simulation) {
		if w.stoppedSides() == 0 {
			w.stopDomain(fmt.Sprint("domain-", rapid.IntRange(0, domainCount-1).Draw(t, "domain")))
		}
	},
	"all back":     func(_ *rapid.T, w *simulation) { w.restartStopped() },
	"log down":     func(_ *rapid.T, w *simulation) { w.logDown = true },
	"log up":       func(_ *rapid.T, w *simulation) { w.logDown = false },
	"planner dies": func(_ *rapid.T, w *simulation) { w.withActivePlanner(func(e *entry) { e.stopped = true }) },
	"planner paused": func(t *rapid.T, w *simulation) {
		pause := rapid.IntRange(1, 60).Draw(t, "pause")
		w.withActivePlanner(func(e *entry) { e.pausedUntil = w.now.Add(time.Duration(pause) * time.Second) })
	},
	"demand": func(t *rapid.T, w *simulation) {
		model := fmt.Sprintf("model-%d", rapid.IntRange(0, modelCount-1).Draw(t, "model"))
		w.demand[model] = rapid.Int64Range(0, 1000).Draw(t, "tokens")
	},
}

func (w *simulation) withActivePlanner(do func(*entry)) {
	if e := w.activePlanner(); e != nil {
		do(e)
	}
}

func (w *simulation) stoppedSides() int {
	dead := 0
	for _, s := range w.sides {
		if s.stopped {
			dead++
		}
	}
	return dead
}

func TestModelsComeBackUnderAnyFaults(t *testing.T) {
	kinds := make([]string, 0, len(faults))
	for kind := range faults {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	const limit = 90 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		w := newSettledSimulation(rapid.Uint64().Draw(t, "seed"))
		for range 8 {
			faults[rapid.SampledFrom(kinds).Draw(t, "fault")](t, w)
			w.advance(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
		}
		w.advance(limit)
		if got := w.longestOutage(); got > limit {
			t.Fatalf("a model was without a live copy for %s, longer than %s", got, limit)
		}
	})
}
