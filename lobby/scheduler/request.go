package scheduler

import (
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
)

// openRequest is the state of one request that has not been completely
// answered.
type openRequest struct {
	number         uint64
	request        *httpmeta.Request
	parts          []promptPart // of the prompt
	route          deployment.Route
	tenant         deployment.Tenant
	service        string
	homes          homes
	pin            pin // to the version at which its stream began
	expires        time.Time
	triedFor       time.Duration // time from the caller's first request to this one; zero if unknown
	server         *server       // current backend server; nil if there is none
	prefill        time.Duration // prefill time counted at server
	observedTokens int64         // uncached prompt tokens; zero if other prefill was pending at server
	startSample    startSample   // of the last send; zero if its first event is not observed
	estimate       StartEstimate // of the last send that brought a first event
	levelAtStart   int           // level of load of server at the first event of the last send
	sentAt         time.Time     // time of the last send
	beganAt        time.Time     // time of the first event of the last send; zero before
	sound          bool          // the quarantine knows that the last send is being answered
	awaiting       bool          // the last send has no answer yet
	attempts       int           // sends that reached a backend server
	failedSends    int           // sends that failed before a byte was sent
	needsRetry     bool          // an earlier send has reached a backend server, so the next one is a retry
	mayHaveRun     bool          // an earlier send may have run: it ended in no answer or an error
	started        bool          // the caller has got the first event
	firstEvent     time.Time     // time at which the caller got the first event; zero before
	truncatedAt    time.Time     // time at which the stream was truncated; zero unless it is being resumed
	forecast       time.Duration // time after which capacity was expected when it was refused
	passedOver     int           // queued requests that started before it because its prompt did not fit
	reserved       *server       // backend server that was last reserved for it; nil if there was none

	tried map[string]bool // IDs of the backend servers to which it was sent
}

// stopAwaiting stops counting the request as unanswered at its backend server.
func (r *openRequest) stopAwaiting() {
	if r.awaiting {
		r.awaiting = false
		r.server.requestSettled()
	}
}

// firstByteTimeout returns the time without a byte of the answer after which a
// send is aborted: early if the request can be sent elsewhere, else just before
// the caller's own timeout. A run must not go on after its caller has
// disconnected. A hung backend server cannot be notified of that, but the caller
// can still be answered.
func (r *openRequest) firstByteTimeout() time.Duration {
	limit := time.Duration(0)
	if r.route.Kind() == deployment.Stream {
		limit = r.streamTimeout() - streamTimeoutMargin
	}
	if r.route.Kind() != deployment.Stream && r.retryable() {
		return time.Duration(retryableObjectives * float64(r.route.LatencyObjective()))
	}
	if r.anotherSendAllowed() {
		return min(limit, resumableFirstByteTimeout)
	}
	return limit
}

// idleTimeout returns the time without an event after which a started stream is
// aborted, zero if the answer is no stream: before its caller drops it if it can be
// resumed elsewhere, else only after that, since its backend server may go on in time.
func (r *openRequest) idleTimeout() time.Duration {
	switch {
	case r.route.Kind() != deployment.Stream:
		return 0
	case r.anotherSendAllowed():
		return r.streamTimeout() - streamTimeoutMargin
	default:
		return r.streamTimeout() + streamTimeoutMargin
	}
}

// anotherSendAllowed reports whether the request may be sent again after the current send.
func (r *openRequest) anotherSendAllowed() bool {
	return r.retryable() && r.attempts+1 < r.route.MaxAttempts()
}

// answering reports whether the backend server of the last send has been writing its
// answer for so long that the prompt does not crash it.
func (r *openRequest) answering(now time.Time) bool {
	return !r.beganAt.IsZero() && now.Sub(r.beganAt) >= soundAfter
}

// answeredFrom returns a time at which the backend server of the last send had not
// finished its answer.
func (r *openRequest) answeredFrom() time.Time {
	if r.beganAt.IsZero() {
		return r.sentAt
	}
	return r.beganAt
}

// neverRan reports whether no backend server can have run the request.
func (r *openRequest) neverRan() bool {
	return !r.mayHaveRun && !r.inFlight()
}

// inFlight reports whether the request has been sent to its backend server and the end of
// that send has not been reported.
func (r *openRequest) inFlight() bool {
	return r.server != nil && r.tried[r.server.backend.ID()]
}

// record returns the action that logs the end of a send. crashes are those known under the
// request and its copies, if the backend server closed the connection.
func (r *openRequest) record(now time.Time, s *server, m SendEnded, crashes int) RecordSend {
	arrived := r.request.Arrived()
	config := RecordSendConfig{Request: r.request, Result: m.result, Status: m.status, Took: now.Sub(arrived), LongestPause: m.longestPause, Disconnected: m.disconnected, Crashes: crashes, Estimate: r.estimate}
	if s != nil {
		config.Backend = s.backend.ID()
	}
	if config.Waited = config.Took; !r.sentAt.IsZero() {
		config.Waited = r.sentAt.Sub(arrived)
	}
	if !r.firstEvent.IsZero() {
		config.FirstEvent = r.firstEvent.Sub(arrived)
	}
	return NewRecordSend(config)
}

// resuming reports whether the request is a truncated stream that is resumed at
// another backend server.
func (r *openRequest) resuming() bool { return !r.truncatedAt.IsZero() }

// retryable reports whether the request may be sent again after it may have
// run.
func (r *openRequest) retryable() bool {
	return r.route.Idempotent() || r.route.Resumable()
}

// mayRetry reports whether a request that may have run can be sent once more
// now.
func (r *openRequest) mayRetry(now time.Time) bool {
	return r.retryable() && r.attempts < r.route.MaxAttempts() && now.Before(r.expires)
}
