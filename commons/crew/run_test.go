package crew_test

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
)

// root is a tree whose threads may ignore that they are to end.
type root struct {
	serving chan struct{}
	stuck   bool
	drained chan struct{}
}

func (r *root) Serve(ctx context.Context) error {
	close(r.serving)
	<-ctx.Done()
	if r.stuck {
		select {}
	}
	return ctx.Err()
}

func (r *root) Drain(context.Context) (<-chan struct{}, error) { return r.drained, nil }

func TestRunOutlivesHangupsAndEndsThoughThreadsAreBlocked(t *testing.T) {
	cases := map[string]struct {
		hangups int
		stuck   bool
	}{
		"stop":            {},
		"blocked threads": {stuck: true},
		"hangups":         {hangups: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			r := &root{serving: make(chan struct{}), stuck: tc.stuck, drained: make(chan struct{})}
			close(r.drained)
			reloads := make(chan struct{}, tc.hangups+1)
			code := make(chan int, 1)
			go func() {
				code <- crew.Run(crew.RunConfig{
					Root: r, DrainLimit: time.Minute, Log: logrus.NewEntry(log),
					Changed: func() bool { return false },
					Reload:  func() { reloads <- struct{}{} },
				})
			}()
			<-r.serving

			for range tc.hangups {
				send(t, syscall.SIGHUP)
				<-reloads
			}
			send(t, syscall.SIGTERM)
			if diff := cmp.Diff(crew.ExitOK, <-code); diff != "" {
				t.Errorf("exit code (-want +got):\n%s", diff)
			}
		})
	}
}

func send(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(syscall.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}
