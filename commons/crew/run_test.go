package crew_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/backstage"
	"sesamewell.example/commons/crew"
)

// settings counts how often they are read.
type settings struct{ reloads chan struct{} }

func (s settings) Changed() bool { return false }
func (s settings) Reload()       { s.reloads <- struct{}{} }

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
		bare    bool // the program has no settings file
	}{
		"stop":            {},
		"blocked threads": {stuck: true},
		"hangups":         {hangups: 2},
		"no settings":     {hangups: 2, bare: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			log := backstage.Quiet()
			r := &root{serving: make(chan struct{}), stuck: tc.stuck, drained: make(chan struct{})}
			close(r.drained)
			reloads := make(chan struct{}, tc.hangups+1)
			code := make(chan int, 1)
			config := crew.RunConfig{Root: r, DrainLimit: time.Minute, Log: log, Look: time.Millisecond}
			if !tc.bare {
				config.Settings = settings{reloads: reloads}
			}
			go func() { code <- crew.Run(config) }()
			<-r.serving
			for range tc.hangups {
				send(t, syscall.SIGHUP)
				if !tc.bare {
					<-reloads
				}
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
