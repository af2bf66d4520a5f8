package steward

import (
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/visit"
)

// call is responsible for one request whose answer has not ended.
type call struct {
	number     uint64
	visit      *visit.Visit
	route      charter.Route
	tenant     charter.Tenant
	service    string
	expires    time.Time
	host       *host         // that has it now
	reading    time.Duration // of the prompt, as counted there
	tokens     int64         // to be read, if it found nothing before it
	dispatched time.Time
	awaited    bool // its host has given no sign of it
	sent       int  // backend servers that it has reached
	unsent     int  // sends that failed before a byte was sent
	mayHaveRun bool // an earlier send of it got no answer, or an error
	begun      bool
	first      time.Time // event; zero without one
	cut        time.Time // since when it waits to go on; zero unless it was cut

	tried map[string]bool
}

// settle notes that its host need give no sign of it any more.
func (c *call) settle() {
	if c.awaited {
		c.awaited = false
		c.host.settle()
	}
}

// firstLimit returns the time without a byte of the answer after which a send is
// given up: early if the request may go elsewhere, else just before its caller
// leaves. A run whose caller has left must not go on, and a backend server that
// stands still cannot be told; the caller still can.
func (c *call) firstLimit() time.Duration {
	limit := c.gapLimit()
	if c.route.Kind() != charter.Stream && c.repeatable() {
		return time.Duration(plainPatience * float64(c.route.Objective()))
	}
	if c.repeatable() && c.sent+1 < c.route.Attempts() {
		return min(limit, resumePatience)
	}
	return limit
}

// gapLimit returns the same for a stream that has begun; zero for none.
func (c *call) gapLimit() time.Duration {
	if c.route.Kind() != charter.Stream {
		return 0
	}
	return c.silence() - silenceMargin
}

// untouched reports whether no backend server can have run the request.
func (c *call) untouched() bool {
	underWay := c.host != nil && c.tried[c.host.backend.ID()]
	return !c.mayHaveRun && !underWay
}

// note returns what the log is told of the end of a send.
func (c *call) note(now time.Time, h *host, m Ended) Note {
	arrived := c.visit.Arrived()
	config := NoteConfig{Visit: c.visit, Result: m.result, Status: m.status, Took: now.Sub(arrived), Pause: m.pause}
	if h != nil {
		config.Backend = h.backend.ID()
	}
	if config.Waited = config.Took; !c.dispatched.IsZero() {
		config.Waited = c.dispatched.Sub(arrived)
	}
	if !c.first.IsZero() {
		config.First = c.first.Sub(arrived)
	}
	return NewNote(config)
}

// goesOn reports whether it is a stream that was cut and goes on elsewhere.
func (c *call) goesOn() bool { return !c.cut.IsZero() }

// repeatable reports whether the request may run again after it may have run.
func (c *call) repeatable() bool {
	return c.route.Repeatable() || c.route.Resumable()
}

// mayRepeat reports whether it may be sent once more though it may have run.
func (c *call) mayRepeat(now time.Time) bool {
	return c.repeatable() && c.sent < c.route.Attempts() && now.Before(c.expires)
}
