package loader_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/testkit"
)

// TestMain fixes the seed of rapid.
func TestMain(m *testing.M) { testkit.RunRapid(m, testkit.RapidSeed, nil) }

// fault applies one fault, or a change of the plan, to the simulation.
type fault func(t *rapid.T, sim *simulation)

var faults = map[string]fault{
	"nothing":        func(*rapid.T, *simulation) {},
	"engine restart": func(_ *rapid.T, sim *simulation) { sim.engine.restart() },
	"plan": func(t *rapid.T, sim *simulation) {
		sim.plan(rapid.Permutation([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "models"))
	},
	"side killed and replaced": func(_ *rapid.T, sim *simulation) {
		sim.sides[len(sim.sides)-1].stopped = true
		sim.startSide()
	},
	"side paused": func(t *rapid.T, sim *simulation) {
		pause := rapid.IntRange(1, 40).Draw(t, "pause")
		sim.sides[len(sim.sides)-1].pausedUntil = sim.now.Add(time.Duration(pause) * time.Second)
	},
	"side paused and replaced": func(t *rapid.T, sim *simulation) {
		pause := rapid.IntRange(1, 40).Draw(t, "pause")
		sim.sides[len(sim.sides)-1].pausedUntil = sim.now.Add(time.Duration(pause) * time.Second)
		sim.startSide()
	},
}

// TestMemoryIsNeverOvercommitted guards against loads beyond the engine's memory
// while orders are lost, delayed or duplicated, the engine restarts, and sides pause
// or are killed and replaced.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	cases := map[string]struct {
		fencing bool
		forgets bool // the engine's fencing number ends with its start, as PROTOCOL.md says
	}{
		"engine checks fencing numbers":  {fencing: true},
		"engine ignores fencing numbers": {fencing: false},
		"engine forgets fencing numbers": {fencing: true, forgets: true},
	}
	kinds := make([]string, 0, len(faults))
	for kind := range faults {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				sim := newSimulation(rapid.Uint64().Draw(t, "seed"), tc.fencing)
				sim.engine.forgets = tc.forgets
				sim.plan([]string{"a", "c"})
				for range 25 {
					faults[rapid.SampledFrom(kinds).Draw(t, "fault")](t, sim)
					sim.runFor(t, time.Duration(rapid.IntRange(1, 80).Draw(t, "steps"))*step)
				}
				sim.expectConvergence(t)
			})
		})
	}
}

// runFor advances the simulation by span and fails as soon as memory is
// overcommitted.
func (sim *simulation) runFor(t *rapid.T, span time.Duration) {
	t.Helper()
	for end := sim.now.Add(span); sim.now.Before(end); {
		sim.advance()
		if sim.engine.used() > engineSize || sim.engine.peak > engineSize {
			t.Fatalf("engine holds %d bytes, at most %d, of %d", sim.engine.used(), sim.engine.peak, engineSize)
		}
	}
}

// expectConvergence ends all faults and checks that the engine then loads exactly
// the planned models.
func (sim *simulation) expectConvergence(t *rapid.T) {
	t.Helper()
	sim.faultless = true
	for _, s := range sim.sides {
		s.pausedUntil = time.Time{}
	}
	sim.plan([]string{"b", "e", "f"})
	sim.runFor(t, 3*time.Minute)
	if diff := cmp.Diff(sim.planned, sim.engine.resident()); diff != "" {
		t.Fatalf("resident at the end (-want +got):\n%s", diff)
	}
}
