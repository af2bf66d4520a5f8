// Package scheduler decides how callers' requests are served: it checks API key
// and quota, queues requests, picks a backend server for each, and decides on
// retries, timeouts and refusals.
package scheduler

import (
	"iter"
	"math/rand/v2"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/fairqueue"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/quarantine"
	"sesamewell.example/commons/transit"
)

// Limiter enforces the tenants' quotas.
type Limiter interface {
	// Spend takes cost from the tenant's quota. If there is not enough, it
	// takes nothing and returns the time until there may be.
	Spend(now time.Time, tenant deployment.Tenant, cost float64) (time.Duration, bool)
	// Refund gives back the cost of a request that did not run.
	Refund(now time.Time, tenant deployment.Tenant, cost float64)
	// Spent returns what this process has taken of each tenant's quota.
	Spent() map[string]float64
	// SetLobbies sets the number of lobbies that are listed, including this one.
	SetLobbies(n int)
	// UpdatePeer records what another lobby has taken of the quotas.
	UpdatePeer(now time.Time, digest protocol.Digest)
}

// Quarantine holds back requests that crash backend servers.
type Quarantine interface {
	// Admit reports whether a request may be sent. If not, it returns the time after
	// which the caller may try again.
	Admit(now time.Time, number uint64, request *httpmeta.Request) (time.Duration, bool)
	// MustWait reports whether a request has to wait for the result of another one of
	// those that are running at this or another lobby.
	MustWait(now time.Time, request *httpmeta.Request, running iter.Seq[*httpmeta.Request]) bool
	// Crashed records that a backend server closed the connection before its answer
	// to a request was complete.
	Crashed(now time.Time, config quarantine.CrashConfig)
	// Completed records that a backend server has answered a request, and was writing
	// the answer at a given time.
	Completed(request *httpmeta.Request, answering time.Time)
	// Answering records that a backend server has been writing an answer for a while,
	// from a given time on.
	Answering(request *httpmeta.Request, from time.Time)
	// Crashes returns the number of crashes known under a request and its copies.
	Crashes(request *httpmeta.Request) int
	// Changes returns the suspects that were quarantined, tried or released since the
	// last call.
	Changes() []quarantine.Change
	// Suspects returns the suspects to send to the other lobbies now.
	Suspects(now time.Time) []protocol.SuspectConfig
	// UpdatePeer merges what another lobby knows.
	UpdatePeer(now time.Time, digest protocol.Digest)
	SuspectMemory
}

// StopSchedule divides the time that a planned stop may take.
type StopSchedule interface {
	// AcceptPeriod returns the time from its start during which new requests are
	// accepted.
	AcceptPeriod() time.Duration
	// ClosePeriod returns the time from its start after which open requests are ended.
	ClosePeriod() time.Duration
}

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Domain      string            // failure domain of this process
	Regions     map[string]string // region of each failure domain
	RetryBudget RetryBudgetConfig // for each service
	MinLobbies  int               // lower bound of the number of lobbies that share connections and retries
	Stop        StopSchedule
	Cold        ColdConfig
	Limiter     Limiter
	Quarantine  Quarantine
	Streams     StreamOrigins
	Random      *rand.Rand
}

// Core makes all decisions of the scheduler. It does no I/O. The
// Scheduler executes the actions that Handle and Tick return.
type Core struct {
	config         CoreConfig
	configuration  *deployment.Configuration // nil until the first one is received
	servers        map[string]*server
	unlisted       map[string]*server   // by ID, those whose entries have left the list
	departed       map[string]int64     // by ID, the last start that is known to leave
	byService      map[string][]*server // sorted by ID
	requests       map[uint64]*openRequest
	queued         map[uint64]*openRequest // subset of requests that waits for a backend server
	budgets        map[string]*retryBudget
	lobbyCount     int       // lobbies that share connections and retries, including this one
	listed         bool      // a list of backend servers has been received
	listedFirst    time.Time // time of the first one
	streamsOverdue bool      // what the store keeps of streams has not been read for long
	listedAt       time.Time
	now            time.Time            // time of the current message or tick
	drainStart     time.Time            // zero unless draining
	peers          map[string]peerState // by address
	clocks         *transit.Clocks      // of the other lobbies
	lateLogged     time.Time            // time of the last log line on a late digest
	evacuations    deployment.Evacuations
	plan           map[string][]string // models by backend server
	planSource     string              // address of the lobby that made the plan, "" for this one
	planTime       time.Time
	estimator      *prefillEstimator
	models         map[queueKey]*serviceModel // averages over backend servers
	forecast       *forecast
	hot            *hotParts
	lastHot        time.Time // time of the last digest with the hot parts

	waiting       map[queueKey]*fairqueue.Queue // order of the queued requests
	places        *places
	weights       *tenantWeights
	answers       *answerTimes
	callerAges    *callerAges
	returns       *returns
	shares        map[string]*share        // by service without an engine
	sharesUpdated time.Time                // time of the last update of the shares
	runTimes      map[string]time.Duration // average by service
	demand        *demand
	cold          coldServers
	rateShares    *rateShares
	startable     map[queueKey]bool // found while the present message or tick is handled
	rateLimited   bool              // the rate of some backend server was limited at the last look

	homeDemand *demand // of requests with home regions, by homeKey
	lastDigest time.Time
	lastDemand time.Time           // time of the last digest with the demand
	lastPlan   time.Time           // time of the last digest with the plan
	sentPlan   map[string][]string // plan in that digest
	actions    []Action

	evacuationRecords []RecordEvacuation // not emitted before the first list of backend servers
}

// NewCore returns a core without a configuration or backend servers.
func NewCore(config CoreConfig) *Core {
	return &Core{
		lobbyCount: max(config.MinLobbies, 1),
		config:     config,
		servers:    make(map[string]*server),
		unlisted:   make(map[string]*server),
		departed:   make(map[string]int64),
		byService:  make(map[string][]*server),
		requests:   make(map[uint64]*openRequest),
		queued:     make(map[uint64]*openRequest),
		budgets:    make(map[string]*retryBudget),
		peers:      make(map[string]peerState),
		clocks:     transit.New(),
		estimator:  newPrefillEstimator(),
		models:     make(map[queueKey]*serviceModel),
		forecast:   newForecast(),
		hot:        newHotParts(),

		waiting:    make(map[queueKey]*fairqueue.Queue),
		places:     newPlaces(),
		weights:    newTenantWeights(),
		answers:    newAnswerTimes(),
		callerAges: newCallerAges(),
		returns:    newReturns(config.Random),
		shares:     make(map[string]*share),
		runTimes:   make(map[string]time.Duration),
		demand:     newDemand(),
		rateShares: newRateShares(config.Cold),

		homeDemand: newDemand(),
		startable:  make(map[queueKey]bool),
	}
}

// Ready reports whether the process can take callers' connections.
func (c *Core) Ready() bool {
	return c.configuration != nil && c.listed && c.drainStart.IsZero() && (c.config.Streams.Loaded() || c.streamsOverdue)
}

// Open returns the number of requests that have not been completely answered.
func (c *Core) Open() int { return len(c.requests) }

// Handle processes one message and returns the actions to execute.
func (c *Core) Handle(now time.Time, message Message) []Action {
	c.begin(now)
	switch m := message.(type) {
	case Arrived:
		c.requestArrived(now, m)
	case StreamStarted:
		c.streamStarted(now, m.number)
	case BackendLeaving:
		c.backendLeaving(m.origin)
	case BackendDisconnected:
		c.backendDisconnected(now, m.origin)
	case BackendConnected:
		c.backendConnected(now, m.origin)
	case BackendUnconnected:
		c.backendUnconnected(now, m.origin)
	case BackendRefusing:
		c.backendRefusing(now, m)
	case BackendLimit:
		c.backendLimit(now, m)
	case Abandoned:
		c.requestAbandoned(now, m)
	case SendEnded:
		c.sendEnded(now, m)
	case ConfigurationChanged:
		c.configurationChanged(now, m.configuration)
	case BackendsChanged:
		c.updateBackends(now, m)
	case EvacuationsChanged:
		c.updateEvacuations(now, m)
	case DigestReceived:
		c.updatePeer(now, m.digest)
	case LobbyCountChanged:
		c.lobbyCount = max(m.lobbies, c.config.MinLobbies, 1)
		c.config.Limiter.SetLobbies(m.lobbies)
	case LobbiesListed:
		c.rateShares.list(now, m)
	case DirectoryRestored:
		c.rateShares.directoryRestored(now)
	case PlanChanged:
		c.adoptPlan(now, "", m.plan)
	case FetchEnded:
		c.fetchEnded(now, m)
	case StreamsRead:
		c.config.Streams.Load(now, m.saved, m.complete)
	case StreamsSaved:
		c.config.Streams.SaveAnswered(now, m.serial)
	case StreamsRestored:
		c.config.Streams.Restored(now)
	case SuspectsRecalled:
		c.config.Quarantine.Recall(m.at, m.saved)
	case Drain:
		c.drainStart = m.start
	case Closing:
		c.closeAll()
	}
	c.recordQuarantines()
	return c.actions
}

// begin begins the handling of a message or a tick.
func (c *Core) begin(now time.Time) {
	c.actions, c.now = nil, now
	clear(c.startable)
}

// configurationChanged puts a configuration in force.
func (c *Core) configurationChanged(now time.Time, configuration *deployment.Configuration) {
	c.configuration = configuration
	c.forgetUnconfigured()
	c.configureCold(now)
	c.restrictOpen(now)
	for _, s := range c.servers {
		s.cacheTokens = c.cacheTokens(s)
	}
}

// Tick ends requests past their deadline, retries queued ones and broadcasts
// the digest when it is due. It returns the actions to execute.
func (c *Core) Tick(now time.Time) []Action {
	c.begin(now)
	c.updateShares(now)
	for _, req := range c.requests {
		if !now.Before(req.expires) {
			c.timeOut(req)
		}
		if !req.sound && req.answering(now) {
			req.sound = true
			c.config.Quarantine.Answering(req.request, req.beganAt)
		}
		c.keepAdapter(now, req)
	}
	c.forecast.update(now, c.waitingWork())
	c.endHolds(now)
	c.updateRateLimited(now)
	c.recordColds(now)
	c.placeQueued(now)
	c.returns.forget(now)
	c.saveStreams(now)
	c.connectDoubted(now)
	c.streamsOverdue = c.listed && now.Sub(c.listedFirst) >= streamsReadTimeout
	if now.Sub(c.lastDigest) >= digestPeriod(c.lobbyCount) {
		c.broadcast(now)
	}
	c.saveSuspects(now)
	c.recordQuarantines()
	return c.actions
}

// recordQuarantines reports the suspects that were quarantined, tried or released.
func (c *Core) recordQuarantines() {
	for _, change := range c.config.Quarantine.Changes() {
		c.emit(RecordQuarantine{change: change})
	}
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }
