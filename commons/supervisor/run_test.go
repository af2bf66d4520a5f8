package supervisor_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/supervisor"
	"sesamewell.example/commons/testkit"
)

// fakeSettingsFile reports each reload on a channel.
type fakeSettingsFile struct{ reloads chan struct{} }

func (s fakeSettingsFile) Changed() bool { return false }
func (s fakeSettingsFile) Reload()       { s.reloads <- struct{}{} }

// fakeRoot is a supervision tree whose thread does not end if blocked is set.
type fakeRoot struct {
	serving chan struct{}
	blocked bool
	drained chan struct{}
}

func (r *fakeRoot) Serve(ctx context.Context) error {
	close(r.serving)
	<-ctx.Done()
	if r.blocked {
		select {}
	}
	return ctx.Err()
}

func (r *fakeRoot) Drain(context.Context) (<-chan struct{}, error) { return r.drained, nil }

// TestRunEndsOnlyAfterTheDrain sends further signals while open work has not ended. The
// second one ended the process at once.
func TestRunEndsOnlyAfterTheDrain(t *testing.T) {
	cases := map[string][]syscall.Signal{
		"SIGTERM twice":            {syscall.SIGTERM},
		"SIGTERM, SIGINT":          {syscall.SIGINT},
		"SIGTERM, SIGHUP":          {syscall.SIGHUP},
		"many signals in a series": {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM},
	}
	for name, signals := range cases {
		t.Run(name, func(t *testing.T) {
			r := &fakeRoot{serving: make(chan struct{}), drained: make(chan struct{})}
			code := make(chan int, 1)
			go func() {
				code <- supervisor.Run(supervisor.RunConfig{Root: r, DrainLimit: time.Minute, Log: testkit.DiscardLog()})
			}()
			<-r.serving
			sendSignal(t, syscall.SIGTERM)
			for _, signal := range signals {
				time.Sleep(20 * time.Millisecond)
				sendSignal(t, signal)
			}
			select {
			case got := <-code:
				t.Fatalf("exit with code %d before the end of the drain", got)
			case <-time.After(100 * time.Millisecond):
			}
			close(r.drained)
			if diff := cmp.Diff(supervisor.ExitOK, <-code); diff != "" {
				t.Errorf("exit code (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRunHandlesSignals(t *testing.T) {
	cases := map[string]struct {
		hangups    int
		blocked    bool
		noSettings bool
	}{
		"stop":            {},
		"blocked threads": {blocked: true},
		"hangups":         {hangups: 2},
		"no settings":     {hangups: 2, noSettings: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			log := testkit.DiscardLog()
			r := &fakeRoot{serving: make(chan struct{}), blocked: tc.blocked, drained: make(chan struct{})}
			close(r.drained)
			reloads := make(chan struct{}, tc.hangups+1)
			code := make(chan int, 1)
			config := supervisor.RunConfig{Root: r, DrainLimit: time.Minute, Log: log, PollPeriod: time.Millisecond}
			if !tc.noSettings {
				config.SettingsFile = fakeSettingsFile{reloads: reloads}
			}
			go func() { code <- supervisor.Run(config) }()
			<-r.serving
			for range tc.hangups {
				sendSignal(t, syscall.SIGHUP)
				if !tc.noSettings {
					<-reloads
				}
			}
			sendSignal(t, syscall.SIGTERM)
			if diff := cmp.Diff(supervisor.ExitOK, <-code); diff != "" {
				t.Errorf("exit code (-want +got):\n%s", diff)
			}
		})
	}
}

func sendSignal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(syscall.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}
