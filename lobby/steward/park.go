package steward

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
func (c *Core) park(now time.Time, call *call) {
	_, waits := c.waiting[call.number]
	fresh := call.sent == 0 || call.goesOn()
	if c.draining.IsZero() && fresh && now.Before(call.patience()) && (waits || len(c.waiting) < maxParked) {
		c.waiting[call.number] = call
		return
	}
	c.turnAway(now, call, noBackend, awayRetry)
}

// patience returns the time up to which the request waits for a backend server.
func (c *call) patience() time.Time {
	arrived := c.visit.Arrived()
	if c.goesOn() {
		return c.cut.Add(time.Duration(float64(c.silence()) * parkShare))
	}
	if c.route.Kind() == charter.Stream {
		return arrived.Add(time.Duration(float64(c.silence()) * parkShare))
	}
	return arrived.Add(time.Duration(float64(c.expires.Sub(arrived)) * parkShare))
}

// silence returns the time without an event after which callers give a stream
// up.
func (c *call) silence() time.Duration {
	return min(max(streamSilence, silentObjectives*c.route.Objective(), silentGaps*c.route.Gap()), c.expires.Sub(c.visit.Arrived()))
}

// late reports whether a request can no longer be answered within its
// objective.
func (c *call) late(now time.Time) bool {
	return now.Sub(c.visit.Arrived()) > c.route.Objective()-readShare
}

// rank returns the request's rank, zero being the most urgent.
func (c *call) rank() int { return c.tenant.Rank(c.route.Priority()) }

// ahead orders the requests that wait: those that can be in time first, by rank;
// then the one whose objective ends first.
func ahead(now time.Time, a, b *call) int {
	lateness := func(c *call) int {
		if c.late(now) {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(lateness(a), lateness(b)),
		cmp.Compare(a.rank(), b.rank()),
		a.visit.Arrived().Add(a.route.Objective()).Compare(b.visit.Arrived().Add(b.route.Objective())),
		cmp.Compare(a.number, b.number),
	)
}

// unpark tries the requests that wait once more, the most pressing first.
func (c *Core) unpark(now time.Time) {
	queue := slices.SortedFunc(maps.Values(c.waiting), func(a, b *call) int { return ahead(now, a, b) })
	for _, call := range queue {
		c.send(now, call)
	}
}

// refill gives the place that came free at a backend server to the most pressing
// request that waits for it.
func (c *Core) refill(now time.Time, h *host) {
	if len(c.waiting) == 0 || h == nil || !h.usable() {
		return
	}
	fits := func(call *call) bool {
		if call.service != h.backend.Service() || call.tried[h.backend.ID()] || !h.takes(now, call) {
			return false
		}
		return h.reads(call, c.paces.read(call.visit.Model(), h.shelf.missing(call.visit)))
	}
	var first *call
	for _, call := range c.waiting {
		if fits(call) && (first == nil || ahead(now, call, first) < 0) {
			first = call
		}
	}
	if first != nil {
		c.send(now, first)
	}
}
