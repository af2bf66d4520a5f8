package scheduler

import (
	"slices"
	"time"

	"sesamewell.example/commons/deployment"
)

// acceptsNew reports whether new requests are accepted. A draining process
// accepts them until the platform's readiness probes have had time to fail.
func (c *Core) acceptsNew(now time.Time) bool {
	return c.drainStart.IsZero() || now.Sub(c.drainStart) < c.config.Stop.AcceptPeriod()
}

// expiry returns the time at which a new request ends whatever happens: at the end of its
// caller's or its route's timeout, and before a process that drains is killed.
func (c *Core) expiry(req *openRequest) time.Time {
	timeout := req.route.Timeout()
	if given := req.request.Timeout(); given > 0 {
		timeout = min(timeout, given)
	}
	expires := req.request.Arrived().Add(timeout)
	if c.drainStart.IsZero() {
		return expires
	}
	if closing := c.drainStart.Add(c.config.Stop.ClosePeriod()); closing.Before(expires) {
		return closing
	}
	return expires
}

// requestArrived admits or refuses a new request.
func (c *Core) requestArrived(now time.Time, m Arrived) {
	req := &openRequest{number: m.number, request: m.request, tried: make(map[string]bool)}
	if cause := c.admit(req); cause != "" {
		after := time.Duration(0)
		if cause == noConfiguration {
			after = retryAfter
		}
		c.refuse(req, cause, after)
		return
	}
	req.expires = c.expiry(req)
	if !c.acceptsNew(now) {
		c.refuse(req, draining, c.returnAfter(now, req, c.drainRetryAfter(now)))
		return
	}
	if !c.takeUp(now, req, m.request) {
		c.refuse(req, unknownOrigin, unknownOriginRetryAfter)
		return
	}
	if wait, ok := c.charge(now, req); !ok {
		c.refuse(req, overQuota, wait)
		return
	}
	c.requests[req.number] = req
	req.parts = promptParts(req.request)

	req.triedFor = c.callerAges.observe(req.route, req.tenant, req.request.Timeout())
	c.retryBudget(req.service).deposit(c.lobbyCount)
	c.placeNew(now, req)
}

// drainRetryAfter returns the retry delay for callers refused by a draining
// lobby: short if another lobby accepts requests, else long enough for one to
// restart.
func (c *Core) drainRetryAfter(now time.Time) time.Duration {
	if c.peerAccepts(now) {
		return retryAfter
	}
	return restartRetryAfter
}

// admit sets the route, service and tenant of a request, or returns the cause
// of its refusal.
func (c *Core) admit(req *openRequest) Cause {
	if c.configuration == nil || !c.listed {
		return noConfiguration
	}
	route, ok := c.configuration.RouteFor(req.request.Host(), req.request.Path())
	if !ok {
		return noRoute
	}
	req.route = route
	req.service = route.PickService(c.config.Random.Float64())
	c.fitModel(req)
	if route.Open() || !c.configuration.HasTenants() {
		req.homes = newHomes(route, req.tenant)
		return ""
	}
	if req.tenant, ok = c.configuration.TenantByKey(req.request.APIKey()); !ok {
		return unknownKey
	}
	req.homes = newHomes(route, req.tenant)
	return ""
}

// fitModel leaves out a model that means nothing to the request's service, and replaces one
// that, or whose adapter, nobody knows: callers may name any.
func (c *Core) fitModel(req *openRequest) {
	service, _ := c.configuration.Service(req.service)
	engine, ok := service.Engine()
	switch model := req.request.Model(); {
	case !ok:
		req.request = req.request.WithoutModel()
	case model != "" && !c.knows(req.service, engine, model, req.request.Adapter()):
		req.request = req.request.WithUnknownModel()
	}
}

// knows reports whether a model and, unless its name is empty, an adapter of it are configured
// for a service, or held by one of its backend servers.
func (c *Core) knows(service string, engine deployment.EngineConfig, model, adapter string) bool {
	if engine.HasModel(model) && (adapter == "" || engine.HasAdapter(model, adapter)) {
		return true
	}
	return slices.ContainsFunc(c.byService[service], func(s *server) bool { return s.backend.Holds(model, adapter) })
}

func (c *Core) charge(now time.Time, req *openRequest) (time.Duration, bool) {
	if req.tenant.Name() == "" {
		return 0, true
	}
	return c.config.Limiter.Spend(now, req.tenant, cost(req))
}

// refund returns the quota of a request that no backend server has run.
func (c *Core) refund(now time.Time, req *openRequest) {
	if req.tenant.Name() != "" {
		c.config.Limiter.Refund(now, req.tenant, cost(req))
	}
}

func cost(req *openRequest) float64 {
	return req.tenant.Cost(req.request.PromptTokens(), req.request.MaxOutputTokens())
}
