package scheduler

import "time"

const (
	// peerLoadWindow is the averaging time of the load of other lobbies at a service
	// without an engine. Its requests are shorter than the age of a digest, so that the
	// counts of one digest say little about the present.
	peerLoadWindow = time.Second
	// completionGain and rejectionLoss are the changes of a share after a request that
	// completes while the share is used, and after one that is rejected: it settles where
	// one of rejectionLoss/completionGain requests is rejected. maxExtraShares bounds what
	// it may be raised by, in even shares. correctionMemory is the time in which what was
	// learned fades.
	completionGain   = 0.02
	rejectionLoss    = 0.5
	maxExtraShares   = 1.0
	correctionMemory = 5 * time.Second
	// rejectionRuns is the time after a rejection, in runs of the service, for which the
	// service counts as overloaded. Requests that miss their objective then get lateShare
	// of the slots only, since other lobbies have some that do not.
	rejectionRuns = 4
	// minFreeSlots is the number of free slots that a full backend server counts as, so
	// that it is tried at times.
	minFreeSlots = 0.25
	// lessFreePart is the part of its slots by which a backend server has fewer free slots
	// than another from which on it is used only if no other can be. A smaller difference
	// may be due to the age of the digests.
	lessFreePart    = 0.5
	lessFreePenalty = time.Hour
	// localPreference is the factor by which a backend server in the lobby's own failure
	// domain is preferred.
	localPreference = 1.5
)

// share is a lobby's part of the slots of a service without an engine, whose backend
// servers reject requests when they are full. Slots are divided evenly between the
// lobbies, and each may use those that its peers leave idle as well. The sum is corrected
// by what the lobby learns: how many requests a backend server queues beyond its slots is
// not known, and the peers' counts are old. Completions raise it by a little, and
// rejections lower it by much, as in congestion control (V. Jacobson, "Congestion
// Avoidance and Control", 1988). A lobby may always have one request open, so that none
// waits for peers that it does not hear of.
type share struct {
	slots      float64 // of all usable backend servers
	mostFree   float64 // largest number of free slots of a backend server
	own        int     // requests of this lobby that are open there
	peers      float64 // average number of requests of the other lobbies that are open
	correction float64
	rejectedAt time.Time
	lateAt     time.Time // time at which a late request was last sent
	updated    time.Time
	recordedAt time.Time // time at which its use was last recorded
}

func newShare(now time.Time) *share { return &share{updated: now} }

// limit returns the number of requests that a lobby may have open: it may send another
// one if it has fewer.
func (h *share) limit(lobbies int) float64 {
	even := h.even(lobbies)
	idle := max(h.slots-h.peers-even, 0)
	return max(even+idle+h.correction, even, 1)
}

// even returns the lobby's part if all lobbies use the slots.
func (h *share) even(lobbies int) float64 { return h.slots / float64(max(lobbies, 1)) }

// used reports whether the lobby has used its share.
func (h *share) used(lobbies int) bool { return float64(h.own) >= h.limit(lobbies) }

// holdsBack reports whether a late request waits although the lobby has not used its
// share: others need the slots, and it has had lateShare of them. run is the time of a run.
func (h *share) holdsBack(now time.Time, lobbies int, run time.Duration) bool {
	if now.Sub(h.rejectedAt) >= rejectionRuns*run {
		return false
	}
	perSlot := float64(run) * float64(max(lobbies, 1)) / max(h.slots, 1)
	return now.Sub(h.lateAt) < time.Duration(perSlot/lateShare)
}

// fade lowers the correction with time.
func (h *share) fade(now time.Time) {
	h.correction -= h.correction * min(now.Sub(h.updated).Seconds()/correctionMemory.Seconds(), 1)
	h.updated = now
}

// completed raises the share after a request that completed, if the lobby had used it.
func (h *share) completed(lobbies int) {
	if h.used(lobbies) {
		h.correction = min(h.correction+completionGain, max(h.even(lobbies), 1)*maxExtraShares)
	}
}

// rejected lowers the share after a rejection.
func (h *share) rejected(now time.Time) {
	h.rejectedAt = now
	h.correction = max(h.correction-rejectionLoss, -h.slots)
}

// shareOf returns this lobby's share of a service without an engine.
func (c *Core) shareOf(now time.Time, service string) *share {
	h, ok := c.shares[service]
	if !ok {
		h = newShare(now)
		c.shares[service] = h
	}
	h.slots, h.mostFree, h.own, h.peers = 0, 0, 0, 0
	for _, s := range c.byService[service] {
		if s.usable() && !s.hold.active(now) {
			h.own += s.open
			h.slots += float64(s.backend.Slots())
			h.peers += s.peerAverage
			h.mostFree = max(h.mostFree, s.freeSlots())
		}
	}
	return h
}

// shareUsed reports whether a request to a service without an engine waits in the queue,
// since this lobby has used its share of the slots.
func (c *Core) shareUsed(now time.Time, req *openRequest) bool {
	return c.shareWait(now, req.service).applies(req, c.startBy(req).Before(now))
}

// shareWait tells which requests to a service without an engine wait in the queue.
type shareWait struct{ all, late bool }

// applies reports whether a request waits. One that may have run cannot.
func (w shareWait) applies(req *openRequest, late bool) bool {
	return !req.mayHaveRun && (w.all || w.late && late)
}

// shareWait returns which requests to a service without an engine wait now.
func (c *Core) shareWait(now time.Time, service string) shareWait {
	if !c.drainStart.IsZero() || len(c.peers) == 0 {
		return shareWait{}
	}
	h := c.shareOf(now, service)
	return shareWait{all: h.used(c.lobbyCount), late: h.holdsBack(now, c.lobbyCount, c.runTime(service))}
}

// recordShareUse records that a request to a service without an engine is sent.
func (c *Core) recordShareUse(now time.Time, req *openRequest) {
	if h, ok := c.shares[req.service]; ok && c.startBy(req).Before(now) {
		h.lateAt = now
	}
}

// recordRejection adapts the share of a service without an engine to a rejection.
func (c *Core) recordRejection(now time.Time, service string) {
	if s, _ := c.configuration.Service(service); c.shares[service] != nil {
		if _, engine := s.Engine(); !engine {
			c.shares[service].rejected(now)
		}
	}
}

// recordShareCompletion adapts the share of a service without an engine to a request that
// has completed.
func (c *Core) recordShareCompletion(now time.Time, req *openRequest) {
	if _, ok := c.shares[req.service]; ok {
		h := c.shareOf(now, req.service)
		h.own++ // the request has been released
		h.completed(c.lobbyCount)
	}
}

// rejectionPause returns the first time without requests after a backend server has
// rejected one. One without an engine that is full has a free slot within a run.
func (c *Core) rejectionPause(service string) time.Duration {
	if s, ok := c.configuration.Service(service); ok {
		if _, engine := s.Engine(); !engine {
			return min(c.runTime(service)/2, minRejectionPause)
		}
	}
	return minRejectionPause
}

// updateShares updates the average load of other lobbies and the shares.
func (c *Core) updateShares(now time.Time) {
	c.expirePeers(now)
	weight := min(now.Sub(c.sharesUpdated).Seconds()/peerLoadWindow.Seconds(), 1)
	c.sharesUpdated = now
	for _, s := range c.servers {
		s.peerAverage += (float64(s.peerOpen) - s.peerAverage) * weight
	}
	for _, h := range c.shares {
		h.fade(now)
	}
	c.recordShares(now)
}

// expirePeers drops the load of lobbies that have fallen silent, also if no other lobby
// sends digests any more.
func (c *Core) expirePeers(now time.Time) {
	for _, peer := range c.peers {
		if now.Sub(peer.lastSeen) > peerLifetime {
			c.sumLoads(now)
			return
		}
	}
}

// plainDelay returns a random value by which backend servers of a service without an
// engine are compared: the least one belongs to each with a probability in proportion to
// its free slots. All lobbies have much the same old counts; if each took the server with
// the least load, all would take the same one until their next digests (M. Mitzenmacher,
// "How Useful Is Old Information?", 2000). A lobby spreads its own requests, which it knows
// exactly, more evenly than by chance.
func (c *Core) plainDelay(s *server) time.Duration {
	weight := max(s.freeSlots(), minFreeSlots)
	if s.backend.Domain() == c.config.Domain {
		weight *= localPreference
	}
	own := float64(1 + s.open)
	weight /= own * own
	delay := time.Duration(c.config.Random.ExpFloat64() / weight * float64(plainRequestCost))
	if h, ok := c.shares[s.backend.Service()]; ok && h.mostFree-s.freeSlots() > lessFreePart*float64(s.backend.Slots()) {
		delay += lessFreePenalty
	}
	return delay
}

// freeSlots returns the estimated number of free slots of a backend server.
func (s *server) freeSlots() float64 {
	return max(float64(s.backend.Slots()-s.open)-s.peerAverage, 0)
}

// startAverages starts the average of the other lobbies' load at the backend servers that
// have none.
func (c *Core) startAverages() {
	for _, s := range c.servers {
		if !s.averaged {
			s.averaged, s.peerAverage = true, float64(s.peerOpen)
		}
	}
}
