package scheduler

import (
	"time"

	"sesamewell.example/commons/protocol"
)

const (
	// limitWindow is the time within which a backend server may get limitExcess times
	// what the rate that it names allows, and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	// limitCatchUp is the longest time for which a turn is kept: the queue is looked at
	// once in tickPeriod.
	limitCatchUp = 2 * tickPeriod
	// limitRetention is the time after the last answer that named the rate from which on
	// a lobby asks, by a request, whether that still holds, if it has no turn before.
	limitRetention = 15 * time.Second
	// limitTellPeriod is the time after which the other lobbies are told again.
	limitTellPeriod = 2 * time.Second
	// maxLimitTransit is the longest time that a digest is taken to be on its way.
	maxLimitTransit = time.Second
	// limitCost is added to the estimated delay at a backend server that names a rate:
	// what others can run leaves its turns to what they cannot.
	limitCost = coldCost
)

// limitParts are the parts, by standing, of the requests that may reach a backend server
// within limitWindow.
var limitParts = map[standing]float64{joining: 0.2, established: 0.6, lapsed: 0.2}

// limitGate admits this lobby's requests to one backend server by its share of the rate
// that the backend server names in its answers: the requests per second that it takes from
// all lobbies together. A nil limitGate admits all.
type limitGate struct {
	pacer pacer
	rate  float64   // zero if it names none
	since time.Time // time from which on it has named one
	heard time.Time // time of the last answer that named one, to this lobby or another
	ended time.Time // time of the request whose answer ended the last limit, from this lobby or another

	recorded    time.Time // time of the last record
	answered    time.Time // as heard, of answers to this lobby
	answeredEnd time.Time // as ended, of requests from this lobby
	told        time.Time // time at which the other lobbies were told last
	toldRate    float64
}

func newLimitGate(backend string, shares *rateShares) *limitGate {
	return &limitGate{pacer: newPacer(backend, shares)}
}

// hear takes what an answer names and reports whether that changes the limit. Answers may
// overtake one another, so that only one to a request that was sent after a rate was last
// named ends the limit.
func (g *limitGate) hear(now time.Time, rate float64, sent time.Time) bool {
	if rate > 0 {
		g.answered = now
		return g.begin(now, now, rate)
	}
	if !g.finish(sent) {
		return false
	}
	g.answeredEnd = sent
	return true
}

// hearPeer takes what another lobby has heard some time ago, and reports whether that
// changes the limit.
func (g *limitGate) hearPeer(now time.Time, limit protocol.LimitConfig) bool {
	at := now.Add(-limit.Age - maxLimitTransit)
	if limit.Rate == 0 {
		return g.finish(at)
	}
	return at.After(g.heard) && at.After(g.ended) && g.begin(now, at, limit.Rate)
}

// begin sets the rate that was named at a time.
func (g *limitGate) begin(now, at time.Time, rate float64) bool {
	changed := g.rate != rate
	if g.rate == 0 {
		g.since = now
	}
	g.rate, g.heard = rate, at
	return changed
}

// finish ends the limit by an answer to a request that was sent at a time.
func (g *limitGate) finish(sent time.Time) bool {
	if g.rate == 0 || !sent.After(g.heard) {
		return false
	}
	g.rate, g.ended = 0, sent
	return true
}

// toSend returns what the other lobbies are to be told now, if anything: what answers to
// this lobby have named lately, when it has changed and repeatedly.
func (g *limitGate) toSend(now time.Time) (limit protocol.LimitConfig, ok bool) {
	limit = protocol.LimitConfig{Backend: g.pacer.backend, Rate: g.rate, Age: now.Sub(g.answered)}
	if g.rate == 0 {
		limit.Age = now.Sub(g.answeredEnd)
	}
	return limit, limit.Age < limitRetention && (g.toldRate != g.rate || now.Sub(g.told) >= limitTellPeriod)
}

// tell records that the other lobbies are told now.
func (g *limitGate) tell(now time.Time) { g.told, g.toldRate = now, g.rate }

// named returns the rate that the backend server names, zero if it names none.
func (g *limitGate) named() float64 {
	if g == nil {
		return 0
	}
	return g.rate
}

// heldAt reports whether a rate is in force and was named not long ago.
func (g *limitGate) heldAt(now time.Time) bool { return g.named() > 0 && now.Sub(g.heard) < maxHold }

func (g *limitGate) limits(time.Time) bool { return g.named() > 0 }

// end returns a time that is far away: nothing tells for how long a rate is named.
func (g *limitGate) end(now time.Time) time.Time {
	if g.named() == 0 {
		return time.Time{}
	}
	return now.Add(maxHold)
}

func (g *limitGate) admits(now time.Time) bool { return g.named() == 0 || !g.turn(now).After(now) }

func (g *limitGate) nextAt(now time.Time) time.Time {
	if g.named() == 0 {
		return now
	}
	return later(now, g.turn(now))
}

// turn returns the time of this lobby's next request. It may have passed.
func (g *limitGate) turn(now time.Time) time.Time {
	share := g.pacer.currentShare(now, g.bound())
	if share.gap > 0 {
		return g.pacer.turn(share, g.since)
	}
	return g.probeTurn(now, share.rank)
}

// probeTurn returns the time of the next request of a lobby without turns, which would not
// hear that the limit has ended. After a while without an answer that names the rate, such
// lobbies take turns in the order of their ranks; a turn that is not used passes.
func (g *limitGate) probeTurn(now time.Time, rank int) time.Time {
	length := limitWindow / time.Duration(max(g.bound().limit(lapsed), 1))
	probers := max(g.pacer.shares.lobbies()-g.bound().limit(established), 1)
	first := g.heard.Add(limitRetention + time.Duration(rank%probers)*length)
	if now.Before(first) {
		return first
	}
	round := time.Duration(probers) * length
	turn := now.Add(-(now.Sub(first) % round))
	if now.Sub(turn) < length && g.pacer.lastSent.Before(turn) {
		return turn
	}
	return turn.Add(round)
}

func (g *limitGate) perSecond(now time.Time) float64 {
	if g.named() == 0 {
		return 0
	}
	if share := g.pacer.currentShare(now, g.bound()); share.gap > 0 {
		return 1 / share.gap.Seconds()
	}
	return 0
}

// sent records that a request was sent. A turn that was due since the last look at the
// queue is not lost.
func (g *limitGate) sent(now time.Time) {
	turn := now
	if g.rate > 0 {
		turn = earlier(later(g.turn(now), now.Add(-limitCatchUp)), now)
	}
	g.pacer.sent(now, turn)
}

func (g *limitGate) withdrawn(sentAt time.Time) { g.pacer.withdrawn(sentAt) }

func (g *limitGate) sendBefore(now time.Time) time.Time {
	if g.rate == 0 {
		return time.Time{}
	}
	return now.Add(maxSendDelay)
}

func (g *limitGate) cost(time.Time) time.Duration {
	if g.rate == 0 {
		return 0
	}
	return limitCost
}

// bound returns what the backend server tolerates.
func (g *limitGate) bound() rateBound {
	return rateBound{
		rate: g.rate, most: limitExcess*limitWindow.Seconds()*g.rate + limitSlack,
		window: limitWindow + shareMargin + limitCatchUp, maxGap: limitRetention, parts: limitParts,
	}
}
