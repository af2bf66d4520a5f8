package scheduler_test

import (
	"testing"
	"time"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/lobby/scheduler"
)

func TestPromptGoesToServerWithCachedPrefix(t *testing.T) {
	f := newFixture(engineServer("e1"), engineServer("e2"))
	request := func(part string) httpmeta.RequestConfig {
		return httpmeta.RequestConfig{Path: "/stream/a", Model: "m", PromptTokens: 1000, Parts: []httpmeta.Part{httpmeta.NewPart(httpmeta.PartConfig{ID: "shared", Tokens: 300}), httpmeta.NewPart(httpmeta.PartConfig{ID: part, Tokens: 700})}}
	}
	checkActions(t, "first", []string{"send e1"}, f.arrive(request("x")))
	checkActions(t, "same first part", []string{"send e2"}, f.arrive(request("y")))
	for number := range uint64(2) {
		f.core.Handle(f.now, scheduler.NewSendEnded(number+1, scheduler.Complete, 200))
	}
	checkActions(t, "y again", []string{"send e2"}, f.arrive(request("y")))
	checkActions(t, "x again", []string{"send e1"}, f.arrive(request("x")))
}

func TestPromptsWaitWhileServerIsBusyWithPrefill(t *testing.T) {
	request := httpmeta.RequestConfig{Path: "/stream/a", Model: "m", PromptTokens: 2000}
	long := httpmeta.RequestConfig{Path: "/stream/a", Model: "m", PromptTokens: 9000}
	noGap := httpmeta.RequestConfig{Path: "/resumable/a", Model: "m", PromptTokens: 2000}
	cases := map[string]struct {
		before  []httpmeta.RequestConfig
		others  time.Duration // prefill time of the requests that other lobbies sent to the server
		request httpmeta.RequestConfig
		want    []string
	}{
		"idle":                                   {request: request, want: []string{"send e1"}},
		"long prompt while idle":                 {request: long, want: []string{"send e1"}},
		"behind another prompt":                  {before: []httpmeta.RequestConfig{request}, request: request},
		"behind a prompt of another lobby":       {others: 100 * time.Millisecond, request: request},
		"behind a short prompt of another lobby": {others: 20 * time.Millisecond, request: request, want: []string{"send e1"}},
		"route without a limit on pauses":        {before: []httpmeta.RequestConfig{request}, request: noGap, want: []string{"send e1"}},
		"behind a short prompt":                  {before: []httpmeta.RequestConfig{{Path: "/stream/a", Model: "m", PromptTokens: 500}}, request: request, want: []string{"send e1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(engineServer("e1"))
			f.core.Handle(f.now, scheduler.NewDigestReceived(protocol.NewDigest(protocol.DigestConfig{
				Sender: "10.0.0.9:7000", Loads: []protocol.BackendLoadConfig{{Backend: "e1", Open: 1, PrefillTime: tc.others}},
			})))
			for _, before := range tc.before {
				f.arrive(before)
			}
			checkActions(t, "request", tc.want, f.arrive(tc.request))
			if tc.want == nil && tc.others == 0 {
				checkActions(t, "after the first has started", []string{"send e1"}, f.core.Handle(f.now, scheduler.NewStreamStarted(1)))
			}
		})
	}
}

func TestSilentServerIsLastResort(t *testing.T) {
	f := newFixture(engineServer("e1"), engineServer("e2"))
	request := httpmeta.RequestConfig{Path: "/stream/a", Model: "m"}
	checkActions(t, "first", []string{"send e1"}, f.arrive(request))
	checkActions(t, "second", []string{"send e2"}, f.arrive(request))
	f.core.Handle(f.now, scheduler.NewStreamStarted(2))
	f.now = f.now.Add(time.Second)
	for range 4 {
		checkActions(t, "while e1 is silent", []string{"send e2"}, f.arrive(request))
		f.core.Handle(f.now, scheduler.NewStreamStarted(f.number))
	}
	f.core.Handle(f.now, scheduler.NewStreamStarted(1))
	checkActions(t, "after e1 has answered", []string{"send e1"}, f.arrive(request))
}
