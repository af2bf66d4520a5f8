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
	Window  time.Duration // over which the weight store's loads are counted
	Excess  float64       // of the weight store's rate that is allowed in a window
}

// Core is responsible for the plan. It does no input or output.
type Core struct {
	config   CoreConfig
	charter  *charter.Charter
	backends map[string]charter.Backend
	peers    map[string]*peer // by door, this lobby among them
	plan     map[string][]string
	listed   time.Time // when the first backend server was seen
	started  time.Time // of the demand; zero before the first request
}

// peer is what another lobby last said.
type peer struct {
	asked map[string]float64
	heard time.Time
}

// NewCore returns a core that knows nothing.
func NewCore(config CoreConfig) *Core {
	return &Core{config: config, peers: make(map[string]*peer), plan: make(map[string][]string)}
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
			d := c.draft(name, engine, asked)
			if !c.listed.IsZero() && now.Sub(c.listed) >= c.config.Settle {
				d.fill()
			}
			if !c.started.IsZero() && now.Sub(c.started) >= c.config.Settle {
				d.improve()
			}
			maps.Copy(c.plan, d.models())
			c.assign(assigns, d, engine)
		}
	}
	return maps.Clone(c.plan), assigns
}

// asked returns the tokens a second asked of each model by all lobbies.
func (c *Core) asked(now time.Time) map[string]float64 {
	sum := make(map[string]float64)
	for _, p := range c.peers {
		if now.Sub(p.heard) >= c.config.Silence {
			continue
		}
		for model, tokens := range p.asked {
			sum[model] += tokens
		}
	}
	return sum
}

// prune forgets backend servers that are gone.
func (c *Core) prune() {
	maps.DeleteFunc(c.plan, func(id string, _ []string) bool {
		_, ok := c.backends[id]
		return !ok
	})
}

// draft returns the state from which a service's plan is improved. A backend
// server that the plan doesn't know yet keeps what it holds.
func (c *Core) draft(service string, engine charter.EngineConfig, asked map[string]float64) *draft {
	d := newDraft(engine, asked)
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
	pace := c.pace(engine, len(d.hosts))
	for _, h := range d.hosts {
		config := notice.AssignConfig{
			Planner: c.config.Self,
			Backend: h.backend.ID(),
			Memory:  engine.Memory,
			Places:  engine.Places,
			Pace:    pace,
		}
		for _, model := range engine.Models {
			need := notice.ModelNeed{Name: model.Name, Memory: model.Memory, Adapter: model.Adapter}
			if slices.Contains(h.models, model.Name) {
				config.Models = append(config.Models, need)
			} else if h.backend.Holds(model.Name, "") {
				config.Others = append(config.Others, need)
			}
		}
		slices.SortFunc(config.Models, func(a, b notice.ModelNeed) int {
			return cmp.Compare(d.asked[b.Name], d.asked[a.Name])
		})
		assigns[h.backend.Address()] = notice.NewAssign(config)
	}
}

// pace returns the shortest time between two loads from the weight store at one
// backend server with which all together keep to the store's rate.
func (c *Core) pace(engine charter.EngineConfig, backends int) time.Duration {
	allowed := max(engine.LoadsPerSec*c.config.Window.Seconds()*c.config.Excess, 1)
	return time.Duration(float64(c.config.Window) * max(float64(backends)/allowed, 1))
}
