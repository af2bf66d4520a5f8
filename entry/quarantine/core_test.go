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
	"sesamewell.example/entry/usher"
)

// reporter is the part of a test or a property that the world uses.
type reporter interface {
	Errorf(format string, args ...any)
}

// flight is one attempt at an engine.
type flight struct {
	entry int
	ask   usher.Ask
}

// world is several entries and engines in virtual time. A request whose body
// begins with "bad" ends the engine that runs it, and all that it runs.
type world struct {
	t       reporter
	now     time.Time
	entries []*Core
	running [][]flight // by engine
	queues  [][]flight
	log     []Sentence
	copies  map[string]int
	deaths  map[string]int
	answers map[string]string // by request: "whole", or code and outcome
	serial  int
}

func newWorld(t reporter) *world {
	w := &world{
		t: t, now: time.Unix(1_000_000, 0), running: make([][]flight, 2), queues: make([][]flight, 2),
		copies: make(map[string]int), deaths: make(map[string]int), answers: make(map[string]string),
	}
	for range 2 {
		w.entries = append(w.entries, NewCore(CoreConfig{Capacity: 100, Remember: time.Hour, Expiry: time.Hour}))
	}
	return w
}

func (w *world) ask(entry, engine int, body string) string {
	w.serial++
	w.copies[body]++
	ask := usher.NewAsk(usher.AskConfig{
		Request: fmt.Sprint("q", w.serial), Model: "m", Body: []byte(body), Idempotent: true, Deadline: w.now.Add(time.Hour),
	})
	if _, ok := w.entries[entry].Watched()[Fingerprint(ask)]; ok {
		w.carryOut(entry, w.entries[entry].Handle(w.now, NewAsked(ask)))
	} else {
		w.queues[engine] = append(w.queues[engine], flight{entry: entry, ask: ask})
	}
	return ask.Request()
}

func (w *world) carryOut(entry int, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Append:
			w.log = append(w.log, a.sentence)
		case Dispatch:
			engine := w.serial % len(w.queues)
			w.queues[engine] = append(w.queues[engine], flight{entry: entry, ask: a.ask})
		case Refuse:
			w.answer(a.refuse.Request(), a.refuse.Refusal().Code()+" "+a.refuse.Refusal().Outcome())
		}
	}
}

func (w *world) answer(request, got string) {
	if before, ok := w.answers[request]; ok {
		w.t.Errorf("%s was answered twice: %s, then %s", request, before, got)
	}
	w.answers[request] = got
}

// admit starts what an engine can run; a suspect runs alone.
func (w *world) admit(engine int) {
	for len(w.queues[engine]) > 0 {
		running, next := w.running[engine], w.queues[engine][0]
		if len(running) > 0 && (next.ask.Alone() || running[0].ask.Alone()) {
			return
		}
		w.running[engine] = append(running, next)
		w.queues[engine] = w.queues[engine][1:]
	}
}

// end ends what an engine runs, by a crash if a culprit is among it.
func (w *world) end(engine int) {
	ended := w.running[engine]
	w.running[engine] = nil
	at := slices.IndexFunc(ended, func(f flight) bool { return strings.HasPrefix(string(f.ask.Body()), "bad") })
	if at >= 0 {
		w.deaths[string(ended[at].ask.Body())]++
	}
	for _, f := range ended {
		core := w.entries[f.entry]
		if at >= 0 {
			w.carryOut(f.entry, core.Handle(w.now, NewCrashed(usher.NewCrashed(f.ask, true))))
			continue
		}
		w.answer(f.ask.Request(), "whole")
		w.carryOut(f.entry, core.Handle(w.now, NewSettled(f.ask.Request(), true)))
	}
}

func (w *world) follow() {
	for _, sentence := range w.log {
		for _, core := range w.entries {
			core.Handle(w.now, NewFolded(sentence))
		}
	}
}

// calm lets everything in flight come to its end.
func (w *world) calm() {
	for range 4 * (w.serial + 1) {
		for engine := range w.queues {
			w.admit(engine)
			w.end(engine)
		}
		w.follow()
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
			w := newWorld(t)
			for _, body := range tc.bodies {
				w.ask(0, 0, body)
			}
			w.calm()
			if diff := cmp.Diff(tc.deaths, w.deaths); diff != "" {
				t.Errorf("engine deaths (-want +got):\n%s", diff)
			}
			last := make(map[string]string)
			for body := range tc.last {
				id := w.ask(1, 1, body)
				w.calm()
				last[body] = w.answers[id]
			}
			if diff := cmp.Diff(tc.last, last); diff != "" {
				t.Errorf("answers to further copies (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOnlyCulpritsAreQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		bodies := map[string]string{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			engine := rapid.IntRange(0, 1).Draw(t, "engine")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				body := rapid.SampledFrom([]string{"a", "b", "c", "d", "bad1", "bad2"}).Draw(t, "body")
				bodies[w.ask(rapid.IntRange(0, 1).Draw(t, "entry"), engine, body)] = body
			case 2:
				w.admit(engine)
			case 3:
				w.end(engine)
			case 4:
				w.follow()
			}
		}
		w.calm()
		for request, body := range bodies {
			culprit := strings.HasPrefix(body, "bad")
			if got := w.answers[request]; (got == "whole") == culprit || got == "" {
				t.Errorf("%s (%s) was answered %q", request, body, got)
			}
		}
		for body, deaths := range w.deaths {
			if deaths > 2*w.copies[body] {
				t.Errorf("%s ended %d engines in %d copies", body, deaths, w.copies[body])
			}
			for entry := range w.entries {
				if diff := cmp.Diff(quarantined, w.answers[w.ask(entry, 0, body)]); diff != "" {
					t.Errorf("copy of %s at entry %d (-want +got):\n%s", body, entry, diff)
				}
			}
		}
	})
}

func TestSentencesEnd(t *testing.T) {
	w := newWorld(t)
	w.ask(0, 0, "bad")
	w.calm()
	w.now = w.now.Add(time.Hour)
	for entry, core := range w.entries {
		w.carryOut(entry, core.Tick(w.now))
		if diff := cmp.Diff(map[string]struct{}{}, core.Watched()); diff != "" {
			t.Errorf("watched by entry %d (-want +got):\n%s", entry, diff)
		}
	}
}
