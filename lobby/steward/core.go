// Package steward decides on the requests that callers bring: whether their key
// and quota allow them, which backend server gets them, whether they are sent
// again, and when they are given up.
package steward

import (
	"math/rand/v2"
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
)

// Purse holds the tenants' quotas.
type Purse interface {
	// Spend takes cost from the tenant's quota. If there is not enough, it
	// takes nothing and returns the time until there may be.
	Spend(now time.Time, tenant charter.Tenant, cost float64) (time.Duration, bool)
	// Refund gives back the cost of a request that did not run.
	Refund(now time.Time, tenant charter.Tenant, cost float64)
	// Spent returns what this process has taken of each tenant's quota.
	Spent() map[string]float64
	// Heard takes over what another lobby says.
	Heard(now time.Time, digest notice.Digest)
}

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Domain string       // failure domain of this process
	Budget BudgetConfig // of retries, for each service
	Least  int          // lobbies that are assumed to share connections and retries; more if more are known
	Purse  Purse
	Random *rand.Rand
}

// Core is responsible for every decision of the steward. It does no input or
// output; its duty carries out the actions that Handle and Tick return.
type Core struct {
	config   CoreConfig
	charter  *charter.Charter // nil until one is known
	hosts    map[string]*host
	services map[string][]*host // in the order of their ids
	calls    map[uint64]*call
	waiting  map[uint64]*call // those of calls that wait for a backend server
	budgets  map[string]*budget
	lobbies  int // that share connections to a backend server and retries, this one included
	listed   bool
	listedAt time.Time
	now      time.Time // of the message or tick that is handled
	draining time.Time // since when the process is about to stop; zero while it stays
	peers    map[string]said
	plan     map[string][]string // models by backend server
	planner  string              // door of the lobby that made it, "" for this one
	planned  time.Time
	paces    *paces
	demand   map[string]float64 // engines that each model keeps busy
	told     time.Time
	actions  []Action
}

// NewCore returns a core that knows no configuration.
func NewCore(config CoreConfig) *Core {
	return &Core{
		lobbies:  max(config.Least, 1),
		config:   config,
		hosts:    make(map[string]*host),
		services: make(map[string][]*host),
		calls:    make(map[uint64]*call),
		waiting:  make(map[uint64]*call),
		budgets:  make(map[string]*budget),
		peers:    make(map[string]said),
		paces:    newPaces(),
		demand:   make(map[string]float64),
	}
}

// Ready reports whether the process can take callers' connections.
func (c *Core) Ready() bool { return c.charter != nil && c.listed && c.draining.IsZero() }

// Open returns the number of requests whose answers have not ended.
func (c *Core) Open() int { return len(c.calls) }

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	c.actions, c.now = nil, now
	switch m := message.(type) {
	case Arrived:
		c.arrive(now, m)
	case Begun:
		c.begin(now, m.number)
	case Left:
		c.leave(now, m)
	case Ended:
		c.end(now, m)
	case Chartered:
		c.charter = m.charter
	case Listed:
		c.list(now, m.backends)
	case Digested:
		c.hear(now, m.digest)
	case Peopled:
		c.lobbies = max(m.lobbies, c.config.Least, 1)
	case Planned:
		c.follow(now, "", m.plan)
	case Fetched:
		c.fetched(now, m)
	case Draining:
		c.draining = now
	case Closing:
		c.closeAll()
	}
	return c.actions
}

// Tick gives up the requests whose time is over.
func (c *Core) Tick(now time.Time) []Action {
	c.actions, c.now = nil, now
	for _, call := range c.calls {
		if !now.Before(call.expires) {
			c.giveUp(call)
		}
	}
	c.unpark(now)
	if now.Sub(c.told) >= tellPause(c.lobbies) {
		c.tell(now)
	}
	return c.actions
}

func (c *Core) do(action Action) { c.actions = append(c.actions, action) }
