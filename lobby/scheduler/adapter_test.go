package scheduler_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/lobby/scheduler"
)

// TestAdapterInUseStaysLeased guards against the unload of an adapter with which a request
// still runs: its lease ended some seconds after the last request for it had been sent.
func TestAdapterInUseStaysLeased(t *testing.T) {
	const lease = 3 * time.Second
	type result struct {
		Lapsed   bool // the lease ended while the request ran
		Renewals int
	}
	cases := map[string]struct {
		runs    time.Duration
		watched time.Duration
		silent  bool // the keeper grants nothing after the first lease
		want    result
	}{
		"short run":          {runs: time.Second, watched: 5 * time.Second},
		"long run":           {runs: 10 * time.Second, watched: 15 * time.Second, want: result{Renewals: 6}},
		"keeper that denies": {runs: 7 * time.Second, watched: 7 * time.Second, silent: true, want: result{Lapsed: true, Renewals: 6}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(engineServer("e1"))
			var got result
			var until time.Time
			var fetches []scheduler.Fetch
			handle := func(actions []scheduler.Action) {
				for _, action := range actions {
					if fetch, ok := action.(scheduler.Fetch); ok {
						fetches = append(fetches, fetch)
					}
				}
			}
			start := f.now
			handle(f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m", Adapter: "a1"}))
			for ended := false; f.now.Sub(start) < tc.watched; f.now = f.now.Add(50 * time.Millisecond) {
				for len(fetches) > 0 {
					fetch, granted := fetches[0], lease
					fetches = fetches[1:]
					if fetch.Number() == 0 {
						got.Renewals++
					}
					if tc.silent && fetch.Number() == 0 {
						granted = 0
					} else {
						until = f.now.Add(lease)
					}
					handle(f.core.Handle(f.now, scheduler.NewFetchEnded(fetch, granted)))
				}
				if !ended && f.now.Sub(start) >= tc.runs {
					ended = true
					handle(f.core.Handle(f.now, scheduler.NewSendEnded(1, scheduler.Complete, 200)))
				}
				got.Lapsed = got.Lapsed || !ended && f.now.After(until)
				handle(f.core.Tick(f.now))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("lease (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLeaseBelongsToItsRequest takes the answer of a keeper late, after another start of its
// backend server, or while the entry of that is away. A lease counted from the answer's
// handling, for whatever start was listed, and a renewal without an entry was never over.
func TestLeaseBelongsToItsRequest(t *testing.T) {
	const lease = 3 * time.Second
	request := httpmeta.RequestConfig{Path: "/resumable/a", Model: "m", Adapter: "a1"}
	other := engineServer("e1")
	other.StartTime = 1
	fetched := []string{"fetch e1 m/a1"}
	cases := map[string]struct {
		meanwhile func(f *fixture) // between a request for a lease and its answer
		first     []string         // decision on the request that waits for it
		second    []string         // on another one then
	}{
		"at once":                    {first: []string{"send e1"}, second: []string{"send e1"}},
		"after a part of the lease":  {meanwhile: func(f *fixture) { f.now = f.now.Add(lease / 4) }, first: []string{"send e1"}, second: []string{"send e1"}},
		"after the end of the lease": {meanwhile: func(f *fixture) { f.now = f.now.Add(lease) }, first: fetched, second: fetched},
		"after another start":        {meanwhile: func(f *fixture) { f.list(other) }, first: fetched, second: fetched},
		"while the entry is away":    {meanwhile: func(f *fixture) { f.list() }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(engineServer("e1"))
			answer := func(actions []scheduler.Action) []scheduler.Action {
				t.Helper()
				if diff := cmp.Diff(fetched, describe(actions)); diff != "" {
					t.Fatalf("request for a lease (-want +got):\n%s", diff)
				}
				if tc.meanwhile != nil {
					tc.meanwhile(f)
				}
				return f.core.Handle(f.now, scheduler.NewFetchEnded(actions[0].(scheduler.Fetch), lease))
			}
			if tc.first != nil {
				checkActions(t, "answered", tc.first, answer(f.arrive(request)))
				checkActions(t, "another request", tc.second, f.arrive(request))
				return
			}
			f.core.Handle(f.now, scheduler.NewFetchEnded(f.arrive(request)[0].(scheduler.Fetch), lease))
			f.now = f.now.Add(2 * time.Second)
			answer(f.core.Tick(f.now))
			f.list(engineServer("e1"))
			f.now = f.now.Add(2 * time.Second)
			checkActions(t, "lease in use is about to end", fetched, f.core.Tick(f.now))
		})
	}
}
