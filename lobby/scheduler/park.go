package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/charter"
)

// park lets a request wait until a backend server can have it: its model may be
// on its way, or all that hold it are full. What has waited for its share of
// time is refused, early enough to come back.
func (c *Core) enqueue(now time.Time, call *openRequest) {
	_, waits := c.queued[call.number]
	fresh := call.attempts == 0 || call.resuming()
	if c.drainStart.IsZero() && fresh && now.Before(call.queueDeadline()) && (waits || len(c.queued) < maxQueued) {
		c.queued[call.number] = call
		return
	}
	c.refuseUnserved(now, call, noBackend, noBackendRetryAfter)
}

// patience returns the time up to which the request waits for a backend server.
func (c *openRequest) queueDeadline() time.Time {
	arrived := c.request.Arrived()
	if c.resuming() {
		return c.cutAt.Add(time.Duration(float64(c.streamTimeout()) * queueShare))
	}
	if c.route.Kind() == charter.Stream {
		return arrived.Add(time.Duration(float64(c.streamTimeout()) * queueShare))
	}
	return arrived.Add(time.Duration(float64(c.expires.Sub(arrived)) * queueShare))
}

// silence returns the time without an event after which callers give a stream
// up.
func (c *openRequest) streamTimeout() time.Duration {
	return min(max(minStreamTimeout, streamTimeoutObjectives*c.route.Objective(), streamTimeoutGaps*c.route.Gap()), c.expires.Sub(c.request.Arrived()))
}

// late reports whether a request can no longer be answered within its
// objective.
func (c *openRequest) late(now time.Time) bool {
	return now.Sub(c.request.Arrived()) > c.route.Objective()-prefillAllowance
}

// rank returns the request's rank, zero being the most urgent.
func (c *openRequest) rank() int { return c.tenant.Rank(c.route.Priority()) }

// ahead orders the requests that wait: those that can be in time first, by rank;
// then the one whose objective ends first.
func compareUrgency(now time.Time, a, b *openRequest) int {
	lateness := func(c *openRequest) int {
		if c.late(now) {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(lateness(a), lateness(b)),
		cmp.Compare(a.rank(), b.rank()),
		a.request.Arrived().Add(a.route.Objective()).Compare(b.request.Arrived().Add(b.route.Objective())),
		cmp.Compare(a.number, b.number),
	)
}

// unpark tries the requests that wait once more, the most pressing first.
func (c *Core) placeQueued(now time.Time) {
	queue := slices.SortedFunc(maps.Values(c.queued), func(a, b *openRequest) int { return compareUrgency(now, a, b) })
	for _, call := range queue {
		c.place(now, call)
	}
}

// refill gives the place that came free at a backend server to the most pressing
// request that waits for it.
func (c *Core) placeNext(now time.Time, h *server) {
	if len(c.queued) == 0 || h == nil || !h.usable() {
		return
	}
	fits := func(call *openRequest) bool {
		if call.service != h.backend.Service() || call.tried[h.backend.ID()] || !h.canRun(now, call) {
			return false
		}
		return h.canPrefill(call, c.estimator.promptTime(call.request.Model(), h.cache.uncached(call.request)))
	}
	var first *openRequest
	for _, call := range c.queued {
		if fits(call) && (first == nil || compareUrgency(now, call, first) < 0) {
			first = call
		}
	}
	if first != nil {
		c.place(now, first)
	}
}
