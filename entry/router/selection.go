package router

import (
	"cmp"
	"slices"
	"time"

	"sesamewell.example/commons/prefixroute"
	"sesamewell.example/commons/protocol"
)

// candidate is a side that may run one request, with what it reported about that
// request.
type candidate struct {
	side          *side
	answered      bool          // a probe reply, new or reused, is available
	lacksModel    bool          // the side does not hold the model
	matchedBlocks int           // leading blocks of the prompt expected in the side's prefix cache
	firstToken    time.Duration // expected time to the first token
}

// selectSide selects a side for the request. It probes a few candidates and waits
// for their replies. It sends the request at once if there is only one candidate
// or if the last replies of all candidates can be reused. Probing a few sides on
// demand, and preferring free slots over the lowest expected latency, follows
// "Load is not what you should balance: Introducing Prequal" (Wydrowski et al.,
// NSDI 2024).
func (c *Core) selectSide(now time.Time, r *requestState) []Action {
	if r.attemptCount >= c.config.MaxAttempts || r.selections >= maxSelections {
		return []Action{c.refuse(r)}
	}
	r.selections++
	r.candidates = c.selectCandidates(now, r)
	if len(r.candidates) == 0 {
		return []Action{c.refuse(r)}
	}
	var actions []Action
	for _, candidate := range r.candidates {
		if candidate.answered || len(r.candidates) == 1 {
			continue
		}
		candidate.side.markProbed(now)
		actions = append(actions, Probe{side: candidate.side.name, query: r.query()})
	}
	if len(actions) == 0 {
		return c.sendToBest(now, r)
	}
	r.probeDeadline = now.Add(probeTimeout)
	c.probing = append(c.probing, r)
	return actions
}

// selectCandidates returns the sides to probe: the one in this failure domain that
// its entries prefer for the prompt, others in this failure domain, and at least
// one in another, so that measured load decides whether a request leaves the
// failure domain.
func (c *Core) selectCandidates(now time.Time, r *requestState) []*candidate {
	near, far := c.eligible(now, r, false)
	if len(near)+len(far) == 0 {
		near, far = c.eligible(now, r, true)
	}
	var picked []*side
	if len(r.prefix) > 0 && len(near) > 0 {
		preferred := slices.MaxFunc(near, func(a, b *side) int {
			return cmp.Compare(rendezvousWeight(r.prefix[0], a.name), rendezvousWeight(r.prefix[0], b.name))
		})
		picked = append(picked, preferred)
		near = slices.DeleteFunc(near, func(s *side) bool { return s == preferred })
	}
	c.shuffle(near)
	c.shuffle(far)
	fromNear := min(max(c.config.Probes-len(picked)-min(len(far), 1), 0), len(near))
	picked = append(picked, near[:fromNear]...)
	picked = append(picked, far[:min(max(c.config.Probes-len(picked), 0), len(far))]...)
	candidates := make([]*candidate, 0, len(picked))
	for _, s := range picked {
		matched := c.affinity.match(r.prefix, s.name)
		candidates = append(candidates, &candidate{side: s, answered: s.reportReusable(now), matchedBlocks: matched, firstToken: s.firstToken})
	}
	return candidates
}

// eligible returns the sides that can run the request, in this failure domain and
// in others. It returns only suspect sides if suspects is true, and only sides
// that are not suspect otherwise.
func (c *Core) eligible(now time.Time, r *requestState, suspects bool) (near, far []*side) {
	for _, s := range c.holders(r.request) {
		if !s.serves(r.request) || c.unavailable(s) || s.suspect(now) != suspects || slices.Contains(r.excluded, s.name) {
			continue
		}
		if s.domain == c.config.Domain {
			near = append(near, s)
		} else {
			far = append(far, s)
		}
	}
	return near, far
}

// unavailable reports whether a side must not get new attempts: it announced that
// it is draining, its failure domain is evacuated, or it is closed.
func (c *Core) unavailable(s *side) bool {
	return s.draining || s.evacuated || c.closed.has(s.name)
}

// holders returns the sides that hold the request's model according to the plan,
// or all sides if the plan does not contain the model.
func (c *Core) holders(request Request) []*side {
	names, ok := c.placement[request.config.Model]
	if !ok {
		return c.ordered
	}
	var holders []*side
	for _, name := range names {
		if s, ok := c.sides[name]; ok {
			holders = append(holders, s)
		}
	}
	return holders
}

func (c *Core) shuffle(sides []*side) {
	c.config.Random.Shuffle(len(sides), func(i, j int) { sides[i], sides[j] = sides[j], sides[i] })
}

// handleProbeReply stores the load that a side reported and sends the requests
// that need no further replies.
func (c *Core) handleProbeReply(now time.Time, m ProbeReply) []Action {
	s, ok := c.sides[m.side]
	if !ok {
		return nil
	}
	var actions []Action
	s.applyReport(now, m.report)
	for _, estimate := range m.report.Estimates() {
		r, ok := c.requests[estimate.Request()]
		if !ok || r.attempt != "" {
			continue
		}
		for _, candidate := range r.candidates {
			if candidate.side == s && !candidate.answered {
				candidate.answered, candidate.lacksModel = true, !estimate.Resident()
				candidate.matchedBlocks = max(candidate.matchedBlocks, estimate.MatchedBlocks())
				candidate.firstToken = estimate.FirstToken()
			}
		}
		if enoughAnswers(r.candidates) {
			actions = append(actions, c.sendToBest(now, r)...)
		}
	}
	return actions
}

// handleProbeFailed records that a side did not reply to a probe.
func (c *Core) handleProbeFailed(now time.Time, m ProbeFailed) []Action {
	s, ok := c.sides[m.side]
	if !ok {
		return nil
	}
	s.failedAt, s.probedAt = now, time.Time{}
	return nil
}

// enoughAnswers reports whether a request need not wait for further replies. Of
// three or more, one may be missing.
func enoughAnswers(candidates []*candidate) bool {
	missing := 0
	for _, candidate := range candidates {
		if !candidate.answered {
			missing++
		}
	}
	return missing == 0 || (missing == 1 && len(candidates) > 2)
}

// sendOverdue sends the requests whose wait for probe replies is over.
func (c *Core) sendOverdue(now time.Time) []Action {
	var actions []Action
	for len(c.probing) > 0 {
		r := c.probing[0]
		if r.awaitsProbes() && now.Before(r.probeDeadline) {
			return actions
		}
		c.probing[0] = nil
		c.probing = c.probing[1:]
		if r.awaitsProbes() && c.requests[r.request.config.ID] == r {
			actions = append(actions, c.sendToBest(now, r)...)
		}
	}
	return actions
}

// sendToBest sends the request to the best of its candidates. If none can run it,
// it selects other candidates.
func (c *Core) sendToBest(now time.Time, r *requestState) []Action {
	var best *candidate
	for _, candidate := range r.candidates {
		if candidate.lacksModel || c.unavailable(candidate.side) {
			continue
		}
		if best == nil || c.route(candidate).BetterThan(c.route(best)) {
			best = candidate
		}
	}
	if best == nil {
		if r.code == protocol.CodeNoBackend && len(r.candidates) > 0 {
			r.code = protocol.CodeNotResident
		}
		for _, candidate := range r.candidates {
			r.excluded = append(r.excluded, candidate.side.name)
		}
		r.candidates = nil
		return c.selectSide(now, r)
	}
	r.candidates = nil
	return c.send(now, r, best.side)
}

// Ranks of candidates add up.
const (
	fullRank       = 1 // no free slot
	unansweredRank = 2 // no reply to the probe
)

// route returns the candidate for the decision that lobbies make too: one that
// replied is preferred to one that did not, then one with a free slot to one
// without, then the lower expected cost.
func (c *Core) route(candidate *candidate) prefixroute.Candidate {
	s := candidate.side
	config := prefixroute.CandidateConfig{
		Wait:  candidate.firstToken,
		Saved: time.Duration(candidate.matchedBlocks) * blockSaving,
		Link:  s.roundTrip,
		Load:  time.Duration(min(s.utilization(), 1) * float64(loadCost)),
	}
	if !candidate.answered {
		config.Rank += unansweredRank
	}
	if s.utilization() >= 1 {
		config.Rank += fullRank
	}
	if s.domain != c.config.Domain {
		config.Link += crossDomainCost
	}
	return prefixroute.New(config)
}

// query returns the probe query for the request.
func (r *requestState) query() protocol.Query {
	config := r.request.config
	return protocol.NewQuery(protocol.QueryConfig{Request: config.ID, Tenant: config.Tenant, Model: config.Model, PrefixHashes: r.prefix, Urgent: config.Urgent})
}

// awaitsProbes reports whether the request waits for probe replies.
func (r *requestState) awaitsProbes() bool { return len(r.candidates) > 0 }
