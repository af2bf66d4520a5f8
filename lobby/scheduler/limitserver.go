package scheduler

import (
	"time"

	"sesamewell.example/commons/protocol"
)

// backendLimit takes the rate that a backend server names in an answer, or that it names
// none.
func (c *Core) backendLimit(now time.Time, m BackendLimit) {
	if s := c.serverOf(m.origin); s != nil && (m.rate > 0 || s.limit != nil) {
		c.changeLimit(now, s, "", func(g *limitGate) bool { return g.hear(now, m.rate, m.sent) })
	}
}

// learnLimits takes the rates that another lobby has heard, so that this one sends less
// before it hears them itself, and hears of their ends if it has no turns.
func (c *Core) learnLimits(now, sent time.Time, digest protocol.Digest) {
	for _, limit := range digest.Limits() {
		if s := c.serverOf(NewOrigin(limit.Backend, limit.Start)); s != nil && (limit.Rate > 0 || s.limit != nil) {
			c.changeLimit(now, s, digest.Sender(), func(g *limitGate) bool { return g.hearPeer(sent, limit) })
		}
	}
}

// changeLimit lets a change act on the limit of a backend server and records it, changes of
// the rate once in a period. When one begins, requests that wait for a connection are taken back.
func (c *Core) changeLimit(now time.Time, s *server, peer string, change func(g *limitGate) bool) {
	if s.limit == nil {
		s.setLimit(newLimitGate(s.backend.ID(), c.rateShares))
	}
	before := s.limit.named()
	if !change(s.limit) {
		return
	}
	changed := before > 0 && s.limit.named() > 0
	if changed && now.Sub(s.limit.recorded) < limitRecordPeriod {
		return
	}
	s.limit.recorded = now
	record := RecordLimit{backend: s.backend.ID(), state: limitChanged, rate: s.limit.named(), before: before, age: now.Sub(s.limit.since), peer: peer, share: s.limit.perSecond(now), lobbies: c.rateShares.lobbies()}
	switch {
	case before == 0:
		record.state = limitBegan
		c.rateLimited = true
		c.emit(ReturnWaiting{backend: s.backend.ID()})
	case s.limit.named() == 0:
		record.state = limitEnded
	}
	c.emit(record)
}

// limitsToSend returns what the other lobbies are to be told now of rates that backend
// servers have named, or have ceased to name, in answers to this lobby.
func (c *Core) limitsToSend(now time.Time) []protocol.LimitConfig {
	var limits []protocol.LimitConfig
	for _, s := range c.servers {
		if s.limit == nil {
			continue
		}
		if limit, ok := s.limit.toSend(now); ok && len(limits) < maxSentLimits {
			s.limit.tell(now)
			limit.Start = s.backend.StartTime()
			limits = append(limits, limit)
		}
	}
	return limits
}

// maxSentLimits is the largest number of limits in a digest, which bounds its size. The
// others wait for the next one.
const maxSentLimits = 64

// limitRecordPeriod is the shortest time between two records of changes of a rate, which may
// differ from answer to answer.
const limitRecordPeriod = 5 * time.Second

// limitState says what has become of a limit.
type limitState string

// States of limits.
const (
	limitBegan   limitState = "begun"
	limitChanged limitState = "changed"
	limitEnded   limitState = "ended"
)

var limitTexts = map[limitState]string{
	limitBegan:   "backend server names a rate in its answers",
	limitChanged: "backend server names another rate",
	limitEnded:   "backend server names no rate any more",
}

// RecordLimit records in log and metrics that a backend server has begun or ceased to name
// a rate, or has changed it.
type RecordLimit struct {
	backend string
	state   limitState
	rate    float64 // requests per second; zero if the limit has ended
	before  float64 // rate named before
	age     time.Duration
	peer    string  // lobby that has told of it; empty if an answer to this lobby has
	share   float64 // requests per second that this lobby may send
	lobbies int     // number of lobbies that share the rate
}

// State tells what has become of the limit.
func (r RecordLimit) State() string { return string(r.state) }

// Rate returns the requests per second that the backend server names, zero if none.
func (r RecordLimit) Rate() float64 { return r.rate }

// Before returns the rate that it named before.
func (r RecordLimit) Before() float64 { return r.before }

func (RecordLimit) schedulerAction() {}
