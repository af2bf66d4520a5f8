package scheduler

import (
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/visit"
)

// call is responsible for one request whose answer has not ended.
type openRequest struct {
	number         uint64
	request        *visit.Visit
	route          charter.Route
	tenant         charter.Tenant
	service        string
	expires        time.Time
	server         *server       // that has it now
	prefill        time.Duration // of the prompt, as counted there
	observedTokens int64         // to be read, if it found nothing before it
	sentAt         time.Time
	awaiting       bool // its host has given no sign of it
	attempts       int  // backend servers that it has reached
	failedSends    int  // sends that failed before a byte was sent
	mayHaveRun     bool // an earlier send of it got no answer, or an error
	started        bool
	firstEvent     time.Time // event; zero without one
	cutAt          time.Time // since when it waits to go on; zero unless it was cut

	tried map[string]bool
}

// settle notes that its host need give no sign of it any more.
func (c *openRequest) stopAwaiting() {
	if c.awaiting {
		c.awaiting = false
		c.server.requestSettled()
	}
}

// firstLimit returns the time without a byte of the answer after which a send is
// given up: early if the request may go elsewhere, else just before its caller
// leaves. A run whose caller has left must not go on, and a backend server that
// stands still cannot be told; the caller still can.
func (c *openRequest) firstByteTimeout() time.Duration {
	limit := c.idleTimeout()
	if c.route.Kind() != charter.Stream && c.retryable() {
		return time.Duration(retryableObjectives * float64(c.route.Objective()))
	}
	if c.retryable() && c.attempts+1 < c.route.Attempts() {
		return min(limit, resumableFirstByteTimeout)
	}
	return limit
}

// gapLimit returns the same for a stream that has begun; zero for none.
func (c *openRequest) idleTimeout() time.Duration {
	if c.route.Kind() != charter.Stream {
		return 0
	}
	return c.streamTimeout() - streamTimeoutMargin
}

// untouched reports whether no backend server can have run the request.
func (c *openRequest) neverRan() bool {
	underWay := c.server != nil && c.tried[c.server.backend.ID()]
	return !c.mayHaveRun && !underWay
}

// note returns what the log is told of the end of a send.
func (c *openRequest) record(now time.Time, h *server, m SendEnded) RecordSend {
	arrived := c.request.Arrived()
	config := RecordSendConfig{Request: c.request, Result: m.result, Status: m.status, Took: now.Sub(arrived), LongestPause: m.longestPause}
	if h != nil {
		config.Backend = h.backend.ID()
	}
	if config.Waited = config.Took; !c.sentAt.IsZero() {
		config.Waited = c.sentAt.Sub(arrived)
	}
	if !c.firstEvent.IsZero() {
		config.FirstEvent = c.firstEvent.Sub(arrived)
	}
	return NewRecordSend(config)
}

// goesOn reports whether it is a stream that was cut and goes on elsewhere.
func (c *openRequest) resuming() bool { return !c.cutAt.IsZero() }

// repeatable reports whether the request may run again after it may have run.
func (c *openRequest) retryable() bool {
	return c.route.Repeatable() || c.route.Resumable()
}

// mayRepeat reports whether it may be sent once more though it may have run.
func (c *openRequest) mayRetry(now time.Time) bool {
	return c.retryable() && c.attempts < c.route.Attempts() && now.Before(c.expires)
}
