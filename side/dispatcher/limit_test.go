package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/protocol"
)

// playLimit keeps the queue of a side full for a time whose backend server names a rate, and
// returns the times at which attempts start. Each runs for 30 ms.
func (h *harness) playLimit(rate float64, span time.Duration) []time.Time {
	var times []time.Time
	begin := h.now
	for n := 0; h.now.Before(begin.Add(span)); h.now = h.now.Add(10 * time.Millisecond) {
		n++
		h.submit(batch(idempotentSubmit(fmt.Sprint(h.now.UnixNano(), "-", n))))
		for ; len(times) < len(h.started); times = append(times, h.now) {
			id := h.started[len(times)]
			h.handle(NewHeaderReceived(id, 200, "").WithLimit(rate))
			h.handle(NewAttemptEnded(id, "", true))
		}
		if alarm := h.core.Alarm(); !alarm.IsZero() && !h.now.Before(alarm) {
			h.execute(h.core.Tick(h.now))
		}
	}
	return times
}

// TestNamedRateIsKept guards against more attempts at a backend server than it takes, against
// fewer, and against a side that holds back when the rate is not named any more.
func TestNamedRateIsKept(t *testing.T) {
	for name, rate := range map[string]float64{"low": 0.5, "two a second": 2, "high": 40} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(func(config *CoreConfig) { config.Concurrency, config.QueueLimit = 8, 4 })
			times := h.playLimit(rate, 20*time.Second)
			most := 0
			for i, first := range times {
				n := 0
				for _, at := range times[i:] {
					if at.Sub(first) < 4*time.Second {
						n++
					}
				}
				most = max(most, n)
			}
			if bound := int(1.5*4*rate + 5); most > bound {
				t.Errorf("%d attempts within 4 s, more than %d", most, bound)
			}
			if least := int(0.9 * 20 * rate); len(times) < least {
				t.Errorf("%d attempts in 20 s, fewer than %d", len(times), least)
			}
			h.now = h.now.Add(3 * time.Second)
			before := len(h.started)
			h.started = h.started[before:]
			if got := len(h.playLimit(0, 5*time.Second)); got < 100 {
				t.Errorf("%d attempts in 5 s after the rate was named last", got)
			}
		})
	}
}

// TestAttemptWithoutATurnInTimeIsRefused guards against attempts that wait for a turn which
// comes after their deadline, and checks the time that the entry is told.
func TestAttemptWithoutATurnInTimeIsRefused(t *testing.T) {
	h := newHarness(func(config *CoreConfig) { config.Concurrency, config.QueueLimit = 8, 100 })
	h.submit(batch(idempotentSubmit("a")))
	h.handle(NewHeaderReceived("a", 200, "").WithLimit(0.5))
	var got []string
	for _, id := range []string{"b", "c", "d"} {
		submit := protocol.NewSubmit(protocol.SubmitConfig{Attempt: id, Idempotent: true, Remaining: 5 * time.Second})
		reply := &replyRecorder{}
		h.handle(NewBatchReceived(protocol.NewBatch(batch(submit)), reply))
		receipt := reply.items[0].(protocol.Receipts).Receipts()[0]
		got = append(got, fmt.Sprint(id, " ", receipt.Code(), " ", receipt.RetryAfter()))
	}
	want := []string{"b  0s", "c  0s", "d " + protocol.CodeWouldExpire + " 6s"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("receipts (-want +got):\n%s", diff)
	}
}
