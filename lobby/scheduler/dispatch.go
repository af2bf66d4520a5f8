package scheduler

import (
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/visit"
)

// send chooses a backend server for a request, or lets the request wait when none
// can have it. Nothing has run it so far, or it may run again.
func (c *Core) place(now time.Time, call *openRequest) {
	if chosen, ok := c.choose(now, call); ok {
		c.assign(now, call, chosen)
		return
	}
	c.enqueue(now, call)
}

// accept gives a request to the backend server that was chosen.
func (c *Core) assign(now time.Time, call *openRequest, chosen candidate) {
	h := chosen.server
	call.server = h
	delete(c.queued, call.number)
	call.observedTokens = 0
	if h.prefill+h.peerPrefill == 0 {
		call.observedTokens = chosen.uncached
	}
	call.prefill = chosen.prefill
	h.open++
	h.prefill += call.prefill
	h.cache.add(call.request)
	if !h.adapterReady(now, call.request) {
		c.fetch(h, call.request, call.number)
		return
	}
	c.dispatch(now, call)
}

// dispatch sends a request to the backend server that was chosen.
func (c *Core) dispatch(now time.Time, call *openRequest) {
	h := call.server
	call.tried[h.backend.ID()] = true
	call.sentAt, call.awaiting = now, true
	h.requestSent(now)
	c.renewLease(now, h, call.request)
	service, _ := c.configuration.Service(call.service)
	c.emit(NewSend(SendConfig{
		Number:           call.number,
		Request:          call.request,
		Address:          h.backend.Address(),
		Connections:      max(service.Connections()/c.lobbyCount, 1),
		FreshConnection:  !call.retryable(),
		KeepError:        call.retryable(),
		FirstByteTimeout: call.firstByteTimeout(),
		IdleTimeout:      call.idleTimeout(),
		Stream:           call.route.Kind() == charter.Stream,
		Resumable:        call.route.Resumable(),
		Sheet: visit.NewSheet(visit.SheetConfig{
			Backend:  h.backend.ID(),
			Tenant:   call.tenant.Name(),
			Until:    call.expires,
			Priority: call.rank(),
			Ranked:   call.route.Kind() == charter.Stream,
		}),
	}))
}

// offer is what one backend server offers a request.
type candidate struct {
	server    *server
	uncached  int64         // tokens of the prompt that it would have to read
	prefill   time.Duration // of them
	suspected bool          // it is used only if no other can be
	planned   bool          // the plan leaves the request's model there
	delay     time.Duration // until the request would begin
}

// before reports whether one offer is taken rather than another.
func (o candidate) betterThan(other candidate) bool {
	if o.suspected != other.suspected {
		return other.suspected
	}
	if o.planned != other.planned {
		return o.planned
	}
	return o.delay < other.delay
}

// choose returns the offer with which a request begins soonest, if any. Suspects
// come last.
func (c *Core) choose(now time.Time, call *openRequest) (best candidate, found bool) {
	service, _ := c.configuration.Service(call.service)
	_, engine := service.Engine()
	for _, h := range c.byService[call.service] {
		if !h.usable() || call.tried[h.backend.ID()] {
			continue
		}
		if o, ok := c.evaluate(now, call, h, engine); ok && (!found || o.betterThan(best)) {
			best, found = o, true
		}
	}
	return best, found
}

// offer returns what a backend server offers a request, if it can run it now.
func (c *Core) evaluate(now time.Time, call *openRequest, h *server, engine bool) (candidate, bool) {
	if engine && !h.canRun(now, call) {
		return candidate{}, false
	}
	o := candidate{server: h, uncached: h.cache.uncached(call.request), suspected: h.suspected(now)}
	o.prefill = c.estimator.promptTime(call.request.Model(), o.uncached)
	if engine && !h.canPrefill(call, o.prefill) {
		return candidate{}, false
	}
	o.planned = !engine || c.planKeeps(h, call.request.Model())
	o.delay = h.startDelay(now, call.request, engine, c.config.Domain, o.prefill)
	return o, true
}

func (c *Core) retryBudget(service string) *retryBudget {
	b, ok := c.budgets[service]
	if !ok {
		b = newRetryBudget(c.config.RetryBudget)
		c.budgets[service] = b
	}
	return b
}
