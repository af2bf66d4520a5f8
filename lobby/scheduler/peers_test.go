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

func TestServerSilentToPeerIsAvoided(t *testing.T) {
	f := newFixture(engineServer("e1"), engineServer("e2"))
	f.core.Handle(f.now, scheduler.NewDigestReceived(protocol.NewDigest(protocol.DigestConfig{
		Sender: "10.0.0.9:7000", Loads: []protocol.BackendLoadConfig{{Backend: "e1", Open: 1, Silent: true}, {Backend: "e2", Open: 9}},
	})))
	checkActions(t, "request", []string{"send e2"}, f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"}))
}

// TestReplacedServersAreSharedBetweenLobbies guards against a loss of all engines after
// which each lobby finds out by a lost send to each listed one that it is gone.
func TestReplacedServersAreSharedBetweenLobbies(t *testing.T) {
	restarted := engineServer("e1")
	restarted.StartTime = 9
	cases := map[string]struct {
		list []deployment.BackendConfig
		want string
	}{
		"the same start":           {list: []deployment.BackendConfig{engineServer("e1"), engineServer("e2")}, want: "send e2"},
		"a later start, same ID":   {list: []deployment.BackendConfig{restarted, engineServer("e2")}, want: "send e1"},
		"not on this lobby's list": {list: []deployment.BackendConfig{engineServer("e2")}, want: "send e2"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			finder := newFixture(engineServer("e1"), engineServer("e2"))
			finder.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"})
			finder.core.Handle(finder.now, scheduler.NewSendEnded(1, scheduler.Replaced, 421))
			var replaced map[string]int64
			for _, action := range finder.core.Tick(finder.now.Add(time.Second)) {
				if broadcast, ok := action.(scheduler.Broadcast); ok {
					replaced = broadcast.Replaced()
				}
			}
			f := newFixture(tc.list...)
			f.core.Handle(f.now, scheduler.NewDigestReceived(protocol.NewDigest(protocol.DigestConfig{Sender: "10.0.0.9:7000", Replaced: replaced})))
			checkActions(t, "request", []string{tc.want}, f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"}))
		})
	}
}

func TestDigestPeriodGrowsWithLobbies(t *testing.T) {
	cases := map[string]struct {
		lobbies int
		want    int // digests in two seconds
	}{
		"alone": {lobbies: 1, want: 40}, "four": {lobbies: 4, want: 40}, "twenty": {lobbies: 20, want: 10}, "hundred": {lobbies: 100, want: 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(engineServer("e1"))
			f.core.Handle(f.now, scheduler.NewLobbyCountChanged(tc.lobbies))
			digests := 0
			for range 40 {
				f.now = f.now.Add(50 * time.Millisecond)
				for _, action := range f.core.Tick(f.now) {
					if _, ok := action.(scheduler.Broadcast); ok {
						digests++
					}
				}
			}
			if diff := cmp.Diff(tc.want, digests); diff != "" {
				t.Errorf("digests (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDigestsCarryDemandAndPlanWhenDue guards against digests that repeat what
// changes little: they are most of the bytes between failure domains.
func TestDigestsCarryDemandAndPlanWhenDue(t *testing.T) {
	cases := map[string]struct {
		lobbies    int
		changePlan bool // the plan changes after one second
		demands    int  // digests with the demand in two seconds
		plans      int  // digests with the plan
	}{
		"few lobbies":     {lobbies: 4, demands: 10, plans: 2},
		"many lobbies":    {lobbies: 20, demands: 5, plans: 2},
		"plan that moves": {lobbies: 4, changePlan: true, demands: 10, plans: 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(engineServer("e1"))
			f.core.Handle(f.now, scheduler.NewLobbyCountChanged(tc.lobbies))
			plan := map[string][]string{"e1": {"m"}}
			demands, plans := 0, 0
			for i := range 40 {
				if tc.changePlan && i == 10 {
					plan = map[string][]string{"e1": {"m", "n"}}
				}
				f.core.Handle(f.now, scheduler.NewPlanChanged(plan))
				f.now = f.now.Add(50 * time.Millisecond)
				for _, action := range f.core.Tick(f.now) {
					if broadcast, ok := action.(scheduler.Broadcast); ok {
						if broadcast.Demand() != nil {
							demands++
						}
						if broadcast.Plan() != nil {
							plans++
						}
					}
				}
			}
			if diff := cmp.Diff([]int{tc.demands, tc.plans}, []int{demands, plans}); diff != "" {
				t.Errorf("digests with the demand and with the plan (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDemandCountsOpenAndQueuedRequests(t *testing.T) {
	f := newFixture(engineServer("e1"))
	f.core.Tick(f.now)
	for range 16 {
		f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "m"})
		f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "n"})
	}
	f.now = f.now.Add(2 * time.Second)
	var demand map[string]float64
	for _, action := range f.core.Tick(f.now) {
		if broadcast, ok := action.(scheduler.Broadcast); ok && broadcast.Demand() != nil {
			demand = broadcast.Demand()
		}
	}
	if diff := cmp.Diff(map[string]float64{"m": 0.25, "n": 0.25}, demand); diff != "" {
		t.Errorf("demand in engines (-want +got):\n%s", diff)
	}
}

// TestDemandCountsRefusedRequests guards against a model that gets no further copies
// because the requests that its engines have no room for are refused early.
func TestDemandCountsRefusedRequests(t *testing.T) {
	f := newFixture(emptyEngine("e1"))
	var demand map[string]float64
	for range 100 { // 20 requests a second, which would run for a second each
		f.now = f.now.Add(50 * time.Millisecond)
		checkActions(t, "arrival", []string{"refuse 503 no_backend"}, f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"})[:1])
		for _, action := range f.core.Tick(f.now) {
			if broadcast, ok := action.(scheduler.Broadcast); ok && broadcast.Demand() != nil {
				demand = broadcast.Demand()
			}
		}
	}
	if got, want := demand["m"], 20.0/64; got < 0.8*want || got > 1.2*want {
		t.Errorf("demand of %.3f engines, want about %.3f", got, want)
	}
}

func TestRetryAfterWhileDraining(t *testing.T) {
	digests := func(draining ...bool) []protocol.Digest {
		var list []protocol.Digest
		for i, d := range draining {
			list = append(list, protocol.NewDigest(protocol.DigestConfig{Sender: fmt.Sprint("10.0.0.9:", i), Draining: d}))
		}
		return list
	}
	cases := map[string]struct {
		peers []protocol.Digest
		age   time.Duration // of the peers' digests
		want  time.Duration
	}{
		"one peer not draining": {peers: digests(true, false), want: 300 * time.Millisecond},
		"all peers draining":    {peers: digests(true, true), want: 1500 * time.Millisecond},
		"no peer":               {want: 1500 * time.Millisecond},
		"silent peer":           {peers: digests(false), age: 2 * time.Second, want: 1500 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(plainServer("p1"))
			f.core.Handle(f.now, scheduler.NewDrain(f.now))
			f.now = f.now.Add(3 * time.Second)
			for _, digest := range tc.peers {
				f.core.Handle(f.now.Add(-tc.age), scheduler.NewDigestReceived(digest))
			}
			actions := f.arrive(httpmeta.RequestConfig{Path: "/safe/a"})
			checkActions(t, "decision", []string{"refuse 503 leaving"}, actions)
			if refuse, ok := actions[0].(scheduler.Refuse); ok {
				if diff := cmp.Diff(tc.want, refuse.RetryAfter()); diff != "" {
					t.Errorf("retry after (-want +got):\n%s", diff)
				}
			}
		})
	}
}
