package dispatcher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/notice"
)

func TestSuspectAttemptRunsAlone(t *testing.T) {
	cases := map[string]struct {
		play func(b *harness)
		want []string // attempts in the order of their runs
	}{
		"waits for those that run":  {play: func(*harness) {}, want: []string{"a"}},
		"runs when they have ended": {play: func(b *harness) { b.handle(NewAttemptEnded("a", "", true)) }, want: []string{"a", "suspect"}},
		"others run after its end": {play: func(b *harness) {
			b.handle(NewAttemptEnded("a", "", true))
			b.handle(NewAttemptEnded("suspect", "", true))
		}, want: []string{"a", "suspect", "b"}},
		"cancelled while it waits":   {play: func(b *harness) { b.submit(notice.BatchConfig{Entry: "e1", Cancels: []string{"suspect"}}) }, want: []string{"a", "b"}},
		"its time is over meanwhile": {play: func(b *harness) { b.now = b.now.Add(2 * time.Minute); b.perform(b.core.Tick(b.now)) }, want: []string{"a"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(func(config *CoreConfig) { config.Concurrency = 3 })
			for _, id := range []string{"a", "suspect", "b"} {
				b.submit(notice.BatchConfig{Entry: "e1", Submits: []notice.Submit{notice.NewSubmit(notice.SubmitConfig{
					Attempt: id, Request: id, Tenant: "lantern", Idempotent: true, Alone: id == "suspect", Remaining: time.Minute,
				})}})
			}
			tc.play(b)
			if diff := cmp.Diff(tc.want, b.started); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}
