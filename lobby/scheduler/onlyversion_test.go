package scheduler_test

import (
	"testing"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/lobby/scheduler"
)

// TestStreamAwaitsAServerOfTheOnlyVersion guards against streams of a service with one software
// version that are not resumed, or not taken up, since no backend server is usable for a moment.
func TestStreamAwaitsAServerOfTheOnlyVersion(t *testing.T) {
	e1, e2 := versioned("v1", engineServer("e1")), versioned("v1", engineServer("e2"))
	cases := map[string][]deployment.BackendConfig{
		"it is not listed any more": nil,
		"it leaves":                 {versioned("v1", leaving(engineServer("e1")))},
	}
	for name, listed := range cases {
		t.Run("within the answer, "+name, func(t *testing.T) {
			f := newFixture(e1)
			f.core.Handle(f.now, saved("", "v1"))
			checkActions(t, "request", []string{"send e1"}, f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "m"}))
			f.core.Handle(f.now, scheduler.NewStreamStarted(1))
			f.list(listed...)
			checkActions(t, "broken off", nil, f.core.Handle(f.now, scheduler.NewSendEnded(1, scheduler.Truncated, 0)))
			f.now = f.now.Add(200 * time.Millisecond)
			checkActions(t, "next list", []string{"send e2"}, f.list(append(listed, e2)...))
		})
		t.Run("taken up, "+name, func(t *testing.T) {
			f := newFixture(e1)
			f.core.Handle(f.now, saved("", "v1"))
			f.list(listed...)
			checkActions(t, "take-up", nil, f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "m", Resumes: "old", LastEventID: "7"}))
			f.now = f.now.Add(200 * time.Millisecond)
			checkActions(t, "next list", []string{"send e2"}, f.list(append(listed, e2)...))
		})
	}
}

// TestDoubtThatIsSettledLeavesStreamsResumable guards against streams of a service with one
// software version that are not resumed since a backend server had closed an idle connection
// before they began there, though the list has shown since that it did not start again.
func TestDoubtThatIsSettledLeavesStreamsResumable(t *testing.T) {
	e1, e2 := versioned("v1", engineServer("e1")), versioned("v1", engineServer("e2"))
	cases := map[string]bool{"no connection closed": false, "idle connection closed": true}
	for name, closed := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(e1)
			f.core.Handle(f.now, saved("", "v1"))
			if closed {
				f.core.Handle(f.now, scheduler.NewBackendDisconnected(scheduler.NewOrigin("e1", 0)))
				f.core.Handle(f.now, scheduler.NewBackendConnected(scheduler.NewOrigin("e1", 0)))
			}
			f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "m"})
			f.core.Handle(f.now, scheduler.NewStreamStarted(1))
			for range 3 {
				f.now = f.now.Add(time.Second)
				f.list(e1, e2)
			}
			checkActions(t, "broken off", []string{"send e2"}, f.core.Handle(f.now, scheduler.NewSendEnded(1, scheduler.Truncated, 0)))
		})
	}
}

// TestTruncatedStreamIsPinned guards against a stream whose start was not reported, since the
// scheduler's inbox was full, and that goes on at another software version.
func TestTruncatedStreamIsPinned(t *testing.T) {
	e1, e2 := versioned("v1", engineServer("e1")), versioned("v2", engineServer("e2"))
	f := newFixture(e1)
	f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "m"})
	f.list(e1, e2)
	checkActions(t, "broken off", []string{"refuse 502 answer_cut"}, f.core.Handle(f.now, scheduler.NewSendEnded(1, scheduler.Truncated, 0)))
}
