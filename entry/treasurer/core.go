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
package treasurer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/register"
	"sesamewell.example/entry/router"
)

// Proof tells whether this process may act on what it knows of the log.
type Proof interface {
	// Fresh reports whether a state of the register, named by the offset
	// after the record that made it, was current a short time ago.
	Fresh(now time.Time, state int64) bool
}

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Instance    string        // name of this entry in the inventory
	Incarnation string        // unique to this core; begins with the instance's name and a slash
	Freshness   time.Duration // age at which a proof lapses
	Allowance   time.Duration // life of an allowance
	Floor       int           // share of rate and burst that the floors take, in per cent
	Proof       Proof
}

// Core is responsible for every decision on tenants' rates. It does no input or
// output; its duty carries out the actions that Handle and Tick return.
type Core struct {
	config   CoreConfig
	actions  []Action
	revision *register.Revision
	ticked   time.Time
	draining bool
	drained  bool
	drainEnd time.Time

	floor   *tenure
	tenures map[string]*tenure // of the tenants' groups, by role
	terms   map[string]*terms  // by tenant

	purses  map[string]*purse     // by tenant
	peers   map[string]*peer      // owners that this entry calls, by instance
	silent  map[string]time.Time  // first call without an answer since the last one, by incarnation
	gone    map[string]time.Time  // first sign that another incarnation has its place
	owed    map[string][]giveBack // ended allowances to report, by role
	serial  int64
	changes int64

	ledgers   map[string]*ledger // of the tenants that this entry owns
	borrowers map[string]*borrower
	passes    map[string]int // tries to hand a role over
}

// NewCore returns a core that knows no tenants.
func NewCore(config CoreConfig) *Core {
	c := &Core{
		config:    config,
		floor:     &tenure{role: floorRole(config.Instance)},
		tenures:   make(map[string]*tenure),
		terms:     make(map[string]*terms),
		purses:    make(map[string]*purse),
		peers:     make(map[string]*peer),
		silent:    make(map[string]time.Time),
		gone:      make(map[string]time.Time),
		owed:      make(map[string][]giveBack),
		ledgers:   make(map[string]*ledger),
		borrowers: make(map[string]*borrower),
		passes:    make(map[string]int),
	}
	for group := range groups {
		role := treasuryRole(group)
		c.tenures[role] = &tenure{role: role}
	}
	return c
}

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case Ask:
		c.ask(now, m.ask)
	case Leave:
		c.leave(m)
	case Refund:
		c.purse(m.tenant).refund(now, tokens(max(m.tokens, 0)), c.floorOpen(now))
	case Lent:
		c.lent(now, m)
	case LendArrived:
		c.do(Reply{reply: m.reply, answer: c.lend(now, m.lend)})
	case HandOverArrived:
		c.receive(now, m)
	case HandedOver:
		c.handedOver(now, m)
	case Revised:
		c.revise(now, m.revision)
	case Drain:
		c.drain(now)
	}
	c.settleDrain(now)
	return c.flush()
}

// Tick does what is due by time alone.
func (c *Core) Tick(now time.Time) []Action {
	span := now.Sub(c.ticked)
	c.ticked = now
	c.promote(now)
	for _, tenant := range slices.Sorted(maps.Keys(c.purses)) {
		p := c.purses[tenant]
		p.measure(span)
		c.collect(now, tenant, p)
		c.refuseOld(now, tenant, p)
	}
	c.claim(now)
	c.callOwners(now)
	c.forget(now)
	c.settleDrain(now)
	return c.flush()
}

// Owned returns the number of tenants whose buckets this entry owns.
func (c *Core) Owned() int { return len(c.ledgers) }

func (c *Core) do(action Action) { c.actions = append(c.actions, action) }

func (c *Core) flush() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// fresh reports whether this entry may act on what it knows of the log.
func (c *Core) fresh(now time.Time) bool {
	return c.revision != nil && c.config.Proof.Fresh(now, c.revision.State())
}

// floorOpen reports whether the floors may be spent.
func (c *Core) floorOpen(now time.Time) bool { return c.floor.acts(now) && c.fresh(now) }

func (c *Core) purse(tenant string) *purse {
	p, ok := c.purses[tenant]
	if !ok {
		p = &purse{}
		c.purses[tenant] = p
	}
	return p
}

// ask admits a request, parks it until an allowance comes, or refuses it.
func (c *Core) ask(now time.Time, ask router.Request) {
	if ask.Tokens() <= 0 {
		c.do(Admit{ask: ask})
		return
	}
	p := c.purse(ask.Tenant())
	p.asked += ask.Tokens()
	p.largest = max(p.largest, ask.Tokens())
	switch {
	case len(p.parked) == 0 && p.spend(now, tokens(ask.Tokens()), c.floorOpen(now)):
		c.do(Admit{ask: ask})
	case c.tooLarge(ask):
		c.do(Refuse{request: ask.ID(), refusal: errTooLarge})
	case now.Before(p.dryUntil):
		c.refuse(now, p, ask, p.dryWait)
	case c.draining:
		c.do(Refuse{request: ask.ID(), refusal: errLeaving, retryAfter: minWait})
	case len(p.parked) >= maxParked:
		c.do(Refuse{request: ask.ID(), refusal: errOverloaded, retryAfter: minWait})
	default:
		p.parked = append(p.parked, parked{ask: ask, since: now})
		c.callOwner(now, ask.Tenant())
	}
}

// tooLarge reports whether a request needs more than this entry can ever hold
// at once.
func (c *Core) tooLarge(ask router.Request) bool {
	t, ok := c.terms[ask.Tenant()]
	return ok && tokens(ask.Tokens()) > t.next.owner.burst+t.next.floor.burst
}

func (c *Core) leave(m Leave) {
	for _, p := range c.purses {
		for i, w := range p.parked {
			if w.ask.ID() == m.request {
				p.parked = slices.Delete(p.parked, i, i+1)
				return
			}
		}
	}
	c.do(PassLeave(m))
}

// serve admits the parked requests that there are tokens for.
func (c *Core) serve(now time.Time, p *purse) {
	kept := p.parked[:0]
	for _, w := range p.parked {
		if p.spend(now, tokens(w.ask.Tokens()), c.floorOpen(now)) {
			c.do(Admit{ask: w.ask})
			continue
		}
		kept = append(kept, w)
	}
	clear(p.parked[len(kept):])
	p.parked = kept
}

// refuse ends a request that the tenant's rate does not allow now. Each refusal
// books its tokens behind those of the refusals before it, so that callers who
// come back at the time they are given find tokens.
func (c *Core) refuse(now time.Time, p *purse, ask router.Request, wait time.Duration) {
	if t, ok := c.terms[ask.Tenant()]; ok {
		if p.promised.Before(now) {
			p.promised = now
		}
		p.promised = p.promised.Add((t.now.owner.rate + t.now.floor.rate).duration(tokens(ask.Tokens())))
		p.promised = earlier(p.promised, now.Add(maxWait))
		wait = max(wait, p.promised.Sub(now))
	}
	c.do(Refuse{request: ask.ID(), refusal: errRateExceeded, retryAfter: min(max(wait, minWait), maxWait)})
}

// refuseOld refuses what no allowance has come for: the owner is not reached.
func (c *Core) refuseOld(now time.Time, tenant string, p *purse) {
	if len(p.parked) == 0 {
		return
	}
	c.serve(now, p)
	for len(p.parked) > 0 && now.Sub(p.parked[0].since) >= holdLimit {
		c.refuse(now, p, p.parked[0].ask, c.recovery(now, tenant, p))
		p.parked = slices.Delete(p.parked, 0, 1)
	}
}

// recovery returns the time after which tokens are to be expected although the
// owner is not reached: from the floor, or from the owner's successor.
func (c *Core) recovery(now time.Time, tenant string, p *purse) time.Duration {
	succession := suspectAfter + c.config.Freshness + c.config.Allowance
	if t := c.tenures[groupRole(tenant)]; t.mine && now.Before(t.opensAt) {
		succession = t.opensAt.Sub(now)
	}
	if !c.floorOpen(now) {
		return succession
	}
	need := tokens(p.parked[0].ask.Tokens()) - p.available(now, true)
	return min(p.floor.share.rate.duration(need), succession)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// nextChange returns the id of a record.
func (c *Core) nextChange() string {
	c.changes++
	return fmt.Sprintf("%s#%d", c.config.Incarnation, c.changes)
}
