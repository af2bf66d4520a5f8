package scheduler

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/notice"
)

// said is what another lobby last said of its load.
type peerState struct {
	loads    []notice.LoadConfig
	leaving  bool
	lastSeen time.Time
}

// hear takes over what another lobby says.
func (c *Core) updatePeer(now time.Time, digest notice.Digest) {
	c.config.Limiter.UpdatePeer(now, digest)
	c.peers[digest.Sender()] = peerState{loads: digest.Loads(), leaving: digest.Leaving(), lastSeen: now}
	c.sumLoads(now)
	if digest.Plan() != nil {
		c.adoptPlan(now, digest.Sender(), digest.Plan())
	}
}

// sumLoads adds up what the other lobbies have at each backend server.
func (c *Core) sumLoads(now time.Time) {
	for _, h := range c.servers {
		h.peerOpen, h.peerPrefill, h.peerSuspect = 0, 0, false
	}
	for door, peer := range c.peers {
		if now.Sub(peer.lastSeen) > peerLifetime {
			delete(c.peers, door)
			continue
		}
		for _, load := range peer.loads {
			if h, ok := c.servers[load.Backend]; ok {
				h.peerOpen += load.Open
				h.peerPrefill += load.Reading
				h.peerSuspect = h.peerSuspect || load.Silent
			}
		}
	}
}

// othersTake reports whether another lobby takes new requests.
func (c *Core) peerAccepts(now time.Time) bool {
	for _, peer := range c.peers {
		if !peer.leaving && now.Sub(peer.lastSeen) <= peerLifetime {
			return true
		}
	}
	return false
}

// follow takes a plan over. Of two lobbies that plan, the first by address goes
// before the other until it falls silent.
func (c *Core) adoptPlan(now time.Time, planner string, plan map[string][]string) {
	if plan == nil || planner > c.planSource && now.Sub(c.planTime) < planLifetime {
		return
	}
	c.plan, c.planSource, c.planTime = plan, planner, now
}

// keeps reports whether the plan leaves a model where it is.
func (c *Core) planKeeps(h *server, model string) bool {
	models, ok := c.plan[h.backend.ID()]
	return !ok || slices.Contains(models, model)
}

// tellPause returns the time between two digests of one of so many lobbies.
func digestPeriod(lobbies int) time.Duration {
	return min(max(minDigestPeriod, time.Duration(lobbies)*digestPeriodPerLobby), maxDigestPeriod)
}

// tell tells the other lobbies of this one.
func (c *Core) broadcast(now time.Time) {
	if !c.lastDigest.IsZero() {
		c.updateDemand(now.Sub(c.lastDigest))
	}
	c.lastDigest = now
	tell := BroadcastConfig{Leaving: !c.drainStart.IsZero(), Spent: c.config.Limiter.Spent(), Demand: maps.Clone(c.demand)}
	for _, h := range c.servers {
		if h.open > 0 {
			tell.Loads = append(tell.Loads, notice.LoadConfig{Backend: h.backend.ID(), Open: h.open, Reading: h.prefill, Silent: h.silent(now)})
		}
	}
	if c.planSource == "" && now.Sub(c.planTime) < planLifetime {
		tell.Plan = c.plan
	}
	c.emit(NewBroadcast(tell))
}

// measure averages the number of requests for each model that are open, those
// that wait for a backend server included.
func (c *Core) updateDemand(span time.Duration) {
	open := make(map[string]float64)
	for _, call := range c.requests {
		if model := call.request.Model(); model != "" {
			open[model] += 1 / c.engineSlots(call.service)
		}
	}
	weight := min(span.Seconds()/demandWindow.Seconds(), 1)
	for model := range open {
		if _, known := c.demand[model]; !known {
			c.demand[model] = 0
		}
	}
	for model, demand := range c.demand {
		demand += (open[model] - demand) * weight
		if c.demand[model] = demand; demand < minDemand {
			delete(c.demand, model)
		}
	}
}

// slots returns the requests that one engine of a service runs at once.
func (c *Core) engineSlots(service string) float64 {
	s, _ := c.configuration.Service(service)
	engine, _ := s.Engine()
	return float64(max(engine.Slots, 1))
}
