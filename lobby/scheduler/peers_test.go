package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/visit"
	"sesamewell.example/lobby/scheduler"
)

func TestSilenceThatAnotherLobbyMeetsCounts(t *testing.T) {
	d := newDesk(holder("e1"), holder("e2"))
	d.core.Handle(d.now, scheduler.NewDigestReceived(notice.NewDigest(notice.DigestConfig{
		Sender: "10.0.0.9:7000", Loads: []notice.LoadConfig{{Backend: "e1", Open: 1, Silent: true}, {Backend: "e2", Open: 9}},
	})))
	want(t, "request", []string{"send e2"}, d.arrive(visit.Config{Path: "/stream/a", Model: "m"}))
}

func TestDigestsComeAsOftenAsTheNumberOfLobbiesAllows(t *testing.T) {
	cases := map[string]struct {
		lobbies int
		want    int // digests in two seconds
	}{
		"alone": {lobbies: 1, want: 40}, "four": {lobbies: 4, want: 40}, "twenty": {lobbies: 20, want: 10}, "hundred": {lobbies: 100, want: 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDesk(holder("e1"))
			d.core.Handle(d.now, scheduler.NewLobbyCountChanged(tc.lobbies))
			digests := 0
			for range 40 {
				d.now = d.now.Add(50 * time.Millisecond)
				for _, action := range d.core.Tick(d.now) {
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

func TestDemandIsWhatIsOpenAndWaits(t *testing.T) {
	d := newDesk(holder("e1"))
	d.core.Tick(d.now)
	for range 16 {
		d.arrive(visit.Config{Path: "/resumable/a", Model: "m"})
		d.arrive(visit.Config{Path: "/resumable/a", Model: "n"})
	}
	d.now = d.now.Add(2 * time.Second)
	var asked map[string]float64
	for _, action := range d.core.Tick(d.now) {
		if tell, ok := action.(scheduler.Broadcast); ok {
			asked = tell.Demand()
		}
	}
	if diff := cmp.Diff(map[string]float64{"m": 0.25, "n": 0.25}, asked); diff != "" {
		t.Errorf("engines asked for (-want +got):\n%s", diff)
	}
}

func TestLeavingLobbyTellsWhenToComeBack(t *testing.T) {
	others := func(leaving ...bool) []notice.Digest {
		var digests []notice.Digest
		for i, l := range leaving {
			digests = append(digests, notice.NewDigest(notice.DigestConfig{Sender: fmt.Sprint("10.0.0.9:", i), Leaving: l}))
		}
		return digests
	}
	cases := map[string]struct {
		others []notice.Digest
		age    time.Duration // of what they said
		want   time.Duration
	}{
		"another one stays":   {others: others(true, false), want: 300 * time.Millisecond},
		"all leave":           {others: others(true, true), want: 1500 * time.Millisecond},
		"alone":               {want: 1500 * time.Millisecond},
		"the other is silent": {others: others(false), age: 2 * time.Second, want: 1500 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDesk(plain("p1"))
			d.core.Handle(d.now, scheduler.Draining{})
			d.now = d.now.Add(3 * time.Second)
			for _, digest := range tc.others {
				d.core.Handle(d.now.Add(-tc.age), scheduler.NewDigestReceived(digest))
			}
			actions := d.arrive(visit.Config{Path: "/safe/a"})
			want(t, "decision", []string{"refuse 503 leaving"}, actions)
			if refuse, ok := actions[0].(scheduler.Refuse); ok {
				if diff := cmp.Diff(tc.want, refuse.RetryAfter()); diff != "" {
					t.Errorf("time to come back (-want +got):\n%s", diff)
				}
			}
		})
	}
}
