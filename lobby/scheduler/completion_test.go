package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/lobby/scheduler"
)

func TestDecisionAfterSend(t *testing.T) {
	cases := map[string]struct {
		path   string
		result scheduler.Result
		want   []string
		refund int
	}{
		"safe, answered":           {path: "/safe/a", result: scheduler.Complete},
		"safe, answer lost":        {path: "/safe/a", result: scheduler.Lost, want: []string{"send p2"}},
		"safe, backend error":      {path: "/safe/a", result: scheduler.BackendError, want: []string{"send p2"}},
		"safe, unconfirmed":        {path: "/safe/a", result: scheduler.Unconfirmed, want: []string{"send p2"}},
		"unsafe, unconfirmed":      {path: "/unsafe/a", result: scheduler.Unconfirmed, want: []string{"refuse 502 backend_failed"}},
		"twice, unconfirmed":       {path: "/twice/a", result: scheduler.Unconfirmed, want: []string{"refuse 502 backend_failed"}},
		"stream, unconfirmed":      {path: "/stream/a", result: scheduler.Unconfirmed, want: []string{"refuse 502 backend_failed"}},
		"resumable, unconfirmed":   {path: "/resumable/a", result: scheduler.Unconfirmed, want: []string{"send e2"}},
		"safe, not run":            {path: "/safe/a", result: scheduler.Rejected, want: []string{"send p2"}},
		"unsafe, answer lost":      {path: "/unsafe/a", result: scheduler.Lost, want: []string{"refuse 502 answer_lost"}},
		"unsafe, not run":          {path: "/unsafe/a", result: scheduler.Rejected, want: []string{"refuse 503 not_taken"}, refund: 1},
		"unsafe, not sent":         {path: "/unsafe/a", result: scheduler.Unsent, want: []string{"send p2"}},
		"twice, answer lost":       {path: "/twice/a", result: scheduler.Lost, want: []string{"refuse 502 answer_lost"}},
		"twice, not run":           {path: "/twice/a", result: scheduler.Rejected, want: []string{"send p2"}},
		"stream, lost":             {path: "/stream/a", result: scheduler.Lost, want: []string{"refuse 502 answer_lost"}},
		"stream, truncated":        {path: "/stream/a", result: scheduler.Truncated, want: []string{"refuse 502 answer_cut"}},
		"stream, replaced":         {path: "/stream/a", result: scheduler.Replaced, want: []string{"send e2"}},
		"stream, not run":          {path: "/stream/a", result: scheduler.ModelMissing, want: []string{"refuse 503 not_taken"}, refund: 1},
		"resumable, lost":          {path: "/resumable/a", result: scheduler.Lost, want: []string{"send e2"}},
		"resumable, not run":       {path: "/resumable/a", result: scheduler.Rejected, want: []string{"send e2"}},
		"resumable, backend error": {path: "/resumable/a", result: scheduler.BackendError, want: []string{"send e2"}},
		"resumable, truncated":     {path: "/resumable/a", result: scheduler.Truncated, want: []string{"send e2"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(plainServer("p1"), plainServer("p2"), engineServer("e1"), engineServer("e2"))
			f.arrive(httpmeta.RequestConfig{Path: tc.path, Model: "m"})
			f.now = f.now.Add(100 * time.Millisecond)
			checkActions(t, "decision", tc.want, f.core.Handle(f.now, scheduler.NewSendEnded(1, tc.result, 0)))
			if diff := cmp.Diff(tc.refund, f.limiter.refunded); diff != "" {
				t.Errorf("refunds (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSilentStreamIsCutEarlyOnlyToResumeIt checks the time without an event after which a
// stream is cut. Its caller waits for 2.4 s, and for 16 s on the resumable route.
func TestSilentStreamIsCutEarlyOnlyToResumeIt(t *testing.T) {
	cases := map[string]struct {
		path  string
		sends int
		want  time.Duration
	}{
		"not resumable":              {path: "/stream/a", sends: 1, want: 2750 * time.Millisecond},
		"resumable":                  {path: "/resumable/a", sends: 1, want: 15650 * time.Millisecond},
		"resumable, no attempt left": {path: "/resumable/a", sends: 2, want: 16350 * time.Millisecond},
		"no stream":                  {path: "/unsafe/a", sends: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(plainServer("p1"), engineServer("e1"), engineServer("e2"))
			actions := f.arrive(httpmeta.RequestConfig{Path: tc.path, Model: "m"})
			for range tc.sends - 1 {
				actions = f.core.Handle(f.now, scheduler.NewSendEnded(1, scheduler.Truncated, 0))
			}
			var got time.Duration
			for _, action := range actions {
				if send, ok := action.(scheduler.Send); ok {
					got = send.IdleTimeout()
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("idle timeout (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAttemptLimit(t *testing.T) {
	f := newFixture(plainServer("p1"), plainServer("p2"), plainServer("p3"))
	f.arrive(httpmeta.RequestConfig{Path: "/safe/a"})
	checkActions(t, "first loss", []string{"send p2"}, f.core.Handle(f.now, scheduler.NewSendEnded(1, scheduler.Lost, 0)))
	checkActions(t, "second loss", []string{"refuse 502 answer_lost"}, f.core.Handle(f.now, scheduler.NewSendEnded(1, scheduler.Lost, 0)))
}

func TestDecisionAfterSecondSend(t *testing.T) {
	cases := map[string]struct {
		path          string
		first, second scheduler.Result
		want          []string
	}{
		"safe, lost, then not run":            {path: "/safe/a", first: scheduler.Lost, second: scheduler.Rejected, want: []string{"refuse 502 answer_lost"}},
		"safe, lost, then not sent":           {path: "/safe/a", first: scheduler.Lost, second: scheduler.Unsent, want: []string{"send p3"}},
		"safe, unconfirmed twice":             {path: "/safe/a", first: scheduler.Unconfirmed, second: scheduler.Unconfirmed, want: []string{"refuse 502 backend_failed"}},
		"safe, unconfirmed, then not run":     {path: "/safe/a", first: scheduler.Unconfirmed, second: scheduler.Rejected, want: []string{"refuse 502 answer_lost"}},
		"safe, not run twice":                 {path: "/safe/a", first: scheduler.Rejected, second: scheduler.Rejected, want: []string{"refuse 503 not_taken"}},
		"resumable, truncated twice":          {path: "/resumable/a", first: scheduler.Truncated, second: scheduler.Truncated, want: []string{"refuse 502 answer_cut"}},
		"resumable, truncated, then not run":  {path: "/resumable/a", first: scheduler.Truncated, second: scheduler.Rejected, want: []string{"refuse 502 answer_cut"}},
		"resumable, truncated, then answered": {path: "/resumable/a", first: scheduler.Truncated, second: scheduler.Complete},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(plainServer("p1"), plainServer("p2"), plainServer("p3"), engineServer("e1"), engineServer("e2"), engineServer("e3"))
			f.arrive(httpmeta.RequestConfig{Path: tc.path, Model: "m"})
			if tc.first == scheduler.Truncated {
				f.core.Handle(f.now, scheduler.NewStreamStarted(1))
			}
			f.core.Handle(f.now, scheduler.NewSendEnded(1, tc.first, 0))
			checkActions(t, "decision", tc.want, f.core.Handle(f.now, scheduler.NewSendEnded(1, tc.second, 0)))
			refunds := 0
			if tc.first == scheduler.Rejected && tc.second == scheduler.Rejected {
				refunds = 1
			}
			if diff := cmp.Diff(refunds, f.limiter.refunded); diff != "" {
				t.Errorf("refunds (-want +got):\n%s", diff)
			}
		})
	}
}

func TestTruncatedStreamWaitsForAnotherServer(t *testing.T) {
	cases := map[string]struct {
		after time.Duration // until another server has loaded the model
		want  []string
	}{
		"in time":  {after: time.Second, want: []string{"send e2"}},
		"too late": {after: 12 * time.Second, want: []string{"refuse 502 answer_cut"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(engineServer("e1"))
			f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "m"})
			f.core.Handle(f.now, scheduler.NewStreamStarted(1))
			f.now = f.now.Add(3 * time.Second)
			checkActions(t, "truncated", nil, f.core.Handle(f.now, scheduler.NewSendEnded(1, scheduler.Truncated, 0)))
			f.now = f.now.Add(tc.after)
			actions := f.core.Tick(f.now)
			checkActions(t, "decision", tc.want, append(actions, f.list(engineServer("e1"), engineServer("e2"))...))
		})
	}
}

func TestRequestThatMayHaveRunIsNotRefusedAsNotRun(t *testing.T) {
	f := newFixture(engineServer("e1"), engineServer("e2"))
	f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "m", Adapter: "a1"})
	f.core.Handle(f.now, scheduler.NewFetchEnded(scheduler.NewFetch(scheduler.FetchConfig{Number: 1, Backend: "e1", Model: "m", Adapter: "a1", At: f.now}), 3*time.Second))
	checkActions(t, "lost", []string{"fetch e2 m/a1"}, f.core.Handle(f.now, scheduler.NewSendEnded(1, scheduler.Lost, 0)))
	fetch := scheduler.NewFetch(scheduler.FetchConfig{Number: 1, Backend: "e2", Model: "m", Adapter: "a1", At: f.now})
	checkActions(t, "no adapter", []string{"refuse 502 answer_lost"}, f.core.Handle(f.now, scheduler.NewFetchEnded(fetch, 0)))
}

// TestEndOfASendThatIsNotUnderWayIsIgnored guards against a process that ends because the
// end of a send is reported for a request that only waits.
func TestEndOfASendThatIsNotUnderWayIsIgnored(t *testing.T) {
	results := map[string]scheduler.SendEnded{
		"complete":      scheduler.NewSendEnded(1, scheduler.Complete, 200),
		"unsent":        scheduler.NewSendEnded(1, scheduler.Unsent, 0),
		"deferred":      scheduler.NewSendEnded(1, scheduler.Deferred, 0),
		"replaced":      scheduler.NewSendEnded(1, scheduler.Replaced, 421),
		"rejected":      scheduler.NewSendEnded(1, scheduler.Rejected, 503),
		"lost":          scheduler.NewSendEnded(1, scheduler.Lost, 0),
		"disconnected":  scheduler.NewSendEnded(1, scheduler.Lost, 0).WithDisconnect(),
		"truncated":     scheduler.NewSendEnded(1, scheduler.Truncated, 0),
		"model missing": scheduler.NewSendEnded(1, scheduler.ModelMissing, 421),
	}
	for name, ended := range results {
		t.Run("queued, "+name, func(t *testing.T) {
			f := newFixture(emptyEngine("e1", "m"))
			checkActions(t, "arrival", nil, f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"}))
			checkActions(t, "end", nil, f.core.Handle(f.now, ended))
			checkActions(t, "model loaded", []string{"send e1"}, f.list(engineServer("e1")))
		})
		t.Run("waits for an adapter, "+name, func(t *testing.T) {
			f := newFixture(engineServer("e1"))
			actions := f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m", Adapter: "a1"})
			checkActions(t, "arrival", []string{"fetch e1 m/a1"}, actions)
			checkActions(t, "end", nil, f.core.Handle(f.now, ended))
			checkActions(t, "adapter loaded", []string{"send e1"}, f.core.Handle(f.now, scheduler.NewFetchEnded(actions[0].(scheduler.Fetch), 5*time.Second)))
		})
	}
}

// TestAnsweredRequestIsNotHeldAgainstItsCrashes guards against a request that is answered each
// time, with a status that is no success, and is held back for the crashes of others.
func TestAnsweredRequestIsNotHeldAgainstItsCrashes(t *testing.T) {
	cases := map[string]struct {
		status int
		want   int // crashes known at the second one
	}{
		"success":                {status: 200, want: 1},
		"not modified":           {status: 304, want: 1},
		"unknown to its service": {status: 404, want: 1},
		"failed":                 {status: 500, want: 2},
		"too late":               {status: 504, want: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			config := httpmeta.RequestConfig{Path: "/unsafe/a", Fingerprint: httpmeta.Fingerprint{1}}
			crashes := 0
			for n, ended := range []scheduler.SendEnded{
				scheduler.NewSendEnded(1, scheduler.Lost, 0).WithDisconnect(),
				scheduler.NewSendEnded(2, scheduler.Complete, tc.status),
				scheduler.NewSendEnded(3, scheduler.Lost, 0).WithDisconnect(),
			} {
				f.now = f.now.Add(time.Second)
				f.list(plainServer(fmt.Sprint("p", n)))
				f.arrive(config)
				f.now = f.now.Add(time.Second)
				for _, action := range f.core.Handle(f.now, ended) {
					if record, ok := action.(scheduler.RecordSend); ok {
						crashes = record.Crashes()
					}
				}
			}
			if diff := cmp.Diff(tc.want, crashes); diff != "" {
				t.Errorf("crashes known (-want +got):\n%s", diff)
			}
		})
	}
}
