// Package planner decides which models each backend server of a service with
// engines shall hold, by what callers ask of each model. One lobby plans for
// all: the first by address of those that hear each other.
package planner

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
	Self    string        // door of this lobby
	Silence time.Duration // after which another lobby counts as gone
	Settle  time.Duration // from the first request on, and from the first list on, in which the plan stays as it is
	Excess  float64       // rate of loads from the weight store that a window allows, as a multiple of the engine's
}

// Core is responsible for the plan. It does no input or output.
type Core struct {
	config   CoreConfig
	charter  *charter.Charter
	backends map[string]charter.Backend
	peers    map[string]*peer // by door, this lobby among them
	plan     map[string][]string
	born     map[string]int64 // of the starts that the plan is for

	stores  map[string]*bucket // of loads from the weight store, by service
	changes []Change
	listed  time.Time // when the first backend server was seen
	started time.Time // of the demand; zero before the first request
}

// peer is what another lobby last said.
type peer struct {
	asked map[string]float64
	heard time.Time
}

// NewCore returns a core that knows nothing.
func NewCore(config CoreConfig) *Core {
	return &Core{config: config, peers: make(map[string]*peer), plan: make(map[string][]string), born: make(map[string]int64), stores: make(map[string]*bucket)}
}

// Chartered takes a configuration over.
func (c *Core) Chartered(chartered *charter.Charter) { c.charter = chartered }

// Listed takes the list of backend servers over.
func (c *Core) Listed(backends []charter.Backend) {
	c.backends = make(map[string]charter.Backend, len(backends))
	for _, backend := range backends {
		c.backends[backend.ID()] = backend
	}
}

// Heard takes what a lobby says over, this one included.
func (c *Core) Heard(now time.Time, digest notice.Digest) {
	c.peers[digest.Sender()] = &peer{asked: digest.Asked(), heard: now}
	if digest.Plan() != nil && digest.Sender() != c.config.Self && digest.Sender() == c.leader(now) {
		c.plan = digest.Plan()
	}
}

// leader returns the door of the lobby that plans.
func (c *Core) leader(now time.Time) string {
	leader := c.config.Self
	for door, p := range c.peers {
		if now.Sub(p.heard) < c.config.Silence && door < leader {
			leader = door
		}
	}
	return leader
}

// Decide returns the plan and, if this lobby is the one that plans, what each
// backend server shall be told.
func (c *Core) Decide(now time.Time) (plan map[string][]string, assigns map[string]notice.Assign) {
	asked := c.asked(now)
	if c.listed.IsZero() && len(c.backends) > 0 {
		c.listed = now
	}
	if c.started.IsZero() && len(asked) > 0 {
		c.started = now
	}
	if c.charter == nil || c.backends == nil || c.leader(now) != c.config.Self {
		return nil, nil
	}
	assigns = make(map[string]notice.Assign)
	c.prune()
	for _, name := range c.charter.Services() {
		service, _ := c.charter.Service(name)
		if engine, ok := service.Engine(); ok {
			b := c.bucket(now, name, engine)
			d := c.draft(name, engine, asked, b.level)
			if !c.started.IsZero() && now.Sub(c.started) >= c.config.Settle {
				d.improve()
			}
			if !c.listed.IsZero() && now.Sub(c.listed) >= c.config.Settle {
				d.restore()
			}
			b.level = d.store
			maps.Copy(c.plan, d.models())
			c.changes = append(c.changes, d.changes...)
			c.assign(assigns, d, engine)
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
func (c *Core) asked(now time.Time) map[string]float64 {
	sum := make(map[string]float64)
	for _, p := range c.peers {
		if now.Sub(p.heard) >= c.config.Silence {
			continue
		}
		for model, engines := range p.asked {
			sum[model] += engines
		}
	}
	return sum
}

// prune forgets backend servers that are gone or have started anew.
func (c *Core) prune() {
	maps.DeleteFunc(c.plan, func(id string, _ []string) bool {
		backend, ok := c.backends[id]
		known, planned := c.born[id]
		return !ok || planned && known != backend.Born()
	})
	clear(c.born)
	for id, backend := range c.backends {
		c.born[id] = backend.Born()
	}
}

// draft returns the state from which a service's plan is improved. A backend
// server that the plan doesn't know yet keeps what it holds.
func (c *Core) draft(service string, engine charter.EngineConfig, asked map[string]float64, store float64) *draft {
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

func (c *Core) assign(assigns map[string]notice.Assign, d *draft, engine charter.EngineConfig) {
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
			return cmp.Compare(d.asked[b.Name], d.asked[a.Name])
		})
		assigns[h.backend.Address()] = notice.NewAssign(config)
	}
}

// bucket returns the loads from the weight store that may be planned now. It
// starts empty, since another lobby may have planned until now.
func (c *Core) bucket(now time.Time, service string, engine charter.EngineConfig) *bucket {
	b, ok := c.stores[service]
	if !ok {
		b = &bucket{at: now}
		c.stores[service] = b
	}
	rate := engine.LoadsPerSec * c.config.Excess * storeShare
	b.level = min(b.level+rate*now.Sub(b.at).Seconds(), storeBurst)
	b.at = now
	return b
}

// bucket counts the loads of one weight store.
type bucket struct {
	level float64
	at    time.Time
}
