package scheduler

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/protocol"
)

// lateDigest is the time on its way from which a digest is logged, and the time between two lines.
const lateDigest = time.Second

// RecordLateDigest records in the log that a digest of another lobby has waited on its way.
type RecordLateDigest struct {
	sender string
	waited time.Duration
}

func (RecordLateDigest) schedulerAction() {}

// peerState is the last reported state of another lobby.
type peerState struct {
	incarnation uint64
	serial      int64
	loads       []protocol.BackendLoadConfig
	draining    bool
	lastSeen    time.Time
}

// updatePeer applies the digest of another lobby, unless a later one of the same
// incarnation has arrived before. It may have waited while this lobby was stopped or cut off.
func (c *Core) updatePeer(now time.Time, digest protocol.Digest) {
	sent := now
	if digest.Uptime() > 0 {
		sent = c.clocks.Sent(now, digest.Incarnation(), digest.Uptime())
	}
	if waited := now.Sub(sent); waited >= lateDigest && now.Sub(c.lateLogged) >= lateDigest {
		c.lateLogged = now
		c.emit(RecordLateDigest{sender: digest.Sender(), waited: waited})
	}
	c.config.Limiter.UpdatePeer(now, digest)
	c.config.Quarantine.UpdatePeer(now, digest)
	c.config.Streams.UpdatePeer(now, sent, digest)
	if last, ok := c.peers[digest.Sender()]; ok && last.incarnation == digest.Incarnation() && digest.Serial() <= last.serial {
		return // overtaken by a later one on another path
	}
	c.peers[digest.Sender()] = peerState{incarnation: digest.Incarnation(), serial: digest.Serial(), loads: digest.Loads(), draining: digest.Draining(), lastSeen: sent}
	c.sumLoads(now)
	c.rateShares.digestArrived(sent, digest.Sender())

	c.startAverages()
	c.markReplaced(digest.Replaced())
	c.learnHot(now, digest.Hot())
	c.markPeersLeaving(digest)
	c.learnLimits(now, sent, digest)
	if digest.Plan() != nil {
		c.adoptPlan(now, digest.Sender(), digest.Plan())
	}
}

// markReplaced records that another lobby has found backend servers gone. A server that
// has started again under its ID is not meant.
func (c *Core) markReplaced(starts map[string]int64) {
	for id, start := range starts {
		if s, ok := c.servers[id]; ok && s.backend.StartTime() == start {
			s.replaced = true
		}
	}
}

// markPeersLeaving records that another lobby has been told by backend servers that they
// leave. This lobby need not have read their entries yet.
func (c *Core) markPeersLeaving(digest protocol.Digest) {
	for id, start := range digest.Leaving() {
		c.learnLeaving(NewOrigin(id, start), RecordLeaving{source: leavingInDigest, peer: digest.Sender()})
	}
}

// leavingToSend returns the start times, by ID, of the backend servers that are known to
// leave. Those whose entries have lapsed are among them, since another lobby may still
// have their entries.
func (c *Core) leavingToSend() map[string]int64 {
	starts := c.startTimes(func(s *server) bool { return s.leaving })
	for id, s := range c.unlisted {
		if !s.leaving {
			continue
		}
		if starts == nil {
			starts = make(map[string]int64)
		}
		starts[id] = s.backend.StartTime()
	}
	return starts
}

// startTimes returns the start times, by ID, of the listed backend servers that are
// selected, nil if there are none.
func (c *Core) startTimes(selected func(s *server) bool) map[string]int64 {
	var starts map[string]int64
	for id, s := range c.servers {
		if !selected(s) {
			continue
		}
		if starts == nil {
			starts = make(map[string]int64)
		}
		starts[id] = s.backend.StartTime()
	}
	return starts
}

// sumLoads sums the load of the other lobbies at each backend server and drops
// lobbies that have sent no digest for peerLifetime.
func (c *Core) sumLoads(now time.Time) {
	for _, s := range c.servers {
		s.peerOpen, s.peerPrefill, s.peerSuspect = 0, 0, false
	}
	for sender, peer := range c.peers {
		if now.Sub(peer.lastSeen) > peerLifetime {
			delete(c.peers, sender)
			continue
		}
		for _, load := range peer.loads {
			if s, ok := c.servers[load.Backend]; ok {
				s.peerOpen += load.Open
				s.peerPrefill += load.PrefillTime
				s.peerSuspect = s.peerSuspect || load.Silent
			}
		}
	}
}

// peerAccepts reports whether another lobby accepts new requests.
func (c *Core) peerAccepts(now time.Time) bool {
	for _, peer := range c.peers {
		if !peer.draining && now.Sub(peer.lastSeen) <= peerLifetime {
			return true
		}
	}
	return false
}

// adoptPlan puts a plan in force. If two lobbies plan, the one with the lower
// address wins until its last plan is older than planLifetime.
func (c *Core) adoptPlan(now time.Time, planner string, plan map[string][]string) {
	if plan == nil || planner > c.planSource && now.Sub(c.planTime) < planLifetime {
		return
	}
	c.plan, c.planSource, c.planTime = plan, planner, now
}

// planKeeps reports whether the plan keeps a model at a backend server. It
// returns true if there is no plan for that backend server.
func (c *Core) planKeeps(s *server, model string) bool {
	models, ok := c.plan[s.backend.ID()]
	return !ok || slices.Contains(models, model)
}

// digestPeriod returns the time between two digests of this lobby.
func digestPeriod(lobbies int) time.Duration {
	return min(max(minDigestPeriod, time.Duration(lobbies)*digestPeriodPerLobby), maxDigestPeriod)
}

// broadcast sends this lobby's digest to the other lobbies.
func (c *Core) broadcast(now time.Time) {
	if !c.lastDigest.IsZero() {
		c.updateDemand(now.Sub(c.lastDigest))
	}
	c.lastDigest = now
	config := BroadcastConfig{Draining: !c.drainStart.IsZero(), Spent: c.config.Limiter.Spent(), Demand: c.demandToSend(now), Plan: c.planToSend(now), AwaitsLoad: c.awaitsLoad(), AwaitsProof: c.awaitsProof(), AwaitsList: c.awaitsList(), Suspects: c.config.Quarantine.Suspects(now)}
	config.Joining = (c.cold.expected || c.rateLimited) && c.rateShares.settles(now)

	if config.Demand != nil {
		config.HomeDemand = c.homeDemandToSend()
	}
	config.Replaced = c.startTimes(func(s *server) bool { return s.replaced })
	config.Leaving = c.leavingToSend()
	config.Limits = c.limitsToSend(now)
	config.Capacities = c.capacities(now)
	for _, s := range c.servers {
		if s.open > 0 {
			config.Loads = append(config.Loads, protocol.BackendLoadConfig{Backend: s.backend.ID(), Open: s.open, PrefillTime: s.prefill, Silent: s.silent(now)})
		}
	}
	config.Hot = c.hotToSend(now)
	config.Streams = c.config.Streams.ToTell(now)
	c.emit(NewBroadcast(config))
}

// demandToSend returns the demand for models if it is due, else nil: the planner
// needs it less often than the lobbies need each other's loads.
func (c *Core) demandToSend(now time.Time) map[string]float64 {
	if now.Sub(c.lastDemand) < max(minDemandPeriod, 2*digestPeriod(c.lobbyCount)) {
		return nil
	}
	c.lastDemand = now
	return c.demand.byModel()
}

// planToSend returns this lobby's plan if it has changed or is due, else nil.
func (c *Core) planToSend(now time.Time) map[string][]string {
	if c.planSource != "" || now.Sub(c.planTime) >= planLifetime {
		return nil
	}
	if now.Sub(c.lastPlan) < planPeriod && maps.EqualFunc(c.plan, c.sentPlan, slices.Equal[[]string]) {
		return nil
	}
	c.lastPlan, c.sentPlan = now, c.plan
	return c.plan
}

// updateDemand updates the demand with the requests that are open or queued now.
func (c *Core) updateDemand(span time.Duration) {
	open := make(map[string]float64)
	for _, req := range c.requests {
		if model := req.request.Model(); model != "" {
			open[model] += 1 / c.engineSlots(req.service)
		}
	}
	c.demand.update(span, open)
	c.updateHomeDemand(span)
}

// engineSlots returns the number of requests that one engine of a service runs
// at once.
func (c *Core) engineSlots(service string) float64 {
	s, _ := c.configuration.Service(service)
	engine, _ := s.Engine()
	return float64(max(engine.Slots, 1))
}
