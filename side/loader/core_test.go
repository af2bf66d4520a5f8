package loader_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/backstage"
)

// TestMain fixes what rapid draws.
func TestMain(m *testing.M) { backstage.Run(m, backstage.Seed, nil) }

// disturb applies one fault, or a change of the plan, to the world.
type fault func(t *rapid.T, w *simulation)

var faults = map[string]fault{
	"nothing":        func(*rapid.T, *simulation) {},
	"engine restart": func(_ *rapid.T, w *simulation) { w.engine.restart() },
	"plan": func(t *rapid.T, w *simulation) {
		w.plan(rapid.Permutation([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "models"))
	},
	"side killed and replaced": func(_ *rapid.T, w *simulation) {
		w.sides[len(w.sides)-1].stopped = true
		w.startSide()
	},
	"side paused": func(t *rapid.T, w *simulation) {
		pause := rapid.IntRange(1, 40).Draw(t, "pause")
		w.sides[len(w.sides)-1].pausedUntil = w.now.Add(time.Duration(pause) * time.Second)
	},
	"side paused and replaced": func(t *rapid.T, w *simulation) {
		pause := rapid.IntRange(1, 40).Draw(t, "pause")
		w.sides[len(w.sides)-1].pausedUntil = w.now.Add(time.Duration(pause) * time.Second)
		w.startSide()
	},
}

func TestMemoryIsNeverOvercommitted(t *testing.T) {
	cases := map[string]struct{ fencing bool }{
		"engine checks fencing numbers":  {fencing: true},
		"engine ignores fencing numbers": {fencing: false},
	}
	kinds := make([]string, 0, len(faults))
	for kind := range faults {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newSimulation(rapid.Uint64().Draw(t, "seed"), tc.fencing)
				w.plan([]string{"a", "c"})
				for range 25 {
					faults[rapid.SampledFrom(kinds).Draw(t, "fault")](t, w)
					w.runFor(t, time.Duration(rapid.IntRange(1, 80).Draw(t, "steps"))*step)
				}
				w.expectConvergence(t)
			})
		})
	}
}

// pass lets time go by and fails as soon as memory is overcommitted.
func (w *simulation) runFor(t *rapid.T, span time.Duration) {
	t.Helper()
	for end := w.now.Add(span); w.now.Before(end); {
		w.advance()
		if w.engine.used() > engineSize || w.engine.peak > engineSize {
			t.Fatalf("engine holds %d bytes, at most %d, of %d", w.engine.used(), w.engine.peak, engineSize)
		}
	}
}

// settle ends all faults and expects the plan to be carried out.
func (w *simulation) expectConvergence(t *rapid.T) {
	t.Helper()
	w.faultless = true
	for _, s := range w.sides {
		s.pausedUntil = time.Time{}
	}
	w.plan([]string{"b", "e", "f"})
	w.runFor(t, 3*time.Minute)
	if diff := cmp.Diff(w.planned, w.engine.resident()); diff != "" {
		t.Fatalf("resident at the end (-want +got):\n%s", diff)
	}
}
