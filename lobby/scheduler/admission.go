package scheduler

import "time"

// takes reports whether new requests may begin. A process that is about to stop
// takes none once the platform should know.
func (c *Core) acceptsNew(now time.Time) bool {
	return c.drainStart.IsZero() || now.Sub(c.drainStart) < drainGrace
}

// arrive decides on a new request.
func (c *Core) requestArrived(now time.Time, m Arrived) {
	call := &openRequest{number: m.number, request: m.request, tried: make(map[string]bool)}
	if cause := c.admit(call); cause != "" {
		c.refuse(call, cause, 0)
		return
	}
	if !c.acceptsNew(now) {
		c.refuse(call, leaving, c.drainRetryAfter(now))
		return
	}
	call.expires = m.request.Arrived().Add(call.route.Timeout())
	if patience := m.request.Patience(); patience > 0 && patience < call.route.Timeout() {
		call.expires = m.request.Arrived().Add(patience)
	}
	if wait, ok := c.charge(now, call); !ok {
		c.refuse(call, overQuota, wait)
		return
	}
	c.requests[call.number] = call
	c.retryBudget(call.service).deposit(c.lobbyCount)
	c.place(now, call)
}

// elsewhere returns when a caller is told to come back that this lobby does not
// take any more: at once if another one takes it, else when one may have started
// again.
func (c *Core) drainRetryAfter(now time.Time) time.Duration {
	if c.peerAccepts(now) {
		return retryAfter
	}
	return restartRetryAfter
}

// admit fills in the route and tenant of a request, or returns why it is
// refused.
func (c *Core) admit(call *openRequest) Cause {
	if c.configuration == nil || !c.listed {
		return noConfiguration
	}
	route, ok := c.configuration.Route(call.request.Host(), call.request.Path())
	if !ok {
		return noRoute
	}
	call.route = route
	call.service = route.Service(c.config.Random.Float64())
	if route.Open() || !c.configuration.Tenants() {
		return ""
	}
	if call.tenant, ok = c.configuration.Holder(call.request.Key()); !ok {
		return unknownKey
	}
	return ""
}

func (c *Core) charge(now time.Time, call *openRequest) (time.Duration, bool) {
	if call.tenant.Name() == "" {
		return 0, true
	}
	return c.config.Limiter.Spend(now, call.tenant, cost(call))
}

// refund gives the quota back for a request that no backend server ran.
func (c *Core) refund(now time.Time, call *openRequest) {
	if call.tenant.Name() != "" {
		c.config.Limiter.Refund(now, call.tenant, cost(call))
	}
}

func cost(call *openRequest) float64 {
	return call.tenant.Cost(call.request.Prompt(), call.request.Output())
}
