package nightwatch_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/nightwatch"
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
			core := nightwatch.NewCore(nightwatch.CoreConfig{Limit: 3 * time.Second, Process: 1, Origin: start})
			core.Handle(start, nightwatch.NewLogRead(start, 5))
			core.Handle(start, nightwatch.NewFolded(5, 5))
			if diff := cmp.Diff(tc.want, core.View().Fresh(start.Add(tc.after), tc.state)); diff != "" {
				t.Errorf("fresh (-want +got):\n%s", diff)
			}
		})
	}
}
