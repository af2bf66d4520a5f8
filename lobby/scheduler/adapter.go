package scheduler

import (
	"time"

	"sesamewell.example/commons/httpmeta"
)

// fetch requests that a backend server load the adapter of a request. If number
// is zero, no request waits for it and only the lease is renewed.
func (c *Core) fetch(s *server, request *httpmeta.Request, number uint64) {
	c.emit(NewFetch(FetchConfig{
		Number: number, Backend: s.backend.ID(), Address: s.backend.Address(), Model: request.Model(), Adapter: request.Adapter(),
		StartTime: s.backend.StartTime(), At: c.now,
	}))
}

// renewLease renews the lease of an adapter in use shortly before it ends.
func (c *Core) renewLease(now time.Time, s *server, request *httpmeta.Request) {
	key := adapterKey(request.Model(), request.Adapter())
	if request.Adapter() == "" || s.renewing[key] || s.leases[key].Sub(now) > leaseRenewAhead {
		return
	}
	s.renewing[key] = true
	c.fetch(s, request, 0)
}

// keepAdapter renews the lease of the adapter with which a request runs: the keeper unloads
// those without one first, and would wait for the run meanwhile. At a backend server that
// gets no requests it does nothing.
func (c *Core) keepAdapter(now time.Time, req *openRequest) {
	if req.inFlight() && !req.server.closed(now) && !now.Before(req.server.renewBlockedUntil) {
		c.renewLease(now, req.server, req.request)
	}
}

// fetchEnded sends the request that waited for an adapter, or places it again
// if the adapter could not be loaded or the backend server has started again.
func (c *Core) fetchEnded(now time.Time, m FetchEnded) {
	s := c.serverOf(m.fetch.origin())
	until := m.leasedUntil()
	if s != nil {
		key := adapterKey(m.fetch.Model(), m.fetch.Adapter())
		delete(s.renewing, key)
		switch {
		case !until.IsZero():
			s.leases[key] = later(s.leases[key], until)
		case m.fetch.Number() == 0:
			s.renewBlockedUntil = now.Add(renewRetryPause)
		default:
			s.fetchBlockedUntil = now.Add(fetchRetryPause)
		}
	}
	req, ok := c.requests[m.fetch.Number()]
	if !ok || req.server == nil || req.server.backend.ID() != m.fetch.Backend() || req.tried[m.fetch.Backend()] {
		return // it waits elsewhere by now, or was sent when the evacuation of the backend server's domain had ended
	}
	if now.Before(until) && req.server == s && c.stillAccepted(now, req) {
		c.dispatch(now, req)
		return
	}
	c.release(req)
	c.place(now, req)
}

// stillAccepted reports whether a request that has waited for an adapter may be sent to
// its backend server now.
func (c *Core) stillAccepted(now time.Time, req *openRequest) bool {
	if _, admitted := c.config.Quarantine.Admit(now, req.number, req.request); !admitted || c.mustWait(now, req) {
		return false
	}
	s := req.server
	return !s.closed(now) && c.eligible(req.queueKey(), s) && s.gates.admits(now)
}
