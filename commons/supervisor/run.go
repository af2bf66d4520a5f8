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

// maxFlushDelay is the longest time between the end of the drain and the stop of the
// threads, in which the last responses are sent.
const maxFlushDelay = 200 * time.Millisecond

// stopTickPeriod is the time between two looks at whether the process may end.
const stopTickPeriod = 50 * time.Millisecond

// drainTimeout is the longest time that one attempt to start the drain may take.
const drainTimeout = 500 * time.Millisecond

// signalCapacity is the number of signals that may wait to be handled.
const signalCapacity = 16

// errTreeEnded is the cause of a failure if the tree has ended without an error.
var errTreeEnded = errors.New("it returned")

// settingsPollPeriod is the time between two checks of the settings file, which
// may change without a SIGHUP.
const settingsPollPeriod = 5 * time.Second

// maxShutdownTimeout is the longest time that Run waits for the threads to end; some
// may be blocked in a call to another process.
const maxShutdownTimeout = 300 * time.Millisecond

// flushShare and shutdownShare bound these times if little is given for the stop: one part
// of it in so many.
const (
	flushShare    = 20
	shutdownShare = 10
)

// Root is the root of the supervision tree of a process.
type Root interface {
	Service
	// Drain makes the process refuse new work. The returned channel is
	// closed when all open work has ended. After an error it is called again.
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

// Closer is implemented by roots that can end open requests with an answer.
type Closer interface {
	// Close ends all open requests with an answer that says that the process stops.
	// It must not block, and may be called several times.
	Close()
}

// Answerer is implemented by roots that answer callers.
type Answerer interface {
	// Pending returns the number of callers who are owed an answer although their request
	// is not open: it has arrived in part and has not been refused, or its answer has not
	// left the process completely.
	Pending() int
}

// Run serves the tree until SIGTERM or SIGINT, then drains and stops it. It
// returns the exit code of the process: ExitOK if all open work was finished.
func Run(config RunConfig) int {
	signals := make(chan os.Signal, signalCapacity)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	if config.LogWriter != nil {
		// If the log output fails, there is nowhere left to report it.
		go func() { _ = config.LogWriter.Serve(context.Background()) }()
		defer config.LogWriter.Flush()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &runner{config: config, stop: stop{schedule: NewStopSchedule(config.DrainLimit)}, signals: signals, stopped: make(chan error, 1)}
	go func() { r.stopped <- config.Root.Serve(ctx) }()
	config.Log.WithField("event", "start").Info("process started")
	r.run(ctx)
	if r.stop.failure != nil {
		config.Log.WithField("event", "stop").WithError(r.stop.failure).Error("process failed")
		return ExitFailed
	}
	if r.stop.code != ExitOK {
		config.Log.WithField("event", "drain").Error("drain limit exceeded with work still open")
	}
	time.Sleep(min(maxFlushDelay, config.DrainLimit/flushShare))
	cancel()
	select {
	case <-r.stopped:
	case <-time.After(min(maxShutdownTimeout, config.DrainLimit/shutdownShare)):
		config.Log.WithField("event", "stop").Warn("threads did not stop in time")
	}
	config.Log.WithFields(logrus.Fields{"event": "stop", "code": r.stop.code}).Info("process stopped")
	return r.stop.code
}

// runner turns what happens to a process into events of its stop, and carries out the
// actions.
type runner struct {
	config  RunConfig
	stop    stop
	signals <-chan os.Signal
	stopped chan error
	drained <-chan struct{} // nil until the drain has started, and after its end
	tick    *time.Ticker    // nil until the first signal to stop
}

// run returns when the process is to exit.
func (r *runner) run(ctx context.Context) {
	poll := time.NewTicker(cmp.Or(r.config.PollPeriod, settingsPollPeriod))
	defer poll.Stop()
	defer r.stopTicking()
	for r.stop.phase != gone {
		select {
		case <-poll.C:
			if r.config.SettingsFile != nil && r.config.SettingsFile.Changed() {
				r.config.SettingsFile.Reload()
			}
		case <-r.ticks():
			r.handle(ctx, ticked{pending: r.pending()})
		case err := <-r.stopped:
			r.handle(ctx, treeEnded{errors.Wrap(cmp.Or(err, errTreeEnded), "supervision tree stopped unexpectedly")})
		case received := <-r.signals:
			r.handle(ctx, signalled{received.(syscall.Signal)})
		case <-r.drained:
			r.drained = nil
			r.handle(ctx, drained{})
		}
	}
}

// ticks returns the channel of the ticker, nil until the first signal to stop.
func (r *runner) ticks() <-chan time.Time {
	if r.tick == nil {
		return nil
	}
	return r.tick.C
}

func (r *runner) stopTicking() {
	if r.tick != nil {
		r.tick.Stop()
	}
}

func (r *runner) pending() int {
	if answerer, ok := r.config.Root.(Answerer); ok {
		return answerer.Pending()
	}
	return 0
}

func (r *runner) handle(ctx context.Context, event stopEvent) {
	for _, action := range r.stop.handle(time.Now(), event) {
		r.execute(ctx, action)
	}
}

func (r *runner) execute(ctx context.Context, action stopAction) {
	log := r.config.Log.WithField("event", "drain")
	switch action {
	case startDrain:
		r.drain(ctx)
	case closeOpen:
		if closer, ok := r.config.Root.(Closer); ok {
			closer.Close()
		}
	case reload:
		if r.config.SettingsFile != nil {
			r.config.SettingsFile.Reload()
		}
	case ignoreSignal:
		log.WithField("age", time.Since(r.stop.began)).Info("signal ignored: the process stops already")
	case exit:
	}
}

// drain makes the tree refuse new work.
func (r *runner) drain(ctx context.Context) {
	if r.tick == nil {
		r.tick = time.NewTicker(stopTickPeriod)
	}
	log := r.config.Log.WithField("event", "drain")
	log.Info("drain started; waiting for open work")
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	done, err := r.config.Root.Drain(ctx)
	if err != nil {
		log.WithError(err).Error("drain could not be started; tried again")
		return
	}
	r.drained = done
	r.handle(ctx, drainStarted{})
}
