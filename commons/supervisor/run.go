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

// lastBytes is the time that the last answers have to leave the process.
const flushDelay = 200 * time.Millisecond

// lookPeriod is the time between two looks at the settings file, which may
// change without a signal.
const settingsPollPeriod = 5 * time.Second

// stopWait is the time that threads have to end, which may wait for an answer
// of another process.
const shutdownTimeout = 300 * time.Millisecond

// Root is the top of a process's supervision tree.
type Root interface {
	Service
	// Drain refuses new work. The returned channel is closed when all open
	// work has ended.
	Drain(ctx context.Context) (<-chan struct{}, error)
}

// RunConfig holds the parameters of Run.
type RunConfig struct {
	Root         Root
	DrainLimit   time.Duration // longest time that a planned stop waits for open work
	SettingsFile SettingsFile  // nil for a program without a settings file
	PollPeriod   time.Duration // between two looks at the settings file; lookPeriod if zero
	LogWriter    LogWriter     // writes the log's lines; nil if they are written at once
	Log          *logrus.Entry
}

// Settings are the settings file of a program.
type SettingsFile interface {
	// Changed reports whether the file is another one than when last asked.
	Changed() bool
	// Reload reads the file again.
	Reload()
}

// Spool writes log lines on a thread of its own, which ends after all others.
type LogWriter interface {
	Service
	Flush()
}

// Run serves the tree until SIGTERM or SIGINT, then drains and stops it. It
// returns the process's exit code: ExitOK when everything open was finished.
func Run(config RunConfig) int {
	signals, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if config.LogWriter != nil {
		// An output that cannot be written leaves nowhere to say so.
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
		config.Log.WithField("event", "stop").Warn("threads still wait for other processes")
	}
	config.Log.WithFields(logrus.Fields{"event": "stop", "code": code}).Info("process stopped")
	return code
}

// await returns nil when the process is asked to stop, or the error of a tree
// that has stopped by itself. SIGHUP, or a change of the file, reads the settings
// again.
func awaitStop(signals context.Context, hangups <-chan os.Signal, config RunConfig, stopped <-chan error) error {
	looks := time.NewTicker(cmp.Or(config.PollPeriod, settingsPollPeriod))
	defer looks.Stop()
	for {
		select {
		case <-looks.C:
			if config.SettingsFile != nil && config.SettingsFile.Changed() {
				config.SettingsFile.Reload()
			}
		case err := <-stopped:
			return errors.Wrap(err, "supervision tree stopped")
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
	config.Log.WithField("event", "drain").Info("finishing open work")
	done, err := config.Root.Drain(ctx)
	if err != nil {
		config.Log.WithField("event", "drain").WithError(err).Error("drain could not begin")
		return ExitFailed
	}
	select {
	case <-done:
		return ExitOK
	case <-ctx.Done():
		config.Log.WithField("event", "drain").Error("open work did not end in time")
		return ExitFailed
	}
}
