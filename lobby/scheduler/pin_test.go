package scheduler_test

import (
	"testing"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/lobby/scheduler"
)

// versioned returns a backend server with a software version.
func versioned(version string, config deployment.BackendConfig) deployment.BackendConfig {
	config.Version = version
	return config
}

// leaving returns a backend server that leaves.
func leaving(config deployment.BackendConfig) deployment.BackendConfig {
	config.Leaving = true
	return config
}

// TestStreamsGoOnAtTheirVersion guards against a stream that breaks off and goes on within its
// answer at a backend server of another software version.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	first := versioned("v1", engineServer("e1"))
	full := versioned("v1", engineServer("e2"))
	full.Holdings = nil
	cases := map[string]struct {
		others []deployment.BackendConfig
		begun  bool
		want   []string
		next   []deployment.BackendConfig // listed afterwards
		then   []string
	}{
		"the other version only":          {others: []deployment.BackendConfig{versioned("v2", engineServer("e2"))}, begun: true, want: []string{"refuse 502 answer_cut"}},
		"both":                            {others: []deployment.BackendConfig{versioned("v2", engineServer("e2")), versioned("v1", in("d2", engineServer("e3")))}, begun: true, want: []string{"send e3"}},
		"not begun":                       {others: []deployment.BackendConfig{versioned("v2", engineServer("e2"))}, want: []string{"send e2"}},
		"its version leaves":              {others: []deployment.BackendConfig{versioned("v1", leaving(engineServer("e2"))), versioned("v2", engineServer("e3"))}, begun: true, want: []string{"refuse 502 answer_cut"}},
		"its version loads the model":     {others: []deployment.BackendConfig{full, versioned("v2", engineServer("e3"))}, begun: true, next: []deployment.BackendConfig{first, versioned("v1", engineServer("e2")), versioned("v2", engineServer("e3"))}, then: []string{"send e2"}},
		"its version goes while it waits": {others: []deployment.BackendConfig{full, versioned("v2", engineServer("e3"))}, begun: true, next: []deployment.BackendConfig{first, versioned("v2", engineServer("e3"))}, then: []string{"close idle e2", "refuse 502 answer_cut"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(first)
			f.core.Handle(f.now, saved("", "v1", "v2"))
			checkActions(t, "request", []string{"send e1"}, f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "m"}))
			result := scheduler.Lost
			if tc.begun {
				f.core.Handle(f.now, scheduler.NewStreamStarted(1))
				result = scheduler.Truncated
			}
			f.list(append(tc.others, first)...)
			checkActions(t, "end of the send", tc.want, f.core.Handle(f.now, scheduler.NewSendEnded(1, result, 0)))
			if tc.next != nil {
				checkActions(t, "next list", tc.then, f.list(tc.next...))
			}
		})
	}
}

// TestRestartedServerIsDoubted guards against a backend server that starts again under its ID
// with another software version, and until the list says so is taken for the old one.
func TestRestartedServerIsDoubted(t *testing.T) {
	const longDown = 5 * time.Second
	cases := map[string]struct {
		down  time.Duration // time until it accepts a connection; none if negative
		after time.Duration // from then on until the list is read
		want  []string      // when a stream of its version is taken up
	}{
		"not down":                    {after: 2 * time.Second, want: []string{"send e1"}},
		"list read too soon":          {after: 100 * time.Millisecond},
		"down for long":               {down: longDown, after: 2 * time.Second, want: []string{"send e1"}},
		"down for long, just back":    {down: longDown, after: 100 * time.Millisecond},
		"down, listed as before only": {down: -1, after: longDown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			v1, v2 := versioned("v1", engineServer("e1")), versioned("v2", engineServer("e2"))
			f := newFixture(v1, v2)
			f.core.Handle(f.now, saved("", "v1", "v2"))
			f.begin(t, "v1")
			f.core.Handle(f.now, scheduler.NewBackendDisconnected(scheduler.NewOrigin("e1", 0)))
			if tc.down >= 0 {
				f.now = f.now.Add(tc.down)
				f.core.Handle(f.now, scheduler.NewBackendConnected(scheduler.NewOrigin("e1", 0)))
			}
			f.now = f.now.Add(tc.after)
			f.list(v1, v2)
			checkActions(t, "take-up", tc.want, f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "m", Resumes: "old", LastEventID: "7"}))
		})
	}
}

// TestStreamOfADoubtedServerDoesNotGoOn guards against a stream that is remembered, or resumed,
// as one of the version that its backend server had before it may have started again.
func TestStreamOfADoubtedServerDoesNotGoOn(t *testing.T) {
	f := newFixture(versioned("v1", engineServer("e1")))
	f.core.Handle(f.now, saved("", "v1", "v2"))
	f.core.Handle(f.now, scheduler.NewBackendDisconnected(scheduler.NewOrigin("e1", 0)))
	f.begin(t, "v1")
	checkActions(t, "take-up", []string{"refuse 503 unknown_origin"}, f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "m", Resumes: "old", LastEventID: "7"}))
	checkActions(t, "another stream", []string{"send e1"}, f.arrive(httpmeta.RequestConfig{Path: "/resumable/a", Model: "m"}))
	f.core.Handle(f.now, scheduler.NewStreamStarted(f.number))
	f.list(versioned("v1", engineServer("e1")), versioned("v1", engineServer("e2")))
	checkActions(t, "broken off", []string{"refuse 502 answer_cut"}, f.core.Handle(f.now, scheduler.NewSendEnded(f.number, scheduler.Truncated, 0)))
}
