package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/httpserver"
)

// TestRequestRunsAtMostOnceUnderFailures guards against requests that run twice or
// get different answers while copies of them are sent to several entries, appends
// and attempts fail or lose their answers, entries crash and the log is down.
func TestRequestRunsAtMostOnceUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries, requests = 3, 3
		s := newSimulation(t, entries)
		entryOf := rapid.IntRange(0, entries-1)
		anyResult := rapid.Custom(func(t *rapid.T) callResult {
			return callResult(rapid.IntRange(0, int(callResults)-1).Draw(t, "result"))
		})
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) {
				s.send(entryOf.Draw(t, "entry"), fmt.Sprint("b", rapid.IntRange(0, requests-1).Draw(t, "request")))
			},
			"leave": func(t *rapid.T) {
				index := entryOf.Draw(t, "entry")
				request := fmt.Sprint("q", rapid.IntRange(1, s.lastID+1).Draw(t, "request"))
				s.entries[index].core.Handle(s.now, NewAbandoned(request))
			},
			"append":        func(t *rapid.T) { s.appendPending(entryOf.Draw(t, "entry"), anyResult.Draw(t, "result")) },
			"apply delayed": func(*rapid.T) { s.applyDelayed() },
			"follow log":    func(t *rapid.T) { s.readRecord(entryOf.Draw(t, "entry")) },
			"pass attempt":  func(t *rapid.T) { s.submitAttempt(entryOf.Draw(t, "entry"), anyResult.Draw(t, "result")) },
			"run attempt":   func(t *rapid.T) { s.runAttempt(entryOf.Draw(t, "entry"), anyResult.Draw(t, "result")) },
			"crash":         func(t *rapid.T) { s.crash(entryOf.Draw(t, "entry")) },
			"outage":        func(*rapid.T) { s.logDown = !s.logDown },
			"tick":          func(t *rapid.T) { s.tick(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond) },
			"":              func(*rapid.T) { s.check() },
		})
		s.settle()
		last := s.send(0, "b0")
		s.settle()
		s.check()
		if got := s.replies[last]; !got.Complete && got.Outcome == "" {
			t.Errorf("a request sent after all failures got neither a complete answer nor a refusal")
		}
		for index, e := range s.entries {
			if diff := cmp.Diff(stateOf(s, s.entries[0]), stateOf(s, e)); diff != "" {
				t.Errorf("table of entry %d (-entry 0 +got):\n%s", index, diff)
			}
		}
	})
}

func stateOf(s *simulation, e *entry) string {
	state, err := e.core.Table().State()
	if err != nil {
		s.t.Fatal(err)
	}
	return string(state)
}

// TestCrashPoints crashes an entry at each step of a request and then resends the
// request. A run whose intent is in the log must not be repeated.
func TestCrashPoints(t *testing.T) {
	answered := reply{Complete: true, Data: "booked b"}
	unknown := reply{Code: "outcome_unknown", Outcome: httpserver.MayHaveRun}
	cases := map[string]struct {
		beforeCrash func(s *simulation) // events before entry 0 crashes
		runs        int
		want        reply // reply to the last copy
	}{
		"before the append":         {beforeCrash: func(*simulation) {}, runs: 1, want: answered},
		"answer of the append lost": {beforeCrash: func(s *simulation) { s.appendPending(0, replyLost) }, want: unknown},
		"append takes effect later": {beforeCrash: func(s *simulation) { s.appendPending(0, delayed); s.applyDelayed() }, want: unknown},
		"after the append":          {beforeCrash: func(s *simulation) { s.appendPending(0, succeeded) }, want: unknown},
		"after dispatch":            {beforeCrash: func(s *simulation) { s.appendPending(0, succeeded); s.readRecord(0) }, want: unknown},
		"after the run": {beforeCrash: func(s *simulation) {
			s.appendPending(0, succeeded)
			s.readRecord(0)
			s.submitAttempt(0, succeeded)
		}, runs: 1, want: unknown},
		"before the outcome": {beforeCrash: func(s *simulation) {
			s.appendPending(0, succeeded)
			s.readRecord(0)
			s.submitAttempt(0, succeeded)
			s.runAttempt(0, succeeded)
		}, runs: 1, want: unknown},
		"after the outcome": {beforeCrash: func(s *simulation) {
			s.appendPending(0, succeeded)
			s.readRecord(0)
			s.submitAttempt(0, succeeded)
			s.runAttempt(0, succeeded)
			s.appendPending(0, succeeded)
		}, runs: 1, want: answered},
	}
	resends := map[string]func(s *simulation) string{
		"at once, other entry":     func(s *simulation) string { return s.send(1, "b") },
		"at once, restarted entry": func(s *simulation) string { return s.send(0, "b") },
		"after an outage": func(s *simulation) string {
			s.logDown = true
			if id := s.send(1, "b"); true {
				s.appendPending(1, succeeded)
				s.tick(4 * time.Second)
				if got := s.replies[id]; got.Complete {
					s.t.Errorf("answered in an outage: %+v", got)
				}
			}
			s.settle()
			return s.send(1, "b")
		},
	}
	for name, tc := range cases {
		for when, resend := range resends {
			t.Run(name+", "+when, func(t *testing.T) {
				s := newSimulation(t, 2)
				s.send(0, "b")
				tc.beforeCrash(s)
				s.crash(0)
				resend(s)
				s.settle()
				last := s.send(1, "b")
				s.settle()
				s.check()
				if diff := cmp.Diff(tc.want, s.replies[last]); diff != "" {
					t.Errorf("answer (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tc.runs, s.runs["b"]); diff != "" {
					t.Errorf("runs (-want +got):\n%s", diff)
				}
			})
		}
	}
}

func TestAnswersWithoutACrash(t *testing.T) {
	booked := reply{Complete: true, Data: "booked b"}
	run := func(s *simulation) {
		s.appendPending(0, succeeded)
		s.readRecord(0)
		s.submitAttempt(0, succeeded)
		s.runAttempt(0, succeeded)
	}
	cases := map[string]struct {
		scenario func(s *simulation) string // returns the id of the copy whose reply is checked
		runs     int
		want     reply
	}{
		"resent during the run": {scenario: func(s *simulation) string {
			s.send(0, "b")
			s.appendPending(0, succeeded)
			s.readRecord(0)
			s.readRecord(1)
			id := s.send(1, "b")
			s.tick(time.Second)
			run(s)
			s.appendPending(0, succeeded)
			s.readRecord(1)
			return id
		}, runs: 1, want: booked},
		"resent before the outcome is in the log": {scenario: func(s *simulation) string {
			s.send(0, "b")
			run(s)
			return s.send(0, "b")
		}, runs: 1, want: booked},
		"sent to two entries at once": {scenario: func(s *simulation) string {
			s.send(0, "b")
			id := s.send(1, "b")
			s.appendPending(0, succeeded)
			s.appendPending(1, succeeded)
			s.settle()
			return id
		}, runs: 1, want: booked},
		"wait timed out": {scenario: func(s *simulation) string {
			s.send(0, "b")
			s.appendPending(0, succeeded)
			s.readRecord(1)
			id := s.send(1, "b")
			s.tick(11 * time.Second)
			return id
		}, want: reply{Code: "request_in_progress", Outcome: httpserver.MayHaveRun}},
		"log unavailable": {scenario: func(s *simulation) string {
			s.logDown = true
			id := s.send(0, "b")
			s.appendPending(0, succeeded)
			return id
		}, want: reply{Code: "log_unavailable", Outcome: httpserver.NotRun}},
		"append request lost": {scenario: func(s *simulation) string {
			id := s.send(0, "b")
			s.appendPending(0, requestLost)
			s.tick(4 * time.Second)
			return id
		}, want: reply{Code: "log_unavailable", Outcome: httpserver.NotRun}},
		"resent after a late append": {scenario: func(s *simulation) string {
			s.send(0, "b")
			s.appendPending(0, delayed)
			s.tick(4 * time.Second)
			s.settle()
			id := s.send(1, "b")
			s.settle()
			return id
		}, runs: 1, want: booked},
		"resent after an attempt that did not run": {scenario: func(s *simulation) string {
			s.send(0, "b")
			s.appendPending(0, succeeded)
			s.readRecord(0)
			for range 2 {
				s.submitAttempt(0, rejected)
			}
			s.settle()
			id := s.send(1, "b")
			s.settle()
			return id
		}, runs: 1, want: booked},
		"answer cut off": {scenario: func(s *simulation) string {
			s.send(0, "b")
			s.appendPending(0, succeeded)
			s.readRecord(0)
			s.submitAttempt(0, succeeded)
			s.runAttempt(0, replyLost)
			s.settle()
			id := s.send(1, "b")
			s.settle()
			return id
		}, runs: 1, want: reply{Code: "outcome_unknown", Outcome: httpserver.MayHaveRun}},
		"abandoned before the run": {scenario: func(s *simulation) string {
			s.entries[0].core.Handle(s.now, NewAbandoned(s.send(0, "b")))
			s.settle()
			return ""
		}},
		"abandoned during the run": {scenario: func(s *simulation) string {
			id := s.send(0, "b")
			s.appendPending(0, succeeded)
			s.readRecord(0)
			s.entries[0].core.Handle(s.now, NewAbandoned(id))
			s.settle()
			return s.send(1, "b")
		}, runs: 1, want: booked},
		"same key, other body": {scenario: func(s *simulation) string {
			s.send(0, "b")
			s.settle()
			return s.sendWithKey(1, "other", "key-b")
		}, runs: 1, want: reply{Code: "idempotency_key_reused", Outcome: httpserver.NotRun}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 2)
			id := tc.scenario(s)
			s.check()
			if diff := cmp.Diff(tc.want, s.replies[id]); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.runs, s.runs["b"]); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCancelledRunsAreBounded guards against memory that grows while the log shows no intents:
// each cancelled run kept the body of its request for minutes.
func TestCancelledRunsAreBounded(t *testing.T) {
	refused := reply{Code: "log_unavailable", Outcome: httpserver.NotRun}
	cases := map[string]struct {
		requests int
		then     time.Duration // time after the last of them
		runs     int
		want     reply // to one more request
	}{
		"one":                      {requests: 1, runs: 2},
		"many":                     {requests: 8200, runs: 8201},
		"too many":                 {requests: 8400, runs: 8292, want: refused},
		"too many, later":          {requests: 8400, then: 10 * time.Minute, runs: 1},
		"too many, a little later": {requests: 8400, then: time.Minute, runs: 8292, want: refused},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 1)
			core := s.entries[0].core
			for n := range tc.requests {
				s.send(0, fmt.Sprint("b", n))
				if n%100 == 99 || n == tc.requests-1 {
					s.entries[0].pendingAppends = nil // no record of the log shows them
					s.tick(4 * time.Second)
				}
			}
			s.tick(tc.then)
			id := s.send(0, "last")
			for _, r := range core.runs {
				if r.phase == cancelled && len(r.request.Body()) > 0 {
					t.Fatal("a cancelled run keeps a body")
				}
			}
			if diff := cmp.Diff([]any{tc.runs, tc.want}, []any{len(core.runs), s.replies[id]}); diff != "" {
				t.Errorf("runs, answer to the last request (-want +got):\n%s", diff)
			}
		})
	}
}
