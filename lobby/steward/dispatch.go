package steward

import (
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/visit"
)

// send chooses a backend server for a request, or refuses the request when
// none can have it. Nothing has run it so far, or it may run again.
func (c *Core) send(now time.Time, call *call) {
	h := c.choose(now, call)
	if h == nil {
		c.park(now, call)
		return
	}
	call.host = h
	delete(c.waiting, call.number)
	call.tokens = 0
	missing := h.shelf.missing(call.visit)
	if h.reading+h.othersReading == 0 {
		call.tokens = missing
	}
	call.reading = c.paces.read(call.visit.Model(), missing)
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
			Priority: call.tenant.Rank(call.route.Priority()),
			Ranked:   call.route.Kind() == charter.Stream,
		}),
	}))
}

// choose returns the backend server where a request begins soonest, or nil.
// Suspects come last.
func (c *Core) choose(now time.Time, call *call) *host {
	service, _ := c.charter.Service(call.service)
	_, engine := service.Engine()
	var best *host
	for _, h := range c.services[call.service] {
		if !h.usable() || call.tried[h.backend.ID()] || engine && !h.takes(now, call, c.paces) {
			continue
		}
		if best == nil || c.before(now, call, engine, h, best) {
			best = h
		}
	}
	return best
}

func (c *Core) before(now time.Time, call *call, engine bool, a, b *host) bool {
	if suspectA, suspectB := a.doubtful(now), b.doubtful(now); suspectA != suspectB {
		return suspectB
	}
	if engine {
		model := call.visit.Model()
		if plannedA, plannedB := c.keeps(a, model), c.keeps(b, model); plannedA != plannedB {
			return plannedA
		}
	}
	return a.load(now, call.visit, engine, c.config.Domain, c.paces) < b.load(now, call.visit, engine, c.config.Domain, c.paces)
}

func (c *Core) budget(service string) *budget {
	b, ok := c.budgets[service]
	if !ok {
		b = newBudget(c.config.Budget)
		c.budgets[service] = b
	}
	return b
}
