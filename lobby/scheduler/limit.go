package scheduler

import "time"

// limit is the rate that a backend server names in its answers: the requests per second
// that it takes from all lobbies together.
type limit struct {
	rate  float64   // zero if it names none
	since time.Time // time from which on it has named one
	heard time.Time // time of the last answer that named one
}

// named reports whether the backend server names a rate.
func (l limit) named() bool { return l.rate > 0 }

// hear takes what an answer names and reports whether that changes the limit. Answers may
// overtake one another, so that only one to a request that was sent after a rate was last
// named ends the limit.
func (l *limit) hear(now time.Time, rate float64, sent time.Time) bool {
	switch {
	case rate > 0:
		if !l.named() {
			l.since = now
		}
		changed := l.rate != rate
		l.rate, l.heard = rate, now
		return changed
	case l.named() && sent.After(l.heard):
		l.rate = 0
		return true
	default:
		return false
	}
}

// backendLimit takes the rate that a backend server names in an answer, or that it names
// none.
func (c *Core) backendLimit(now time.Time, m BackendLimit) {
	s := c.serverOf(m.origin)
	if s == nil {
		return
	}
	before := s.limit
	if !s.limit.hear(now, m.rate, m.sent) {
		return
	}
	record := RecordLimit{backend: s.backend.ID(), state: limitChanged, rate: s.limit.rate, before: before.rate, age: now.Sub(s.limit.since)}
	switch {
	case !before.named():
		record.state = limitBegan
	case !s.limit.named():
		record.state = limitEnded
	}
	c.emit(record)
}

// limitState says what has become of a limit.
type limitState string

// States of limits.
const (
	limitBegan   limitState = "begun"
	limitChanged limitState = "changed"
	limitEnded   limitState = "ended"
)

var limitTexts = map[limitState]string{
	limitBegan:   "backend server names a rate in its answers",
	limitChanged: "backend server names another rate",
	limitEnded:   "backend server names no rate any more",
}

// RecordLimit records in log and metrics that a backend server has begun or ceased to name
// a rate, or has changed it.
type RecordLimit struct {
	backend string
	state   limitState
	rate    float64 // requests per second; zero if the limit has ended
	before  float64 // rate named before
	age     time.Duration
}

// State tells what has become of the limit.
func (r RecordLimit) State() string { return string(r.state) }

// Rate returns the requests per second that the backend server names, zero if none.
func (r RecordLimit) Rate() float64 { return r.rate }

// Before returns the rate that it named before.
func (r RecordLimit) Before() float64 { return r.before }

func (RecordLimit) schedulerAction() {}
