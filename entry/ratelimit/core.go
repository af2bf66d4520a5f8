// Package treasurer holds tenants to their rate and burst over all entries
// together: distributed token buckets.
//
// Each tenant's bucket has one owner, the entry that holds the claim to the
// bucket's group in the log. The owner lends small allowances that expire to
// the entries, sized by their recent use, so that most requests are admitted
// without a message. Each entry also holds a standing floor share, which serves
// it while it does not reach the owner. Floors, outstanding allowances and the
// owner's level together never exceed the tenant's burst, nor what accrues the
// tenant's rate.
package ratelimit

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/register"
	"sesamewell.example/entry/router"
)

// Proof tells whether this process may act on what it knows of the log.
type FreshnessProof interface {
	// Fresh reports whether a state of the register, named by the offset
	// after the record that made it, was current a short time ago.
	Fresh(now time.Time, state int64) bool
}

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Instance     string        // name of this entry in the inventory
	Incarnation  string        // unique to this core; begins with the instance's name and a slash
	Freshness    time.Duration // age at which a proof lapses
	AllowanceTTL time.Duration // life of an allowance
	FloorPercent int           // share of rate and burst that the floors take, in per cent
	Proof        FreshnessProof
}

// Core is responsible for every decision on tenants' rates. It does no input or
// output; its duty carries out the actions that Handle and Tick return.
type Core struct {
	config        CoreConfig
	actions       []Action
	revision      *register.Revision
	lastTick      time.Time
	draining      bool
	drained       bool
	drainDeadline time.Time

	floorClaim  *claimState
	groupClaims map[string]*claimState   // of the tenants' groups, by role
	limits      map[string]*tenantLimits // by tenant

	tenants         map[string]*tenantState    // by tenant
	owners          map[string]*ownerCalls     // owners that this entry calls, by instance
	unansweredSince map[string]time.Time       // first call without an answer since the last one, by incarnation
	replacedSince   map[string]time.Time       // first sign that another incarnation has its place
	pendingReturns  map[string][]pendingReturn // ended allowances to report, by role
	lastSerial      int64
	lastChange      int64

	ownedBuckets     map[string]*ownedBucket // of the tenants that this entry owns
	borrowers        map[string]*borrower
	handOverAttempts map[string]int // tries to hand a role over
}

// NewCore returns a core that knows no tenants.
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

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case AdmissionRequested:
		c.admit(now, m.request)
	case RequestCanceled:
		c.cancel(m)
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
	case Revised:
		c.applyRevision(now, m.revision)
	case Drain:
		c.drain(now)
	}
	c.checkDrained(now)
	return c.takeActions()
}

// Tick does what is due by time alone.
func (c *Core) Tick(now time.Time) []Action {
	span := now.Sub(c.lastTick)
	c.lastTick = now
	c.applyDueLimits(now)
	for _, tenant := range slices.Sorted(maps.Keys(c.tenants)) {
		p := c.tenants[tenant]
		p.updateDemand(span)
		c.expireAllowances(now, tenant, p)
		c.refuseExpired(now, tenant, p)
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

// fresh reports whether this entry may act on what it knows of the log.
func (c *Core) fresh(now time.Time) bool {
	return c.revision != nil && c.config.Proof.Fresh(now, c.revision.State())
}

// floorOpen reports whether the floors may be spent.
func (c *Core) floorOpen(now time.Time) bool { return c.floorClaim.active(now) && c.fresh(now) }

func (c *Core) tenant(tenant string) *tenantState {
	p, ok := c.tenants[tenant]
	if !ok {
		p = &tenantState{}
		c.tenants[tenant] = p
	}
	return p
}

// ask admits a request, parks it until an allowance comes, or refuses it.
func (c *Core) admit(now time.Time, ask router.Request) {
	if ask.Tokens() <= 0 {
		c.emit(Admit{request: ask})
		return
	}
	p := c.tenant(ask.Tenant())
	p.requested += ask.Tokens()
	p.largestRequest = max(p.largestRequest, ask.Tokens())
	switch {
	case len(p.waiting) == 0 && p.spend(now, tokens(ask.Tokens()), c.floorOpen(now)):
		c.emit(Admit{request: ask})
	case c.tooLarge(ask):
		c.emit(Refuse{request: ask.ID(), refusal: errExceedsBurst})
	case now.Before(p.refuseUntil):
		c.refuse(now, p, ask, p.refusalWait)
	case c.draining:
		c.emit(Refuse{request: ask.ID(), refusal: errDraining, retryAfter: minRetryAfter})
	case len(p.waiting) >= maxWaiting:
		c.emit(Refuse{request: ask.ID(), refusal: errOverloaded, retryAfter: minRetryAfter})
	default:
		p.waiting = append(p.waiting, waitingRequest{request: ask, arrivedAt: now})
		c.callOwner(now, ask.Tenant())
	}
}

// tooLarge reports whether a request needs more than this entry can ever hold
// at once.
func (c *Core) tooLarge(ask router.Request) bool {
	t, ok := c.limits[ask.Tenant()]
	return ok && tokens(ask.Tokens()) > t.next.owner.burst+t.next.floor.burst
}

func (c *Core) cancel(m RequestCanceled) {
	for _, p := range c.tenants {
		for i, w := range p.waiting {
			if w.request.ID() == m.request {
				p.waiting = slices.Delete(p.waiting, i, i+1)
				return
			}
		}
	}
	c.emit(ForwardCancel(m))
}

// serve admits the parked requests that there are tokens for.
func (c *Core) admitWaiting(now time.Time, p *tenantState) {
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		if p.spend(now, tokens(w.request.Tokens()), c.floorOpen(now)) {
			c.emit(Admit{request: w.request})
			continue
		}
		kept = append(kept, w)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// refuse ends a request that the tenant's rate does not allow now. Each refusal
// books its tokens behind those of the refusals before it, so that callers who
// come back at the time they are given find tokens.
func (c *Core) refuse(now time.Time, p *tenantState, ask router.Request, wait time.Duration) {
	if t, ok := c.limits[ask.Tenant()]; ok {
		if p.reservedUntil.Before(now) {
			p.reservedUntil = now
		}
		p.reservedUntil = p.reservedUntil.Add((t.current.owner.rate + t.current.floor.rate).timeToAccrue(tokens(ask.Tokens())))
		p.reservedUntil = earlier(p.reservedUntil, now.Add(maxRetryAfter))
		wait = max(wait, p.reservedUntil.Sub(now))
	}
	c.emit(Refuse{request: ask.ID(), refusal: errRateExceeded, retryAfter: min(max(wait, minRetryAfter), maxRetryAfter)})
}

// refuseOld refuses what no allowance has come for: the owner is not reached.
func (c *Core) refuseExpired(now time.Time, tenant string, p *tenantState) {
	if len(p.waiting) == 0 {
		return
	}
	c.admitWaiting(now, p)
	for len(p.waiting) > 0 && now.Sub(p.waiting[0].arrivedAt) >= queueTimeout {
		c.refuse(now, p, p.waiting[0].request, c.recoveryTime(now, tenant, p))
		p.waiting = slices.Delete(p.waiting, 0, 1)
	}
}

// recovery returns the time after which tokens are to be expected although the
// owner is not reached: from the floor, or from the owner's successor.
func (c *Core) recoveryTime(now time.Time, tenant string, p *tenantState) time.Duration {
	succession := ownerTimeout + c.config.Freshness + c.config.AllowanceTTL
	if t := c.groupClaims[ownerRole(tenant)]; t.held && now.Before(t.activeAt) {
		succession = t.activeAt.Sub(now)
	}
	if !c.floorOpen(now) {
		return succession
	}
	need := tokens(p.waiting[0].request.Tokens()) - p.available(now, true)
	return min(p.floor.share.rate.timeToAccrue(need), succession)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// nextChange returns the id of a record.
func (c *Core) nextChangeID() string {
	c.lastChange++
	return fmt.Sprintf("%s#%d", c.config.Incarnation, c.lastChange)
}
