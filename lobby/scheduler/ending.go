package scheduler

import "time"

// closeAll gives up all requests. Those that no backend server has had were not
// run.
func (c *Core) closeAll() {
	for _, call := range c.requests {
		if call.neverRan() {
			c.refuse(call, leaving, retryAfter)
			continue
		}
		c.refuse(call, deadlineExceeded, 0)
	}
}

// giveUp ends a request that has not been answered in time.
func (c *Core) timeOut(call *openRequest) {
	if call.neverRan() {
		c.refuse(call, noBackend, 0)
		return
	}
	c.refuse(call, deadlineExceeded, 0)
}

func (c *Core) refuse(call *openRequest, cause Cause, after time.Duration) {
	c.release(call)
	c.remove(call)
	c.emit(c.refusal(call, cause, after))
}

func (c *Core) refusal(call *openRequest, cause Cause, after time.Duration) Refuse {
	return NewRefuse(RefuseConfig{
		Number: call.number, Request: call.request, Cause: cause, Status: statuses[cause], RetryAfter: after,
		Waited: c.now.Sub(call.request.Arrived()), Holders: c.holders(call), Queued: len(c.queued), ListAge: c.now.Sub(c.listedAt),
	})
}

// holders returns the number of backend servers that hold what a request needs
// and are not leaving, full ones included.
func (c *Core) holders(call *openRequest) int {
	n := 0
	for _, h := range c.byService[call.service] {
		if model := call.request.Model(); h.usable() && (model == "" || h.hasModel(model)) {
			n++
		}
	}
	return n
}

func (c *Core) streamStarted(now time.Time, number uint64) {
	call, ok := c.requests[number]
	if !ok {
		return
	}
	if !call.started {
		call.started, call.firstEvent = true, now
	}
	if call.server != nil {
		call.server.prefill -= call.prefill
		call.prefill = 0
		call.stopAwaiting()
		call.server.responded(now)
		c.estimator.observe(call.request.Model(), call.observedTokens, now.Sub(call.sentAt))
		c.placeNext(now, call.server)
	}
}

func (c *Core) disconnected(now time.Time, m Disconnected) {
	if call, ok := c.requests[m.number]; ok {
		h := call.server
		c.emit(call.record(now, h, NewSendEnded(m.number, Abandoned, 0).WithLongestPause(m.longestPause)))
		c.release(call)
		c.remove(call)
		c.placeNext(now, h)
	}
}

// forget drops a request whose answer has ended.
func (c *Core) remove(call *openRequest) {
	delete(c.requests, call.number)
	delete(c.queued, call.number)
}

// release ends what is counted for a request at its backend server.
func (c *Core) release(call *openRequest) {
	if call.server == nil {
		return
	}
	call.stopAwaiting()
	call.server.open--
	call.server.prefill -= call.prefill
	call.server, call.prefill = nil, 0
}

// end decides what follows a send.
func (c *Core) sendEnded(now time.Time, m SendEnded) {
	call, ok := c.requests[m.number]
	if !ok {
		return
	}
	h := call.server
	c.release(call)
	defer c.placeNext(now, h)
	if m.status != 0 {
		h.responded(now)
	}
	c.emit(call.record(now, h, m))
	switch m.result {
	case Complete:
		c.remove(call)
	case Unsent:
		h.markFailed(now)
		call.failedSends++
		c.retryNotRun(now, call, call.failedSends < maxFailedSends)
	case Replaced:
		h.replaced = true
		call.failedSends++
		c.retryNotRun(now, call, call.failedSends < maxFailedSends && c.retryBudget(call.service).withdraw(now, c.lobbyCount))
	case Rejected, ModelMissing:
		call.attempts++
		if m.result == ModelMissing {
			h.markMissing(now, call.request)
		}
		c.retryNotRun(now, call, call.attempts < call.route.Attempts() && c.retryBudget(call.service).withdraw(now, c.lobbyCount))
	case Lost:
		h.markFailed(now)
		call.attempts++
		c.retryMayHaveRun(now, call, c.refusal(call, answerLost, 0))
	case BackendError:
		call.attempts++
		c.retryMayHaveRun(now, call, NewForwardError(ForwardErrorConfig{Number: m.number}))
	case Truncated:
		h.markFailed(now)
		call.attempts++
		c.resumeStream(now, call)
	}
}

// resendUnrun sends a request again that did not run, or refuses it.
func (c *Core) retryNotRun(now time.Time, call *openRequest, again bool) {
	if again && now.Before(call.expires) {
		c.place(now, call)
		return
	}
	c.refuseUnserved(now, call, notTaken, retryAfter)
}

// turnAway ends a request that no backend server takes. That it was not run is
// said only if no earlier send of it may have run.
func (c *Core) refuseUnserved(now time.Time, call *openRequest, cause Cause, after time.Duration) {
	switch {
	case call.started:
		c.refuse(call, answerCut, 0)
	case call.mayHaveRun:
		c.refuse(call, answerLost, 0)
	default:
		c.refund(now, call)
		c.refuse(call, cause, after)
	}
}

// goOn has a stream that was cut go on elsewhere, if that is allowed, at once or
// when a backend server can have it.
func (c *Core) resumeStream(now time.Time, call *openRequest) {
	call.mayHaveRun = true
	if !call.mayRetry(now) || !c.retryBudget(call.service).withdraw(now, c.lobbyCount) {
		c.refuse(call, answerCut, 0)
		return
	}
	call.cutAt = now
	c.place(now, call)
}

// resendRun sends a request again that may have run, if that is allowed, or
// ends it.
func (c *Core) retryMayHaveRun(now time.Time, call *openRequest, otherwise Action) {
	call.mayHaveRun = true
	if call.mayRetry(now) {
		if chosen, ok := c.choose(now, call); ok && c.retryBudget(call.service).withdraw(now, c.lobbyCount) {
			c.assign(now, call, chosen)
			return
		}
	}
	c.remove(call)
	c.emit(otherwise)
}
