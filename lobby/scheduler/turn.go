package scheduler

import "time"

// gatesAdmit reports whether a request may be sent to a backend server now. A turn goes to
// a request that waits for it before one that has just arrived.
func (c *Core) gatesAdmit(now time.Time, s *server, req *openRequest) bool {
	if !s.gates.limits(now) {
		return true
	}
	_, waits := c.queued[req.number]
	return s.gates.admits(now) && (waits || c.queuedLike(req) == 0)
}

// turnDelay returns the estimated time until a request that a number of others precede
// may be sent to one of the backend servers that could run it, of which the rates are
// limited. It is zero if one that is not limited could run it, or none at all. Those in
// skip are left out.
func (c *Core) turnDelay(now time.Time, req *openRequest, skip map[string]bool, ahead int) time.Duration {
	return c.turnsFor(now, req.queueKey(), skip).delay(now, ahead)
}

// turns are this lobby's turns at the backend servers that could run requests of one key.
// The zero value stands for no limit.
type turns struct {
	first time.Time // time of the next turn
	end   time.Time // time from which on one of them is not limited
	rate  float64   // turns per second; zero if this lobby has none
	named float64   // sum of the rates that the backend servers name, for all lobbies
}

// delay returns the time until the turn that follows a number of others.
func (t turns) delay(now time.Time, ahead int) time.Duration {
	switch {
	case t.first.IsZero():
		return 0
	case ahead > 0 && t.rate == 0:
		return t.end.Sub(now)
	case ahead == 0:
		return earlier(t.first, t.end).Sub(now)
	}
	after := min(float64(ahead)/t.rate, t.end.Sub(now).Seconds())
	return earlier(t.first.Add(time.Duration(after*float64(time.Second))), t.end).Sub(now)
}

// turnsFor returns the turns at the backend servers that could run requests of a key,
// without those in skip.
func (c *Core) turnsFor(now time.Time, key queueKey, skip map[string]bool) turns {
	var t turns
	if !c.rateLimited {
		return t
	}
	for _, s := range c.byService[key.service] {
		if !s.usable() || s.hold.active(now) || skip[s.backend.ID()] || !c.eligible(key, s) || key.model != "" && !s.hasModel(key.model) {
			continue
		}
		if !s.gates.limits(now) {
			return turns{}
		}
		if next := s.gates.nextAt(now); t.first.IsZero() || next.Before(t.first) {
			t.first = next
		}
		if end := s.gates.end(now); t.end.IsZero() || end.Before(t.end) {
			t.end = end
		}
		t.rate += s.gates.perSecond(now)
		t.named += s.limit.named()
	}
	return t
}

// turnElsewhere returns the time after which the caller of a request that this lobby has
// no turns for may return, to whichever lobby, in place of a longer one: the mean time
// between two turns of a lobby.
func (c *Core) turnElsewhere(now time.Time, req *openRequest, after time.Duration) time.Duration {
	t := c.turnsFor(now, req.queueKey(), req.tried)
	if t.rate > 0 || t.named == 0 {
		return after
	}
	mean := float64(c.rateShares.lobbies()) / t.named
	return min(after, max(time.Duration(min(mean, maxHold.Seconds())*float64(time.Second)), retryAfter))
}

// queuedLike returns the number of queued requests that wait for the same backend servers
// as a request.
func (c *Core) queuedLike(req *openRequest) int {
	if !c.rateLimited {
		return 0
	}
	q, ok := c.waiting[req.queueKey()]
	if !ok {
		return 0
	}
	return q.Len()
}

// updateRateLimited looks whether the rate of some backend server is limited.
func (c *Core) updateRateLimited(now time.Time) {
	c.rateLimited = false
	for _, s := range c.servers {
		c.rateLimited = c.rateLimited || s.gates.limits(now)
	}
}

// recordWithheld records a new request that waits for its turn, or is refused since it does
// not come in time.
func (c *Core) recordWithheld(t turns, delay time.Duration) {
	if delay > 0 {
		c.emit(RecordWithheld{limited: t.named > 0})
	}
}

// RecordWithheld records in the metrics that a request was withheld from backend servers
// with limited rates.
type RecordWithheld struct {
	limited bool // some of them name their rates, so that not all are cold
}

func (RecordWithheld) schedulerAction() {}
