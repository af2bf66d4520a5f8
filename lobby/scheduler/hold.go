package scheduler

import (
	"math/rand/v2"
	"time"
)

const (
	maxHold       = 10 * time.Minute       // longest time for which a backend server is held, whatever it states
	holdSpread    = 25 * time.Millisecond  // for each lobby, the range over which the ends of their holds are spread
	maxHoldSpread = time.Second            // longest such range
	returnStep    = 250 * time.Millisecond // time after which twice as many requests may return to a backend server
	returnSteps   = 8                      // steps after which they are not counted any more
	minHoldRetry  = 20 * time.Millisecond  // shortest retry delay in refusals while all backend servers are held
)

// hold is the time for which a backend server, which refused a request, wants no others
// from this process, and what returns to it afterwards.
type hold struct {
	refused  time.Time     // time of the refusal
	asked    time.Duration // time that the backend server stated
	until    time.Time     // zero if there was no hold
	returned int           // requests sent after the hold
	ended    bool          // the end has been recorded
}

// newHold returns a hold that begins now. Its end is later than stated by a random time,
// so that the lobbies of a fleet do not all return at once.
func newHold(now time.Time, asked time.Duration, lobbies int, random *rand.Rand) hold {
	spread := min(time.Duration(lobbies)*holdSpread, maxHoldSpread)
	return hold{refused: now, asked: asked, until: now.Add(min(asked, maxHold) + time.Duration(random.Int64N(int64(spread))))}
}

// active reports whether the backend server wants no requests yet.
func (h hold) active(now time.Time) bool { return now.Before(h.until) }

// admits reports whether a request may be sent. After the hold requests return a few at
// a time: one at first, twice as many after each step.
func (h hold) admits(now time.Time) bool {
	if h.until.IsZero() {
		return true
	}
	if h.active(now) {
		return false
	}
	step := now.Sub(h.until) / returnStep
	return step >= returnSteps || h.returned < 1<<step
}

// backendRefusing holds a backend server that has refused a request and states a time.
func (c *Core) backendRefusing(now time.Time, m BackendRefusing) {
	if s := c.serverOf(m.origin); s != nil {
		c.hold(now, s, m.wait)
	}
}

// hold holds a backend server that has refused a request, and takes back the requests
// that wait for a connection to it or for an adapter.
func (c *Core) hold(now time.Time, s *server, asked time.Duration) {
	next := newHold(now, asked, c.lobbyCount, c.config.Random)
	if next.until.Before(s.hold.until) {
		return
	}
	s.hold = next
	c.emit(c.holdRecord(now, s))
	c.emit(ReturnWaiting{backend: s.backend.ID()})
	c.rerouteWaiting(now)
}

func (c *Core) holdRecord(now time.Time, s *server) RecordHold {
	return RecordHold{
		backend: s.backend.ID(), asked: s.hold.asked, until: s.hold.until, ended: s.hold.ended,
		age: now.Sub(s.hold.refused), listAge: now.Sub(c.listedAt), lobbies: c.lobbyCount,
	}
}

// mayReturn lets a request that a backend server has refused go back to it after the
// hold. Else a request that all copies have refused would wait in vain.
func (r *openRequest) mayReturn(now time.Time, s *server) {
	if s.hold.active(now) {
		delete(r.tried, s.backend.ID())
	}
}

// endHolds records the holds that have ended.
func (c *Core) endHolds(now time.Time) {
	for _, s := range c.servers {
		if s.hold.until.IsZero() || s.hold.ended || s.hold.active(now) {
			continue
		}
		s.hold.ended = true
		c.emit(c.holdRecord(now, s))
	}
}

// holdDelay returns the time until the first backend server that could run a request is
// not held any more, zero if one is not held or there is none. Those in skip are left
// out.
func (c *Core) holdDelay(now time.Time, req *openRequest, skip map[string]bool) time.Duration {
	shortest, model := time.Duration(0), req.request.Model()
	for _, s := range c.byService[req.service] {
		if !s.usable() || skip[s.backend.ID()] || !c.eligible(req.queueKey(), s) || model != "" && !s.hasModel(model) {
			continue
		}
		if !s.hold.active(now) {
			return 0
		}
		if left := max(s.hold.until.Sub(now), minHoldRetry); shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}
