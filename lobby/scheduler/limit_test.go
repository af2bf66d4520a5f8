package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/lobby/scheduler"
)

// TestLimitIsHeard guards against a rate named by a backend server that is taken from a
// start of it which is gone, or ends with an answer that was overtaken.
func TestLimitIsHeard(t *testing.T) {
	type answer struct {
		at, sent time.Duration
		rate     float64
		start    int64
	}
	cases := map[string]struct {
		answers []answer
		want    []string
	}{
		"named":             {answers: []answer{{rate: 2}, {at: 1, rate: 2}}, want: []string{"begun 2 (0)"}},
		"changed":           {answers: []answer{{rate: 2}, {at: 1, rate: 3}}, want: []string{"begun 2 (0)", "changed 3 (2)"}},
		"ended":             {answers: []answer{{rate: 2}, {at: 2, sent: 1}}, want: []string{"begun 2 (0)", "ended 0 (2)"}},
		"ended, named anew": {answers: []answer{{rate: 2}, {at: 2, sent: 1}, {at: 3, rate: 2}}, want: []string{"begun 2 (0)", "ended 0 (2)", "begun 2 (0)"}},
		"overtaken":         {answers: []answer{{at: 2, rate: 2}, {at: 3, sent: 1}}, want: []string{"begun 2 (0)"}},
		"none named":        {answers: []answer{{at: 2, sent: 1}}},
		"of another start":  {answers: []answer{{rate: 2, start: 1}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(plainServer("p"))
			var got []string
			for _, a := range tc.answers {
				report := scheduler.NewBackendLimit(scheduler.NewOrigin("p", a.start), a.rate, f.now.Add(a.sent*time.Second))
				for _, action := range f.core.Handle(f.now.Add(a.at*time.Second), report) {
					if record, ok := action.(scheduler.RecordLimit); ok {
						got = append(got, fmt.Sprintf("%v %v (%v)", record.State(), record.Rate(), record.Before()))
					}
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("recorded (-want +got):\n%s", diff)
			}
		})
	}
}
