package freshness_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/freshness"
)

func TestStateAheadOfCoreUsesNewestProof(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	cases := map[string]struct {
		state int64
		after time.Duration
		want  bool
	}{
		"newest tracked state":    {state: 5, after: time.Second, want: true},
		"ahead of the core":       {state: 6, after: time.Second, want: true},
		"ahead, proof expired":    {state: 6, after: 3 * time.Second},
		"behind, untracked state": {state: 4, after: time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			core := freshness.NewCore(freshness.CoreConfig{Limit: 3 * time.Second, Process: 1, Origin: start})
			core.Handle(start, freshness.NewLogRead(start, 5))
			core.Handle(start, freshness.NewApplied(5, 5))
			if diff := cmp.Diff(tc.want, core.View().Fresh(start.Add(tc.after), tc.state)); diff != "" {
				t.Errorf("fresh (-want +got):\n%s", diff)
			}
		})
	}
}

func TestStateBehindCoreUsesOwnProof(t *testing.T) {
	const limit = 3 * time.Second
	start := time.Unix(1_000_000, 0)
	cases := map[string]struct {
		states int // number of states after the thread's own, added within the period
		within time.Duration
		want   bool
	}{
		"one state":             {states: 1, within: 10 * time.Millisecond, want: true},
		"many states":           {states: 100, within: 10 * time.Millisecond, want: true},
		"one state, too long":   {states: 1, within: limit},
		"many states, too long": {states: 100, within: limit},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			core := freshness.NewCore(freshness.CoreConfig{Limit: limit, Process: 1, Origin: start})
			now := start
			for i := range tc.states + 1 {
				state := int64(i + 1)
				now = start.Add(tc.within * time.Duration(i) / time.Duration(tc.states))
				core.Handle(now, freshness.NewLogRead(now, state))
				core.Handle(now, freshness.NewApplied(state, state))
			}
			if diff := cmp.Diff(tc.want, core.View().Fresh(now, 1)); diff != "" {
				t.Errorf("fresh (-want +got):\n%s", diff)
			}
		})
	}
}
