package idempotency

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
		w := newSimulation(t, entries)
		entryOf := rapid.IntRange(0, entries-1)
		anyFate := rapid.Custom(func(t *rapid.T) callResult { return callResult(rapid.IntRange(0, int(callResults)-1).Draw(t, "fate")) })
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				w.send(entryOf.Draw(t, "entry"), fmt.Sprint("b", rapid.IntRange(0, requests-1).Draw(t, "request")))
			},
			"leave": func(t *rapid.T) {
				at := entryOf.Draw(t, "entry")
				request := fmt.Sprint("q", rapid.IntRange(1, w.lastID+1).Draw(t, "request"))
				w.entries[at].core.Handle(w.now, NewCallerLeft(request))
			},
			"append":  func(t *rapid.T) { w.appendPending(entryOf.Draw(t, "entry"), anyFate.Draw(t, "fate")) },
			"arrive":  func(*rapid.T) { w.applyDelayed() },
			"follow":  func(t *rapid.T) { w.readRecord(entryOf.Draw(t, "entry")) },
			"receipt": func(t *rapid.T) { w.submitAttempt(entryOf.Draw(t, "entry"), anyFate.Draw(t, "fate")) },
			"serve":   func(t *rapid.T) { w.runAttempt(entryOf.Draw(t, "entry"), anyFate.Draw(t, "fate")) },
			"crash":   func(t *rapid.T) { w.crash(entryOf.Draw(t, "entry")) },
			"outage":  func(*rapid.T) { w.logDown = !w.logDown },
			"tick":    func(t *rapid.T) { w.tick(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond) },
			"":        func(*rapid.T) { w.check() },
		})
		w.settle()
		last := w.send(0, "b0")
		w.settle()
		w.check()
		if got := w.replies[last]; !got.Whole && got.Outcome == "" {
			t.Errorf("a request after all failures has no end")
		}
		for at, e := range w.entries {
			if diff := cmp.Diff(stateOf(w, w.entries[0]), stateOf(w, e)); diff != "" {
				t.Errorf("table of entry %d (-entry 0 +got):\n%s", at, diff)
			}
		}
	})
}

func stateOf(w *simulation, e *entry) string {
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
		until func(w *simulation) // entry 0 dies after this
		runs  int
		want  reply // of the copy that is sent later
	}{
		"before the append":         {until: func(*simulation) {}, runs: 1, want: answered},
		"answer of the append lost": {until: func(w *simulation) { w.appendPending(0, replyLost) }, want: lost},
		"append takes effect later": {until: func(w *simulation) { w.appendPending(0, delayed); w.applyDelayed() }, want: lost},
		"after the append":          {until: func(w *simulation) { w.appendPending(0, succeeded) }, want: lost},
		"after dispatch":            {until: func(w *simulation) { w.appendPending(0, succeeded); w.readRecord(0) }, want: lost},
		"after the run": {until: func(w *simulation) {
			w.appendPending(0, succeeded)
			w.readRecord(0)
			w.submitAttempt(0, succeeded)
		}, runs: 1, want: lost},
		"before the outcome": {until: func(w *simulation) {
			w.appendPending(0, succeeded)
			w.readRecord(0)
			w.submitAttempt(0, succeeded)
			w.runAttempt(0, succeeded)
		}, runs: 1, want: lost},
		"after the outcome": {until: func(w *simulation) {
			w.appendPending(0, succeeded)
			w.readRecord(0)
			w.submitAttempt(0, succeeded)
			w.runAttempt(0, succeeded)
			w.appendPending(0, succeeded)
		}, runs: 1, want: answered},
	}
	resends := map[string]func(w *simulation) string{
		"at once elsewhere":  func(w *simulation) string { return w.send(1, "b") },
		"at once, restarted": func(w *simulation) string { return w.send(0, "b") },
		"after an outage": func(w *simulation) string {
			w.logDown = true
			if id := w.send(1, "b"); true {
				w.appendPending(1, succeeded)
				w.tick(4 * time.Second)
				if got := w.replies[id]; got.Whole {
					w.t.Errorf("answered in an outage: %+v", got)
				}
			}
			w.settle()
			return w.send(1, "b")
		},
	}
	for name, tc := range cases {
		for when, resend := range resends {
			t.Run(name+", "+when, func(t *testing.T) {
				w := newSimulation(t, 2)
				w.send(0, "b")
				tc.until(w)
				w.crash(0)
				resend(w)
				w.settle()
				last := w.send(1, "b")
				w.settle()
				w.check()
				if diff := cmp.Diff(tc.want, w.replies[last]); diff != "" {
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
	run := func(w *simulation) {
		w.appendPending(0, succeeded)
		w.readRecord(0)
		w.submitAttempt(0, succeeded)
		w.runAttempt(0, succeeded)
	}
	cases := map[string]struct {
		play func(w *simulation) string // returns the id of the copy that is looked at
		runs int
		want reply
	}{
		"resent while the first runs": {play: func(w *simulation) string {
			w.send(0, "b")
			w.appendPending(0, succeeded)
			w.readRecord(0)
			w.readRecord(1)
			id := w.send(1, "b")
			w.tick(time.Second)
			run(w)
			w.appendPending(0, succeeded)
			w.readRecord(1)
			return id
		}, runs: 1, want: booked},
		"resent before the outcome is in the log": {play: func(w *simulation) string {
			w.send(0, "b")
			run(w)
			return w.send(0, "b")
		}, runs: 1, want: booked},
		"two entries at once": {play: func(w *simulation) string {
			w.send(0, "b")
			id := w.send(1, "b")
			w.appendPending(0, succeeded)
			w.appendPending(1, succeeded)
			w.settle()
			return id
		}, runs: 1, want: booked},
		"the wait is over": {play: func(w *simulation) string {
			w.send(0, "b")
			w.appendPending(0, succeeded)
			w.readRecord(1)
			id := w.send(1, "b")
			w.tick(11 * time.Second)
			return id
		}, want: reply{Code: "request_in_progress", Outcome: wicket.MayHaveRun}},
		"log down": {play: func(w *simulation) string {
			w.logDown = true
			id := w.send(0, "b")
			w.appendPending(0, succeeded)
			return id
		}, want: reply{Code: "log_unavailable", Outcome: wicket.NotRun}},
		"log silent": {play: func(w *simulation) string {
			id := w.send(0, "b")
			w.appendPending(0, requestLost)
			w.tick(4 * time.Second)
			return id
		}, want: reply{Code: "log_unavailable", Outcome: wicket.NotRun}},
		"resent after a late append": {play: func(w *simulation) string {
			w.send(0, "b")
			w.appendPending(0, delayed)
			w.tick(4 * time.Second)
			w.settle()
			id := w.send(1, "b")
			w.settle()
			return id
		}, runs: 1, want: booked},
		"resent after it was not run": {play: func(w *simulation) string {
			w.send(0, "b")
			w.appendPending(0, succeeded)
			w.readRecord(0)
			for range 2 {
				w.submitAttempt(0, rejected)
			}
			w.settle()
			id := w.send(1, "b")
			w.settle()
			return id
		}, runs: 1, want: booked},
		"answer cut": {play: func(w *simulation) string {
			w.send(0, "b")
			w.appendPending(0, succeeded)
			w.readRecord(0)
			w.submitAttempt(0, succeeded)
			w.runAttempt(0, replyLost)
			w.settle()
			id := w.send(1, "b")
			w.settle()
			return id
		}, runs: 1, want: reply{Code: "outcome_unknown", Outcome: wicket.MayHaveRun}},
		"caller leaves before the run": {play: func(w *simulation) string {
			w.entries[0].core.Handle(w.now, NewCallerLeft(w.send(0, "b")))
			w.settle()
			return ""
		}},
		"caller leaves during the run": {play: func(w *simulation) string {
			id := w.send(0, "b")
			w.appendPending(0, succeeded)
			w.readRecord(0)
			w.entries[0].core.Handle(w.now, NewCallerLeft(id))
			w.settle()
			return w.send(1, "b")
		}, runs: 1, want: booked},
		"another body": {play: func(w *simulation) string {
			w.send(0, "b")
			w.settle()
			return w.sendWithKey(1, "other", "key-b")
		}, runs: 1, want: reply{Code: "idempotency_key_reused", Outcome: wicket.NotRun}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, 2)
			id := tc.play(w)
			w.check()
			if diff := cmp.Diff(tc.want, w.replies[id]); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.runs, w.runs["b"]); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}
