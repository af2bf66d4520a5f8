package steward

import (
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/visit"
)

// send chooses a backend server for a request, or lets the request wait when none
// can have it. Nothing has run it so far, or it may run again.
func (c *Core) send(now time.Time, call *call) {
	if chosen, ok := c.choose(now, call); ok {
		c.accept(now, call, chosen)
		return
	}
	c.park(now, call)
}

// accept gives a request to the backend server that was chosen.
func (c *Core) accept(now time.Time, call *call, chosen offer) {
	h := chosen.host
	call.host = h
	delete(c.waiting, call.number)
	call.tokens = 0
	if h.reading+h.othersReading == 0 {
		call.tokens = chosen.missing
	}
	call.reading = chosen.reading
	h.open++
	h.reading += call.reading
	h.shelf.put(call.visit)
	if !h.leased(now, call.visit) {
		c.fetch(h, call.visit, call.number)
		return
	}
	c.dispatch(now, call)
}

// dispatch sends a request to the backend server that was chosen.
func (c *Core) dispatch(now time.Time, call *call) {
	h := call.host
	call.tried[h.backend.ID()] = true
	call.dispatched, call.awaited = now, true
	h.await(now)
	c.renew(now, h, call.visit)
	service, _ := c.charter.Service(call.service)
	c.do(NewSend(SendConfig{
		Number:  call.number,
		Visit:   call.visit,
		Address: h.backend.Address(),
		Links:   max(service.Connections()/c.lobbies, 1),
		Fresh:   !call.repeatable(),
		Keep:    call.repeatable(),
		First:   call.firstLimit(),
		Gap:     call.gapLimit(),
		Stream:  call.route.Kind() == charter.Stream,
		Resume:  call.route.Resumable(),
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
type offer struct {
	host     *host
	missing  int64         // tokens of the prompt that it would have to read
	reading  time.Duration // of them
	doubtful bool          // it is used only if no other can be
	planned  bool          // the plan leaves the request's model there
	wait     time.Duration // until the request would begin
}

// before reports whether one offer is taken rather than another.
func (o offer) before(other offer) bool {
	if o.doubtful != other.doubtful {
		return other.doubtful
	}
	if o.planned != other.planned {
		return o.planned
	}
	return o.wait < other.wait
}

// choose returns the offer with which a request begins soonest, if any. Suspects
// come last.
func (c *Core) choose(now time.Time, call *call) (best offer, found bool) {
	service, _ := c.charter.Service(call.service)
	_, engine := service.Engine()
	for _, h := range c.services[call.service] {
		if !h.usable() || call.tried[h.backend.ID()] {
			continue
		}
		if o, ok := c.offer(now, call, h, engine); ok && (!found || o.before(best)) {
			best, found = o, true
		}
	}
	return best, found
}

// offer returns what a backend server offers a request, if it can run it now.
func (c *Core) offer(now time.Time, call *call, h *host, engine bool) (offer, bool) {
	if engine && !h.takes(now, call) {
		return offer{}, false
	}
	o := offer{host: h, missing: h.shelf.missing(call.visit), doubtful: h.doubtful(now)}
	o.reading = c.paces.read(call.visit.Model(), o.missing)
	if engine && !h.reads(call, o.reading) {
		return offer{}, false
	}
	o.planned = !engine || c.keeps(h, call.visit.Model())
	o.wait = h.load(now, call.visit, engine, c.config.Domain, o.reading)
	return o, true
}

func (c *Core) budget(service string) *budget {
	b, ok := c.budgets[service]
	if !ok {
		b = newBudget(c.config.Budget)
		c.budgets[service] = b
	}
	return b
}
