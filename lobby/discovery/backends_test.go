package discovery

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/backstage"
	"sesamewell.example/commons/charter"
)

func TestMissingBackendsAreKeptForGracePeriodAfterOutage(t *testing.T) {
	gone := map[string]charter.Backend{"a": {}}
	back := backends("a")
	cases := map[string]struct {
		outage  time.Duration // in which reads fail
		leaving bool          // the entry was leaving before
		missed  bool          // the whole list is read in place of changes
		back    bool          // it comes back a second later
		soon    []string      // the list at the store's return
		later   []string      // and three seconds later
	}{
		"it comes back":                  {outage: 5 * time.Second, back: true, soon: []string{"a", "b"}, later: []string{"a", "b"}},
		"it does not come back":          {outage: 5 * time.Second, soon: []string{"a", "b"}, later: []string{"b"}},
		"changes are missed besides":     {outage: 5 * time.Second, missed: true, soon: []string{"a", "b"}, later: []string{"b"}},
		"it was leaving":                 {outage: 5 * time.Second, leaving: true, soon: []string{"b"}, later: []string{"b"}},
		"too short for entries to lapse": {outage: time.Second, soon: []string{"b"}, later: []string{"b"}},
		"no outage":                      {soon: []string{"b"}, later: []string{"b"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := &store{list: backends("a", "b")}
			h := NewBackendWatcher(WatcherConfig{Store: s, State: NewState(StateConfig{Listener: &listener{}, Log: backstage.Quiet()}), Log: backstage.Quiet()})
			now := noon
			step := func(after time.Duration) {
				for end := now.Add(after); now.Before(end); {
					now = now.Add(min(pollPeriod, end.Sub(now)))
					_ = h.step(now) // fails in the outage
					s.changes, s.missed = nil, false
				}
			}
			step(pollPeriod)
			if tc.leaving {
				config := s.list["a"].Config()
				config.Leaving = true
				s.changes = map[string]charter.Backend{"a": charter.NewBackend(config)}
				step(pollPeriod)
			}
			s.err = errors.New("away")
			step(tc.outage)
			s.err, s.changes, s.missed, s.list = nil, gone, tc.missed, backends("b")
			step(pollPeriod)
			if diff := cmp.Diff(tc.soon, ids(h.known)); diff != "" {
				t.Errorf("list at the return (-want +got):\n%s", diff)
			}
			step(time.Second)
			if tc.back {
				s.changes = back
			}
			step(2 * time.Second)
			if diff := cmp.Diff(tc.later, ids(h.known)); diff != "" {
				t.Errorf("list later (-want +got):\n%s", diff)
			}
		})
	}
}

func ids(known map[string]charter.Backend) []string {
	var ids []string
	for id := range known {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
