package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/lobby/scheduler"
)

// retryDelays lets n callers be refused at the same moment and returns their retry delays,
// sorted.
func retryDelays(t *testing.T, f *fixture, n int, refuse func() []scheduler.Action) []time.Duration {
	t.Helper()
	var delays []time.Duration
	for range n {
		for _, action := range refuse() {
			if refusal, ok := action.(scheduler.Refuse); ok {
				delays = append(delays, refusal.RetryAfter())
			}
		}
	}
	if diff := cmp.Diff(n, len(delays)); diff != "" {
		t.Fatalf("refusals (-want +got):\n%s", diff)
	}
	slices.Sort(delays)
	return delays
}

// mostWithin returns the largest number of callers that return within a span.
func mostWithin(delays []time.Duration, span time.Duration) int {
	most, first := 0, 0
	for last := range delays {
		for delays[last]-delays[first] > span {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestRefusedCallersReturnSpread guards against callers that were refused together and
// return together: they overload the backend servers again.
func TestRefusedCallersReturnSpread(t *testing.T) {
	loading := func(timeout time.Duration) func(*fixture) []scheduler.Action {
		return func(f *fixture) []scheduler.Action {
			return f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m", Timeout: timeout})
		}
	}
	rejected := func(f *fixture) []scheduler.Action {
		f.arrive(httpmeta.RequestConfig{Path: "/long/a"})
		return f.core.Handle(f.now, scheduler.NewSendEnded(f.number, scheduler.Rejected, 503))
	}
	cases := map[string]struct {
		refuse      func(*fixture) []scheduler.Action
		callers     int
		first, last time.Duration // range of the delays
		most        int           // callers that return within 0.1 s
	}{
		"one":                                {refuse: loading(15 * time.Second), callers: 1, first: 4400 * time.Millisecond, last: 4400 * time.Millisecond, most: 1},
		"at the rate of the engine":          {refuse: loading(15 * time.Second), callers: 32, first: 4400 * time.Millisecond, last: 5 * time.Second, most: 10},
		"more than can wait":                 {refuse: loading(15 * time.Second), callers: 300, first: 4400 * time.Millisecond, last: 5 * time.Second, most: 100},
		"callers that cannot wait that long": {refuse: loading(6 * time.Second), callers: 32, first: 4400 * time.Millisecond, last: 4400 * time.Millisecond, most: 32},
		"all servers full":                   {refuse: rejected, callers: 32, first: 300 * time.Millisecond, last: 8 * time.Second, most: 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(emptyEngine("e1"), plainServer("p1"))
			delays := retryDelays(t, f, tc.callers, func() []scheduler.Action { return tc.refuse(f) })
			if delays[0] < tc.first || delays[len(delays)-1] > tc.last {
				t.Errorf("callers return after %v to %v, want %v to %v", delays[0], delays[len(delays)-1], tc.first, tc.last)
			}
			if got := mostWithin(delays, 100*time.Millisecond); got > tc.most {
				t.Errorf("%d callers return within 0.1 s, want %d at most", got, tc.most)
			}
		})
	}
}

// TestRetryDelayIsNeverBeforeCapacity draws refusals over time and checks that none is told
// to return before the model is expected, nor later than it can wait if it can wait.
func TestRetryDelayIsNeverBeforeCapacity(t *testing.T) {
	const load = 4400 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(emptyEngine("e1"))
		start := f.now
		for range rapid.IntRange(1, 60).Draw(t, "refusals") {
			timeout := time.Duration(rapid.IntRange(4, 15).Draw(t, "timeout")) * time.Second
			expected := load - f.now.Sub(start)
			for _, action := range f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m", Timeout: timeout}) {
				refusal, ok := action.(scheduler.Refuse)
				if !ok {
					continue
				}
				if got := refusal.RetryAfter(); got < expected || got > max(expected, timeout/3) {
					t.Fatalf("told to come back after %v, the model is expected after %v and the caller waits for %v", got, expected, timeout/3)
				}
			}
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "pause")) * time.Millisecond)
			if f.now.Sub(start) > 3*time.Second { // from then on the request waits in the queue
				return
			}
		}
	})
}

// TestRefusalsOfAPastOverloadDelayNobody guards against callers that are told to return
// late because many were refused long before, when all of those have returned or given up.
func TestRefusalsOfAPastOverloadDelayNobody(t *testing.T) {
	f := newFixture(plainServer("p1"))
	f.limiter.remaining = 1 << 30
	reject := func() []scheduler.Action {
		f.arrive(httpmeta.RequestConfig{Path: "/long/a"})
		return f.core.Handle(f.now, scheduler.NewSendEnded(f.number, scheduler.Rejected, 503))
	}
	overload := retryDelays(t, f, 3000, reject)
	const limit = 20 * time.Second // a third of the time limit
	if last := overload[len(overload)-1]; last > limit {
		t.Errorf("a caller is told to return after %v, it waits for %v", last, limit)
	}
	f.now = f.now.Add(limit + 2*time.Second)
	if got := retryDelays(t, f, 1, reject)[0]; got > time.Second {
		t.Errorf("after the overload a caller is told to return after %v", got)
	}
}

// TestDrainingLobbyTellsCallersATimeThatTheyCanWait guards against a burst of refusals
// during a stop whose last callers are told to return after minutes.
func TestDrainingLobbyTellsCallersATimeThatTheyCanWait(t *testing.T) {
	f := newFixture(engineServer("e1"))
	f.core.Handle(f.now, scheduler.NewDrain(f.now))
	f.now = f.now.Add(f.config.Stop.AcceptPeriod())
	delays := retryDelays(t, f, 500, func() []scheduler.Action {
		return f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"})
	})
	if last := delays[len(delays)-1]; last > 5*time.Second {
		t.Errorf("a caller that waits for 5 s is told to return after %v", last)
	}
}
