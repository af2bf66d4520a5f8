// Package steward decides on the requests that callers bring: whether their key
// and quota allow them, which backend server gets them, whether they are sent
// again, and when they are given up.
package scheduler

import (
	"math/rand/v2"
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
)

// Purse holds the tenants' quotas.
type Limiter interface {
	// Spend takes cost from the tenant's quota. If there is not enough, it
	// takes nothing and returns the time until there may be.
	Spend(now time.Time, tenant charter.Tenant, cost float64) (time.Duration, bool)
	// Refund gives back the cost of a request that did not run.
	Refund(now time.Time, tenant charter.Tenant, cost float64)
	// Spent returns what this process has taken of each tenant's quota.
	Spent() map[string]float64
	// Heard takes over what another lobby says.
	UpdatePeer(now time.Time, digest notice.Digest)
}

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Domain      string            // failure domain of this process
	RetryBudget RetryBudgetConfig // of retries, for each service
	MinLobbies  int               // lobbies that are assumed to share connections and retries; more if more are known
	Limiter     Limiter
	Random      *rand.Rand
}

// Core is responsible for every decision of the steward. It does no input or
// output; its duty carries out the actions that Handle and Tick return.
type Core struct {
	config        CoreConfig
	configuration *charter.Charter // nil until one is known
	servers       map[string]*server
	byService     map[string][]*server // in the order of their ids
	requests      map[uint64]*openRequest
	queued        map[uint64]*openRequest // those of calls that wait for a backend server
	budgets       map[string]*retryBudget
	lobbyCount    int // that share connections to a backend server and retries, this one included
	listed        bool
	listedAt      time.Time
	now           time.Time // of the message or tick that is handled
	drainStart    time.Time // since when the process is about to stop; zero while it stays
	peers         map[string]peerState
	plan          map[string][]string // models by backend server
	planSource    string              // door of the lobby that made it, "" for this one
	planTime      time.Time
	estimator     *prefillEstimator
	demand        map[string]float64 // engines that each model keeps busy
	lastDigest    time.Time
	actions       []Action
}

// NewCore returns a core that knows no configuration.
func NewCore(config CoreConfig) *Core {
	return &Core{
		lobbyCount: max(config.MinLobbies, 1),
		config:     config,
		servers:    make(map[string]*server),
		byService:  make(map[string][]*server),
		requests:   make(map[uint64]*openRequest),
		queued:     make(map[uint64]*openRequest),
		budgets:    make(map[string]*retryBudget),
		peers:      make(map[string]peerState),
		estimator:  newPrefillEstimator(),
		demand:     make(map[string]float64),
	}
}

// Ready reports whether the process can take callers' connections.
func (c *Core) Ready() bool { return c.configuration != nil && c.listed && c.drainStart.IsZero() }

// Open returns the number of requests whose answers have not ended.
func (c *Core) Open() int { return len(c.requests) }

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	c.actions, c.now = nil, now
	switch m := message.(type) {
	case Arrived:
		c.requestArrived(now, m)
	case StreamStarted:
		c.streamStarted(now, m.number)
	case Disconnected:
		c.disconnected(now, m)
	case SendEnded:
		c.sendEnded(now, m)
	case ConfigurationChanged:
		c.configuration = m.configuration
	case BackendsChanged:
		c.updateBackends(now, m.backends)
	case DigestReceived:
		c.updatePeer(now, m.digest)
	case LobbyCountChanged:
		c.lobbyCount = max(m.lobbies, c.config.MinLobbies, 1)
	case PlanChanged:
		c.adoptPlan(now, "", m.plan)
	case FetchEnded:
		c.fetchEnded(now, m)
	case Draining:
		c.drainStart = now
	case Closing:
		c.closeAll()
	}
	return c.actions
}

// Tick gives up the requests whose time is over.
func (c *Core) Tick(now time.Time) []Action {
	c.actions, c.now = nil, now
	for _, call := range c.requests {
		if !now.Before(call.expires) {
			c.timeOut(call)
		}
	}
	c.placeQueued(now)
	if now.Sub(c.lastDigest) >= digestPeriod(c.lobbyCount) {
		c.broadcast(now)
	}
	return c.actions
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }
