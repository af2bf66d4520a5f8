package scheduler

import (
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/quarantine"
)

// closeAll refuses all open requests. Those that no backend server can have run
// get a refusal with status 503, as not run.
func (c *Core) closeAll() {
	for _, req := range c.requests {
		if req.neverRan() {
			c.refuse(req, draining, c.returnAfter(c.now, req, retryAfter))
			continue
		}
		c.refuse(req, deadlineExceeded, 0)
	}
}

// timeOut ends a request that is past its deadline.
func (c *Core) timeOut(req *openRequest) {
	if req.neverRan() {
		c.refuse(req, noBackend, 0)
		return
	}
	c.refuse(req, deadlineExceeded, 0)
}

func (c *Core) refuse(req *openRequest, cause Cause, after time.Duration) {
	c.release(req)
	c.remove(req)
	c.emit(c.refusal(req, cause, after))
}

func (c *Core) refusal(req *openRequest, cause Cause, after time.Duration) Refuse {
	return NewRefuse(RefuseConfig{
		Number: req.number, Request: req.request, Cause: cause, Status: statuses[cause], RetryAfter: after, Forecast: req.forecast,
		Waited: c.now.Sub(req.request.Arrived()), Holders: c.holders(req), Queued: len(c.queued), ListAge: c.now.Sub(c.listedAt),
	})
}

// holders returns the number of usable backend servers that hold the request's
// model, including full ones.
func (c *Core) holders(req *openRequest) int {
	n := 0
	for _, s := range c.byService[req.service] {
		if model := req.request.Model(); s.usable() && c.eligible(req.queueKey(), s) && (model == "" || s.hasModel(model)) {
			n++
		}
	}
	return n
}

func (c *Core) streamStarted(now time.Time, number uint64) {
	req, ok := c.requests[number]
	if !ok {
		return
	}
	if !req.started {
		req.started, req.firstEvent = true, now
		if req.server != nil {
			c.streamBegan(now, req)
		}
	}
	if req.server != nil {
		req.beganAt = now
		req.server.prefill -= req.prefill
		req.prefill = 0
		req.stopAwaiting()
		req.server.responded(now)
		req.server.doubt.answers(now, req.sentAt)
		c.observeStart(now, req)
		c.estimator.observe(req.request.Model(), req.observedTokens, now.Sub(req.sentAt))
		c.answers.observe(req.route, now.Sub(req.sentAt))
		c.placeNext(now, req.server)
	}
}

func (c *Core) requestAbandoned(now time.Time, m Abandoned) {
	if req, ok := c.requests[m.number]; ok {
		s := req.server
		c.emit(req.record(now, s, NewSendEnded(m.number, CallerGone, 0).WithLongestPause(m.longestPause), 0))
		c.release(req)
		c.remove(req)
		c.placeNext(now, s)
	}
}

// remove drops a request that has ended.
func (c *Core) remove(req *openRequest) {
	delete(c.requests, req.number)
	c.leaveQueue(req)
}

// release returns the capacity that a request holds at its backend server.
func (c *Core) release(req *openRequest) {
	if req.server == nil {
		return
	}
	req.stopAwaiting()
	req.server.open--
	req.server.prefill -= req.prefill
	req.server, req.prefill = nil, 0
}

// sendEnded completes, retries or refuses a request after a send has ended. The end of a
// send that is not under way is ignored, and the request goes on waiting.
func (c *Core) sendEnded(now time.Time, m SendEnded) {
	req, ok := c.requests[m.number]
	if !ok || !req.inFlight() {
		return
	}
	if m.result == Truncated && !req.started { // the report of its start was lost
		c.streamStarted(now, req.number)
	}
	s := req.server
	c.release(req)
	defer c.placeNext(now, s)
	if m.status != 0 {
		s.responded(now)
		s.doubt.answers(now, req.sentAt)
	}
	crashes := 0
	if m.disconnected {
		c.config.Quarantine.Crashed(now, quarantine.CrashConfig{
			Request: req.request, Backend: s.backend.ID(), StartTime: s.backend.StartTime(), Answering: req.answering(now),
		})
		crashes = c.config.Quarantine.Crashes(req.request)
	}
	c.emit(req.record(now, s, m, crashes))
	switch m.result {
	case Complete:
		c.sendCompleted(now, req, s, m)
	case Unsent, Deferred, Replaced, Rejected, ModelMissing:
		c.sendNotRun(now, req, s, m.result)
	case Lost, BackendError, Unconfirmed, Truncated:
		c.sendFailed(now, req, s, m.result)
	}
}

// sendCompleted ends a request whose answer is complete, and learns from it.
func (c *Core) sendCompleted(now time.Time, req *openRequest, s *server, m SendEnded) {
	if m.status < fasthttp.StatusInternalServerError {
		c.config.Quarantine.Completed(req.request, req.answeredFrom())
	}
	if m.status < fasthttp.StatusMultipleChoices {
		c.answerCompleted(now, req)
	}
	c.observeSteps(now, req, s, m.events)
	delete(s.rejections, req.request.Model())
	c.demand.runEnded(now.Sub(req.sentAt))
	c.remove(req)
}

// sendNotRun retries or refuses a request that the backend server has not run.
func (c *Core) sendNotRun(now time.Time, req *openRequest, s *server, result Result) {
	switch result {
	case Unsent:
		c.markUnsent(now, req, s)
		c.retryNotRun(now, req, req.failedSends < maxFailedSends)
	case Deferred:
		delete(req.tried, s.backend.ID())
		s.gates.withdrawn(req.sentAt)
		c.retryNotRun(now, req, true)
	case Replaced:
		s.replaced, req.needsRetry = true, true
		req.failedSends++
		c.retryNotRun(now, req, req.failedSends < maxFailedSends)
	case Rejected, ModelMissing:
		req.attempts++
		req.needsRetry = true
		if result == ModelMissing {
			s.markMissing(now, req.request)
		} else {
			s.markRejected(now, req.request, c.rejectionPause(req.service))
			c.recordRejection(now, req.service)
		}
		req.mayReturn(now, s)
		c.retryNotRun(now, req, req.attempts < req.route.MaxAttempts())
	}
}

// sendFailed retries, resumes or refuses a request that the backend server may have run.
func (c *Core) sendFailed(now time.Time, req *openRequest, s *server, result Result) {
	req.attempts++
	switch result {
	case Lost:
		s.markFailed(now)
		c.retryMayHaveRun(now, req, c.refusal(req, answerLost, 0))
	case BackendError:
		c.retryMayHaveRun(now, req, NewForwardError(ForwardErrorConfig{Number: req.number}))
	case Unconfirmed:
		c.retryMayHaveRun(now, req, c.refusal(req, backendFailed, 0))
	case Truncated:
		s.markFailed(now)
		c.resumeStream(now, req)
	}
}

// retryNotRun retries a request that did not run, or refuses it.
func (c *Core) retryNotRun(now time.Time, req *openRequest, again bool) {
	if again && now.Before(req.expires) {
		c.place(now, req)
		return
	}
	c.refuseUnserved(now, req, notTaken, c.rejectedRetryAfter(now, req))
}

// rejectedRetryAfter returns the retry delay for a caller whose request was
// rejected and may not be sent again: short if another backend server can run it
// now, else until one takes requests.
func (c *Core) rejectedRetryAfter(now time.Time, req *openRequest) time.Duration {
	if chosen, ok := c.choose(now, req); ok && !chosen.suspected {
		return promptRetryAfter
	}
	return max(c.slotDelay(req), c.holdDelay(now, req, nil), c.turnDelay(now, req, nil, 0))
}

// refuseUnserved ends a request that no backend server accepts, and counts it as demand
// for its model if it did not run.
func (c *Core) refuseUnserved(now time.Time, req *openRequest, cause Cause, after time.Duration) {
	if !req.started && !req.mayHaveRun {
		after = c.returnAfter(now, req, c.turnElsewhere(now, req, after))
	}
	notRun := c.refuseNotRun(now, req, cause, after)
	if model := req.request.Model(); notRun && model != "" {
		c.demand.requestRefused(model, 1/c.engineSlots(req.service))
		c.refusedAtHome(req)
	}
}

// refuseNotRun ends a request that is not to be sent, or not again. It is refused as not
// run only if no earlier send may have run; the result reports whether that is so.
func (c *Core) refuseNotRun(now time.Time, req *openRequest, cause Cause, after time.Duration) bool {
	switch {
	case req.started:
		c.refuse(req, answerTruncated, 0)
		return false
	case req.mayHaveRun:
		c.refuse(req, answerLost, 0)
		return false
	default:
		c.refund(now, req)
		c.refuse(req, cause, after)
		return true
	}
}

// resumeStream resumes a truncated stream at another backend server if that is
// allowed, either now or from the queue. Otherwise it ends the stream.
func (c *Core) resumeStream(now time.Time, req *openRequest) {
	req.mayHaveRun = true
	if !req.mayRetry(now) {
		c.refuse(req, answerTruncated, 0)
		return
	}
	req.truncatedAt, req.needsRetry = now, true
	c.place(now, req)
}

// retryMayHaveRun retries a request that may have run, if that is allowed and a
// backend server can run it now. Otherwise it ends the request with an action.
func (c *Core) retryMayHaveRun(now time.Time, req *openRequest, otherwise Action) {
	req.mayHaveRun, req.needsRetry = true, true
	if _, admitted := c.config.Quarantine.Admit(now, req.number, req.request); admitted && req.mayRetry(now) {
		if chosen, ok := c.choose(now, req); ok && !c.mustWait(now, req) && c.maySend(now, req) {
			c.assign(now, req, chosen)
			return
		}
	}
	c.remove(req)
	c.emit(otherwise)
}
