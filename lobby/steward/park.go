package steward

import (
	"time"

	"sesamewell.example/commons/charter"
)

// park lets a request wait until a backend server can have it: a model may be
// on its way. What has waited for its share of time is refused, early enough to
// come back.
func (c *Core) park(now time.Time, call *call) {
	if c.draining.IsZero() && call.sent == 0 && now.Before(call.patience()) && (call.parked || c.parked() < maxParked) {
		call.parked = true
		return
	}
	c.refund(now, call)
	c.refuse(call, noBackend, awayRetry)
}

// patience returns the time up to which the request waits for a backend server.
func (c *call) patience() time.Time {
	arrived := c.visit.Arrived()
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

func (c *Core) parked() int {
	n := 0
	for _, call := range c.calls {
		if call.parked {
			n++
		}
	}
	return n
}

// unpark tries the requests that wait once more.
func (c *Core) unpark(now time.Time) {
	for _, call := range c.calls {
		if call.parked {
			c.send(now, call)
		}
	}
}
