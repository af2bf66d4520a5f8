package scheduler

import (
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/prefixroute"
)

// place assigns a request to a backend server, or queues it when none can run
// it. The request must not have run yet, or must be retryable.
func (c *Core) place(now time.Time, req *openRequest) {
	if wait, ok := c.config.Quarantine.Admit(now, req.number, req.request); !ok {
		c.refuseNotRun(now, req, quarantined, wait)
		return
	}
	if chosen, ok := c.choose(now, req); ok && !c.mustWait(now, req) && c.maySend(now, req) {
		c.assign(now, req, chosen)
		return
	}
	c.enqueue(now, req)
}

// mustWait reports whether the request has to wait, since it may crash its backend server
// as others have that share its content. A send without a result for resultTimeout is not
// waited for.
func (c *Core) mustWait(now time.Time, req *openRequest) bool {
	return c.config.Quarantine.MustWait(now, req.request, func(yield func(*httpmeta.Request) bool) {
		for _, other := range c.requests {
			if other == req || other.server == nil || other.inFlight() && now.Sub(other.sentAt) >= resultTimeout {
				continue
			}
			if !yield(other.request) {
				return
			}
		}
	})
}

// maySend reports whether the request may be sent now. A retry is taken from the
// retry budget.
func (c *Core) maySend(now time.Time, req *openRequest) bool {
	if req.needsRetry && !c.retryBudget(req.service).withdraw(now, c.lobbyCount) {
		return false
	}
	req.needsRetry = false
	return true
}

// assign reserves capacity for a request at the chosen backend server. It then
// sends the request, or first fetches its adapter.
func (c *Core) assign(now time.Time, req *openRequest, chosen candidate) {
	s := chosen.server
	req.server = s
	c.startFromQueue(req)
	c.recordShareUse(now, req)
	req.observedTokens = 0
	if s.prefill+s.peerPrefill == 0 {
		req.observedTokens = chosen.uncached
	}
	req.startSample = c.newStartSample(now, req, chosen)
	req.prefill = chosen.prefill
	s.hold.returned++
	s.open++
	s.prefill += req.prefill
	c.recordPrompt(now, s, req)
	if !s.adapterReady(now, req.request) {
		req.startSample = startSample{} // by the time of the send the load has changed
		c.fetch(s, req.request, req.number)
		return
	}
	c.dispatch(now, req)
}

// dispatch sends a request to its assigned backend server.
func (c *Core) dispatch(now time.Time, req *openRequest) {
	s := req.server
	req.tried[s.backend.ID()] = true
	req.sentAt, req.awaiting = now, true
	req.beganAt, req.sound = time.Time{}, false
	s.requestSent(now)
	c.renewLease(now, s, req.request)
	c.emit(c.newSend(s, SendConfig{
		Number:           req.number,
		Request:          req.request,
		FreshConnection:  !req.retryable(),
		SendBefore:       s.gates.sendBefore(now),
		KeepError:        req.retryable(),
		Limited:          s.limit.named() > 0,
		FirstByteTimeout: req.firstByteTimeout(),
		IdleTimeout:      req.idleTimeout(),
		Stream:           req.route.Kind() == deployment.Stream,
		Resumable:        req.route.Resumable(),
		Resumption:       req.started || req.request.TakesUp(),
		Forwarding: httpmeta.NewForwarding(httpmeta.ForwardingConfig{
			Backend:     s.backend.ID(),
			Tenant:      req.tenant.Name(),
			Deadline:    req.expires,
			Priority:    req.priority(),
			HasPriority: req.route.Kind() == deployment.Stream,
		}),
	}))
}

// candidate is a backend server that can run a request.
type candidate struct {
	server    *server
	match     cacheMatch    // what it is assumed to have cached of the prompt
	uncached  int64         // prompt tokens that need prefill
	prefill   time.Duration // estimated prefill time
	suspected bool          // used only as a last resort
	planned   bool          // the plan keeps the model there
	route     prefixroute.Candidate
}

// betterThan reports whether the candidate is preferred to another one.
func (c candidate) betterThan(other candidate) bool { return c.route.BetterThan(other.route) }

// choose returns the best candidate for a request, if any. Backend servers that
// have already been tried are skipped.
func (c *Core) choose(now time.Time, req *openRequest) (best candidate, found bool) {
	service, _ := c.configuration.Service(req.service)
	_, engine := service.Engine()
	key := req.queueKey()
	if !engine && c.shareUsed(now, req) {
		return best, false
	}
	for _, s := range c.byService[req.service] {
		if !s.usable() || !s.hold.admits(now) || !c.gatesAdmit(now, s, req) || req.tried[s.backend.ID()] || !c.eligible(key, s) || s.reservedAgainst(now, req) {
			continue
		}
		if cand, ok := c.evaluate(now, req, s, engine); ok && (!found || cand.betterThan(best)) {
			best, found = cand, true
		}
	}
	return best, found
}

// evaluate returns a backend server as a candidate for a request, if it can run
// the request now.
func (c *Core) evaluate(now time.Time, req *openRequest, s *server, engine bool) (candidate, bool) {
	if engine && !s.canRun(now, req) || !c.mayStartAt(now, req, s) {
		return candidate{}, false
	}
	match := s.cache.match(req.parts)
	cand := candidate{server: s, match: match, uncached: match.uncached(req.request.PromptTokens()), suspected: s.suspected(now) || !engine && s.rejecting(now, req.request.Model())}
	cand.prefill = c.promptTime(now, s, req.request.Model(), cand.uncached)
	if engine && !s.canPrefill(req, cand.prefill) {
		return candidate{}, false
	}
	cand.planned = !engine || c.planKeeps(s, req.request.Model())
	cand.route = c.routeOf(now, req, cand, engine)
	return cand, true
}

func (c *Core) retryBudget(service string) *retryBudget {
	b, ok := c.budgets[service]
	if !ok {
		b = newRetryBudget(c.config.RetryBudget)
		c.budgets[service] = b
	}
	return b
}
