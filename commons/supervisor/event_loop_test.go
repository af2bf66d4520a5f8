package supervisor_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/commons/testkit"
)

type failingHandler struct {
	starts  int
	handled []any
	done    chan struct{}
}

func (f *failingHandler) Start(time.Time) error { f.starts++; return nil }

func (f *failingHandler) Tick(time.Time) error { return nil }

func (f *failingHandler) Handle(_ time.Time, message any) error {
	switch message {
	case "fail":
		return errors.New("made to fail")
	case "panic":
		panic("made to panic")
	case "stop":
		close(f.done)
	default:
		f.handled = append(f.handled, message)
	}
	return nil
}

func TestEventLoopRestartKeepsMessages(t *testing.T) {
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
			log := testkit.DiscardLog()
			inbox := ring.New(ring.Config{Name: "test", Capacity: 8})
			handler := &failingHandler{done: make(chan struct{})}
			root := supervisor.New(supervisor.Config{Name: "root", Log: log})
			root.Add(supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "failing", Inbox: inbox, Handler: handler, Period: time.Hour}))
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
			if diff := cmp.Diff(tc.seen, handler.handled); diff != "" {
				t.Errorf("messages (-want +got):\n%s", diff)
			}
		})
	}
}
