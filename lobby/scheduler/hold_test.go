package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/lobby/scheduler"
)

// refuse ends a request's send with a refusal that asks for a time without requests.
func (f *fixture) refuse(number uint64, wait time.Duration) []scheduler.Action {
	actions := f.core.Handle(f.now, scheduler.NewBackendRefusing(f.origins[number], wait))
	actions = append(actions, f.core.Handle(f.now, scheduler.NewSendEnded(number, scheduler.Rejected, 503))...)
	f.noteOrigins(actions)
	return actions
}

// leave reports that a backend server says in an answer that it leaves.
func (f *fixture) leave(id string, start int64) []scheduler.Action {
	return f.core.Handle(f.now, scheduler.NewBackendLeaving(scheduler.NewOrigin(id, start)))
}

// digestOfLeaving receives a digest of a lobby that was told that a start of a backend
// server leaves.
func (f *fixture) digestOfLeaving(id string, start int64) {
	f.core.Handle(f.now, scheduler.NewDigestReceived(protocol.NewDigest(protocol.DigestConfig{Sender: "10.0.0.9:7000", Leaving: map[string]int64{id: start}})))
}

// TestBackendServerThatAsksForPauseGetsNoRequests guards against requests to a backend
// server that has refused one and stated when to come back.
func TestBackendServerThatAsksForPauseGetsNoRequests(t *testing.T) {
	cases := map[string]struct {
		path    string
		servers []deployment.BackendConfig
		want    []string // decision on the refused request, then on another one
		after   time.Duration
	}{
		"another server takes over":      {path: "/resumable/a", servers: []deployment.BackendConfig{engineServer("e1"), engineServer("e2")}, want: []string{"send e2", "send e2"}},
		"every copy asks for it":         {path: "/stream/a", servers: []deployment.BackendConfig{engineServer("e1")}, want: []string{"refuse 503 not_taken", "refuse 503 no_backend"}, after: 4 * time.Second},
		"a plain service":                {path: "/safe/a", servers: []deployment.BackendConfig{plainServer("p1"), plainServer("p2")}, want: []string{"send p2", "send p2"}},
		"the only server of a plain one": {path: "/unsafe/a", servers: []deployment.BackendConfig{plainServer("p1")}, want: []string{"refuse 503 not_taken", "refuse 503 no_backend"}, after: 4 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(tc.servers...)
			request := httpmeta.RequestConfig{Path: tc.path, Model: "m"}
			if tc.servers[0].Service == "plain" {
				request.Model = ""
			}
			f.arrive(request)
			refused := f.refuse(1, 4*time.Second)
			f.now = f.now.Add(500 * time.Millisecond)
			f.list(tc.servers...)
			next := f.arrive(request)
			if diff := cmp.Diff(tc.want, append(describe(refused), describe(next)...)); diff != "" {
				t.Errorf("decisions (-want +got):\n%s", diff)
			}
			for _, action := range append(refused, next...) {
				if refuse, ok := action.(scheduler.Refuse); ok && (refuse.RetryAfter() < tc.after-500*time.Millisecond || refuse.RetryAfter() > tc.after+200*time.Millisecond) {
					t.Errorf("refused until %v later, want about %v", refuse.RetryAfter(), tc.after)
				}
			}
		})
	}
}

func TestRequestsReturnAFewAtATimeAfterAPause(t *testing.T) {
	f := newFixture(engineServer("e1"))
	f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"})
	f.refuse(1, time.Second)
	sent := make(map[int]int) // by quarter of a second after the refusal
	for step := range 90 {
		f.now = noon.Add(time.Duration(step) * 50 * time.Millisecond)
		actions := f.core.Tick(f.now)
		for range 3 {
			actions = append(actions, f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "m"})...)
		}
		for _, action := range actions {
			if send, ok := action.(scheduler.Send); ok {
				sent[step/5]++
				f.core.Handle(f.now, scheduler.NewSendEnded(send.Number(), scheduler.Complete, 200))
			}
		}
	}
	for quarter := range 4 {
		if sent[quarter] > 0 {
			t.Errorf("%d requests sent in quarter %d of the pause", sent[quarter], quarter)
		}
	}
	if first := sent[4] + sent[5]; first < 1 || first > 3 {
		t.Errorf("%d requests sent at first, want 1 to 3: %v", first, sent)
	}
	if sent[17] < 10 {
		t.Errorf("%d requests sent in the last quarter: %v", sent[17], sent)
	}
}

// TestQueuedRequestsLeaveAServerThatAsksForPause guards against requests that wait for a
// slot at a backend server until their callers give up.
func TestQueuedRequestsLeaveAServerThatAsksForPause(t *testing.T) {
	cases := map[string]struct {
		wait time.Duration
		want int // requests refused at once
	}{
		"shorter than they can wait": {wait: 300 * time.Millisecond, want: 0},
		"longer than they can wait":  {wait: time.Minute, want: 10},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(engineServer("e1"))
			for range 74 {
				f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"})
			}
			f.refuse(1, tc.wait)
			f.now = f.now.Add(50 * time.Millisecond)
			refused := 0
			for _, action := range f.core.Tick(f.now) {
				if refuse, ok := action.(scheduler.Refuse); ok {
					refused++
					if refuse.RetryAfter() < tc.wait-100*time.Millisecond {
						t.Errorf("told to come back after %v", refuse.RetryAfter())
					}
				}
			}
			if diff := cmp.Diff(tc.want, refused); diff != "" {
				t.Errorf("refused (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAbsurdPausesAreShortened(t *testing.T) {
	for name, wait := range map[string]time.Duration{"a week": 7 * 24 * time.Hour, "longest": 1<<63 - 1} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(plainServer("p1"))
			f.arrive(httpmeta.RequestConfig{Path: "/unsafe/a"})
			f.refuse(1, wait)
			f.now = f.now.Add(11 * time.Minute)
			if diff := cmp.Diff(fmt.Sprint([]string{"send p1"}), fmt.Sprint(describe(f.arrive(httpmeta.RequestConfig{Path: "/unsafe/a"})))); diff != "" {
				t.Errorf("eleven minutes later (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStateOfBackendServerOutlivesItsEntry lets the entry of a backend server lapse and
// return. What it had asked for was forgotten with the entry.
func TestStateOfBackendServerOutlivesItsEntry(t *testing.T) {
	request := httpmeta.RequestConfig{Path: "/stream/a", Model: "m"}
	later := func(config deployment.BackendConfig) deployment.BackendConfig {
		config.StartTime++
		return config
	}
	moved := func(config deployment.BackendConfig) deployment.BackendConfig {
		config.Address = "10.0.0.7:80"
		return config
	}
	e1 := engineServer("e1")
	cases := map[string]struct {
		before func(f *fixture)
		absent time.Duration
		back   deployment.BackendConfig
		want   []string
	}{
		"nothing asked":                     {before: func(*fixture) {}, absent: time.Second, back: e1, want: []string{"send e1"}},
		"hold":                              {before: func(f *fixture) { f.refuse(1, 4*time.Second) }, absent: time.Second, back: e1, want: []string{"refuse 503 no_backend"}},
		"hold, new address":                 {before: func(f *fixture) { f.refuse(1, 4*time.Second) }, absent: time.Second, back: moved(e1), want: []string{"refuse 503 no_backend"}},
		"hold that has ended":               {before: func(f *fixture) { f.refuse(1, 4*time.Second) }, absent: 5 * time.Second, back: e1, want: []string{"send e1"}},
		"hold, another start":               {before: func(f *fixture) { f.refuse(1, 4*time.Second) }, absent: time.Second, back: later(e1), want: []string{"send e1"}},
		"hold beyond the retention":         {before: func(f *fixture) { f.refuse(1, 5*time.Minute) }, absent: 3 * time.Minute, back: e1, want: []string{"refuse 503 no_backend"}},
		"leaving":                           {before: func(f *fixture) { f.leave("e1", 0) }, absent: time.Second, back: e1, want: []string{"refuse 503 no_backend"}},
		"leaving, another start":            {before: func(f *fixture) { f.leave("e1", 0) }, absent: time.Second, back: later(e1), want: []string{"send e1"}},
		"leaving, away for long":            {before: func(f *fixture) { f.leave("e1", 0) }, absent: time.Hour, back: e1, want: []string{"refuse 503 no_backend"}},
		"leaving, request has ended":        {before: func(f *fixture) { f.core.Handle(f.now, scheduler.NewAbandoned(1)); f.leave("e1", 0) }, absent: time.Second, back: e1, want: []string{"refuse 503 no_backend"}},
		"leaving, said by an earlier start": {before: func(f *fixture) { f.leave("e1", -1) }, absent: time.Second, back: e1, want: []string{"send e1"}},
		"leaving, said to another lobby before the entry is known": {before: func(f *fixture) { f.digestOfLeaving("e1", 1) }, absent: time.Second, back: later(e1), want: []string{"refuse 503 no_backend"}},
		"leaving, then an older digest":                            {before: func(f *fixture) { f.leave("e1", 0); f.digestOfLeaving("e1", -1) }, absent: time.Second, back: e1, want: []string{"refuse 503 no_backend"}},
		"hold, request has ended":                                  {before: func(f *fixture) { f.core.Handle(f.now, scheduler.NewAbandoned(1)); f.refuse(1, 4*time.Second) }, absent: time.Second, back: e1, want: []string{"refuse 503 no_backend"}},
		"replaced at its address":                                  {before: func(f *fixture) { f.core.Handle(f.now, scheduler.NewSendEnded(1, scheduler.Replaced, 421)) }, absent: time.Second, back: e1, want: []string{"refuse 503 no_backend"}},
		"replaced, then at another address":                        {before: func(f *fixture) { f.core.Handle(f.now, scheduler.NewSendEnded(1, scheduler.Replaced, 421)) }, absent: time.Second, back: moved(e1), want: []string{"send e1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(e1)
			f.arrive(request)
			tc.before(f)
			f.list()
			f.now = f.now.Add(tc.absent)
			f.list()
			f.list(tc.back)
			got := describe(f.arrive(request))
			if len(got) == 0 { // it waits in the queue
				f.now = f.now.Add(3 * time.Second)
				got = describe(f.core.Tick(f.now))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRequestThatEveryCopyHasRefused guards against a request that waits until its caller
// gives up, since all copies that could run it have refused it and asked for a time.
func TestRequestThatEveryCopyHasRefused(t *testing.T) {
	cases := map[string]struct {
		servers []deployment.BackendConfig
		wait    time.Duration
		want    []string // decisions until the hold has ended
	}{
		"for longer than it can wait": {servers: []deployment.BackendConfig{engineServer("e1")}, wait: time.Minute, want: []string{"refuse 503 no_backend"}},
		"for a short time":            {servers: []deployment.BackendConfig{engineServer("e1")}, wait: 300 * time.Millisecond, want: []string{"send e1"}},
		"another copy is there":       {servers: []deployment.BackendConfig{engineServer("e1"), engineServer("e2")}, wait: time.Minute, want: []string{"send e2"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(tc.servers...)
			f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "m"})
			actions := f.refuse(1, tc.wait)
			for range 10 {
				f.now = f.now.Add(50 * time.Millisecond)
				actions = append(actions, f.core.Tick(f.now)...)
			}
			if diff := cmp.Diff(tc.want, describe(actions)); diff != "" {
				t.Errorf("decisions (-want +got):\n%s", diff)
			}
			for _, action := range actions {
				if refuse, ok := action.(scheduler.Refuse); ok && refuse.RetryAfter() < tc.wait-time.Second {
					t.Errorf("told to come back after %v, want about %v", refuse.RetryAfter(), tc.wait)
				}
			}
		})
	}
}

// TestRequestsThatWaitForAnAdapterMoveAtOnce guards against requests that wait for an
// adapter of a backend server that takes no requests any more until its keeper answers.
func TestRequestsThatWaitForAnAdapterMoveAtOnce(t *testing.T) {
	cases := map[string]func(f *fixture) []scheduler.Action{
		"held":            func(f *fixture) []scheduler.Action { return f.refuse(1, 4*time.Second) },
		"leaving":         func(f *fixture) []scheduler.Action { return f.leave("e1", 0) },
		"leaving, listed": func(f *fixture) []scheduler.Action { return f.list(leavingEngine("e1", "a"), engineServer("e2", "a")) },
		"not listed":      func(f *fixture) []scheduler.Action { return f.list(engineServer("e2", "a")) },
	}
	for name, learn := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(engineServer("e1", "a"))
			f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"})
			checkActions(t, "request with an adapter", []string{"fetch e1 m/a"}, f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m", Adapter: "a"}))
			f.list(engineServer("e1", "a"), engineServer("e2", "a"))
			moved := false
			for _, line := range describe(learn(f)) {
				moved = moved || line == "fetch e2 m/a"
			}
			if !moved {
				t.Error("the request still waits")
			}
			late := scheduler.NewFetchEnded(scheduler.NewFetch(scheduler.FetchConfig{Number: 2, Backend: "e1", Model: "m", Adapter: "a", At: f.now}), time.Minute)
			checkActions(t, "late adapter", nil, f.core.Handle(f.now, late))
		})
	}
}

func leavingEngine(id string, adapters ...string) deployment.BackendConfig {
	config := engineServer(id, adapters...)
	config.Leaving = true
	return config
}

// TestDigestsNameLeavingServersWhoseEntriesHaveLapsed guards against lobbies that still
// have the entry of a leaving backend server and are not told.
func TestDigestsNameLeavingServersWhoseEntriesHaveLapsed(t *testing.T) {
	for name, list := range map[string][]deployment.BackendConfig{"listed": {engineServer("e1")}, "lapsed": nil} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(engineServer("e1"))
			f.leave("e1", 0)
			f.list(list...)
			f.now = f.now.Add(time.Second)
			for _, action := range f.core.Tick(f.now) {
				if broadcast, ok := action.(scheduler.Broadcast); ok {
					if diff := cmp.Diff(map[string]int64{"e1": 0}, broadcast.Leaving()); diff != "" {
						t.Errorf("leaving (-want +got):\n%s", diff)
					}
					return
				}
			}
			t.Error("no digest")
		})
	}
}

// TestLobbiesReturnAFewAtATime guards against a fleet of which each lobby returns to a
// backend server at the same time after it has refused requests.
func TestLobbiesReturnAFewAtATime(t *testing.T) {
	cases := map[string]struct{ lobbies, most int }{"two": {lobbies: 2, most: 4}, "twenty": {lobbies: 20, most: 12}}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			fleet := make([]*fixture, tc.lobbies)
			for i := range fleet {
				f := newFixture(engineServer("e1"))
				for range i { // each lobby draws other times
					f.config.Random.Int64()
				}
				f.core.Handle(f.now, scheduler.NewLobbyCountChanged(tc.lobbies))
				f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "m"})
				f.refuse(1, time.Second)
				fleet[i] = f
			}
			if first := fleetSends(fleet, 999*time.Millisecond); first > 0 {
				t.Errorf("%d sent while it is held", first)
			}
			if got := fleetSends(fleet, 1100*time.Millisecond); got > tc.most {
				t.Errorf("%d sent in the first tenth of a second after the hold, want at most %d", got, tc.most)
			}
			if got := fleetSends(fleet, 5*time.Second); got < 2*tc.lobbies {
				t.Errorf("%d sent in the end", got)
			}
		})
	}
}

// fleetSends lets each lobby get three requests at a time after noon, and returns the
// number that are sent.
func fleetSends(fleet []*fixture, after time.Duration) int {
	sent := 0
	for _, f := range fleet {
		f.now = noon.Add(after)
		actions := f.core.Tick(f.now)
		for range 3 {
			actions = append(actions, f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "m"})...)
		}
		sent += len(sends(actions))
	}
	return sent
}
