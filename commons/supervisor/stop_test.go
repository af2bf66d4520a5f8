package supervisor

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const testLimit = 9 * time.Second // the accept period ends at 2.5 s, open work is closed at 8.1 s

func TestStopSchedule(t *testing.T) {
	type periods struct{ Accept, Close time.Duration }
	cases := map[string]struct {
		limit time.Duration
		want  periods
	}{
		"long":     {limit: 10 * time.Minute, want: periods{2500 * time.Millisecond, 599100 * time.Millisecond}},
		"usual":    {limit: 8 * time.Second, want: periods{2500 * time.Millisecond, 7100 * time.Millisecond}},
		"short":    {limit: 1500 * time.Millisecond, want: periods{500 * time.Millisecond, time.Second}},
		"shortest": {limit: 600 * time.Millisecond, want: periods{200 * time.Millisecond, 400 * time.Millisecond}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewStopSchedule(tc.limit)
			if diff := cmp.Diff(tc.want, periods{s.AcceptPeriod(), s.ClosePeriod()}); diff != "" {
				t.Errorf("periods (-want +got):\n%s", diff)
			}
		})
	}
}

func TestStop(t *testing.T) {
	type step struct {
		at    time.Duration
		event stopEvent
		want  []stopAction
	}
	term, interrupt, hangup := signalled{syscall.SIGTERM}, signalled{syscall.SIGINT}, signalled{syscall.SIGHUP}
	cases := map[string]struct {
		steps []step
		code  int
	}{
		"no open work": {steps: []step{
			{event: term, want: []stopAction{startDrain}}, {event: drainStarted{}}, {event: drained{}}, {at: time.Second, event: ticked{}, want: []stopAction{exit}},
		}},
		"an answer that has not left": {steps: []step{
			{event: term, want: []stopAction{startDrain}}, {event: drainStarted{}}, {event: drained{}}, {at: time.Second, event: ticked{pending: 1}},
			{at: 2 * time.Second, event: ticked{}, want: []stopAction{exit}},
		}},
		"a second signal": {steps: []step{
			{event: term, want: []stopAction{startDrain}}, {event: drainStarted{}}, {at: time.Second, event: term, want: []stopAction{ignoreSignal}},
			{at: 2 * time.Second, event: interrupt, want: []stopAction{ignoreSignal}}, {at: 3 * time.Second, event: ticked{}},
			{at: 4 * time.Second, event: drained{}}, {at: 4 * time.Second, event: ticked{}, want: []stopAction{exit}},
		}},
		"hangups": {steps: []step{
			{event: hangup, want: []stopAction{reload}}, {event: term, want: []stopAction{startDrain}}, {event: hangup, want: []stopAction{reload}}, {event: drainStarted{}},
			{at: time.Second, event: ticked{}},
		}},
		"a drain that does not start": {steps: []step{
			{event: term, want: []stopAction{startDrain}}, {at: time.Second, event: ticked{}, want: []stopAction{startDrain}}, {at: time.Second, event: drainStarted{}},
			{at: 2 * time.Second, event: ticked{}},
		}},
		"work that does not end": {code: ExitFailed, steps: []step{
			{event: interrupt, want: []stopAction{startDrain}}, {event: drainStarted{}}, {at: 8 * time.Second, event: ticked{}},
			{at: 8200 * time.Millisecond, event: ticked{}, want: []stopAction{closeOpen}}, {at: 8500 * time.Millisecond, event: ticked{}, want: []stopAction{closeOpen}},
			{at: testLimit, event: ticked{pending: 2}, want: []stopAction{exit}},
		}},
		"work that is closed": {steps: []step{
			{event: term, want: []stopAction{startDrain}}, {event: drainStarted{}}, {at: 8200 * time.Millisecond, event: ticked{}, want: []stopAction{closeOpen}},
			{at: 8300 * time.Millisecond, event: drained{}}, {at: 8300 * time.Millisecond, event: ticked{}, want: []stopAction{exit}},
		}},
		"the tree fails": {code: ExitFailed, steps: []step{{event: treeEnded{errors.New("failed")}, want: []stopAction{exit}}, {event: term}, {event: ticked{}}}},
		"the tree fails while it drains": {code: ExitFailed, steps: []step{
			{event: term, want: []stopAction{startDrain}}, {event: treeEnded{errors.New("failed")}, want: []stopAction{exit}},
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			s := &stop{schedule: NewStopSchedule(testLimit)}
			for i, step := range tc.steps {
				if diff := cmp.Diff(step.want, s.handle(start.Add(step.at), step.event)); diff != "" {
					t.Errorf("actions of step %d (-want +got):\n%s", i, diff)
				}
			}
			if diff := cmp.Diff(tc.code, s.code); diff != "" {
				t.Errorf("exit code (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStopEndsOnlyWhenNothingIsOwed plays events in any order and number. The process may
// exit only if its work has ended, its time is over or its tree has failed, and it exits
// at the next tick after that.
func TestStopEndsOnlyWhenNothingIsOwed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := &stop{schedule: NewStopSchedule(testLimit)}
		var began time.Time
		var started, ended, failed bool
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			var event stopEvent
			pending := rapid.IntRange(0, 2).Draw(t, "pending")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				event = signalled{syscall.SIGTERM}
			case 1:
				event = signalled{syscall.SIGINT}
			case 2:
				event = signalled{syscall.SIGHUP}
			case 3:
				if !began.IsZero() {
					event, started = drainStarted{}, true
				}
			case 4:
				if started {
					event, ended = drained{}, true
				}
			case 5:
				if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
					event, failed = treeEnded{errors.New("failed")}, true
				}
			default:
				event = ticked{pending: pending}
			}
			actions := s.handle(now, event)
			if got, ok := event.(signalled); ok && got.signal != syscall.SIGHUP && began.IsZero() {
				began = now
				if !slices.Contains(actions, startDrain) {
					t.Fatalf("no drain after the first signal: %v", actions)
				}
			}
			_, tick := event.(ticked)
			over := !began.IsZero() && now.Sub(began) >= testLimit
			mayExit := failed || tick && (ended && pending == 0 || over)
			if slices.Contains(actions, exit) != mayExit {
				t.Fatalf("exit: %t, want %t", !mayExit, mayExit)
			}
			if slices.Contains(actions, closeOpen) && now.Sub(began) < s.schedule.ClosePeriod() {
				t.Fatalf("open work closed %s after the first signal", now.Sub(began))
			}
			if mayExit {
				return
			}
		}
	})
}
