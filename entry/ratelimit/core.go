// Package ratelimit enforces each tenant's token rate and burst with distributed
// token buckets across all entries, the processes that accept callers' requests.
//
// Each tenant's bucket has one owner: the entry that holds the claim to the
// bucket's group in the log. The owner lends entries small allowances that
// expire, sized by their recent demand, so that most requests are admitted
// without a remote call. Each entry also has a fixed share of every tenant's
// limits, its floor, from which it admits requests while it cannot reach the
// owner. Floors, outstanding allowances and the owner's level together never
// exceed the tenant's burst, and together they accrue at most the tenant's rate.
package ratelimit

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/entry/router"
)

// FreshnessProof decides whether a fleet state may still be acted on.
type FreshnessProof interface {
	// Fresh reports whether the state with this offset is proven current at now.
	Fresh(now time.Time, stateOffset int64) bool
}

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Instance     string        // name of this entry in the inventory
	Incarnation  string        // unique ID of this core: the instance's name, a slash and a suffix
	Freshness    time.Duration // age at which a freshness proof expires
	AllowanceTTL time.Duration // lifetime of an allowance
	FloorPercent int           // percentage of rate and burst that is divided among the floors
	Proof        FreshnessProof
}

// Core makes every decision on tenants' rate limits. It does no I/O and is not
// safe for concurrent use; Limiter executes the actions that Handle and Tick
// return.
type Core struct {
	config        CoreConfig
	actions       []Action
	revision      *fleetstate.Revision
	lastTick      time.Time
	draining      bool
	drained       bool
	drainDeadline time.Time

	floorClaim  *claimState
	groupClaims map[string]*claimState   // claims to the bucket groups, by role
	limits      map[string]*tenantLimits // limits by tenant

	tenants         map[string]*tenantState    // local state by tenant
	owners          map[string]*ownerCalls     // calls to bucket owners, by instance
	unansweredSince map[string]time.Time       // time of the first unanswered call since the last answer, by incarnation
	replacedSince   map[string]time.Time       // time at which another incarnation first answered in its place, by incarnation
	pendingReturns  map[string][]pendingReturn // ended allowances to report, by role
	lastSerial      int64
	lastChange      int64

	ownedBuckets     map[string]*ownedBucket // buckets that this entry owns, by tenant
	borrowers        map[string]*borrower    // last call of each borrower, by incarnation
	handOverAttempts map[string]int          // failed attempts to hand over, by role
}

// NewCore returns a core without tenants.
func NewCore(config CoreConfig) *Core {
	c := &Core{
		config:           config,
		floorClaim:       &claimState{role: floorRole(config.Instance)},
		groupClaims:      make(map[string]*claimState),
		limits:           make(map[string]*tenantLimits),
		tenants:          make(map[string]*tenantState),
		owners:           make(map[string]*ownerCalls),
		unansweredSince:  make(map[string]time.Time),
		replacedSince:    make(map[string]time.Time),
		pendingReturns:   make(map[string][]pendingReturn),
		ownedBuckets:     make(map[string]*ownedBucket),
		borrowers:        make(map[string]*borrower),
		handOverAttempts: make(map[string]int),
	}
	for group := range bucketGroups {
		role := groupRole(group)
		c.groupClaims[role] = &claimState{role: role}
	}
	return c
}

// Handle processes one message and returns the actions to execute.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case AdmissionRequested:
		c.admit(now, m.request)
	case Abandoned:
		c.handleAbandoned(m)
	case Refund:
		c.tenant(m.tenant).refund(now, tokens(max(m.tokens, 0)), c.floorOpen(now))
	case LendAnswered:
		c.handleLendAnswer(now, m)
	case LendRequested:
		c.emit(Reply{reply: m.reply, answer: c.lend(now, m.lend)})
	case HandOverRequested:
		c.receiveHandOver(now, m)
	case HandOverAnswered:
		c.handleHandOverAnswer(now, m)
	case RevisionChanged:
		c.applyRevision(now, m.revision)
	case Drain:
		c.drain(now)
	}
	c.checkDrained(now)
	return c.takeActions()
}

// Tick handles expirations and timeouts and returns the actions to execute.
func (c *Core) Tick(now time.Time) []Action {
	span := now.Sub(c.lastTick)
	c.lastTick = now
	c.applyDueLimits(now)
	for _, tenant := range slices.Sorted(maps.Keys(c.tenants)) {
		state := c.tenants[tenant]
		state.updateDemand(span)
		c.expireAllowances(now, tenant, state)
		c.refuseExpired(now, tenant, state)
	}
	c.claimRoles(now)
	c.callOwners(now)
	c.evictBorrowers(now)
	c.checkDrained(now)
	return c.takeActions()
}

// Owned returns the number of tenants whose buckets this entry owns.
func (c *Core) Owned() int { return len(c.ownedBuckets) }

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

func (c *Core) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// fresh reports whether the copy of the log is recent enough to act on.
func (c *Core) fresh(now time.Time) bool {
	return c.revision != nil && c.config.Proof.Fresh(now, c.revision.StateOffset())
}

// floorOpen reports whether this entry may spend from its floors.
func (c *Core) floorOpen(now time.Time) bool { return c.floorClaim.active(now) && c.fresh(now) }

func (c *Core) tenant(name string) *tenantState {
	state, ok := c.tenants[name]
	if !ok {
		state = &tenantState{}
		c.tenants[name] = state
	}
	return state
}

// admit admits a request, queues it until an allowance arrives, or refuses it.
func (c *Core) admit(now time.Time, request router.Request) {
	if request.Tokens() <= 0 {
		c.emit(Admit{request: request})
		return
	}
	state := c.tenant(request.Tenant())
	state.requested += request.Tokens()
	state.largestRequest = max(state.largestRequest, request.Tokens())
	switch {
	case len(state.waiting) == 0 && state.spend(now, tokens(request.Tokens()), c.floorOpen(now)):
		c.emit(Admit{request: request})
	case c.tooLarge(request):
		c.emit(Refuse{request: request.ID(), refusal: errExceedsBurst})
	case now.Before(state.refuseUntil):
		c.refuse(now, state, request, state.refusalWait)
	case c.draining:
		c.emit(Refuse{request: request.ID(), refusal: errDraining, retryAfter: minRetryAfter})
	case len(state.waiting) >= maxWaiting:
		c.emit(Refuse{request: request.ID(), refusal: errOverloaded, retryAfter: minRetryAfter})
	default:
		state.waiting = append(state.waiting, waitingRequest{request: request, arrivedAt: now})
		c.callOwner(now, request.Tenant())
	}
}

// tooLarge reports whether a request needs more tokens than this entry can ever
// hold at once.
func (c *Core) tooLarge(request router.Request) bool {
	limits, ok := c.limits[request.Tenant()]
	return ok && tokens(request.Tokens()) > limits.next.owner.burst+limits.next.floor.burst
}

func (c *Core) handleAbandoned(m Abandoned) {
	for _, state := range c.tenants {
		for i, w := range state.waiting {
			if w.request.ID() == m.request {
				state.waiting = slices.Delete(state.waiting, i, i+1)
				return
			}
		}
	}
	c.emit(ForwardAbandoned(m))
}

// admitWaiting admits the waiting requests for which there are enough tokens.
func (c *Core) admitWaiting(now time.Time, state *tenantState) {
	kept := state.waiting[:0]
	for _, w := range state.waiting {
		if state.spend(now, tokens(w.request.Tokens()), c.floorOpen(now)) {
			c.emit(Admit{request: w.request})
			continue
		}
		kept = append(kept, w)
	}
	clear(state.waiting[len(kept):])
	state.waiting = kept
}

// refuse refuses a request that exceeds the tenant's rate. Retry times are
// staggered: each refusal reserves its tokens after those of earlier refusals,
// so that callers who retry at the time they were given find tokens.
func (c *Core) refuse(now time.Time, state *tenantState, request router.Request, wait time.Duration) {
	if limits, ok := c.limits[request.Tenant()]; ok {
		if state.reservedUntil.Before(now) {
			state.reservedUntil = now
		}
		state.reservedUntil = state.reservedUntil.Add((limits.current.owner.rate + limits.current.floor.rate).timeToAccrue(tokens(request.Tokens())))
		state.reservedUntil = earlier(state.reservedUntil, now.Add(maxRetryAfter))
		wait = max(wait, state.reservedUntil.Sub(now))
	}
	c.emit(Refuse{request: request.ID(), refusal: errRateExceeded, retryAfter: min(max(wait, minRetryAfter), maxRetryAfter)})
}

// refuseExpired refuses the requests that have waited for queueTimeout because
// the owner is unreachable.
func (c *Core) refuseExpired(now time.Time, tenant string, state *tenantState) {
	if len(state.waiting) == 0 {
		return
	}
	c.admitWaiting(now, state)
	for len(state.waiting) > 0 && now.Sub(state.waiting[0].arrivedAt) >= queueTimeout {
		c.refuse(now, state, state.waiting[0].request, c.recoveryTime(now, tenant, state))
		state.waiting = slices.Delete(state.waiting, 0, 1)
	}
}

// recoveryTime estimates when tokens will be available although the owner is
// unreachable: from the floor, or from the owner's successor.
func (c *Core) recoveryTime(now time.Time, tenant string, state *tenantState) time.Duration {
	succession := ownerTimeout + c.config.Freshness + c.config.AllowanceTTL
	if claim := c.groupClaims[ownerRole(tenant)]; claim.held && now.Before(claim.activeAt) {
		succession = claim.activeAt.Sub(now)
	}
	if !c.floorOpen(now) {
		return succession
	}
	missing := tokens(state.waiting[0].request.Tokens()) - state.available(now, true)
	return min(state.floor.share.rate.timeToAccrue(missing), succession)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// nextChangeID returns a unique ID for a log record.
func (c *Core) nextChangeID() string {
	c.lastChange++
	return fmt.Sprintf("%s#%d", c.config.Incarnation, c.lastChange)
}
