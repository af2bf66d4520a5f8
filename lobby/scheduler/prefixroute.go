package scheduler

import (
	"time"

	"sesamewell.example/commons/prefixroute"
)

// Ranks of candidates add up.
const (
	unplannedRank = 1 // the plan does not keep the model there
	suspectedRank = 2 // used only as a last resort
)

// routeOf returns what a candidate is expected to cost a request.
func (c *Core) routeOf(now time.Time, req *openRequest, cand candidate, engine bool) prefixroute.Candidate {
	s := cand.server
	if !engine && len(c.peers) > 0 {
		return prefixroute.New(prefixroute.CandidateConfig{Rank: cand.rank(), Wait: c.plainDelay(s) + s.gates.cost(now)})
	}
	config := prefixroute.CandidateConfig{Rank: cand.rank(), Wait: time.Duration(s.open+s.peerOpen) * plainRequestCost}
	if engine {
		config.Wait, config.Prefill = s.prefill+s.peerPrefill, cand.prefill
		config.Load = s.model.contention(now, s.open+s.peerOpen, s.backend.Slots())
		config.Evicted = c.evictedPrefill(now, req, cand)
	}
	config.Wait += s.gates.cost(now)
	if !s.adapterReady(now, req.request) {
		config.Adapter = adapterLoadCost
	}
	if s.backend.Domain() != c.config.Domain {
		config.Link = remoteDomainCost
	}
	return prefixroute.New(config)
}

// rank returns the candidate's rank: one that is not suspected comes first, then one
// where the plan keeps the model.
func (c candidate) rank() int {
	rank := 0
	if c.suspected {
		rank += suspectedRank
	}
	if !c.planned {
		rank += unplannedRank
	}
	return rank
}

// evictedPrefill returns the prefill time of the parts that a request's prompt would
// evict at a candidate and that other requests use.
func (c *Core) evictedPrefill(now time.Time, req *openRequest, cand candidate) time.Duration {
	tokens := cand.server.cache.evicted(c.cacheCapacity(cand.server), cand.uncached)
	if tokens == 0 {
		return 0
	}
	return c.promptTime(now, cand.server, req.request.Model(), tokens)
}
