// Package steward decides on the requests that callers bring: whether their key
// and quota allow them, which backend server gets them, whether they are sent
// again, and when they are given up.
package steward

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/visit"
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
	Peers  int          // processes that share connections to a backend server
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
		c.leave(now, m.number)
	case Ended:
		c.end(now, m)
	case Chartered:
		c.charter = m.charter
	case Listed:
		c.list(now, m.backends)
	case Digested:
		c.hear(now, m.digest)
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
	if now.Sub(c.told) >= tellPeriod {
		c.tell(now)
	}
	return c.actions
}

func (c *Core) do(action Action) { c.actions = append(c.actions, action) }

// closeAll gives up all requests. Those that no backend server has had were not
// run.
func (c *Core) closeAll() {
	for _, call := range c.calls {
		if call.sent == 0 && (call.host == nil || !call.tried[call.host.backend.ID()]) {
			c.refuse(call, leaving, retryAfter)
			continue
		}
		c.refuse(call, expired, 0)
	}
}

// takes reports whether new requests may begin. A process that is about to stop
// takes none once the platform should know.
func (c *Core) takes(now time.Time) bool {
	return c.draining.IsZero() || now.Sub(c.draining) < drainGrace
}

// giveUp ends a request that has not been answered in time.
func (c *Core) giveUp(call *call) {
	c.refuse(call, expired, 0)
}

func (c *Core) refuse(call *call, cause Cause, after time.Duration) {
	c.release(call)
	c.forget(call)
	c.do(c.refusal(call, cause, after))
}

func (c *Core) refusal(call *call, cause Cause, after time.Duration) Refuse {
	return Refuse{
		Number: call.number, Visit: call.visit, Cause: cause, Status: statuses[cause], RetryAfter: after,
		Waited: c.now.Sub(call.visit.Arrived()), Holders: c.holders(call), Waiting: len(c.waiting), ListAge: c.now.Sub(c.listedAt),
	}
}

// holders returns the number of backend servers that hold what a request needs
// and are not leaving, full ones included.
func (c *Core) holders(call *call) int {
	n := 0
	for _, h := range c.services[call.service] {
		if model := call.visit.Model(); h.usable() && (model == "" || h.holds(model)) {
			n++
		}
	}
	return n
}

// arrive decides on a new request.
func (c *Core) arrive(now time.Time, m Arrived) {
	call := &call{number: m.number, visit: m.visit, tried: make(map[string]bool)}
	if cause := c.admit(call); cause != "" {
		c.refuse(call, cause, 0)
		return
	}
	if !c.takes(now) {
		c.refuse(call, leaving, retryAfter)
		return
	}
	call.expires = m.visit.Arrived().Add(call.route.Timeout())
	if patience := m.visit.Patience(); patience > 0 && patience < call.route.Timeout() {
		call.expires = m.visit.Arrived().Add(patience)
	}
	if wait, ok := c.charge(now, call); !ok {
		c.refuse(call, overQuota, wait)
		return
	}
	c.calls[call.number] = call
	c.budget(call.service).request()

	c.send(now, call)
}

// admit fills in the route and tenant of a request, or returns why it is
// refused.
func (c *Core) admit(call *call) Cause {
	if c.charter == nil || !c.listed {
		return noCharter
	}
	route, ok := c.charter.Route(call.visit.Host(), call.visit.Path())
	if !ok {
		return noRoute
	}
	call.route = route
	call.service = route.Service(c.config.Random.Float64())
	if route.Open() || !c.charter.Tenants() {
		return ""
	}
	if call.tenant, ok = c.charter.Holder(call.visit.Key()); !ok {
		return badKey
	}
	return ""
}

func (c *Core) charge(now time.Time, call *call) (time.Duration, bool) {
	if call.tenant.Name() == "" {
		return 0, true
	}
	return c.config.Purse.Spend(now, call.tenant, cost(call))
}

// refund gives the quota back for a request that no backend server ran.
func (c *Core) refund(now time.Time, call *call) {
	if call.tenant.Name() != "" {
		c.config.Purse.Refund(now, call.tenant, cost(call))
	}
}

func cost(call *call) float64 { return call.tenant.Cost(call.visit.Prompt(), call.visit.Output()) }

// send chooses a backend server for a request, or refuses the request when
// none can have it. Nothing has run it so far, or it may run again.
func (c *Core) send(now time.Time, call *call) {
	h := c.choose(now, call)
	if h == nil {
		c.park(now, call)
		return
	}
	call.host = h
	delete(c.waiting, call.number)
	call.tokens = 0
	missing := h.shelf.missing(call.visit)
	if h.reading+h.othersReading == 0 {
		call.tokens = missing
	}
	call.reading = c.paces.read(call.visit.Model(), missing)
	h.open++
	h.reading += call.reading
	h.shelf.put(call.visit)
	if !h.leased(now, call.visit) {
		c.fetch(h, call.visit, call.number)
		return
	}
	c.dispatch(now, call)
}

// dispatch sends a request to the backend server that was chosen.
func (c *Core) dispatch(now time.Time, call *call) {
	h := call.host
	call.tried[h.backend.ID()] = true
	call.dispatched, call.awaited = now, true
	h.await(now)
	c.renew(now, h, call.visit)
	service, _ := c.charter.Service(call.service)
	c.do(Send{
		Number:  call.number,
		Visit:   call.visit,
		Address: h.backend.Address(),
		Links:   max(service.Connections()/max(c.config.Peers, 1), 1),
		Fresh:   !call.repeatable(),
		Keep:    call.repeatable(),
		First:   call.firstLimit(),
		Gap:     call.gapLimit(),
		Stream:  call.route.Kind() == charter.Stream,
		Sheet: visit.Sheet{
			Backend:  h.backend.ID(),
			Tenant:   call.tenant.Name(),
			Until:    call.expires,
			Priority: call.tenant.Rank(call.route.Priority()),
			Ranked:   call.route.Kind() == charter.Stream,
		},
	})
}

// choose returns the backend server where a request begins soonest, or nil.
// Suspects come last.
func (c *Core) choose(now time.Time, call *call) *host {
	service, _ := c.charter.Service(call.service)
	_, engine := service.Engine()
	var best *host
	for _, h := range c.services[call.service] {
		if !h.usable() || call.tried[h.backend.ID()] || engine && !h.takes(now, call) {
			continue
		}
		if best == nil || c.before(now, call, engine, h, best) {
			best = h
		}
	}
	return best
}

func (c *Core) before(now time.Time, call *call, engine bool, a, b *host) bool {
	if suspectA, suspectB := a.doubtful(now), b.doubtful(now); suspectA != suspectB {
		return suspectB
	}
	if engine {
		model := call.visit.Model()
		if plannedA, plannedB := c.keeps(a, model), c.keeps(b, model); plannedA != plannedB {
			return plannedA
		}
	}
	return a.load(now, call.visit, engine, c.config.Domain, c.paces) < b.load(now, call.visit, engine, c.config.Domain, c.paces)
}

func (c *Core) begin(now time.Time, number uint64) {
	call, ok := c.calls[number]
	if !ok {
		return
	}
	call.begun = true
	if call.host != nil {
		call.host.reading -= call.reading
		call.reading = 0
		call.settle()
		call.first = now
		call.host.sign(now)
		c.paces.observe(call.visit.Model(), call.tokens, now.Sub(call.dispatched))
	}
}

func (c *Core) leave(now time.Time, number uint64) {
	if call, ok := c.calls[number]; ok {
		h := call.host
		c.do(call.note(now, h, NewEnded(number, Abandoned, 0)))
		c.release(call)
		c.forget(call)
		c.refill(now, h)
	}
}

// forget drops a request whose answer has ended.
func (c *Core) forget(call *call) {
	delete(c.calls, call.number)
	delete(c.waiting, call.number)
}

// release ends what is counted for a request at its backend server.
func (c *Core) release(call *call) {
	if call.host == nil {
		return
	}
	call.settle()
	call.host.open--

	call.host.reading -= call.reading
	call.host, call.reading = nil, 0
}

// end decides what follows a send.
func (c *Core) end(now time.Time, m Ended) {
	call, ok := c.calls[m.number]
	if !ok {
		return
	}
	h := call.host
	c.release(call)
	defer c.refill(now, h)
	if m.status != 0 {
		h.sign(now)
	}
	c.do(call.note(now, h, m))
	switch m.result {
	case Complete:
		c.forget(call)
	case Unsent:
		h.fail(now)
		call.unsent++
		c.resendUnrun(now, call, call.unsent < maxUnsent)
	case Replaced:
		h.replaced = true
		call.unsent++
		c.resendUnrun(now, call, call.unsent < maxUnsent && c.budget(call.service).spend(now))
	case Rejected, Misplaced:
		call.sent++
		if m.result == Misplaced {
			h.lack(now, call.visit)
		}
		c.resendUnrun(now, call, call.sent < call.route.Attempts() && c.budget(call.service).spend(now))
	case Lost:
		h.fail(now)
		call.sent++
		c.resendRun(now, call, c.refusal(call, answerLost, 0))
	case Spoiled:
		call.sent++
		c.resendRun(now, call, Pass{Number: m.number})
	case Severed:
		h.fail(now)
		c.refuse(call, answerCut, 0)
	}
}

// resendUnrun sends a request again that did not run, or refuses it.
func (c *Core) resendUnrun(now time.Time, call *call, again bool) {
	if again && now.Before(call.expires) {
		c.send(now, call)
		return
	}
	c.refund(now, call)
	c.refuse(call, notTaken, retryAfter)
}

// resendRun sends a request again that may have run, if that is allowed, or
// ends it.
func (c *Core) resendRun(now time.Time, call *call, otherwise Action) {
	again := call.repeatable() && call.sent < call.route.Attempts() && now.Before(call.expires)
	if again && c.choose(now, call) != nil && c.budget(call.service).spend(now) {
		c.send(now, call)
		return
	}
	c.forget(call)
	c.do(otherwise)
}

func (c *Core) budget(service string) *budget {
	b, ok := c.budgets[service]
	if !ok {
		b = newBudget(c.config.Budget)
		c.budgets[service] = b
	}
	return b
}

// list takes the platform's list over. What is no longer on it gets no new
// requests; requests that it has go on.
func (c *Core) list(now time.Time, backends []charter.Backend) {
	c.listed, c.listedAt = true, now
	seen := make(map[string]bool, len(backends))
	for _, backend := range backends {
		seen[backend.ID()] = true
		h, ok := c.hosts[backend.ID()]
		if !ok || h.backend.Born() != backend.Born() {
			h = newHost(backend)
			c.hosts[backend.ID()] = h
		}
		if h.usable() && backend.Leaving() {
			c.do(Retire{Backend: backend.ID()})
		}
		h.backend, h.listed = backend, true
	}
	for id, h := range c.hosts {
		if !seen[id] {
			h.listed = false
			delete(c.hosts, id)
			c.do(Retire{Backend: id})
		}
	}
	defer c.unpark(now)
	clear(c.services)
	for _, h := range c.hosts {
		c.services[h.backend.Service()] = append(c.services[h.backend.Service()], h)
	}
	for _, hosts := range c.services {
		slices.SortFunc(hosts, func(a, b *host) int { return cmp.Compare(a.backend.ID(), b.backend.ID()) })
	}
}
