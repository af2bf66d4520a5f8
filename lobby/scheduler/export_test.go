package scheduler

import "time"

// Absences returns the number of models, and of services, that are remembered as absent.
func (c *Core) Absences() int { return len(c.forecast.absences) }

// Names returns the number of names under which something is kept, of services, routes, customers,
// models and backend servers that leave.
func (c *Core) Names() int {
	return len(c.budgets) + len(c.shares) + len(c.runTimes) + len(c.weights.services) + len(c.answers.routes) +
		len(c.callerAges.full) + len(c.estimator.perToken) + len(c.models) + len(c.forecast.absences) + len(c.departed)
}

// Accounts are what a core counts of its open requests, in all.
type Accounts struct {
	Open       int           // requests at backend servers
	Prefill    time.Duration // their pending prefill
	Unanswered int
	Places     int // requests that wait in the queue
	InQueues   int // the same, by the queues
}

// CountedAccounts returns the sums of the accounts, and what the open requests add up to. It
// reports whether none of the accounts is below zero.
func (c *Core) CountedAccounts() (counted, expected Accounts, sound bool) {
	sound = true
	servers := make(map[*server]struct{})
	for _, s := range c.servers {
		servers[s] = struct{}{}
	}
	for _, s := range c.unlisted {
		servers[s] = struct{}{}
	}
	for _, req := range c.requests {
		if req.server == nil {
			continue
		}
		servers[req.server] = struct{}{}
		expected.Open++
		expected.Prefill += req.prefill
		if req.awaiting {
			expected.Unanswered++
		}
	}
	for s := range servers {
		counted.Open += s.open
		counted.Prefill += s.prefill
		counted.Unanswered += s.unanswered
		sound = sound && s.open >= 0 && s.prefill >= 0 && s.unanswered >= 0 && s.unansweredSince.IsZero() == (s.unanswered == 0)
	}
	for _, places := range c.places.taken {
		counted.Places += places
	}
	for _, q := range c.waiting {
		counted.InQueues += q.Len()
	}
	expected.Places, expected.InQueues = len(c.queued), len(c.queued)
	return counted, expected, sound
}
