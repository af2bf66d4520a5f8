package supervisor

import (
	"cmp"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Exit codes of the programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// flushDelay is the time between the end of the drain and the stop of the
// threads, in which the last responses are sent.
const flushDelay = 200 * time.Millisecond

// settingsPollPeriod is the time between two checks of the settings file, which
// may change without a SIGHUP.
const settingsPollPeriod = 5 * time.Second

// shutdownTimeout is the longest time that Run waits for the threads to end; some
// may be blocked in a call to another process.
const shutdownTimeout = 300 * time.Millisecond

// Root is the root of the supervision tree of a process.
type Root interface {
	Service
	// Drain makes the process refuse new work. The returned channel is
	// closed when all open work has ended.
	Drain(ctx context.Context) (<-chan struct{}, error)
}

// RunConfig holds the parameters of Run.
type RunConfig struct {
	Root         Root
	DrainLimit   time.Duration // longest time that a drain waits for open work
	SettingsFile SettingsFile  // nil if the program has no settings file
	PollPeriod   time.Duration // time between two checks of the settings file; settingsPollPeriod if zero
	LogWriter    LogWriter     // writes the lines of Log; nil if Log writes them itself
	Log          *logrus.Entry
}

// SettingsFile is the settings file of a program.
type SettingsFile interface {
	// Changed reports whether the file has changed since the previous call.
	Changed() bool
	// Reload reads the file again.
	Reload()
}

// LogWriter writes log lines on a thread of its own, which ends after all others.
type LogWriter interface {
	Service
	// Flush waits a limited time until the queued lines are written.
	Flush()
}

// Run serves the tree until SIGTERM or SIGINT, then drains and stops it. It
// returns the exit code of the process: ExitOK if all open work was finished.
func Run(config RunConfig) int {
	signals, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if config.LogWriter != nil {
		// If the log output fails, there is nowhere left to report it.
		go func() { _ = config.LogWriter.Serve(context.Background()) }()
		defer config.LogWriter.Flush()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- config.Root.Serve(ctx) }()
	config.Log.WithField("event", "start").Info("process started")
	if err := awaitStop(signals, hangups, config, stopped); err != nil {
		config.Log.WithField("event", "stop").WithError(err).Error("process failed")
		return ExitFailed
	}
	release()
	code := drain(config)
	time.Sleep(flushDelay)
	cancel()
	select {
	case <-stopped:
	case <-time.After(shutdownTimeout):
		config.Log.WithField("event", "stop").Warn("threads did not stop in time")
	}
	config.Log.WithFields(logrus.Fields{"event": "stop", "code": code}).Info("process stopped")
	return code
}

// awaitStop returns nil after a signal to stop, or an error if the tree has
// stopped by itself. Until then it reloads the settings on SIGHUP and whenever
// the file has changed.
func awaitStop(signals context.Context, hangups <-chan os.Signal, config RunConfig, stopped <-chan error) error {
	ticker := time.NewTicker(cmp.Or(config.PollPeriod, settingsPollPeriod))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if config.SettingsFile != nil && config.SettingsFile.Changed() {
				config.SettingsFile.Reload()
			}
		case err := <-stopped:
			return errors.Wrap(err, "supervision tree stopped unexpectedly")
		case <-signals.Done():
			return nil
		case <-hangups:
			if config.SettingsFile != nil {
				config.SettingsFile.Reload()
			}
		}
	}
}

func drain(config RunConfig) int {
	ctx, cancel := context.WithTimeout(context.Background(), config.DrainLimit)
	defer cancel()
	config.Log.WithField("event", "drain").Info("drain started; waiting for open work")
	done, err := config.Root.Drain(ctx)
	if err != nil {
		config.Log.WithField("event", "drain").WithError(err).Error("drain could not be started")
		return ExitFailed
	}
	select {
	case <-done:
		return ExitOK
	case <-ctx.Done():
		config.Log.WithField("event", "drain").Error("drain limit exceeded with work still open")
		return ExitFailed
	}
}
