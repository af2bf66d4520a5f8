package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/testkit"
)

// readPeriod is the time between two reads in these tests.
const readPeriod = 400 * time.Millisecond

func TestMissingBackendsAreKeptForGracePeriodAfterOutage(t *testing.T) {
	removed := map[string]deployment.Backend{"a": {}}
	returned := backends("a")
	cases := map[string]struct {
		outage   time.Duration // time during which reads fail
		leaving  bool          // the missing server was leaving before the outage
		missed   bool          // changes are missed, so the full list is read
		relisted bool          // the server is listed again one second later
		atEnd    []string      // list at the end of the outage
		later    []string      // list three seconds later
	}{
		"listed again":                           {outage: 5 * time.Second, relisted: true, atEnd: []string{"a", "b"}, later: []string{"a", "b"}},
		"not listed again":                       {outage: 5 * time.Second, atEnd: []string{"a", "b"}, later: []string{"b"}},
		"not listed again, changes missed":       {outage: 5 * time.Second, missed: true, atEnd: []string{"a", "b"}, later: []string{"b"}},
		"leaving":                                {outage: 5 * time.Second, leaving: true, atEnd: []string{"b"}, later: []string{"b"}},
		"outage too short for entries to expire": {outage: time.Second, atEnd: []string{"b"}, later: []string{"b"}},
		"no outage":                              {atEnd: []string{"b"}, later: []string{"b"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := &store{list: backends("a", "b")}
			w := NewBackendWatcher(WatcherConfig{Store: s, State: NewState(StateConfig{Listener: &listener{}, Log: testkit.DiscardLog()}), Log: testkit.DiscardLog()}, &sharer{})
			now := noon
			step := func(after time.Duration) {
				for end := now.Add(after); now.Before(end); {
					now = now.Add(min(readPeriod, end.Sub(now)))
					_ = w.step(now) // fails during the outage
					s.changes, s.missed = nil, false
				}
			}
			step(readPeriod)
			if tc.leaving {
				config := s.list["a"].Config()
				config.Leaving = true
				s.changes = map[string]deployment.Backend{"a": deployment.NewBackend(config)}
				step(readPeriod)
			}
			s.err = errors.New("unreachable")
			step(tc.outage)
			s.err, s.changes, s.missed, s.list = nil, removed, tc.missed, backends("b")
			step(readPeriod)
			if diff := cmp.Diff(tc.atEnd, ids(w.backends)); diff != "" {
				t.Errorf("list at the end of the outage (-want +got):\n%s", diff)
			}
			step(time.Second)
			if tc.relisted {
				s.changes = returned
			}
			step(2 * time.Second)
			if diff := cmp.Diff(tc.later, ids(w.backends)); diff != "" {
				t.Errorf("list three seconds later (-want +got):\n%s", diff)
			}
		})
	}
}

func ids(backends map[string]deployment.Backend) []string {
	var ids []string
	for id := range backends {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// TestSucceededBackendIsNotListed guards against requests to, and copies counted at, a
// backend server that has ended while its entry has not expired: another one has started
// at its address. An entry of another writer, with a service that is not configured, took a
// sound one out of the list.
func TestSucceededBackendIsNotListed(t *testing.T) {
	entry := func(id, address, service string, start int64) deployment.Backend {
		return deployment.NewBackend(deployment.BackendConfig{ID: id, Address: address, Service: service, StartTime: start})
	}
	cases := map[string]struct {
		listed       []deployment.Backend
		unconfigured bool // there is no configuration yet
		want         []string
	}{
		"other addresses":         {listed: []deployment.Backend{entry("a", "x", "s", 1), entry("b", "y", "s", 2)}, want: []string{"a", "b"}},
		"a later start":           {listed: []deployment.Backend{entry("a", "x", "s", 1), entry("b", "x", "s", 2)}, want: []string{"b"}},
		"of another service":      {listed: []deployment.Backend{entry("a", "x", "s", 1), entry("b", "x", "other", 2)}, want: []string{"b"}},
		"of an unknown service":   {listed: []deployment.Backend{entry("a", "x", "s", 1), entry("b", "x", "none", 2)}, want: []string{"a", "b"}},
		"one of three, unknown":   {listed: []deployment.Backend{entry("a", "x", "s", 1), entry("b", "x", "s", 2), entry("c", "x", "none", 3)}, want: []string{"b", "c"}},
		"no configuration":        {listed: []deployment.Backend{entry("a", "x", "s", 1), entry("b", "x", "none", 2)}, unconfigured: true, want: []string{"b"}},
		"the same start":          {listed: []deployment.Backend{entry("a", "x", "s", 2), entry("b", "x", "s", 2)}, want: []string{"a", "b"}},
		"start of one not stated": {listed: []deployment.Backend{entry("a", "x", "s", 0), entry("b", "x", "s", 2)}, want: []string{"a", "b"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, l := &store{list: make(map[string]deployment.Backend)}, &listener{}
			for _, backend := range tc.listed {
				s.list[backend.ID()] = backend
			}
			state := NewState(StateConfig{Listener: l, Log: testkit.DiscardLog()})
			if !tc.unconfigured {
				state.setConfiguration(deployment.NewConfiguration(deployment.Config{Version: 1, Services: []deployment.ServiceConfig{{Name: "s"}, {Name: "other"}}}), "store")
			}
			w := NewBackendWatcher(WatcherConfig{Store: s, State: state, Log: testkit.DiscardLog()}, &sharer{})
			if err := w.step(noon); err != nil {
				t.Fatal(err)
			}
			got := l.backends[0]
			slices.Sort(got)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("list (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEntriesOfTheListAreBounded guards against memory that grows with what other writers put
// into the list, and with what they take out of it.
func TestEntriesOfTheListAreBounded(t *testing.T) {
	type counts struct{ Listed, Removed int }
	cases := map[string]struct {
		service        string // of the other entries
		entries, reads int    // entries that each read brings, other ones each time
		removed        bool   // those before are removed
		want           counts
	}{
		"configured":                  {service: "s", entries: 1000, reads: 3, want: counts{Listed: 3001}},
		"too many, configured":        {service: "s", entries: 6000, reads: 3, want: counts{Listed: 16384}},
		"not configured":              {service: "none", entries: 50, reads: 3, want: counts{Listed: 151}},
		"too many, not configured":    {service: "none", entries: 1000, reads: 3, want: counts{Listed: 257}},
		"too many, one after another": {service: "s", entries: 1500, reads: 4, removed: true, want: counts{Listed: 1501, Removed: 4096}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			state := NewState(StateConfig{Listener: &listener{}, Log: testkit.DiscardLog()})
			state.setConfiguration(deployment.NewConfiguration(deployment.Config{Version: 1, Services: []deployment.ServiceConfig{{Name: "s"}}}), "store")
			sound := deployment.NewBackend(deployment.BackendConfig{ID: "sound", Service: "s"})
			s := &store{list: map[string]deployment.Backend{"sound": sound}}
			w := NewBackendWatcher(WatcherConfig{Store: s, State: state, Log: testkit.DiscardLog()}, &sharer{})
			now := noon
			for read := range tc.reads + 1 {
				s.changes = make(map[string]deployment.Backend)
				for n := range tc.entries {
					id := fmt.Sprint(read, "-", n)
					s.changes[id] = deployment.NewBackend(deployment.BackendConfig{ID: id, Service: tc.service})
					if tc.removed {
						s.changes[fmt.Sprint(read-1, "-", n)] = deployment.Backend{}
					}
				}
				if err := w.step(now); err != nil { // the first one reads the list
					t.Fatal(err)
				}
				now = now.Add(time.Second)
			}
			if diff := cmp.Diff(tc.want, counts{Listed: len(w.backends), Removed: len(w.removed)}); diff != "" {
				t.Errorf("entries that are kept (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff("sound", w.backends["sound"].ID()); diff != "" {
				t.Errorf("sound one (-want +got):\n%s", diff)
			}
		})
	}
}
