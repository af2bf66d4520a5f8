package scheduler

import (
	"time"

	"sesamewell.example/commons/visit"
)

// fetch asks for the adapter of a request at a backend server.
func (c *Core) fetch(h *server, v *visit.Visit, number uint64) {
	c.emit(NewFetch(FetchConfig{
		Number: number, Backend: h.backend.ID(), Address: h.backend.Address(), Model: v.Model(), Adapter: v.Adapter(),
	}))
}

// renew asks to keep an adapter that is in use before its lease ends.
func (c *Core) renewLease(now time.Time, h *server, v *visit.Visit) {
	key := adapterKey(v.Model(), v.Adapter())
	if v.Adapter() == "" || h.renewing[key] || h.leases[key].Sub(now) > leaseRenewAhead {
		return
	}
	h.renewing[key] = true
	c.fetch(h, v, 0)
}

// fetched goes on with a request whose adapter was asked for.
func (c *Core) fetchEnded(now time.Time, m FetchEnded) {
	h, ok := c.servers[m.fetch.Backend()]
	if ok {
		key := adapterKey(m.fetch.Model(), m.fetch.Adapter())
		delete(h.renewing, key)
		if m.kept > leaseMargin {
			h.leases[key] = now.Add(m.kept - leaseMargin)
		} else {
			h.fetchBlockedUntil = now.Add(fetchRetryPause)
		}
	}
	call, ok := c.requests[m.fetch.Number()]
	if !ok || call.server == nil || call.server.backend.ID() != m.fetch.Backend() {
		return
	}
	if m.kept > leaseMargin {
		c.dispatch(now, call)
		return
	}
	c.release(call)
	c.place(now, call)
}
