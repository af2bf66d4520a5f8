package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/entry/router"
)

// reporter is the part of testing.T and rapid.T that the simulation uses.
type reporter interface {
	Errorf(format string, args ...any)
}

// attempt is one run of a request on an engine.
type attempt struct {
	entry   int
	request router.Request
}

// simulation runs entries and engines in virtual time. A request whose body begins
// with "bad" crashes the engine that runs it, which ends all requests
// that run on it.
type simulation struct {
	t           reporter
	now         time.Time
	entries     []*Core
	running     [][]attempt // by engine
	queues      [][]attempt // by engine
	log         []Ban
	submissions map[string]int    // by body
	crashes     map[string]int    // engine crashes by body
	answers     map[string]string // by request id: "whole", or code and outcome
	lastID      int
}

func newSimulation(t reporter) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1_000_000, 0), running: make([][]attempt, 2), queues: make([][]attempt, 2),
		submissions: make(map[string]int), crashes: make(map[string]int), answers: make(map[string]string),
	}
	for range 2 {
		s.entries = append(s.entries, NewCore(CoreConfig{Capacity: 100, SuspectTTL: time.Hour, BanDuration: time.Hour}))
	}
	return s
}

// submit sends a new request to an entry and returns its id.
func (s *simulation) submit(entry, engine int, body string) string {
	s.lastID++
	s.submissions[body]++
	request := router.NewRequest(router.RequestConfig{
		ID: fmt.Sprint("q", s.lastID), Model: "m", Body: []byte(body), Idempotent: true, Deadline: s.now.Add(time.Hour),
	})
	if _, ok := s.entries[entry].Watched()[Fingerprint(request)]; ok {
		s.execute(entry, s.entries[entry].Handle(s.now, NewIntercepted(request)))
	} else {
		s.queues[engine] = append(s.queues[engine], attempt{entry: entry, request: request})
	}
	return request.ID()
}

func (s *simulation) execute(entry int, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Append:
			s.log = append(s.log, a.ban)
		case Dispatch:
			engine := s.lastID % len(s.queues)
			s.queues[engine] = append(s.queues[engine], attempt{entry: entry, request: a.request})
		case Refuse:
			s.recordAnswer(a.refusal.RequestID(), a.refusal.Refusal().Code()+" "+a.refusal.Refusal().Outcome())
		}
	}
}

func (s *simulation) recordAnswer(request, got string) {
	if before, ok := s.answers[request]; ok {
		s.t.Errorf("%s was answered twice: %s, then %s", request, before, got)
	}
	s.answers[request] = got
}

// startQueued starts the queued requests that an engine can run. A suspect runs
// alone.
func (s *simulation) startQueued(engine int) {
	for len(s.queues[engine]) > 0 {
		running, next := s.running[engine], s.queues[engine][0]
		if len(running) > 0 && (next.request.Exclusive() || running[0].request.Exclusive()) {
			return
		}
		s.running[engine] = append(running, next)
		s.queues[engine] = s.queues[engine][1:]
	}
}

// finish ends all requests that an engine runs. If one of them crashes the engine,
// all fail.
func (s *simulation) finish(engine int) {
	ended := s.running[engine]
	s.running[engine] = nil
	at := slices.IndexFunc(ended, func(a attempt) bool { return strings.HasPrefix(string(a.request.Body()), "bad") })
	if at >= 0 {
		s.crashes[string(ended[at].request.Body())]++
	}
	for _, a := range ended {
		core := s.entries[a.entry]
		if at >= 0 {
			s.execute(a.entry, core.Handle(s.now, NewCrashed(router.NewCrashReport(a.request, true))))
			continue
		}
		s.recordAnswer(a.request.ID(), "whole")
		s.execute(a.entry, core.Handle(s.now, NewFinished(a.request.ID(), true)))
	}
}

// applyLog delivers all logged bans to all entries.
func (s *simulation) applyLog() {
	for _, ban := range s.log {
		for _, core := range s.entries {
			core.Handle(s.now, NewBanLogged(ban))
		}
	}
}

// runToCompletion runs all queued requests until each has ended.
func (s *simulation) runToCompletion() {
	for range 4 * (s.lastID + 1) {
		for engine := range s.queues {
			s.startQueued(engine)
			s.finish(engine)
		}
		s.applyLog()
	}
}

const quarantined = "request_quarantined " + httpserver.NotRun

func TestCrashesAreAttributed(t *testing.T) {
	cases := map[string]struct {
		bodies  []string          // submitted together to one entry and engine
		crashes map[string]int    // by body
		last    map[string]string // by body; answer to a further submission at the other entry
	}{
		"nothing crashes":                    {bodies: []string{"a", "b"}, crashes: map[string]int{}, last: map[string]string{"a": "whole", "b": "whole"}},
		"no other request in flight":         {bodies: []string{"bad"}, crashes: map[string]int{"bad": 2}, last: map[string]string{"bad": quarantined}},
		"first of several":                   {bodies: []string{"bad", "a", "b"}, crashes: map[string]int{"bad": 2}, last: map[string]string{"bad": quarantined, "a": "whole", "b": "whole"}},
		"last of several":                    {bodies: []string{"a", "b", "bad"}, crashes: map[string]int{"bad": 2}, last: map[string]string{"bad": quarantined, "a": "whole", "b": "whole"}},
		"two crashing requests in one crash": {bodies: []string{"bad1", "a", "bad2"}, crashes: map[string]int{"bad1": 2, "bad2": 1}, last: map[string]string{"bad1": quarantined, "bad2": quarantined, "a": "whole"}},
		"two copies in the first crash":      {bodies: []string{"bad", "bad", "a"}, crashes: map[string]int{"bad": 2}, last: map[string]string{"bad": quarantined, "a": "whole"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t)
			for _, body := range tc.bodies {
				s.submit(0, 0, body)
			}
			s.runToCompletion()
			if diff := cmp.Diff(tc.crashes, s.crashes); diff != "" {
				t.Errorf("engine crashes (-want +got):\n%s", diff)
			}
			last := make(map[string]string)
			for body := range tc.last {
				id := s.submit(1, 1, body)
				s.runToCompletion()
				last[body] = s.answers[id]
			}
			if diff := cmp.Diff(tc.last, last); diff != "" {
				t.Errorf("answers to further copies (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOnlyCrashingRequestsAreQuarantined guards against bans of requests that only
// ran beside a crashing one, against crashing requests that are not banned, and
// against more than two crashes for each submission.
func TestOnlyCrashingRequestsAreQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		bodies := map[string]string{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			engine := rapid.IntRange(0, 1).Draw(t, "engine")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				body := rapid.SampledFrom([]string{"a", "b", "c", "d", "bad1", "bad2"}).Draw(t, "body")
				bodies[s.submit(rapid.IntRange(0, 1).Draw(t, "entry"), engine, body)] = body
			case 2:
				s.startQueued(engine)
			case 3:
				s.finish(engine)
			case 4:
				s.applyLog()
			}
		}
		s.runToCompletion()
		for request, body := range bodies {
			crashing := strings.HasPrefix(body, "bad")
			if got := s.answers[request]; (got == "whole") == crashing || got == "" {
				t.Errorf("%s (%s) was answered %q", request, body, got)
			}
		}
		for body, crashes := range s.crashes {
			if crashes > 2*s.submissions[body] {
				t.Errorf("%s crashed %d engines in %d submissions", body, crashes, s.submissions[body])
			}
			for entry := range s.entries {
				if diff := cmp.Diff(quarantined, s.answers[s.submit(entry, 0, body)]); diff != "" {
					t.Errorf("copy of %s at entry %d (-want +got):\n%s", body, entry, diff)
				}
			}
		}
	})
}

func TestBansExpire(t *testing.T) {
	s := newSimulation(t)
	s.submit(0, 0, "bad")
	s.runToCompletion()
	s.now = s.now.Add(time.Hour)
	for entry, core := range s.entries {
		s.execute(entry, core.Tick(s.now))
		if diff := cmp.Diff(map[string]struct{}{}, core.Watched()); diff != "" {
			t.Errorf("watched by entry %d (-want +got):\n%s", entry, diff)
		}
	}
}

// TestBansOutlastSuspects guards against a ban that is forgotten for suspects of which there
// are more than are remembered, and against one that an entry learns late.
func TestBansOutlastSuspects(t *testing.T) {
	s := newSimulation(t)
	s.submit(0, 0, "bad")
	s.runToCompletion()
	for n := range 300 {
		s.now = s.now.Add(time.Second)
		for entry, core := range s.entries {
			request := router.NewRequest(router.RequestConfig{ID: fmt.Sprint("other", n), Body: []byte(fmt.Sprint(n)), Deadline: s.now.Add(time.Hour)})
			s.execute(entry, core.Handle(s.now, NewCrashed(router.NewCrashReport(request, false))))
			core.Tick(s.now)
		}
	}
	s.entries = append(s.entries, NewCore(CoreConfig{Capacity: 100, SuspectTTL: time.Minute, BanDuration: time.Hour}))
	s.applyLog()
	for entry := range s.entries {
		if diff := cmp.Diff(quarantined, s.answers[s.submit(entry, 0, "bad")]); diff != "" {
			t.Errorf("copy at entry %d (-want +got):\n%s", entry, diff)
		}
	}
}
