package scheduler

import (
	"math"
	"time"
)

const (
	// startTimeTolerance is added to the cold time that is counted from a backend server's
	// own clock, and is how far that may be ahead.
	startTimeTolerance = 500 * time.Millisecond
	// rampDoublings is the number of times by which the rate doubles in the cold time
	// that follows the cold time.
	rampDoublings = 4
	// rampCatchUp is the longest time for which a turn of the ramp is kept: the queue is
	// looked at once in tickPeriod.
	rampCatchUp = 2 * tickPeriod
	// coldCost is added to the estimated delay at a backend server that is cold or warms
	// up: what others can run leaves its turns to what they cannot.
	coldCost = 25 * time.Millisecond
	// maxColdGap is the longest time between two requests of a lobby to a cold backend
	// server, however low a rate the configuration states.
	maxColdGap = 10 * time.Minute
)

// coldParts are the parts, by standing, of the requests that may reach a cold backend server
// in one second.
var coldParts = map[standing]float64{joining: 0.15, established: 0.7, lapsed: 0.15}

// coldGateConfig holds the construction parameters of a coldGate.
type coldGateConfig struct {
	Backend string        // ID of the backend server
	Start   time.Duration // time from its start for which it is cold
	Rate    float64       // requests per second that it tolerates meanwhile, from all lobbies
	Shares  *rateShares
}

// coldGate admits this lobby's requests to one backend server that is cold after its
// start, or becomes cold again. While it is cold, the lobby sends its share of the rate.
// Afterwards the rate doubles several times within the cold time, and ends to be limited.
// A nil coldGate admits all.
type coldGate struct {
	config        coldGateConfig
	startedUntil  time.Time // end of the cold time counted from its start
	reportedUntil time.Time // end of the cold time that it reported last
	since         time.Time // start of the present or last cold time, as far as known
	pacer         pacer
}

func newColdGate(config coldGateConfig) *coldGate {
	return &coldGate{config: config, pacer: newPacer(config.Backend, config.Shares)}
}

// started records that the backend server may have started at a given time.
func (g *coldGate) started(now, at time.Time) {
	g.extend(now, func() { g.startedUntil = later(g.startedUntil, at.Add(g.config.Start)) })
}

// reported records the remaining cold time of a new report. It replaces that of the
// report before, which counted from its receipt, too. A report without any ends a cold
// time, but does not begin the ramp again.
func (g *coldGate) reported(now time.Time, remaining time.Duration) {
	if remaining <= 0 {
		g.reportedUntil = earlier(g.reportedUntil, now)
		return
	}
	g.extend(now, func() { g.reportedUntil = now.Add(remaining) })
}

func (g *coldGate) extend(now time.Time, change func()) {
	wasCold := g.cold(now)
	change()
	if !wasCold && g.cold(now) {
		g.since = now
	}
}

// until returns the end of the cold time.
func (g *coldGate) until() time.Time { return later(g.startedUntil, g.reportedUntil) }

// cold reports whether the backend server is cold.
func (g *coldGate) cold(now time.Time) bool { return g != nil && now.Before(g.until()) }

// limits reports whether the rate of requests is limited.
func (g *coldGate) limits(now time.Time) bool { return g != nil && now.Before(g.end(now)) }

// end returns the time from which on the rate is not limited.
func (g *coldGate) end(time.Time) time.Time {
	until := g.until()
	if until.IsZero() {
		return until
	}
	return until.Add(g.config.Start)
}

// cost returns what is added to the estimated delay of a request.
func (g *coldGate) cost(now time.Time) time.Duration {
	if g.limits(now) {
		return coldCost
	}
	return 0
}

// admits reports whether a request may be sent now.
func (g *coldGate) admits(now time.Time) bool {
	if g.cold(now) && g.currentShare(now).gap == 0 {
		return false // the turns of the ramp, which are costly to calculate, come later
	}
	return g == nil || !g.nextAt(now).After(now)
}

// sent records that a request was sent. In the ramp a turn that was due since the last
// look at the queue is not lost.
func (g *coldGate) sent(now time.Time) {
	if g == nil {
		return
	}
	turn := now
	if g.limits(now) && !g.cold(now) {
		turn = earlier(later(g.rampTurn(now), now.Add(-rampCatchUp)), now)
	}
	g.pacer.sent(now, turn)
}

// withdrawn records that the request which was sent at a given time never left this
// process. If it was the last one, its turn is free again.
func (g *coldGate) withdrawn(sentAt time.Time) {
	if g != nil {
		g.pacer.withdrawn(sentAt)
	}
}

// sendBefore returns the time by which a request that is admitted now must leave this
// process, zero for no limit. Requests that wait for a connection would leave together.
func (g *coldGate) sendBefore(now time.Time) time.Time {
	if !g.limits(now) {
		return time.Time{}
	}
	return now.Add(maxSendDelay)
}

// nextAt returns the time at which the next request may be sent, not before now. While
// the backend server is cold, that is the turn of this lobby, or its first one afterwards.
func (g *coldGate) nextAt(now time.Time) time.Time {
	if !g.limits(now) {
		return now
	}
	if share := g.currentShare(now); g.cold(now) && share.gap > 0 {
		turn := g.pacer.turn(share, g.since)
		if turn.Before(g.until()) { // and so before the ramp
			return later(now, turn)
		}
	}
	return later(now, g.rampTurn(now))
}

// perSecond returns the rate at which this lobby may send: its share, or that with which
// the ramp begins if it has none.
func (g *coldGate) perSecond(now time.Time) float64 {
	if share := g.currentShare(now); g.cold(now) && share.gap > 0 {
		return 1 / share.gap.Seconds()
	}
	past := max(now.Sub(g.until()).Seconds(), 0)
	doublings := rampDoublings * past / g.config.Start.Seconds()
	return g.config.Rate * math.Exp2(doublings) / float64(g.config.Shares.lobbies())
}

// rampTurn returns the time of this lobby's next request in the ramp. Of the requests that
// the ramp allows, each lobby sends one in as many as there are lobbies, and those that
// have not sent lately take turns.
func (g *coldGate) rampTurn(now time.Time) time.Time {
	own := float64(g.currentShare(now).rank)
	count := max(g.rampCount(g.pacer.lastSent)+float64(g.config.Shares.lobbies()), own)
	turn := later(g.until(), g.until().Add(g.rampTime(count)))
	return earlier(turn, g.end(now))
}

// rampCount returns the number of requests of all lobbies that the ramp allows until a
// given time. It is negative for a time before the end of the cold time.
func (g *coldGate) rampCount(at time.Time) float64 {
	past := at.Sub(g.until()).Seconds()
	if past <= 0 {
		return g.config.Rate * past
	}
	growth := rampDoublings * math.Ln2 / g.config.Start.Seconds()
	return g.config.Rate * math.Expm1(growth*past) / growth
}

// rampTime returns the time from the end of the cold time after which the ramp has allowed
// a number of requests, which is within the ramp.
func (g *coldGate) rampTime(count float64) time.Duration {
	growth := rampDoublings * math.Ln2 / g.config.Start.Seconds()
	past := math.Log1p(max(count, 0)*growth/g.config.Rate) / growth
	return time.Duration(min(past, g.config.Start.Seconds()) * float64(time.Second))
}

// currentShare returns this lobby's share of the rate.
func (g *coldGate) currentShare(now time.Time) rateShare {
	return g.pacer.currentShare(now, g.bound())
}

// bound returns what the backend server tolerates while it is cold.
func (g *coldGate) bound() rateBound {
	config := g.config.Shares.config
	return rateBound{rate: g.config.Rate, most: g.config.Rate*config.Overshoot + config.Slack, window: time.Second + shareMargin, maxGap: maxColdGap, parts: coldParts}
}

// configure sets the cold time and the rate.
func (g *coldGate) configure(start time.Duration, rate float64) {
	g.config.Start, g.config.Rate = start, rate
}
