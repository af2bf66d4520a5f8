package steward

import (
	"time"

	"sesamewell.example/commons/visit"
)

// fetch asks for the adapter of a request at a backend server.
func (c *Core) fetch(h *host, v *visit.Visit, number uint64) {
	c.do(NewFetch(FetchConfig{
		Number: number, Backend: h.backend.ID(), Address: h.backend.Address(), Model: v.Model(), Adapter: v.Adapter(),
	}))
}

// renew asks to keep an adapter that is in use before its lease ends.
func (c *Core) renew(now time.Time, h *host, v *visit.Visit) {
	key := adapterKey(v.Model(), v.Adapter())
	if v.Adapter() == "" || h.renewing[key] || h.leases[key].Sub(now) > renewAhead {
		return
	}
	h.renewing[key] = true
	c.fetch(h, v, 0)
}

// fetched goes on with a request whose adapter was asked for.
func (c *Core) fetched(now time.Time, m Fetched) {
	h, ok := c.hosts[m.fetch.Backend()]
	if ok {
		key := adapterKey(m.fetch.Model(), m.fetch.Adapter())
		delete(h.renewing, key)
		if m.kept > leaseMargin {
			h.leases[key] = now.Add(m.kept - leaseMargin)
		} else {
			h.closed = now.Add(closedPause)
		}
	}
	call, ok := c.calls[m.fetch.Number()]
	if !ok || call.host == nil || call.host.backend.ID() != m.fetch.Backend() {
		return
	}
	if m.kept > leaseMargin {
		c.dispatch(now, call)
		return
	}
	c.release(call)
	c.send(now, call)
}
