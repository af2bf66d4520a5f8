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
		"changed":           {answers: []answer{{rate: 2}, {at: 6, rate: 3}}, want: []string{"begun 2 (0)", "changed 3 (2)"}},
		"ended":             {answers: []answer{{rate: 2}, {at: 2, sent: 1}}, want: []string{"begun 2 (0)", "ended 0 (2)"}},
		"ended, named anew": {answers: []answer{{rate: 2}, {at: 2, sent: 1}, {at: 3, rate: 2}}, want: []string{"begun 2 (0)", "ended 0 (2)", "begun 2 (0)"}},
		"changing":          {answers: []answer{{rate: 2}, {at: 6, rate: 3}, {at: 7, rate: 4}, {at: 8, rate: 3}, {at: 9, sent: 8}}, want: []string{"begun 2 (0)", "changed 3 (2)"}},
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

// digestOfLimit receives a digest of a lobby that has heard what a backend server names.
func (f *fixture) digestOfLimit(limit protocol.LimitConfig) []scheduler.Action {
	return f.core.Handle(f.now, scheduler.NewDigestReceived(protocol.NewDigest(protocol.DigestConfig{Sender: "10.0.0.9:7000", Incarnation: 1, Serial: int64(f.now.Sub(noon)) + 1, Limits: []protocol.LimitConfig{limit}})))
}

// TestLimitIsLearntFromAnotherLobby guards against a lobby that sends as ever until it hears
// the rate itself, that believes old news, or that tells on what it has not heard itself.
func TestLimitIsLearntFromAnotherLobby(t *testing.T) {
	const second = time.Second
	cases := map[string]struct {
		own   float64       // rate named in an answer to this lobby
		since time.Duration // time from then to the digest
		limit protocol.LimitConfig
		want  []string
	}{
		"begun":                 {limit: protocol.LimitConfig{Rate: 2}, want: []string{"begun 2 (0)"}},
		"begun, another start":  {limit: protocol.LimitConfig{Rate: 2, Start: 1}},
		"changed":               {own: 3, since: 6 * second, limit: protocol.LimitConfig{Rate: 2, Age: second}, want: []string{"changed 2 (3)"}},
		"changed long ago":      {own: 3, since: 3 * second, limit: protocol.LimitConfig{Rate: 2, Age: 4 * second}},
		"ended":                 {own: 3, since: 3 * second, limit: protocol.LimitConfig{Age: second}, want: []string{"ended 0 (3)"}},
		"ended before":          {own: 3, since: 3 * second, limit: protocol.LimitConfig{Age: 4 * second}},
		"ended, hardly later":   {own: 3, since: 3 * second, limit: protocol.LimitConfig{Age: 5 * second / 2}},
		"ended, never heard of": {limit: protocol.LimitConfig{Age: second}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(plainServer("p"))
			if tc.own > 0 {
				f.core.Handle(f.now, scheduler.NewBackendLimit(scheduler.NewOrigin("p", 0), tc.own, f.now))
			}
			f.now = f.now.Add(tc.since)
			tc.limit.Backend = "p"
			var got []string
			for _, action := range f.digestOfLimit(tc.limit) {
				if record, ok := action.(scheduler.RecordLimit); ok {
					got = append(got, fmt.Sprintf("%v %v (%v)", record.State(), record.Rate(), record.Before()))
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("recorded (-want +got):\n%s", diff)
			}
			f.now = f.now.Add(time.Second)
			for _, action := range f.core.Tick(f.now) {
				if broadcast, ok := action.(scheduler.Broadcast); ok && len(broadcast.Limits()) > 0 && tc.own == 0 {
					t.Errorf("tells %+v, which no answer has named", broadcast.Limits())
				}
			}
		})
	}
}

// TestLimitBelongsToOneStart guards against a rate that outlives the start of the backend
// server which named it, or that is forgotten with an entry that lapses.
func TestLimitBelongsToOneStart(t *testing.T) {
	restarted := plainServer("p")
	restarted.StartTime = 9
	cases := map[string]struct {
		lists [][]deployment.BackendConfig
		apart time.Duration // time between two lists
		want  int           // of ten requests sent at once
	}{
		"listed again":       {lists: [][]deployment.BackendConfig{{plainServer("p")}}, want: 0},
		"lapsed for a while": {lists: [][]deployment.BackendConfig{{}, {plainServer("p")}}, want: 0},
		"lapsed for long":    {lists: [][]deployment.BackendConfig{{}, {}, {plainServer("p")}}, apart: 3 * time.Minute, want: 0},
		"started again":      {lists: [][]deployment.BackendConfig{{restarted}}, want: 10},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(plainServer("p"))
			f.core.Handle(f.now, scheduler.NewBackendLimit(scheduler.NewOrigin("p", 0), 2, f.now))
			for _, list := range tc.lists {
				f.list(list...)
				f.now = f.now.Add(tc.apart)
			}
			sent := 0
			for range 10 {
				sent += sendsOf(f.arrive(httpmeta.RequestConfig{Path: "/open/a"}))
			}
			if diff := cmp.Diff(tc.want, sent); diff != "" {
				t.Errorf("sent at once (-want +got):\n%s", diff)
			}
		})
	}
}

// TestServerWithANamedRateIsPassedOver guards against requests that wait for a turn, or are
// refused, though another backend server can run them, and checks what is explained.
func TestServerWithANamedRateIsPassedOver(t *testing.T) {
	f := newFixture(plainServer("p"), plainServer("q"))
	f.core.Handle(f.now, scheduler.NewBackendLimit(scheduler.NewOrigin("p", 0), 2, f.now))
	var got []string
	for range 3 {
		got = append(got, describe(f.arrive(httpmeta.RequestConfig{Path: "/unsafe/a"}))...)
	}
	for _, report := range f.core.Explain(f.now, scheduler.NewQuery(scheduler.QueryConfig{Route: "unsafe"})).Config().Candidates {
		got = append(got, fmt.Sprint(report.Config().Backend, " ", report.Config().Excluded))
	}
	if diff := cmp.Diff([]string{"send q", "send q", "send q", "p limited", "q "}, got); diff != "" {
		t.Errorf("decisions and explanation (-want +got):\n%s", diff)
	}
}

// BenchmarkTickWithNamedRates measures a tick while requests wait for their turns at backend
// servers that name rates.
func BenchmarkTickWithNamedRates(b *testing.B) {
	for _, servers := range []int{50, 600} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			f := newFixture()
			f.limiter.remaining = 1 << 30
			var list []deployment.BackendConfig
			for i := range servers {
				list = append(list, plainServer(fmt.Sprint("p", i)))
			}
			f.list(list...)
			for _, server := range list {
				f.core.Handle(f.now, scheduler.NewBackendLimit(scheduler.NewOrigin(server.ID, 0), 2, f.now))
			}
			f.core.Handle(f.now, scheduler.NewLobbiesListed(f.now, f.now, nil))
			f.now = f.now.Add(5 * time.Second)
			for range 6000 {
				f.arrive(httpmeta.RequestConfig{Path: "/long/a"})
			}
			for b.Loop() {
				f.core.Tick(f.now)
			}
		})
	}
}
