package scheduler

import "time"

const (
	// pauseLimit is the time without a call of the thread after which the process counts
	// as having been stopped. It calls at least once in a tickPeriod.
	pauseLimit      = 400 * time.Millisecond
	pauseSettleTime = 250 * time.Millisecond // time after a pause for which other messages wait for what backend servers have said in it
)

// pauseGuard keeps messages back after the process was stopped. Callers have sent requests
// meanwhile and backend servers have answered; the answers may say that a backend server
// wants no requests, but nothing makes the event loop read them first.
type pauseGuard struct {
	last    time.Time // time of the last call
	settled time.Time // end of the time for which messages are kept back
	waiting []Message // in their order
}

// observe records a call of the thread. It returns the time for which the process was
// stopped before it, zero if it was not.
func (g *pauseGuard) observe(now time.Time) time.Duration {
	last := g.last
	g.last = now
	if last.IsZero() || now.Sub(last) <= pauseLimit {
		return 0
	}
	g.settled = now.Add(pauseSettleTime)
	return now.Sub(last)
}

// settling reports whether messages are kept back.
func (g *pauseGuard) settling(now time.Time) bool { return now.Before(g.settled) }

// keepsBack reports whether a message is to be kept back, and keeps it.
func (g *pauseGuard) keepsBack(now time.Time, message Message) bool {
	switch message.(type) {
	case BackendLeaving, BackendRefusing, BackendLimit:
		return false
	case Closing:
		g.settled = time.Time{}
	}
	if !g.settling(now) {
		return false
	}
	g.waiting = append(g.waiting, message)
	return true
}

// take returns the messages that have been kept back, and forgets them.
func (g *pauseGuard) take() []Message {
	waiting := g.waiting
	g.waiting = nil
	return waiting
}
