package booking

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/wicket"
)

func TestRequestRunsAtMostOnceUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries, requests = 3, 3
		w := newWorld(t, entries)
		entryOf := rapid.IntRange(0, entries-1)
		anyFate := rapid.Custom(func(t *rapid.T) fate { return fate(rapid.IntRange(0, int(fates)-1).Draw(t, "fate")) })
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				w.ask(entryOf.Draw(t, "entry"), fmt.Sprint("b", rapid.IntRange(0, requests-1).Draw(t, "request")))
			},
			"leave": func(t *rapid.T) {
				at := entryOf.Draw(t, "entry")
				request := fmt.Sprint("q", rapid.IntRange(1, w.serial+1).Draw(t, "request"))
				w.entries[at].core.Handle(w.now, NewLeft(request))
			},
			"append":  func(t *rapid.T) { w.append(entryOf.Draw(t, "entry"), anyFate.Draw(t, "fate")) },
			"arrive":  func(*rapid.T) { w.arrive() },
			"follow":  func(t *rapid.T) { w.follow(entryOf.Draw(t, "entry")) },
			"receipt": func(t *rapid.T) { w.receipt(entryOf.Draw(t, "entry"), anyFate.Draw(t, "fate")) },
			"serve":   func(t *rapid.T) { w.serve(entryOf.Draw(t, "entry"), anyFate.Draw(t, "fate")) },
			"crash":   func(t *rapid.T) { w.crash(entryOf.Draw(t, "entry")) },
			"outage":  func(*rapid.T) { w.down = !w.down },
			"tick":    func(t *rapid.T) { w.tick(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond) },
			"":        func(*rapid.T) { w.check() },
		})
		w.calm()
		last := w.ask(0, "b0")
		w.calm()
		w.check()
		if got := w.answers[last]; !got.Whole && got.Outcome == "" {
			t.Errorf("a request after all failures has no end")
		}
		for at, e := range w.entries {
			if diff := cmp.Diff(stateOf(w, w.entries[0]), stateOf(w, e)); diff != "" {
				t.Errorf("table of entry %d (-entry 0 +got):\n%s", at, diff)
			}
		}
	})
}

func stateOf(w *world, e *entry) string {
	state, err := e.core.Table().State()
	if err != nil {
		w.t.Fatal(err)
	}
	return string(state)
}

func TestCrashPoints(t *testing.T) {
	answered := reply{Whole: true, Data: "booked b"}
	lost := reply{Code: "outcome_unknown", Outcome: wicket.MayHaveRun}
	cases := map[string]struct {
		until func(w *world) // entry 0 dies after this
		runs  int
		want  reply // of the copy that is sent later
	}{
		"before the append":         {until: func(*world) {}, runs: 1, want: answered},
		"answer of the append lost": {until: func(w *world) { w.append(0, silent) }, want: lost},
		"append takes effect later": {until: func(w *world) { w.append(0, late); w.arrive() }, want: lost},
		"after the append":          {until: func(w *world) { w.append(0, done) }, want: lost},
		"after dispatch":            {until: func(w *world) { w.append(0, done); w.follow(0) }, want: lost},
		"after the run": {until: func(w *world) {
			w.append(0, done)
			w.follow(0)
			w.receipt(0, done)
		}, runs: 1, want: lost},
		"before the outcome": {until: func(w *world) {
			w.append(0, done)
			w.follow(0)
			w.receipt(0, done)
			w.serve(0, done)
		}, runs: 1, want: lost},
		"after the outcome": {until: func(w *world) {
			w.append(0, done)
			w.follow(0)
			w.receipt(0, done)
			w.serve(0, done)
			w.append(0, done)
		}, runs: 1, want: answered},
	}
	resends := map[string]func(w *world) string{
		"at once elsewhere":  func(w *world) string { return w.ask(1, "b") },
		"at once, restarted": func(w *world) string { return w.ask(0, "b") },
		"after an outage": func(w *world) string {
			w.down = true
			if id := w.ask(1, "b"); true {
				w.append(1, done)
				w.tick(4 * time.Second)
				if got := w.answers[id]; got.Whole {
					w.t.Errorf("answered in an outage: %+v", got)
				}
			}
			w.calm()
			return w.ask(1, "b")
		},
	}
	for name, tc := range cases {
		for when, resend := range resends {
			t.Run(name+", "+when, func(t *testing.T) {
				w := newWorld(t, 2)
				w.ask(0, "b")
				tc.until(w)
				w.crash(0)
				resend(w)
				w.calm()
				last := w.ask(1, "b")
				w.calm()
				w.check()
				if diff := cmp.Diff(tc.want, w.answers[last]); diff != "" {
					t.Errorf("answer (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tc.runs, w.runs["b"]); diff != "" {
					t.Errorf("runs (-want +got):\n%s", diff)
				}
			})
		}
	}
}

func TestAnswersWithoutACrash(t *testing.T) {
	booked := reply{Whole: true, Data: "booked b"}
	run := func(w *world) {
		w.append(0, done)
		w.follow(0)
		w.receipt(0, done)
		w.serve(0, done)
	}
	cases := map[string]struct {
		play func(w *world) string // returns the id of the copy that is looked at
		runs int
		want reply
	}{
		"resent while the first runs": {play: func(w *world) string {
			w.ask(0, "b")
			w.append(0, done)
			w.follow(0)
			w.follow(1)
			id := w.ask(1, "b")
			w.tick(time.Second)
			run(w)
			w.append(0, done)
			w.follow(1)
			return id
		}, runs: 1, want: booked},
		"resent before the outcome is in the log": {play: func(w *world) string {
			w.ask(0, "b")
			run(w)
			return w.ask(0, "b")
		}, runs: 1, want: booked},
		"two entries at once": {play: func(w *world) string {
			w.ask(0, "b")
			id := w.ask(1, "b")
			w.append(0, done)
			w.append(1, done)
			w.calm()
			return id
		}, runs: 1, want: booked},
		"the wait is over": {play: func(w *world) string {
			w.ask(0, "b")
			w.append(0, done)
			w.follow(1)
			id := w.ask(1, "b")
			w.tick(11 * time.Second)
			return id
		}, want: reply{Code: "request_in_progress", Outcome: wicket.MayHaveRun}},
		"log down": {play: func(w *world) string {
			w.down = true
			id := w.ask(0, "b")
			w.append(0, done)
			return id
		}, want: reply{Code: "log_unavailable", Outcome: wicket.NotRun}},
		"log silent": {play: func(w *world) string {
			id := w.ask(0, "b")
			w.append(0, lost)
			w.tick(4 * time.Second)
			return id
		}, want: reply{Code: "log_unavailable", Outcome: wicket.NotRun}},
		"resent after a late append": {play: func(w *world) string {
			w.ask(0, "b")
			w.append(0, late)
			w.tick(4 * time.Second)
			w.calm()
			id := w.ask(1, "b")
			w.calm()
			return id
		}, runs: 1, want: booked},
		"resent after it was not run": {play: func(w *world) string {
			w.ask(0, "b")
			w.append(0, done)
			w.follow(0)
			for range 2 {
				w.receipt(0, refused)
			}
			w.calm()
			id := w.ask(1, "b")
			w.calm()
			return id
		}, runs: 1, want: booked},
		"answer cut": {play: func(w *world) string {
			w.ask(0, "b")
			w.append(0, done)
			w.follow(0)
			w.receipt(0, done)
			w.serve(0, silent)
			w.calm()
			id := w.ask(1, "b")
			w.calm()
			return id
		}, runs: 1, want: reply{Code: "outcome_unknown", Outcome: wicket.MayHaveRun}},
		"caller leaves before the run": {play: func(w *world) string {
			w.entries[0].core.Handle(w.now, NewLeft(w.ask(0, "b")))
			w.calm()
			return ""
		}},
		"caller leaves during the run": {play: func(w *world) string {
			id := w.ask(0, "b")
			w.append(0, done)
			w.follow(0)
			w.entries[0].core.Handle(w.now, NewLeft(id))
			w.calm()
			return w.ask(1, "b")
		}, runs: 1, want: booked},
		"another body": {play: func(w *world) string {
			w.ask(0, "b")
			w.calm()
			return w.askAs(1, "other", "key-b")
		}, runs: 1, want: reply{Code: "idempotency_key_reused", Outcome: wicket.NotRun}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2)
			id := tc.play(w)
			w.check()
			if diff := cmp.Diff(tc.want, w.answers[id]); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.runs, w.runs["b"]); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}
