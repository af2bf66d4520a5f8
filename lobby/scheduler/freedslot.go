package scheduler

import (
	"time"

	"sesamewell.example/commons/fairqueue"
)

// maxPlacements is the number of requests that fit a freed slot and are tried there,
// since a retry that waits for the retry budget leaves it to the next one.
const maxPlacements = 8

// placeNext places the first queued request that fits a backend server where capacity
// was freed.
func (c *Core) placeNext(now time.Time, s *server) {
	if len(c.queued) == 0 || s == nil {
		return
	}
	service, _ := c.configuration.Service(s.backend.Service())
	_, engine := service.Engine()
	if !s.takesNext(now, engine) {
		return
	}
	var passed *openRequest
	var wait shareWait
	if !engine {
		wait = c.shareWait(now, s.backend.Service())
	}
	tries, noBudget := 0, false
	for _, e := range fairqueue.Ordered(now, c.queuesFor(s, engine)...) {
		req := c.queued[e.Number()]
		if noBudget && req.needsRetry || wait.applies(req, c.startBy(req).Before(now)) {
			continue
		}
		if !c.fits(now, req, s, engine) {
			if passed == nil && engine && s.mayBeReservedFor(now, req) {
				passed = req
				if s.reserve(now, req) {
					return
				}
			}
			continue
		}
		if c.placeFreed(now, req, s, engine) {
			if passed != nil {
				passed.passedOver++
			}
			return
		}
		if tries == maxPlacements {
			return
		}
		noBudget = noBudget || req.needsRetry
		tries++
	}
}

// placeFreed tries to place a queued request that fits a backend server where capacity was
// freed. It reports whether the request no longer waits.
func (c *Core) placeFreed(now time.Time, req *openRequest, s *server, engine bool) bool {
	if engine || !c.placeAt(now, req, s) {
		c.place(now, req)
	}
	_, waits := c.queued[req.number]
	return !waits
}

// takesNext reports whether a backend server where capacity was freed takes a request now.
func (s *server) takesNext(now time.Time, engine bool) bool {
	return s.admits(now) && (!engine || s.hasSlot(0))
}

// placeAt sends a queued request to a backend server without an engine that has just
// ended another one of this lobby, so that lobbies which wait for slots keep to those that
// they have. It reports whether it was sent.
func (c *Core) placeAt(now time.Time, req *openRequest, s *server) bool {
	chosen, ok := c.evaluate(now, req, s, false)
	if _, admitted := c.config.Quarantine.Admit(now, req.number, req.request); !admitted || !ok || chosen.suspected {
		return false
	}
	if c.shareUsed(now, req) || c.mustWait(now, req) || !c.maySend(now, req) {
		return false
	}
	c.assign(now, req, chosen)
	return true
}

// queuesFor returns the queues whose requests a backend server can run.
func (c *Core) queuesFor(s *server, engine bool) []*fairqueue.Queue {
	var queues []*fairqueue.Queue
	for key, q := range c.waiting {
		if key.service == s.backend.Service() && c.eligible(key, s) && (!engine || s.hasModel(key.model)) {
			queues = append(queues, q)
		}
	}
	return queues
}

// fits reports whether a backend server can run a request of one of its queues now.
func (c *Core) fits(now time.Time, req *openRequest, s *server, engine bool) bool {
	if req.tried[s.backend.ID()] || s.reservedAgainst(now, req) {
		return false
	}
	_, ok := c.evaluate(now, req, s, engine)
	return ok
}
