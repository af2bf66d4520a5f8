package scheduler_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/visit"
	"sesamewell.example/lobby/scheduler"
)

func TestAfterASend(t *testing.T) {
	cases := map[string]struct {
		path   string
		result scheduler.Result
		want   []string
		refund int
	}{
		"safe, answered":         {path: "/safe/a", result: scheduler.Complete},
		"safe, answer lost":      {path: "/safe/a", result: scheduler.Lost, want: []string{"send p2"}},
		"safe, own error":        {path: "/safe/a", result: scheduler.BackendError, want: []string{"send p2"}},
		"safe, not run":          {path: "/safe/a", result: scheduler.Rejected, want: []string{"send p2"}},
		"unsafe, answer lost":    {path: "/unsafe/a", result: scheduler.Lost, want: []string{"refuse 502 answer_lost"}},
		"unsafe, not run":        {path: "/unsafe/a", result: scheduler.Rejected, want: []string{"refuse 503 not_taken"}, refund: 1},
		"unsafe, nothing sent":   {path: "/unsafe/a", result: scheduler.Unsent, want: []string{"send p2"}},
		"twice, answer lost":     {path: "/twice/a", result: scheduler.Lost, want: []string{"refuse 502 answer_lost"}},
		"twice, not run":         {path: "/twice/a", result: scheduler.Rejected, want: []string{"send p2"}},
		"stream, lost":           {path: "/stream/a", result: scheduler.Lost, want: []string{"refuse 502 answer_lost"}},
		"stream, severed":        {path: "/stream/a", result: scheduler.Truncated, want: []string{"refuse 502 answer_cut"}},
		"stream, other start":    {path: "/stream/a", result: scheduler.Replaced, want: []string{"send e2"}},
		"stream, not run":        {path: "/stream/a", result: scheduler.ModelMissing, want: []string{"refuse 503 not_taken"}, refund: 1},
		"resumable, lost":        {path: "/resumable/a", result: scheduler.Lost, want: []string{"send e2"}},
		"resumable, not run":     {path: "/resumable/a", result: scheduler.Rejected, want: []string{"send e2"}},
		"resumable, own failure": {path: "/resumable/a", result: scheduler.BackendError, want: []string{"send e2"}},
		"resumable, severed":     {path: "/resumable/a", result: scheduler.Truncated, want: []string{"send e2"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDesk(plain("p1"), plain("p2"), holder("e1"), holder("e2"))
			d.arrive(visit.Config{Path: tc.path, Model: "m"})
			d.now = d.now.Add(100 * time.Millisecond)
			want(t, "decision", tc.want, d.core.Handle(d.now, scheduler.NewSendEnded(1, tc.result, 0)))
			if diff := cmp.Diff(tc.refund, d.purse.refunded); diff != "" {
				t.Errorf("refunds (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	d := newDesk(plain("p1"), plain("p2"), plain("p3"))
	d.arrive(visit.Config{Path: "/safe/a"})
	want(t, "first loss", []string{"send p2"}, d.core.Handle(d.now, scheduler.NewSendEnded(1, scheduler.Lost, 0)))
	want(t, "second loss", []string{"refuse 502 answer_lost"}, d.core.Handle(d.now, scheduler.NewSendEnded(1, scheduler.Lost, 0)))
}

func TestSecondSends(t *testing.T) {
	cases := map[string]struct {
		path          string
		first, second scheduler.Result
		want          []string
	}{
		"safe, lost, then not run":          {path: "/safe/a", first: scheduler.Lost, second: scheduler.Rejected, want: []string{"refuse 502 answer_lost"}},
		"safe, lost, then nothing sent":     {path: "/safe/a", first: scheduler.Lost, second: scheduler.Unsent, want: []string{"send p3"}},
		"safe, not run twice":               {path: "/safe/a", first: scheduler.Rejected, second: scheduler.Rejected, want: []string{"refuse 503 not_taken"}},
		"resumable, severed twice":          {path: "/resumable/a", first: scheduler.Truncated, second: scheduler.Truncated, want: []string{"refuse 502 answer_cut"}},
		"resumable, severed, then not run":  {path: "/resumable/a", first: scheduler.Truncated, second: scheduler.Rejected, want: []string{"refuse 502 answer_cut"}},
		"resumable, severed, then answered": {path: "/resumable/a", first: scheduler.Truncated, second: scheduler.Complete},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDesk(plain("p1"), plain("p2"), plain("p3"), holder("e1"), holder("e2"), holder("e3"))
			d.arrive(visit.Config{Path: tc.path, Model: "m"})
			if tc.first == scheduler.Truncated {
				d.core.Handle(d.now, scheduler.NewStreamStarted(1))
			}
			d.core.Handle(d.now, scheduler.NewSendEnded(1, tc.first, 0))
			want(t, "decision", tc.want, d.core.Handle(d.now, scheduler.NewSendEnded(1, tc.second, 0)))
			refunds := 0
			if tc.first == scheduler.Rejected && tc.second == scheduler.Rejected {
				refunds = 1
			}
			if diff := cmp.Diff(refunds, d.purse.refunded); diff != "" {
				t.Errorf("refunds (-want +got):\n%s", diff)
			}
		})
	}
}

func TestCutStreamWaitsForAnotherCopyOfItsModel(t *testing.T) {
	cases := map[string]struct {
		after time.Duration // until a copy is there
		want  []string
	}{
		"soon":     {after: time.Second, want: []string{"send e2"}},
		"too late": {after: 9 * time.Second, want: []string{"refuse 502 answer_cut"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDesk(holder("e1"))
			d.arrive(visit.Config{Path: "/resumable/a", Model: "m"})
			d.core.Handle(d.now, scheduler.NewStreamStarted(1))
			d.now = d.now.Add(3 * time.Second)
			want(t, "cut", nil, d.core.Handle(d.now, scheduler.NewSendEnded(1, scheduler.Truncated, 0)))
			d.now = d.now.Add(tc.after)
			actions := d.core.Tick(d.now)
			want(t, "decision", tc.want, append(actions, d.list(holder("e1"), holder("e2"))...))
		})
	}
}

func TestRequestThatMayHaveRunIsNeverRefusedAsNotRun(t *testing.T) {
	d := newDesk(holder("e1"), holder("e2"))
	d.arrive(visit.Config{Path: "/resumable/a", Model: "m", Adapter: "a1"})
	d.core.Handle(d.now, scheduler.NewFetchEnded(scheduler.NewFetch(scheduler.FetchConfig{Number: 1, Backend: "e1", Model: "m", Adapter: "a1"}), 3*time.Second))
	want(t, "lost", []string{"fetch e2 m/a1"}, d.core.Handle(d.now, scheduler.NewSendEnded(1, scheduler.Lost, 0)))
	fetch := scheduler.NewFetch(scheduler.FetchConfig{Number: 1, Backend: "e2", Model: "m", Adapter: "a1"})
	want(t, "no adapter", []string{"refuse 502 answer_lost"}, d.core.Handle(d.now, scheduler.NewFetchEnded(fetch, 0)))
}
