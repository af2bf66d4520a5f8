package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/wicket"
	"sesamewell.example/entry/router"
)

// reporter is the part of a test or a property that the world uses.
type reporter interface {
	Errorf(format string, args ...any)
}

// flight is one attempt at an engine.
type attempt struct {
	entry   int
	request router.Request
}

// world is several entries and engines in virtual time. A request whose body
// begins with "bad" ends the engine that runs it, and all that it runs.
type simulation struct {
	t           reporter
	now         time.Time
	entries     []*Core
	running     [][]attempt // by engine
	queues      [][]attempt
	log         []Ban
	submissions map[string]int
	crashes     map[string]int
	answers     map[string]string // by request: "whole", or code and outcome
	lastID      int
}

func newSimulation(t reporter) *simulation {
	w := &simulation{
		t: t, now: time.Unix(1_000_000, 0), running: make([][]attempt, 2), queues: make([][]attempt, 2),
		submissions: make(map[string]int), crashes: make(map[string]int), answers: make(map[string]string),
	}
	for range 2 {
		w.entries = append(w.entries, NewCore(CoreConfig{Capacity: 100, SuspectTTL: time.Hour, BanDuration: time.Hour}))
	}
	return w
}

func (w *simulation) submit(entry, engine int, body string) string {
	w.lastID++
	w.submissions[body]++
	ask := router.NewRequest(router.RequestConfig{
		ID: fmt.Sprint("q", w.lastID), Model: "m", Body: []byte(body), Idempotent: true, Deadline: w.now.Add(time.Hour),
	})
	if _, ok := w.entries[entry].Watched()[Fingerprint(ask)]; ok {
		w.execute(entry, w.entries[entry].Handle(w.now, NewIntercepted(ask)))
	} else {
		w.queues[engine] = append(w.queues[engine], attempt{entry: entry, request: ask})
	}
	return ask.ID()
}

func (w *simulation) execute(entry int, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Append:
			w.log = append(w.log, a.ban)
		case Dispatch:
			engine := w.lastID % len(w.queues)
			w.queues[engine] = append(w.queues[engine], attempt{entry: entry, request: a.request})
		case Refuse:
			w.recordAnswer(a.action.RequestID(), a.action.Refusal().Code()+" "+a.action.Refusal().Outcome())
		}
	}
}

func (w *simulation) recordAnswer(request, got string) {
	if before, ok := w.answers[request]; ok {
		w.t.Errorf("%s was answered twice: %s, then %s", request, before, got)
	}
	w.answers[request] = got
}

// admit starts what an engine can run; a suspect runs alone.
func (w *simulation) startQueued(engine int) {
	for len(w.queues[engine]) > 0 {
		running, next := w.running[engine], w.queues[engine][0]
		if len(running) > 0 && (next.request.Alone() || running[0].request.Alone()) {
			return
		}
		w.running[engine] = append(running, next)
		w.queues[engine] = w.queues[engine][1:]
	}
}

// end ends what an engine runs, by a crash if a culprit is among it.
func (w *simulation) finish(engine int) {
	ended := w.running[engine]
	w.running[engine] = nil
	at := slices.IndexFunc(ended, func(f attempt) bool { return strings.HasPrefix(string(f.request.Body()), "bad") })
	if at >= 0 {
		w.crashes[string(ended[at].request.Body())]++
	}
	for _, f := range ended {
		core := w.entries[f.entry]
		if at >= 0 {
			w.execute(f.entry, core.Handle(w.now, NewCrashed(router.NewCrashReport(f.request, true))))
			continue
		}
		w.recordAnswer(f.request.ID(), "whole")
		w.execute(f.entry, core.Handle(w.now, NewFinished(f.request.ID(), true)))
	}
}

func (w *simulation) applyLog() {
	for _, sentence := range w.log {
		for _, core := range w.entries {
			core.Handle(w.now, NewBanLogged(sentence))
		}
	}
}

// calm lets everything in flight come to its end.
func (w *simulation) runToCompletion() {
	for range 4 * (w.lastID + 1) {
		for engine := range w.queues {
			w.startQueued(engine)
			w.finish(engine)
		}
		w.applyLog()
	}
}

const quarantined = "request_quarantined " + wicket.NotRun

func TestCrashesAreAttributed(t *testing.T) {
	cases := map[string]struct {
		bodies []string // asked together at one entry and engine
		deaths map[string]int
		last   map[string]string // answers to a further copy at the other entry
	}{
		"nothing crashes":               {bodies: []string{"a", "b"}, deaths: map[string]int{}, last: map[string]string{"a": "whole", "b": "whole"}},
		"alone from the first":          {bodies: []string{"bad"}, deaths: map[string]int{"bad": 2}, last: map[string]string{"bad": quarantined}},
		"first among bystanders":        {bodies: []string{"bad", "a", "b"}, deaths: map[string]int{"bad": 2}, last: map[string]string{"bad": quarantined, "a": "whole", "b": "whole"}},
		"last among bystanders":         {bodies: []string{"a", "b", "bad"}, deaths: map[string]int{"bad": 2}, last: map[string]string{"bad": quarantined, "a": "whole", "b": "whole"}},
		"two culprits in one crash":     {bodies: []string{"bad1", "a", "bad2"}, deaths: map[string]int{"bad1": 2, "bad2": 1}, last: map[string]string{"bad1": quarantined, "bad2": quarantined, "a": "whole"}},
		"two copies in the first crash": {bodies: []string{"bad", "bad", "a"}, deaths: map[string]int{"bad": 2}, last: map[string]string{"bad": quarantined, "a": "whole"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t)
			for _, body := range tc.bodies {
				w.submit(0, 0, body)
			}
			w.runToCompletion()
			if diff := cmp.Diff(tc.deaths, w.crashes); diff != "" {
				t.Errorf("engine deaths (-want +got):\n%s", diff)
			}
			last := make(map[string]string)
			for body := range tc.last {
				id := w.submit(1, 1, body)
				w.runToCompletion()
				last[body] = w.answers[id]
			}
			if diff := cmp.Diff(tc.last, last); diff != "" {
				t.Errorf("answers to further copies (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOnlyCrashingRequestsAreQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		bodies := map[string]string{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			engine := rapid.IntRange(0, 1).Draw(t, "engine")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				body := rapid.SampledFrom([]string{"a", "b", "c", "d", "bad1", "bad2"}).Draw(t, "body")
				bodies[w.submit(rapid.IntRange(0, 1).Draw(t, "entry"), engine, body)] = body
			case 2:
				w.startQueued(engine)
			case 3:
				w.finish(engine)
			case 4:
				w.applyLog()
			}
		}
		w.runToCompletion()
		for request, body := range bodies {
			culprit := strings.HasPrefix(body, "bad")
			if got := w.answers[request]; (got == "whole") == culprit || got == "" {
				t.Errorf("%s (%s) was answered %q", request, body, got)
			}
		}
		for body, deaths := range w.crashes {
			if deaths > 2*w.submissions[body] {
				t.Errorf("%s ended %d engines in %d copies", body, deaths, w.submissions[body])
			}
			for entry := range w.entries {
				if diff := cmp.Diff(quarantined, w.answers[w.submit(entry, 0, body)]); diff != "" {
					t.Errorf("copy of %s at entry %d (-want +got):\n%s", body, entry, diff)
				}
			}
		}
	})
}

func TestBansExpire(t *testing.T) {
	w := newSimulation(t)
	w.submit(0, 0, "bad")
	w.runToCompletion()
	w.now = w.now.Add(time.Hour)
	for entry, core := range w.entries {
		w.execute(entry, core.Tick(w.now))
		if diff := cmp.Diff(map[string]struct{}{}, core.Watched()); diff != "" {
			t.Errorf("watched by entry %d (-want +got):\n%s", entry, diff)
		}
	}
}
