package dispatcher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/protocol"
)

func TestExclusiveAttemptRunsAlone(t *testing.T) {
	cases := map[string]struct {
		act  func(h *harness)
		want []string // attempts in the order of their runs
	}{
		"waits for running attempts": {act: func(*harness) {}, want: []string{"a"}},
		"runs after they have ended": {act: func(h *harness) { h.handle(NewAttemptEnded("a", "", true)) }, want: []string{"a", "suspect"}},
		"others run after it has ended": {act: func(h *harness) {
			h.handle(NewAttemptEnded("a", "", true))
			h.handle(NewAttemptEnded("suspect", "", true))
		}, want: []string{"a", "suspect", "b"}},
		"cancelled while it waits": {act: func(h *harness) { h.submit(protocol.BatchConfig{Entry: "e1", Cancels: []string{"suspect"}}) }, want: []string{"a", "b"}},
		"expires while it waits":   {act: func(h *harness) { h.now = h.now.Add(2 * time.Minute); h.execute(h.core.Tick(h.now)) }, want: []string{"a"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(func(config *CoreConfig) { config.Concurrency = 3 })
			for _, id := range []string{"a", "suspect", "b"} {
				h.submit(protocol.BatchConfig{Entry: "e1", Submits: []protocol.Submit{protocol.NewSubmit(protocol.SubmitConfig{
					Attempt: id, Request: id, Tenant: "lantern", Idempotent: true, Exclusive: id == "suspect", Remaining: time.Minute,
				})}})
			}
			tc.act(h)
			if diff := cmp.Diff(tc.want, h.started); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}
