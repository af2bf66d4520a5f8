package steward

import "time"

// takes reports whether new requests may begin. A process that is about to stop
// takes none once the platform should know.
func (c *Core) takes(now time.Time) bool {
	return c.draining.IsZero() || now.Sub(c.draining) < drainGrace
}

// arrive decides on a new request.
func (c *Core) arrive(now time.Time, m Arrived) {
	call := &call{number: m.number, visit: m.visit, tried: make(map[string]bool)}
	if cause := c.admit(call); cause != "" {
		c.refuse(call, cause, 0)
		return
	}
	if !c.takes(now) {
		c.refuse(call, leaving, c.elsewhere(now))
		return
	}
	call.expires = m.visit.Arrived().Add(call.route.Timeout())
	if patience := m.visit.Patience(); patience > 0 && patience < call.route.Timeout() {
		call.expires = m.visit.Arrived().Add(patience)
	}
	if wait, ok := c.charge(now, call); !ok {
		c.refuse(call, overQuota, wait)
		return
	}
	c.calls[call.number] = call
	c.budget(call.service).request(c.lobbies)
	c.send(now, call)
}

// elsewhere returns when a caller is told to come back that this lobby does not
// take any more: at once if another one takes it, else when one may have started
// again.
func (c *Core) elsewhere(now time.Time) time.Duration {
	if c.othersTake(now) {
		return retryAfter
	}
	return startRetry
}

// admit fills in the route and tenant of a request, or returns why it is
// refused.
func (c *Core) admit(call *call) Cause {
	if c.charter == nil || !c.listed {
		return noCharter
	}
	route, ok := c.charter.Route(call.visit.Host(), call.visit.Path())
	if !ok {
		return noRoute
	}
	call.route = route
	call.service = route.Service(c.config.Random.Float64())
	if route.Open() || !c.charter.Tenants() {
		return ""
	}
	if call.tenant, ok = c.charter.Holder(call.visit.Key()); !ok {
		return badKey
	}
	return ""
}

func (c *Core) charge(now time.Time, call *call) (time.Duration, bool) {
	if call.tenant.Name() == "" {
		return 0, true
	}
	return c.config.Purse.Spend(now, call.tenant, cost(call))
}

// refund gives the quota back for a request that no backend server ran.
func (c *Core) refund(now time.Time, call *call) {
	if call.tenant.Name() != "" {
		c.config.Purse.Refund(now, call.tenant, cost(call))
	}
}

func cost(call *call) float64 { return call.tenant.Cost(call.visit.Prompt(), call.visit.Output()) }
