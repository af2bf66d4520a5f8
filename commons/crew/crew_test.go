package crew_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/backstage"
	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/ring"
)

type failing struct {
	starts int
	seen   []any
	done   chan struct{}
}

func (f *failing) Start(time.Time) error { f.starts++; return nil }

func (f *failing) Tick(time.Time) error { return nil }

func (f *failing) Handle(_ time.Time, message any) error {
	switch message {
	case "fail":
		return errors.New("made to fail")
	case "panic":
		panic("made to panic")
	case "stop":
		close(f.done)
	default:
		f.seen = append(f.seen, message)
	}
	return nil
}

func TestDutyIsRestartedAndLosesNoMessage(t *testing.T) {
	cases := map[string]struct {
		messages []any
		starts   int
		seen     []any
	}{
		"no failure": {messages: []any{1, 2, "stop"}, starts: 1, seen: []any{1, 2}},
		"error":      {messages: []any{1, "fail", 2, "stop"}, starts: 2, seen: []any{1, 2}},
		"panic":      {messages: []any{"panic", 1, 2, "stop"}, starts: 2, seen: []any{1, 2}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			log := backstage.Quiet()
			inbox := ring.New(ring.Config{Name: "test", Capacity: 8})
			handler := &failing{done: make(chan struct{})}
			root := crew.New(crew.Config{Name: "root", Log: log})
			root.Add(crew.NewDuty(crew.DutyConfig{Name: "failing", Inbox: inbox, Handler: handler, Period: time.Hour}))
			for _, message := range tc.messages {
				if err := inbox.Put(message); err != nil {
					t.Fatal(err)
				}
			}
			ctx, cancel := context.WithCancel(context.Background())
			stopped := make(chan error, 1)
			go func() { stopped <- root.Serve(ctx) }()
			<-handler.done
			cancel()
			<-stopped
			if diff := cmp.Diff(tc.starts, handler.starts); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.seen, handler.seen); diff != "" {
				t.Errorf("messages (-want +got):\n%s", diff)
			}
		})
	}
}
