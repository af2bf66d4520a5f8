package scheduler

import (
	"slices"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/prefixroute"
)

// Rule is a rule by which a backend server is excluded for a request.
type Rule string

// Rules, in the order in which they are checked.
const (
	ruleNone           Rule = ""
	ruleReplaced       Rule = "replaced"         // another backend server has its address
	ruleLeaving        Rule = "leaving"          // it leaves
	ruleEvacuated      Rule = "evacuated"        // its failure domain is evacuated
	ruleUnusable       Rule = "unusable"         // excluded for all requests by another rule
	ruleHome           Rule = "home"             // it is in no home region of the route and the customer
	ruleHeld           Rule = "held"             // it has asked for a time without requests
	ruleCold           Rule = "cold"             // it is cold or warms up, and this lobby has no turn now
	ruleLimited        Rule = "limited"          // it names a rate in its answers, and this lobby has no turn now
	ruleReserved       Rule = "reserved"         // its next slot is kept for a long prompt that was passed over
	ruleShareUsed      Rule = "share_used"       // this lobby has used its share of the service's slots
	ruleModelNotLoaded Rule = "model_not_loaded" // its list entry does not have the model
	ruleModelMissing   Rule = "model_missing"    // it has answered that the model is not loaded
	ruleRejecting      Rule = "rejecting"        // it has lately rejected a request for the model
	ruleNoSlot         Rule = "no_slot"          // no slot is free for the request's priority
	ruleAdapter        Rule = "adapter_failed"   // it has lately failed to load an adapter
	rulePrefill        Rule = "prefill_pending"  // the prompt would pause running streams for too long
	ruleOther          Rule = "other"            // none of those above
)

// QueryConfig holds the construction parameters of a Query.
type QueryConfig struct {
	Route        string // name of a route; if it is empty, Host and Path select one
	Host         string
	Path         string
	Customer     string // empty for a request without one
	Model        string
	Adapter      string
	PromptTokens int64
	Parts        []httpmeta.Part
}

// Query describes a request that has not been sent.
type Query struct{ config QueryConfig }

// NewQuery returns a Query.
func NewQuery(config QueryConfig) Query { return Query{config: config} }

// Explain asks where a request would be routed. Nothing is sent, charged or changed.
type Explain struct {
	query Query
	reply chan<- Explanation
}

// NewExplain returns the message. reply must have room for the explanation, which is
// dropped otherwise.
func NewExplain(query Query, reply chan<- Explanation) Explain {
	return Explain{query: query, reply: reply}
}

func (Explain) schedulerMessage() {}

// CandidateReportConfig holds the construction parameters of a CandidateReport.
type CandidateReportConfig struct {
	Service    string
	Backend    string
	Domain     string
	Excluded   Rule // empty for a candidate
	Open       int  // open requests, with those of the other lobbies
	Slots      int
	Cached     int64         // prompt tokens that are assumed to be cached
	CacheAge   time.Duration // age of the oldest evidence for that
	Prefilling time.Duration // pending prefill
	Prefill    time.Duration // expected prefill of what is not cached
	Ratio      float64       // learned prefill time by the average of the service
	Route      prefixroute.Candidate
}

// CandidateReport tells what one backend server would cost a request, or why it is
// excluded.
type CandidateReport struct{ config CandidateReportConfig }

// Config returns the parameters that the report was made from.
func (r CandidateReport) Config() CandidateReportConfig { return r.config }

// ExplanationConfig holds the construction parameters of an Explanation.
type ExplanationConfig struct {
	Fault      string // what is wrong with the query; empty if it was explained
	Refused    Cause  // cause of the refusal that the request would get; empty if there is none
	Route      string
	Choices    map[string]string // by service of the route, the backend server that would get the request
	Candidates []CandidateReport // all backend servers of these services, by service and ID
}

// Explanation tells where a request would be routed now, and why.
type Explanation struct{ config ExplanationConfig }

// Config returns the parameters that the Explanation was made from.
func (e Explanation) Config() ExplanationConfig { return e.config }

// Explain tells where a request would be routed now. It changes nothing. Quotas and the
// quarantine are not consulted: both count what they are asked.
func (c *Core) Explain(now time.Time, query Query) Explanation {
	if c.configuration == nil || !c.listed {
		return Explanation{config: ExplanationConfig{Refused: noConfiguration}}
	}
	req, fault := c.requestFor(now, query)
	if fault != "" {
		return Explanation{config: ExplanationConfig{Fault: fault}}
	}
	config := ExplanationConfig{Route: req.route.Name(), Choices: make(map[string]string)}
	if !c.acceptsNew(now) {
		config.Refused = draining
		return Explanation{config: config}
	}
	homeless := true
	for _, service := range req.route.Services() {
		req.service = service
		homeless = homeless && !c.hasHome(req)
		config.Candidates = append(config.Candidates, c.reports(now, req)...)
		if chosen, ok := c.choose(now, req); ok {
			config.Choices[service] = chosen.server.backend.ID()
		}
	}
	if homeless {
		config.Refused = noHome
	}
	return Explanation{config: config}
}

// requestFor returns the state that a described request would have on its arrival, or
// what is wrong with the description.
func (c *Core) requestFor(now time.Time, query Query) (req *openRequest, fault string) {
	config := query.config
	host, path := config.Host, config.Path
	if config.Route != "" {
		routes := c.configuration.Config().Routes
		i := slices.IndexFunc(routes, func(r deployment.RouteConfig) bool { return r.Name == config.Route })
		if i < 0 {
			return nil, "no route has this name"
		}
		host, path = routes[i].Host, routes[i].Prefix
	}
	route, ok := c.configuration.RouteFor(host, path)
	if !ok {
		return nil, "no route matches host and path"
	}
	tenant, ok := c.configuration.Tenant(config.Customer)
	if !ok && config.Customer != "" {
		return nil, "no customer has this name"
	}
	request := httpmeta.NewRequest(httpmeta.RequestConfig{
		Host: host, Path: path, Model: config.Model, Adapter: config.Adapter, PromptTokens: config.PromptTokens, Parts: config.Parts, Arrived: now,
	})
	req = &openRequest{request: request, parts: promptParts(request), route: route, tenant: tenant, homes: newHomes(route, tenant)}
	req.expires = c.expiry(req)
	return req, ""
}

// reports returns a report on each backend server of the request's service.
func (c *Core) reports(now time.Time, req *openRequest) []CandidateReport {
	service, _ := c.configuration.Service(req.service)
	_, engine := service.Engine()
	shareUsed := !engine && c.shareUsed(now, req)
	var reports []CandidateReport
	for _, s := range c.byService[req.service] {
		match := s.cache.match(req.parts)
		uncached := match.uncached(req.request.PromptTokens())
		config := CandidateReportConfig{
			Service: req.service, Backend: s.backend.ID(), Domain: s.backend.Domain(), Open: s.open + s.peerOpen, Slots: s.backend.Slots(),
			Cached: match.tokens, CacheAge: match.age(now), Prefilling: s.prefill + s.peerPrefill,
			Prefill: c.promptTime(now, s, req.request.Model(), uncached), Ratio: s.model.prefill.ratio(now),
		}
		cand, ok := c.evaluate(now, req, s, engine)
		if ok && s.admits(now) && c.eligible(req.queueKey(), s) && !s.reservedAgainst(now, req) && !shareUsed {
			config.Route = cand.route
		} else {
			config.Excluded = c.exclusion(now, req, s, engine, config.Prefill)
		}
		reports = append(reports, CandidateReport{config: config})
	}
	return reports
}

// exclusion returns the first rule that excludes a backend server that choose passes
// over.
func (c *Core) exclusion(now time.Time, req *openRequest, s *server, engine bool, prefill time.Duration) Rule {
	model := req.request.Model()
	switch {
	case s.replaced:
		return ruleReplaced
	case s.leaving || s.backend.Leaving():
		return ruleLeaving
	case s.evacuated:
		return ruleEvacuated
	case !s.usable():
		return ruleUnusable
	case !c.inHome(req.homes, s):
		return ruleHome
	case !s.hold.admits(now):
		return ruleHeld
	case !s.cold.admits(now):
		return ruleCold
	case !s.limit.admits(now):
		return ruleLimited
	case s.reservedAgainst(now, req):
		return ruleReserved
	case !engine: // no other rule is left
		return ruleShareUsed
	case !s.hasModel(model):
		return ruleModelNotLoaded
	case now.Before(s.missingUntil[model]):
		return ruleModelMissing
	case s.rejecting(now, model):
		return ruleRejecting
	case !s.hasSlot(req.priority()):
		return ruleNoSlot
	case now.Before(s.fetchBlockedUntil) && !s.adapterReady(now, req.request):
		return ruleAdapter
	case !s.canPrefill(req, prefill):
		return rulePrefill
	default:
		return ruleOther
	}
}

// explain answers an Explain without waiting for its sender.
func (s *Scheduler) explain(now time.Time, m Explain) {
	select {
	case m.reply <- s.core.Explain(now, m.query):
	default:
	}
}
