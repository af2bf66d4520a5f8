package freshness_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/freshness"
)

func TestDutyAheadOfTheWatchGoesByTheNewestProof(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	cases := map[string]struct {
		state int64
		after time.Duration
		want  bool
	}{
		"the watch's state":       {state: 5, after: time.Second, want: true},
		"ahead of the watch":      {state: 6, after: time.Second, want: true},
		"ahead, proof lapsed":     {state: 6, after: 3 * time.Second},
		"behind, state not known": {state: 4, after: time.Second},
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

func TestDutyBehindTheWatchGoesByItsOwnProof(t *testing.T) {
	const limit = 3 * time.Second
	start := time.Unix(1_000_000, 0)
	cases := map[string]struct {
		states int // that follow the duty's own within the time
		within time.Duration
		want   bool
	}{
		"one state behind":      {states: 1, within: 10 * time.Millisecond, want: true},
		"many states behind":    {states: 100, within: 10 * time.Millisecond, want: true},
		"behind for too long":   {states: 1, within: limit},
		"many, and for so long": {states: 100, within: limit},
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
