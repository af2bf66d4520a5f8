package dispatcher

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/protocol"
)

// accounts are what a core counts of its attempts.
type accounts struct {
	Bodies, Buffered        int64
	Running, Popped, Queued int
}

// counted returns the accounts, and expected what the attempts add up to.
func (c *Core) counted() accounts {
	return accounts{Bodies: c.bodies, Buffered: c.buffered, Running: c.running, Popped: c.queue.running, Queued: c.Queued()}
}

func (c *Core) expected() (e accounts) {
	for _, a := range c.attempts {
		e.Bodies += int64(len(a.submit.Body()))
		e.Buffered += int64(len(a.buffer))
		switch a.phase {
		case phaseRunning:
			e.Running++
		case phaseQueued:
			e.Queued++
		}
	}
	e.Popped = e.Running + len(c.waitingExclusive)
	return e
}

// TestAccountsOfAttemptsAddUp drives the core through random orders of submissions, pieces and
// ends of answers that may be late or doubled, confirmations, cancels, silent entries, lost
// freshness and a drain. What it counts is that of its attempts at any time, and nothing is left
// at the end.
func TestAccountsOfAttemptsAddUp(t *testing.T) {
	const steps = 60
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(func(config *CoreConfig) {
			config.Concurrency, config.QueueLimit, config.MaxBodies, config.MaxAnswers = 2, 4, 300, 150
		})
		last := 0
		attempt := func() string { return fmt.Sprint("a", rapid.IntRange(0, last).Draw(t, "attempt")) }
		for range steps {
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0, 1, 2:
				last++
				h.submit(batch(protocol.NewSubmit(protocol.SubmitConfig{
					Attempt: fmt.Sprint("a", last), Tenant: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "tenant"), Body: make([]byte, rapid.IntRange(0, 99).Draw(t, "body")),
					Urgent: rapid.Bool().Draw(t, "urgent"), Idempotent: rapid.Bool().Draw(t, "idempotent"), Exclusive: rapid.IntRange(0, 5).Draw(t, "exclusive") == 0,
					Remaining: time.Duration(rapid.IntRange(1, 60).Draw(t, "remaining")) * time.Second,
				})))
			case 3, 4, 5:
				h.handle(NewChunkReceived(attempt(), bytes.Repeat([]byte("x"), rapid.IntRange(0, 110).Draw(t, "bytes"))))
			case 6, 7:
				h.handle(NewAttemptEnded(attempt(), rapid.SampledFrom([]string{"", "failed"}).Draw(t, "code"), true))
			case 8:
				position := protocol.PositionConfig{Attempt: attempt(), Offset: rapid.Int64Range(0, 300).Draw(t, "offset"), Ended: rapid.Bool().Draw(t, "ended")}
				h.handle(NewReadRequested(h.nextRead(protocol.ReadConfig{Resume: rapid.Bool().Draw(t, "resume"), Positions: []protocol.Position{protocol.NewPosition(position)}}), &replyRecorder{}))
			case 9:
				h.submit(protocol.BatchConfig{Entry: "e1", Cancels: []string{attempt()}})
			case 10:
				h.now = h.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				h.execute(h.core.Tick(h.now))
			case 11:
				h.handle(NewFreshnessChanged(rapid.IntRange(0, 3).Draw(t, "fresh") > 0))
			}
			if diff := cmp.Diff(h.core.expected(), h.core.counted()); diff != "" {
				t.Fatalf("accounts (-want +got):\n%s", diff)
			}
		}
		h.handle(Drain{})
		for n := range last {
			h.submit(protocol.BatchConfig{Entry: "e1", Cancels: []string{fmt.Sprint("a", n+1)}})
			h.handle(NewAttemptEnded(fmt.Sprint("a", n+1), "", true))
		}
		for n := range last { // started when others had ended
			h.handle(NewAttemptEnded(fmt.Sprint("a", n+1), "", true))
		}
		if diff := cmp.Diff(accounts{}, h.core.counted()); diff != "" {
			t.Fatalf("accounts at the end (-want +got):\n%s", diff)
		}
	})
}
