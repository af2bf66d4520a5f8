package supervisor

import (
	"syscall"
	"time"
)

// Shares of the time that a planned stop may take, with upper bounds.
const (
	maxAcceptPeriod = 2500 * time.Millisecond // a platform that probes once a second needs two probes to notice
	maxCloseMargin  = 900 * time.Millisecond
	stopShare       = 3 // the accept period and the close margin take one part in so many each, at most
)

// StopSchedule divides the time that a planned stop may take.
type StopSchedule struct{ limit time.Duration }

// NewStopSchedule returns the schedule of a stop that may take the given time, after which
// the process is killed.
func NewStopSchedule(limit time.Duration) StopSchedule { return StopSchedule{limit: limit} }

// AcceptPeriod returns the time from the start of the stop during which new requests are
// still accepted, since their callers have not noticed yet that the process leaves.
func (s StopSchedule) AcceptPeriod() time.Duration { return min(maxAcceptPeriod, s.limit/stopShare) }

// ClosePeriod returns the time from the start of the stop after which open requests are
// ended with an answer that says so.
func (s StopSchedule) ClosePeriod() time.Duration {
	return s.limit - min(maxCloseMargin, s.limit/stopShare)
}

// phase is a phase of a process.
type phase uint8

// Phases of a process, in the order in which it passes them.
const (
	serving phase = iota
	draining
	closing // open requests are being ended
	gone
)

// stopEvent is an event in the life of a process.
type stopEvent interface{ stopEvent() }

type (
	// signalled reports a signal to the process.
	signalled struct{ signal syscall.Signal }
	// drainStarted reports that the tree drains.
	drainStarted struct{}
	// drained reports that all open work has ended.
	drained struct{}
	// treeEnded reports that the supervision tree has ended by itself.
	treeEnded struct{ cause error }
	// ticked reports the number of callers who are owed an answer although their request is
	// not open.
	ticked struct{ pending int }
)

func (signalled) stopEvent()    {}
func (drainStarted) stopEvent() {}
func (drained) stopEvent()      {}
func (treeEnded) stopEvent()    {}
func (ticked) stopEvent()       {}

// stopAction is what a process does after an event.
type stopAction uint8

// Actions. Those for open work are idempotent.
const (
	startDrain stopAction = iota
	closeOpen             // end open requests with an answer
	reload                // read the settings again
	ignoreSignal
	exit
)

// stop decides when a process ends. Nothing but the end of its work, of its time or of
// its supervision tree ends it: signals that come again, in whatever order, change
// nothing.
type stop struct {
	schedule StopSchedule
	phase    phase
	began    time.Time // time of the first signal to stop
	started  bool      // the tree drains
	drained  bool      // all open work has ended
	code     int       // exit code once the process is gone
	failure  error     // error with which the tree has ended by itself
}

// handle processes an event and returns the actions to take.
func (s *stop) handle(now time.Time, event stopEvent) []stopAction {
	if s.phase == gone {
		return nil
	}
	switch e := event.(type) {
	case signalled:
		return s.signalled(now, e.signal)
	case drainStarted:
		s.started = true
	case drained:
		s.drained = true
	case treeEnded:
		s.failure = e.cause
		return s.end(ExitFailed)
	case ticked:
		return s.ticked(now, e.pending)
	}
	return nil
}

func (s *stop) signalled(now time.Time, signal syscall.Signal) []stopAction {
	switch {
	case signal == syscall.SIGHUP:
		return []stopAction{reload}
	case s.phase != serving:
		return []stopAction{ignoreSignal}
	}
	s.phase, s.began = draining, now
	return []stopAction{startDrain}
}

func (s *stop) ticked(now time.Time, pending int) []stopAction {
	age := now.Sub(s.began)
	switch {
	case s.phase == serving:
		return nil
	case s.drained && pending == 0:
		return s.end(ExitOK)
	case age >= s.schedule.limit:
		return s.end(ExitFailed)
	case !s.started:
		return []stopAction{startDrain}
	case age >= s.schedule.ClosePeriod():
		s.phase = closing
		return []stopAction{closeOpen}
	}
	return nil
}

func (s *stop) end(code int) []stopAction {
	s.phase, s.code = gone, code
	return []stopAction{exit}
}
