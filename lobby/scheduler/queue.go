package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/deployment"
)

// enqueue queues a request until a backend server can run it: its model may
// still be loading, or all backend servers that hold it are full. Requests that
// have waited for queueShare of their time are refused, early enough for callers
// to retry.
func (c *Core) enqueue(now time.Time, req *openRequest) {
	_, alreadyQueued := c.queued[req.number]
	mayWait := req.attempts == 0 || req.resuming()
	if c.drainStart.IsZero() && mayWait && now.Before(req.queueDeadline()) && (alreadyQueued || len(c.queued) < maxQueued) {
		c.queued[req.number] = req
		return
	}
	c.refuseUnserved(now, req, noBackend, noBackendRetryAfter)
}

// queueDeadline returns the time until which the request may stay in the queue.
func (r *openRequest) queueDeadline() time.Time {
	arrived := r.request.Arrived()
	if r.resuming() {
		return r.truncatedAt.Add(time.Duration(float64(r.streamTimeout()) * queueShare))
	}
	if r.route.Kind() == deployment.Stream {
		return arrived.Add(time.Duration(float64(r.streamTimeout()) * queueShare))
	}
	return arrived.Add(time.Duration(float64(r.expires.Sub(arrived)) * queueShare))
}

// streamTimeout returns the time without an event after which the caller is
// assumed to drop a stream.
func (r *openRequest) streamTimeout() time.Duration {
	return min(max(minStreamTimeout, streamTimeoutObjectives*r.route.LatencyObjective(), streamTimeoutGaps*r.route.GapObjective()), r.expires.Sub(r.request.Arrived()))
}

// late reports whether the request can no longer meet its objective.
func (r *openRequest) late(now time.Time) bool {
	return now.Sub(r.request.Arrived()) > r.route.LatencyObjective()-prefillAllowance
}

// priority returns the request's priority. Zero is the most urgent.
func (r *openRequest) priority() int { return r.tenant.PriorityFor(r.route.Priority()) }

// compareUrgency orders queued requests, the most urgent first: requests that
// can still meet their objective before late ones, then by priority, then by
// the end of the objective, then by number.
func compareUrgency(now time.Time, a, b *openRequest) int {
	lateness := func(r *openRequest) int {
		if r.late(now) {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(lateness(a), lateness(b)),
		cmp.Compare(a.priority(), b.priority()),
		a.request.Arrived().Add(a.route.LatencyObjective()).Compare(b.request.Arrived().Add(b.route.LatencyObjective())),
		cmp.Compare(a.number, b.number),
	)
}

// placeQueued tries to place the queued requests, the most urgent first.
func (c *Core) placeQueued(now time.Time) {
	queue := slices.SortedFunc(maps.Values(c.queued), func(a, b *openRequest) int { return compareUrgency(now, a, b) })
	for _, req := range queue {
		c.place(now, req)
	}
}

// placeNext places the most urgent queued request that fits a backend server
// where capacity was freed.
func (c *Core) placeNext(now time.Time, s *server) {
	if len(c.queued) == 0 || s == nil || !s.usable() {
		return
	}
	fits := func(req *openRequest) bool {
		if req.service != s.backend.Service() || req.tried[s.backend.ID()] || !s.canRun(now, req) {
			return false
		}
		return s.canPrefill(req, c.estimator.promptTime(req.request.Model(), s.cache.uncached(req.request)))
	}
	var first *openRequest
	for _, req := range c.queued {
		if fits(req) && (first == nil || compareUrgency(now, req, first) < 0) {
			first = req
		}
	}
	if first != nil {
		c.place(now, first)
	}
}
