package drill_test

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
func settled(seed uint64) *world { return settledWith(seed, memory) }

func settledWith(seed uint64, memory int64) *world {
	w := newWorld(seed, memory)
	w.pass(settleTime)
	clear(w.worst)
	return w
}

func TestPlacementAtTheStart(t *testing.T) {
	w := settled(1)
	spread := make(map[string]int) // failure domains, by model
	for i := range models {
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
	if diff := gocmp.Diff(2*models, len(w.began)); diff != "" {
		t.Errorf("loads (-want +got):\n%s", diff)
	}
	for i, began := range w.began {
		if j := i + 2*loadRate + 1; j < len(w.began) && w.began[j].Sub(began) < time.Second {
			t.Errorf("loads %d to %d began within a second", i, j)
		}
	}
}

func TestEveryModelStaysReachable(t *testing.T) {
	cases := map[string]struct {
		faults func(w *world)
		memory int64         // of each engine, if not as usual
		limit  time.Duration // longest time that a model may be without a live copy
	}{
		"calm":                 {faults: func(*world) {}},
		"backend server dies":  {faults: func(w *world) { w.sides[2].dead = true }},
		"failure domain lost":  {faults: func(w *world) { w.kill("domain-1") }},
		"planner dies":         {faults: func(w *world) { w.planner().dead = true }},
		"log down":             {faults: func(w *world) { w.logDown = true }},
		"demand grows tenfold": {faults: func(w *world) { w.demand["model-3"] = 1000 }},
		"planner paused, then resumed beside a new one": {faults: func(w *world) {
			w.planner().paused = w.now.Add(time.Minute)
		}},
		"one after the other": {faults: func(w *world) {
			w.sides[0].dead = true
			w.pass(2 * time.Minute)
			w.sides[1].dead = true
			w.pass(2 * time.Minute)
			w.sides[2].dead = true
		}, memory: ample},
		"planner dies, then all copies of a model": {faults: func(w *world) {
			w.planner().dead = true
			w.killCopies("model-4")
		}, limit: 45 * time.Second},
		"log down, then all copies of a model": {faults: func(w *world) {
			w.logDown = true
			w.killCopies("model-4")
		}, limit: 45 * time.Second},
		"no planner left, then all copies of a model": {faults: func(w *world) {
			for _, e := range w.entries {
				e.dead = true
			}
			w.killCopies("model-4")
		}, limit: 45 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := settledWith(7, cmp.Or(tc.memory, memory))
			tc.faults(w)
			w.pass(4 * time.Minute)
			if got := w.longest(); got > tc.limit {
				t.Errorf("a model was without a live copy for %s, longer than %s", got, tc.limit)
			}
			if diff := gocmp.Diff(0, len(w.lost)); diff != "" {
				t.Errorf("models without a live copy at the end (-want +got):\n%s", diff)
			}
		})
	}
}

// killCopies ends every backend server that holds a model.
func (w *world) killCopies(model string) {
	for _, s := range w.copies(model) {
		s.dead = true
	}
}

func TestCopiesFollowDemand(t *testing.T) {
	w := settled(3)
	w.demand["model-3"] = 10
	w.pass(2 * time.Minute)
	few := len(w.copies("model-3"))
	w.demand["model-3"] = 100
	w.pass(3 * time.Minute)
	many := len(w.copies("model-3"))
	if many <= few {
		t.Errorf("%d copies at the first demand, %d at ten times as much", few, many)
	}
	loads := len(w.began)
	w.pass(10 * time.Minute)
	if diff := gocmp.Diff(loads, len(w.began)); diff != "" {
		t.Errorf("loads while the demand stays as it is (-want +got):\n%s", diff)
	}
}

// faults are what a fleet meets at any moment, together or twice.
var faults = map[string]func(t *rapid.T, w *world){
	"nothing": func(*rapid.T, *world) {},
	"backend server dies": func(t *rapid.T, w *world) {
		if w.deadSides() < engines/2 {
			w.sides[rapid.IntRange(0, engines-1).Draw(t, "side")].dead = true
		}
	},
	"failure domain lost": func(t *rapid.T, w *world) {
		if w.deadSides() == 0 {
			w.kill(fmt.Sprint("domain-", rapid.IntRange(0, domains-1).Draw(t, "domain")))
		}
	},
	"all back":     func(_ *rapid.T, w *world) { w.reviveAll() },
	"log down":     func(_ *rapid.T, w *world) { w.logDown = true },
	"log up":       func(_ *rapid.T, w *world) { w.logDown = false },
	"planner dies": func(_ *rapid.T, w *world) { w.withPlanner(func(e *entry) { e.dead = true }) },
	"planner paused": func(t *rapid.T, w *world) {
		pause := rapid.IntRange(1, 60).Draw(t, "pause")
		w.withPlanner(func(e *entry) { e.paused = w.now.Add(time.Duration(pause) * time.Second) })
	},
	"demand": func(t *rapid.T, w *world) {
		model := fmt.Sprintf("model-%d", rapid.IntRange(0, models-1).Draw(t, "model"))
		w.demand[model] = rapid.Int64Range(0, 1000).Draw(t, "tokens")
	},
}

func (w *world) withPlanner(do func(*entry)) {
	if e := w.planner(); e != nil {
		do(e)
	}
}

func (w *world) deadSides() int {
	dead := 0
	for _, s := range w.sides {
		if s.dead {
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
		w := settled(rapid.Uint64().Draw(t, "seed"))
		for range 8 {
			faults[rapid.SampledFrom(kinds).Draw(t, "fault")](t, w)
			w.pass(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
		}
		w.pass(limit)
		if got := w.longest(); got > limit {
			t.Fatalf("a model was without a live copy for %s, longer than %s", got, limit)
		}
	})
}
