package steward

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/notice"
)

// said is what another lobby last said of its load.
type said struct {
	loads   []notice.LoadConfig
	leaving bool
	at      time.Time
}

// hear takes over what another lobby says.
func (c *Core) hear(now time.Time, digest notice.Digest) {
	c.config.Purse.Heard(now, digest)
	c.peers[digest.Sender()] = said{loads: digest.Loads(), leaving: digest.Leaving(), at: now}
	c.sumLoads(now)
	if digest.Plan() != nil {
		c.follow(now, digest.Sender(), digest.Plan())
	}
}

// sumLoads adds up what the other lobbies have at each backend server.
func (c *Core) sumLoads(now time.Time) {
	for _, h := range c.hosts {
		h.others, h.othersReading, h.othersDoubt = 0, 0, false
	}
	for door, peer := range c.peers {
		if now.Sub(peer.at) > peerLife {
			delete(c.peers, door)
			continue
		}
		for _, load := range peer.loads {
			if h, ok := c.hosts[load.Backend]; ok {
				h.others += load.Open
				h.othersReading += load.Reading
				h.othersDoubt = h.othersDoubt || load.Silent
			}
		}
	}
}

// othersTake reports whether another lobby takes new requests.
func (c *Core) othersTake(now time.Time) bool {
	for _, peer := range c.peers {
		if !peer.leaving && now.Sub(peer.at) <= peerLife {
			return true
		}
	}
	return false
}

// follow takes a plan over. Of two lobbies that plan, the first by address goes
// before the other until it falls silent.
func (c *Core) follow(now time.Time, planner string, plan map[string][]string) {
	if plan == nil || planner > c.planner && now.Sub(c.planned) < planLife {
		return
	}
	c.plan, c.planner, c.planned = plan, planner, now
}

// keeps reports whether the plan leaves a model where it is.
func (c *Core) keeps(h *host, model string) bool {
	models, ok := c.plan[h.backend.ID()]
	return !ok || slices.Contains(models, model)
}

// tellPause returns the time between two digests of one of so many lobbies.
func tellPause(lobbies int) time.Duration {
	return min(max(tellPeriod, time.Duration(lobbies)*tellShare), tellMost)
}

// tell tells the other lobbies of this one.
func (c *Core) tell(now time.Time) {
	if !c.told.IsZero() {
		c.measure(now.Sub(c.told))
	}
	c.told = now
	tell := TellConfig{Leaving: !c.draining.IsZero(), Spent: c.config.Purse.Spent(), Asked: maps.Clone(c.demand)}
	for _, h := range c.hosts {
		if h.open > 0 {
			tell.Loads = append(tell.Loads, notice.LoadConfig{Backend: h.backend.ID(), Open: h.open, Reading: h.reading, Silent: h.silent(now)})
		}
	}
	if c.planner == "" && now.Sub(c.planned) < planLife {
		tell.Plan = c.plan
	}
	c.do(NewTell(tell))
}

// measure averages the number of requests for each model that are open, those
// that wait for a backend server included.
func (c *Core) measure(span time.Duration) {
	open := make(map[string]float64)
	for _, call := range c.calls {
		if model := call.visit.Model(); model != "" {
			open[model] += 1 / c.slots(call.service)
		}
	}
	weight := min(span.Seconds()/askedWindow.Seconds(), 1)
	for model := range open {
		if _, known := c.demand[model]; !known {
			c.demand[model] = 0
		}
	}
	for model, demand := range c.demand {
		demand += (open[model] - demand) * weight
		if c.demand[model] = demand; demand < leastDemand {
			delete(c.demand, model)
		}
	}
}

// slots returns the requests that one engine of a service runs at once.
func (c *Core) slots(service string) float64 {
	s, _ := c.charter.Service(service)
	engine, _ := s.Engine()
	return float64(max(engine.Slots, 1))
}
