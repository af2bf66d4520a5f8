package scheduler_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/protocol"
	"sesamewell.example/lobby/scheduler"
)

// TestPlannerIsToldOfNamedRates guards against models that are placed as if a backend server
// took all that its slots allow, or by a rate that nobody has heard for long.
func TestPlannerIsToldOfNamedRates(t *testing.T) {
	type capacity struct {
		Backend string
		Engines float64
		Age     time.Duration
	}
	const second = time.Second
	hear := func(rate float64, sent time.Duration) func(f *fixture) {
		return func(f *fixture) {
			f.core.Handle(f.now, scheduler.NewBackendLimit(scheduler.NewOrigin("e1", 0), rate, f.now.Add(sent)))
		}
	}
	told := func(f *fixture) { f.digestOfLimit(protocol.LimitConfig{Backend: "e1", Rate: 16}) }
	cases := map[string]struct {
		hear  []func(f *fixture) // a second apart
		since time.Duration
		want  []capacity
	}{
		"none":                        {},
		"named in an answer":          {hear: []func(f *fixture){hear(32, 0)}, since: second, want: []capacity{{Backend: "e1", Engines: 0.5, Age: second}}},
		"named by another lobby":      {hear: []func(f *fixture){told}, since: second, want: []capacity{{Backend: "e1", Engines: 0.25, Age: second}}},
		"changed":                     {hear: []func(f *fixture){hear(32, 0), hear(8, 0)}, since: second, want: []capacity{{Backend: "e1", Engines: 0.125, Age: 2 * second}}},
		"ended":                       {hear: []func(f *fixture){hear(32, 0), hear(0, -second/2)}, since: second},
		"heard half a minute ago":     {hear: []func(f *fixture){hear(32, 0)}, since: 30 * second, want: []capacity{{Backend: "e1", Engines: 0.5, Age: 30 * second}}},
		"not heard for over a minute": {hear: []func(f *fixture){hear(32, 0)}, since: 61 * second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(engineServer("e1"), engineServer("e2"))
			for i, hear := range tc.hear {
				if i > 0 {
					f.now = f.now.Add(second)
				}
				hear(f)
			}
			f.now = f.now.Add(tc.since)
			var got []capacity
			for _, action := range f.core.Tick(f.now) {
				if broadcast, ok := action.(scheduler.Broadcast); ok {
					for _, c := range broadcast.Capacities() {
						got = append(got, capacity{Backend: c.Backend(), Engines: c.Engines(), Age: f.now.Sub(c.Since())})
					}
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("capacities for the planner (-want +got):\n%s", diff)
			}
		})
	}
}
