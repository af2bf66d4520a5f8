package scheduler

import "time"

// rateGate limits the rate at which this lobby sends requests to one backend server.
type rateGate interface {
	// limits reports whether the rate is limited.
	limits(now time.Time) bool
	// end returns the time from which on the rate is not limited.
	end(now time.Time) time.Time
	// admits reports whether a request may be sent now.
	admits(now time.Time) bool
	// nextAt returns the time at which the next request may be sent, not before now.
	nextAt(now time.Time) time.Time
	// perSecond returns the rate at which this lobby may send, zero if it has no turns.
	perSecond(now time.Time) float64
	// sent records that a request was sent.
	sent(now time.Time)
	// withdrawn records that the request which was sent at a given time never left this
	// process.
	withdrawn(sentAt time.Time)
	// sendBefore returns the time by which a request that is admitted now must leave this
	// process, zero for no limit.
	sendBefore(now time.Time) time.Time
	// cost returns what is added to the estimated delay of a request.
	cost(now time.Time) time.Duration
}

// rateGates are the gates of one backend server. A request has to pass all of them.
type rateGates []rateGate

func (g rateGates) limits(now time.Time) bool {
	for _, gate := range g {
		if gate.limits(now) {
			return true
		}
	}
	return false
}

func (g rateGates) end(now time.Time) time.Time {
	var end time.Time
	for _, gate := range g {
		end = later(end, gate.end(now))
	}
	return end
}

func (g rateGates) admits(now time.Time) bool {
	for _, gate := range g {
		if !gate.admits(now) {
			return false
		}
	}
	return true
}

func (g rateGates) nextAt(now time.Time) time.Time {
	next := now
	for _, gate := range g {
		next = later(next, gate.nextAt(now))
	}
	return next
}

// perSecond returns the lowest rate of the gates that limit it.
func (g rateGates) perSecond(now time.Time) float64 {
	lowest, found := 0.0, false
	for _, gate := range g {
		if rate := gate.perSecond(now); gate.limits(now) && (!found || rate < lowest) {
			lowest, found = rate, true
		}
	}
	return lowest
}

func (g rateGates) sent(now time.Time) {
	for _, gate := range g {
		gate.sent(now)
	}
}

func (g rateGates) withdrawn(sentAt time.Time) {
	for _, gate := range g {
		gate.withdrawn(sentAt)
	}
}

// sendBefore returns the earliest of the times of the gates.
func (g rateGates) sendBefore(now time.Time) time.Time {
	var before time.Time
	for _, gate := range g {
		if at := gate.sendBefore(now); before.IsZero() || !at.IsZero() && at.Before(before) {
			before = at
		}
	}
	return before
}

// cost returns the highest cost of the gates.
func (g rateGates) cost(now time.Time) time.Duration {
	highest := time.Duration(0)
	for _, gate := range g {
		highest = max(highest, gate.cost(now))
	}
	return highest
}
