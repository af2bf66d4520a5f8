// Package planner decides which models each backend server of a service with
// engines shall hold, by what callers ask of each model. One lobby plans for
// all: the first by address of those that hear each other.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Self           string        // door of this lobby
	PeerTimeout    time.Duration // after which another lobby counts as gone
	SettlePeriod   time.Duration // from the first request on, and from the first list on, in which the plan stays as it is
	LoadRateFactor float64       // rate of loads from the weight store that a window allows, as a multiple of the engine's
}

// Core is responsible for the plan. It does no input or output.
type Core struct {
	config        CoreConfig
	configuration *charter.Charter
	backends      map[string]charter.Backend
	peers         map[string]*peer // by door, this lobby among them
	plan          map[string][]string
	startTimes    map[string]int64 // of the starts that the plan is for

	buckets       map[string]*bucket // of loads from the weight store, by service
	changes       []Change
	backendsSince time.Time // when the first backend server was seen
	demandSince   time.Time // of the demand; zero before the first request
}

// peer is what another lobby last said.
type peer struct {
	demand   map[string]float64
	lastSeen time.Time
}

// NewCore returns a core that knows nothing.
func NewCore(config CoreConfig) *Core {
	return &Core{config: config, peers: make(map[string]*peer), plan: make(map[string][]string), startTimes: make(map[string]int64), buckets: make(map[string]*bucket)}
}

// Chartered takes a configuration over.
func (c *Core) SetConfiguration(chartered *charter.Charter) { c.configuration = chartered }

// Listed takes the list of backend servers over.
func (c *Core) SetBackends(backends []charter.Backend) {
	c.backends = make(map[string]charter.Backend, len(backends))
	for _, backend := range backends {
		c.backends[backend.ID()] = backend
	}
}

// Heard takes what a lobby says over, this one included.
func (c *Core) UpdatePeer(now time.Time, digest notice.Digest) {
	c.peers[digest.Sender()] = &peer{demand: digest.Asked(), lastSeen: now}
	if digest.Plan() != nil && digest.Sender() != c.config.Self && digest.Sender() == c.leader(now) {
		c.plan = digest.Plan()
	}
}

// leader returns the door of the lobby that plans.
func (c *Core) leader(now time.Time) string {
	leader := c.config.Self
	for door, p := range c.peers {
		if now.Sub(p.lastSeen) < c.config.PeerTimeout && door < leader {
			leader = door
		}
	}
	return leader
}

// Decide returns the plan and, if this lobby is the one that plans, what each
// backend server shall be told.
func (c *Core) Decide(now time.Time) (plan map[string][]string, assigns map[string]notice.Assign) {
	asked := c.totalDemand(now)
	if c.backendsSince.IsZero() && len(c.backends) > 0 {
		c.backendsSince = now
	}
	if c.demandSince.IsZero() && len(asked) > 0 {
		c.demandSince = now
	}
	if c.configuration == nil || c.backends == nil || c.leader(now) != c.config.Self {
		return nil, nil
	}
	assigns = make(map[string]notice.Assign)
	c.prune()
	for _, name := range c.configuration.Services() {
		service, _ := c.configuration.Service(name)
		if engine, ok := service.Engine(); ok {
			b := c.bucket(now, name, engine)
			d := c.newServiceDraft(name, engine, asked, b.level)
			if !c.demandSince.IsZero() && now.Sub(c.demandSince) >= c.config.SettlePeriod {
				d.improve()
			}
			if !c.backendsSince.IsZero() && now.Sub(c.backendsSince) >= c.config.SettlePeriod {
				d.restoreMissing()
			}
			b.level = d.storeTokens
			maps.Copy(c.plan, d.models())
			c.changes = append(c.changes, d.changes...)
			c.addAssigns(assigns, d, engine)
		}
	}
	return maps.Clone(c.plan), assigns
}

// Changes returns what the last decision changed, for the log.
func (c *Core) Changes() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// asked returns the number of engines that each model keeps busy, by what all
// lobbies say.
func (c *Core) totalDemand(now time.Time) map[string]float64 {
	sum := make(map[string]float64)
	for _, p := range c.peers {
		if now.Sub(p.lastSeen) >= c.config.PeerTimeout {
			continue
		}
		for model, engines := range p.demand {
			sum[model] += engines
		}
	}
	return sum
}

// prune forgets backend servers that are gone or have started anew.
func (c *Core) prune() {
	maps.DeleteFunc(c.plan, func(id string, _ []string) bool {
		backend, ok := c.backends[id]
		known, planned := c.startTimes[id]
		return !ok || planned && known != backend.Born()
	})
	clear(c.startTimes)
	for id, backend := range c.backends {
		c.startTimes[id] = backend.Born()
	}
}

// draft returns the state from which a service's plan is improved. A backend
// server that the plan doesn't know yet keeps what it holds.
func (c *Core) newServiceDraft(service string, engine charter.EngineConfig, asked map[string]float64, store float64) *draft {
	d := newDraft(engine, asked, store)
	for _, id := range slices.Sorted(maps.Keys(c.backends)) {
		backend := c.backends[id]
		if backend.Service() != service {
			continue
		}
		models, ok := c.plan[id]
		if !ok {
			models = backend.Models()
		}
		d.add(backend, models)
	}
	return d
}

func (c *Core) addAssigns(assigns map[string]notice.Assign, d *draft, engine charter.EngineConfig) {
	for _, h := range d.hosts {
		config := notice.AssignConfig{
			Planner: c.config.Self,
			Backend: h.backend.ID(),
			Born:    h.backend.Born(),
			Memory:  engine.Memory,
			Places:  engine.Places,
		}
		for _, model := range engine.Models {
			need := notice.ModelNeedConfig{Name: model.Name, Memory: model.Memory, Adapter: model.Adapter}
			if slices.Contains(h.models, model.Name) {
				config.Models = append(config.Models, need)
			} else if h.backend.Holds(model.Name, "") {
				config.Others = append(config.Others, need)
			}
		}
		slices.SortFunc(config.Models, func(a, b notice.ModelNeedConfig) int {
			return cmp.Compare(d.demand[b.Name], d.demand[a.Name])
		})
		assigns[h.backend.Address()] = notice.NewAssign(config)
	}
}

// bucket returns the loads from the weight store that may be planned now. It
// starts empty, since another lobby may have planned until now.
func (c *Core) bucket(now time.Time, service string, engine charter.EngineConfig) *bucket {
	b, ok := c.buckets[service]
	if !ok {
		b = &bucket{updated: now}
		c.buckets[service] = b
	}
	rate := engine.LoadsPerSec * c.config.LoadRateFactor * storeRateShare
	b.level = min(b.level+rate*now.Sub(b.updated).Seconds(), storeBurst)
	b.updated = now
	return b
}

// bucket counts the loads of one weight store.
type bucket struct {
	level   float64
	updated time.Time
}
