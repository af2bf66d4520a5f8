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
	if !call.begun {
		call.begun, call.first = true, now
	}
	if call.host != nil {
		call.host.reading -= call.reading
		call.reading = 0
		call.settle()
		call.host.sign(now)
		c.paces.observe(call.visit.Model(), call.tokens, now.Sub(call.dispatched))
		c.refill(now, call.host)
	}
}

func (c *Core) leave(now time.Time, m Left) {
	if call, ok := c.calls[m.number]; ok {
		h := call.host
		c.do(call.note(now, h, NewEnded(m.number, Abandoned, 0).WithPause(m.pause)))
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
		call.sent++
		c.goOn(now, call)
	}
}

// resendUnrun sends a request again that did not run, or refuses it.
func (c *Core) resendUnrun(now time.Time, call *call, again bool) {
	if again && now.Before(call.expires) {
		c.send(now, call)
		return
	}
	c.turnAway(now, call, notTaken, retryAfter)
}

// turnAway ends a request that no backend server takes. That it was not run is
// said only if no earlier send of it may have run.
func (c *Core) turnAway(now time.Time, call *call, cause Cause, after time.Duration) {
	switch {
	case call.begun:
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
func (c *Core) goOn(now time.Time, call *call) {
	call.mayHaveRun = true
	if !call.mayRepeat(now) || !c.budget(call.service).spend(now, c.lobbies) {
		c.refuse(call, answerCut, 0)
		return
	}
	call.cut = now
	c.send(now, call)
}

// resendRun sends a request again that may have run, if that is allowed, or
// ends it.
func (c *Core) resendRun(now time.Time, call *call, otherwise Action) {
	call.mayHaveRun = true
	if call.mayRepeat(now) {
		if chosen, ok := c.choose(now, call); ok && c.budget(call.service).spend(now, c.lobbies) {
			c.accept(now, call, chosen)
			return
		}
	}
	c.forget(call)
	c.do(otherwise)
}
