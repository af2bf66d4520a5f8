package steward

import "time"

// closeAll gives up all requests. Those that no backend server has had were not
// run.
func (c *Core) closeAll() {
	for _, call := range c.calls {
		if call.untouched() {
			c.refuse(call, leaving, retryAfter)
			continue
		}
		c.refuse(call, expired, 0)
	}
}

// giveUp ends a request that has not been answered in time.
func (c *Core) giveUp(call *call) {
	if call.untouched() {
		c.refuse(call, noBackend, 0)
		return
	}
	c.refuse(call, expired, 0)
}

func (c *Core) refuse(call *call, cause Cause, after time.Duration) {
	c.release(call)
	c.forget(call)
	c.do(c.refusal(call, cause, after))
}

func (c *Core) refusal(call *call, cause Cause, after time.Duration) Refuse {
	return NewRefuse(RefuseConfig{
		Number: call.number, Visit: call.visit, Cause: cause, Status: statuses[cause], RetryAfter: after,
		Waited: c.now.Sub(call.visit.Arrived()), Holders: c.holders(call), Waiting: len(c.waiting), ListAge: c.now.Sub(c.listedAt),
	})
}

// holders returns the number of backend servers that hold what a request needs
// and are not leaving, full ones included.
func (c *Core) holders(call *call) int {
	n := 0
	for _, h := range c.services[call.service] {
		if model := call.visit.Model(); h.usable() && (model == "" || h.holds(model)) {
			n++
		}
	}
	return n
}

func (c *Core) begin(now time.Time, number uint64) {
	call, ok := c.calls[number]
	if !ok {
		return
	}
	call.begun = true
	if call.host != nil {
		call.host.reading -= call.reading
		call.reading = 0
		call.settle()
		call.first = now
		call.host.sign(now)
		c.paces.observe(call.visit.Model(), call.tokens, now.Sub(call.dispatched))
	}
}

func (c *Core) leave(now time.Time, number uint64) {
	if call, ok := c.calls[number]; ok {
		h := call.host
		c.do(call.note(now, h, NewEnded(number, Abandoned, 0)))
		c.release(call)
		c.forget(call)
		c.refill(now, h)
	}
}

// forget drops a request whose answer has ended.
func (c *Core) forget(call *call) {
	delete(c.calls, call.number)
	delete(c.waiting, call.number)
}

// release ends what is counted for a request at its backend server.
func (c *Core) release(call *call) {
	if call.host == nil {
		return
	}
	call.settle()
	call.host.open--
	call.host.reading -= call.reading
	call.host, call.reading = nil, 0
}

// end decides what follows a send.
func (c *Core) end(now time.Time, m Ended) {
	call, ok := c.calls[m.number]
	if !ok {
		return
	}
	h := call.host
	c.release(call)
	defer c.refill(now, h)
	if m.status != 0 {
		h.sign(now)
	}
	c.do(call.note(now, h, m))
	switch m.result {
	case Complete:
		c.forget(call)
	case Unsent:
		h.fail(now)
		call.unsent++
		c.resendUnrun(now, call, call.unsent < maxUnsent)
	case Replaced:
		h.replaced = true
		call.unsent++
		c.resendUnrun(now, call, call.unsent < maxUnsent && c.budget(call.service).spend(now, c.lobbies))
	case Rejected, Misplaced:
		call.sent++
		if m.result == Misplaced {
			h.lack(now, call.visit)
		}
		c.resendUnrun(now, call, call.sent < call.route.Attempts() && c.budget(call.service).spend(now, c.lobbies))
	case Lost:
		h.fail(now)
		call.sent++
		c.resendRun(now, call, c.refusal(call, answerLost, 0))
	case Spoiled:
		call.sent++
		c.resendRun(now, call, NewPass(PassConfig{Number: m.number}))
	case Severed:
		h.fail(now)
		c.refuse(call, answerCut, 0)
	}
}

// resendUnrun sends a request again that did not run, or refuses it.
func (c *Core) resendUnrun(now time.Time, call *call, again bool) {
	if again && now.Before(call.expires) {
		c.send(now, call)
		return
	}
	c.refund(now, call)
	c.refuse(call, notTaken, retryAfter)
}

// resendRun sends a request again that may have run, if that is allowed, or
// ends it.
func (c *Core) resendRun(now time.Time, call *call, otherwise Action) {
	call.mayHaveRun = true
	again := call.repeatable() && call.sent < call.route.Attempts() && now.Before(call.expires)
	if again && c.choose(now, call) != nil && c.budget(call.service).spend(now, c.lobbies) {
		c.send(now, call)
		return
	}
	c.forget(call)
	c.do(otherwise)
}
