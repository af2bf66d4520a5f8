// Package placement plans which models each backend server of a model-serving
// service loads, based on the demand for each model. One lobby plans for the
// whole fleet: the one with the lowest address among the live lobbies.
package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Self           string            // RPC address of this lobby, IP:port
	PeerTimeout    time.Duration     // time without a digest after which another lobby counts as stopped
	SettlePeriod   time.Duration     // time without changes of the plan after the first demand and after the first backend list
	Regions        map[string]string // region of each failure domain
	LoadRateFactor float64           // permitted rate of loads from the weight store, as a multiple of the configured rate
}

// Core makes the plan. It does no I/O.
type Core struct {
	config        CoreConfig
	configuration *deployment.Configuration
	backends      map[string]deployment.Backend
	peers         map[string]*peer // by address, including this lobby
	plan          map[string][]string
	replaced      map[string]int64          // start times, by ID, of backend servers that are gone though they are listed
	leaving       map[string]int64          // start times, by ID, of backend servers that have said that they leave
	limits        map[string]Limit          // by ID of the backend server
	limitedDemand map[string]*limitedDemand // by service
	evacuations   deployment.Evacuations
	startTimes    map[string]int64 // start time of each planned backend server, Unix milliseconds

	buckets       map[string]*bucket // budget for loads from the weight store, by service
	changes       []Change
	backendsSince time.Time          // time of the first non-empty backend list
	demandSince   time.Time          // time of the first demand; zero before
	recalled      map[string]float64 // demand before this lobby's start; counts during recallPeriod
}

// peer holds the latest digest of a lobby.
type peer struct {
	demand     map[string]float64
	homeDemand []protocol.HomeDemandConfig
	lastSeen   time.Time
}

// NewCore returns a core without configuration, backend servers or peers.
func NewCore(config CoreConfig) *Core {
	return &Core{config: config, peers: make(map[string]*peer), plan: make(map[string][]string), replaced: make(map[string]int64), leaving: make(map[string]int64), limits: make(map[string]Limit), limitedDemand: make(map[string]*limitedDemand), startTimes: make(map[string]int64), buckets: make(map[string]*bucket)}
}

// peerRetention is the time without a digest after which the demand of another lobby is forgotten.
const peerRetention = time.Minute

// SetConfiguration replaces the configuration.
func (c *Core) SetConfiguration(next *deployment.Configuration) {
	c.configuration = next
	unknown := func(service string) bool {
		_, ok := next.Service(service)
		return !ok
	}
	maps.DeleteFunc(c.buckets, func(service string, _ *bucket) bool { return unknown(service) })
	maps.DeleteFunc(c.limitedDemand, func(service string, _ *limitedDemand) bool { return unknown(service) })
}

// SetBackends replaces the list of backend servers.
func (c *Core) SetBackends(backends []deployment.Backend) {
	c.backends = make(map[string]deployment.Backend, len(backends))
	for _, backend := range backends {
		c.backends[backend.ID()] = backend
	}
	c.forgetGone()
}

// SetEvacuations replaces the set of failure domains that are to be evacuated.
func (c *Core) SetEvacuations(evacuations deployment.Evacuations) { c.evacuations = evacuations }

// UpdatePeer records the digest of a lobby, which may be this one. If the sender
// is the leader, its plan replaces this lobby's copy.
func (c *Core) UpdatePeer(now time.Time, digest protocol.Digest) {
	demand := digest.Demand()
	last, ok := c.peers[digest.Sender()]
	if !ok {
		maps.DeleteFunc(c.peers, func(_ string, p *peer) bool { return now.Sub(p.lastSeen) > peerRetention })
	}
	if ok && demand == nil {
		demand = last.demand
	}
	c.peers[digest.Sender()] = &peer{demand: demand, homeDemand: homeDemandOf(digest, last), lastSeen: now}
	maps.Copy(c.replaced, digest.Replaced())
	maps.Copy(c.leaving, digest.Leaving())
	if digest.Plan() != nil && digest.Sender() != c.config.Self && digest.Sender() == c.leader(now) {
		c.plan = digest.Plan()
	}
}

// leader returns the address of the lobby that plans.
func (c *Core) leader(now time.Time) string {
	leader := c.config.Self
	for address, p := range c.peers {
		if now.Sub(p.lastSeen) < c.config.PeerTimeout && address < leader {
			leader = address
		}
	}
	return leader
}

// Decide updates the plan and returns it along with the assignment for each
// backend server, by address. It returns nil if this lobby is not the leader or
// lacks the configuration or the backend list.
func (c *Core) Decide(now time.Time) (plan map[string][]string, assigns map[string]protocol.Assign) {
	if c.backendsSince.IsZero() && len(c.backends) > 0 {
		c.backendsSince = now
	}
	demand := c.Demand(now)
	if c.demandSince.IsZero() && len(demand) > 0 {
		c.demandSince = now
	}
	if c.configuration == nil || c.backends == nil || c.leader(now) != c.config.Self {
		return nil, nil
	}
	assigns = make(map[string]protocol.Assign)
	c.prune()
	for _, name := range c.configuration.ServiceNames() {
		service, _ := c.configuration.Service(name)
		if engine, ok := service.Engine(); ok {
			b := c.bucket(now, name, engine)
			d := c.newServiceDraft(now, name, engine, demand, b.level)
			d.homes, d.regions = c.totalHomeDemand(now), c.config.Regions
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

// Recall sets the demand that was saved before this lobby's start. If the engines have
// lost their models, the copies that were needed then are loaded at once, rather than as
// the demand shows again: an engine loads one model at a time.
func (c *Core) Recall(demand map[string]float64) { c.recalled = demand }

// Changes returns the changes made since the last call, and clears them.
func (c *Core) Changes() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// Demand returns the number of engines that requests for each model keep busy, summed
// over all live lobbies, and for a time after the start at least what was recalled.
func (c *Core) Demand(now time.Time) map[string]float64 {
	sum := c.observedDemand(now)
	if c.backendsSince.IsZero() || now.Sub(c.backendsSince) >= recallPeriod {
		return sum
	}
	for model, engines := range c.recalled {
		sum[model] = max(sum[model], engines)
	}
	return sum
}

// observedDemand returns the number of engines that requests for each model keep busy,
// summed over all live lobbies.
func (c *Core) observedDemand(now time.Time) map[string]float64 {
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

// forgetGone forgets what is known of backend servers, or earlier starts of them, that are no
// longer listed.
func (c *Core) forgetGone() {
	outdated := func(id string, start int64) bool {
		backend, ok := c.backends[id]
		return !ok || backend.StartTime() != start
	}
	maps.DeleteFunc(c.replaced, outdated)
	maps.DeleteFunc(c.leaving, outdated)
}

// prune drops backend servers from the plan that are no longer listed, have restarted or
// are gone.
func (c *Core) prune() {
	c.forgetGone()
	maps.DeleteFunc(c.plan, func(id string, _ []string) bool {
		backend, ok := c.backends[id]
		startTime, planned := c.startTimes[id]
		return !ok || planned && startTime != backend.StartTime() || c.gone(id)
	})
	clear(c.startTimes)
	for id, backend := range c.backends {
		c.startTimes[id] = backend.StartTime()
	}
}

// gone reports whether a lobby has found that a listed backend server is gone.
func (c *Core) gone(id string) bool {
	_, ok := c.replaced[id]
	return ok
}

// newServiceDraft returns a draft of a service's current plan. A backend server
// that is not in the plan yet is added with the models that it has loaded.
func (c *Core) newServiceDraft(now time.Time, service string, engine deployment.EngineConfig, demand map[string]float64, storeTokens float64) *draft {
	d := newDraft(engine, demand, storeTokens)
	for _, id := range slices.Sorted(maps.Keys(c.backends)) {
		backend := c.backends[id]
		if _, ok := c.leaving[id]; ok {
			backend = backend.AsLeaving()
		}
		if backend.Service() != service || c.gone(id) {
			continue
		}
		models, ok := c.plan[id]
		if !ok {
			models = backend.Models()
		}
		if c.evacuations.Contains(backend.Domain()) {
			// It keeps what it has loaded, which does not count as copies.
			backend, models = backend.AsLeaving(), backend.Models()
		}
		d.add(hostConfig{Backend: backend, Cold: c.cold(now, backend), Capacity: c.capacity(now, backend), Room: c.room(backend), Models: models})
	}
	c.limitDemand(now, service, d)
	return d
}

// cold reports whether a backend server serves only its cold rate: it says so, or has
// started within the cold time of its service.
func (c *Core) cold(now time.Time, backend deployment.Backend) bool {
	service, _ := c.configuration.Service(backend.Service())
	start, _, ok := service.Cold()
	if !ok {
		return false
	}
	age := now.Sub(time.UnixMilli(backend.StartTime()))
	return backend.ColdFor() > 0 || age >= 0 && age < start
}

// addAssigns adds the assignment of each backend server in the draft. The models
// that it has loaded come first, then the others in the order of falling demand,
// which is that in which they are loaded.
func (c *Core) addAssigns(assigns map[string]protocol.Assign, d *draft, engine deployment.EngineConfig) {
	for _, h := range d.hosts {
		config := protocol.AssignConfig{
			Planner:      c.config.Self,
			Backend:      h.backend.ID(),
			StartTime:    h.backend.StartTime(),
			Memory:       engine.Memory,
			AdapterSlots: engine.AdapterSlots,
		}
		for _, model := range engine.Models {
			size := protocol.ModelSizeConfig{Name: model.Name, WeightsMB: model.Memory, AdapterMB: model.AdapterSize}
			if slices.Contains(h.models, model.Name) {
				config.Models = append(config.Models, size)
			} else if h.backend.Holds(model.Name, "") {
				config.Others = append(config.Others, size)
			}
		}
		missingDemand := func(model string) float64 {
			if h.backend.Holds(model, "") {
				return math.Inf(1)
			}
			return d.demand[model]
		}
		slices.SortStableFunc(config.Models, func(a, b protocol.ModelSizeConfig) int {
			return cmp.Compare(missingDemand(b.Name), missingDemand(a.Name))
		})
		assigns[h.backend.Address()] = protocol.NewAssign(config)
	}
}

// bucket returns the service's budget for loads from the weight store, refilled
// up to now. A new bucket is empty, since another lobby may have used the whole
// budget until now.
func (c *Core) bucket(now time.Time, service string, engine deployment.EngineConfig) *bucket {
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

// bucket is a token bucket that limits the loads from the weight store.
type bucket struct {
	level   float64
	updated time.Time
}
