package scheduler_test

import (
	"testing"
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/visit"
	"sesamewell.example/lobby/scheduler"
)

func TestPromptsGoWhereTheirPartsAreKept(t *testing.T) {
	d := newDesk(holder("e1"), holder("e2"))
	ask := func(part string) visit.Config {
		return visit.Config{Path: "/stream/a", Model: "m", Prompt: 1000, Parts: []visit.Part{visit.NewPart(visit.PartConfig{ID: "shared", Tokens: 300}), visit.NewPart(visit.PartConfig{ID: part, Tokens: 700})}}
	}
	want(t, "first", []string{"send e1"}, d.arrive(ask("x")))
	want(t, "other", []string{"send e2"}, d.arrive(ask("y")))
	for number := range uint64(2) {
		d.core.Handle(d.now, scheduler.NewSendEnded(number+1, scheduler.Complete, 200))
	}
	want(t, "again, y", []string{"send e2"}, d.arrive(ask("y")))
	want(t, "again, x", []string{"send e1"}, d.arrive(ask("x")))
}

func TestPromptsWaitWhileAnEngineHasEnoughToRead(t *testing.T) {
	ask := visit.Config{Path: "/stream/a", Model: "m", Prompt: 2000}
	long := visit.Config{Path: "/stream/a", Model: "m", Prompt: 9000}
	whole := visit.Config{Path: "/resumable/a", Model: "m", Prompt: 2000}
	cases := map[string]struct {
		before []visit.Config
		others time.Duration // of prompts that other lobbies have there
		ask    visit.Config
		want   []string
	}{
		"nothing to read":             {ask: ask, want: []string{"send e1"}},
		"one that is long":            {ask: long, want: []string{"send e1"}},
		"one before":                  {before: []visit.Config{ask}, ask: ask},
		"one of another lobby":        {others: 100 * time.Millisecond, ask: ask},
		"little of another lobby":     {others: 20 * time.Millisecond, ask: ask, want: []string{"send e1"}},
		"no pause is too long for it": {before: []visit.Config{ask}, ask: whole, want: []string{"send e1"}},
		"a short one before":          {before: []visit.Config{{Path: "/stream/a", Model: "m", Prompt: 500}}, ask: ask, want: []string{"send e1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDesk(holder("e1"))
			d.core.Handle(d.now, scheduler.NewDigestReceived(notice.NewDigest(notice.DigestConfig{
				Sender: "10.0.0.9:7000", Loads: []notice.LoadConfig{{Backend: "e1", Open: 1, Reading: tc.others}},
			})))
			for _, before := range tc.before {
				d.arrive(before)
			}
			want(t, "request", tc.want, d.arrive(tc.ask))
			if tc.want == nil && tc.others == 0 {
				want(t, "once the first has begun", []string{"send e1"}, d.core.Handle(d.now, scheduler.NewStreamStarted(1)))
			}
		})
	}
}

func TestSilentBackendServerIsUsedOnlyIfNoOtherCanBe(t *testing.T) {
	d := newDesk(holder("e1"), holder("e2"))
	ask := visit.Config{Path: "/stream/a", Model: "m"}
	want(t, "first", []string{"send e1"}, d.arrive(ask))
	want(t, "second", []string{"send e2"}, d.arrive(ask))
	d.core.Handle(d.now, scheduler.NewStreamStarted(2))
	d.now = d.now.Add(time.Second)
	for range 4 {
		want(t, "while e1 is silent", []string{"send e2"}, d.arrive(ask))
		d.core.Handle(d.now, scheduler.NewStreamStarted(d.number))
	}
	d.core.Handle(d.now, scheduler.NewStreamStarted(1))
	want(t, "after its sign", []string{"send e1"}, d.arrive(ask))
}
