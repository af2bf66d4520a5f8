package ratelimit

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
)

// borrower is responsible for telling new calls of an entry from copies.
type borrower struct {
	serial   int64
	answer   notice.Loans
	calledAt time.Time
}

// lend answers a peer's call. A copy of the last call gets the same answer; an
// older one gets nothing, since its sender no longer waits for it.
func (c *Core) lend(now time.Time, m notice.Lend) notice.Loans {
	b, ok := c.borrowers[m.Holder()]
	if !ok {
		b = &borrower{}
		c.borrowers[m.Holder()] = b
	}
	if m.Serial() <= b.serial {
		if m.Serial() == b.serial {
			return b.answer
		}
		return notice.NewLoans(notice.LoansConfig{Holder: c.config.Incarnation})
	}
	fresh := c.fresh(now)
	for _, back := range m.GiveBacks() {
		if l, ok := c.ownedBuckets[back.Tenant()]; ok && fresh && c.groupClaims[ownerRole(back.Tenant())].active(now) {
			l.settle(now, m.Holder(), back)
		}
	}
	config := notice.LoansConfig{Holder: c.config.Incarnation}
	if !fresh {
		config.Holder = ""
	}
	for _, need := range m.Needs() {
		config.Loans = append(config.Loans, c.lendTokens(now, m, need, fresh))
	}
	*b = borrower{serial: m.Serial(), answer: notice.NewLoans(config), calledAt: now}
	return b.answer
}

func (c *Core) lendTokens(now time.Time, m notice.Lend, need notice.Need, fresh bool) notice.Loan {
	t := c.groupClaims[ownerRole(need.Tenant())]
	l, ok := c.ownedBuckets[need.Tenant()]
	if !ok || !t.held || t.handedOver || !fresh {
		return notice.NewLoan(notice.LoanConfig{Tenant: need.Tenant()})
	}
	if !t.active(now) {
		return notice.NewLoan(notice.LoanConfig{Tenant: need.Tenant(), Wait: t.activeAt.Sub(now)})
	}
	return l.lend(now, m.Holder(), m.Serial(), need, now.Add(c.config.AllowanceTTL+returnGrace))
}

// forget drops the last answers of borrowers that no longer call.
func (c *Core) evictBorrowers(now time.Time) {
	maps.DeleteFunc(c.borrowers, func(_ string, b *borrower) bool { return now.Sub(b.calledAt) > borrowerRetention })
}

// revise takes over a revision: tenants, limits and claims.
func (c *Core) applyRevision(now time.Time, revision *register.Revision) {
	first := c.revision == nil
	changed := first || revision.Number() != c.revision.Number()
	c.revision = revision
	if changed {
		c.updateLimits(now, first)
	}
	if claim, ok := revision.Claim(c.floorClaim.role); ok && c.floorClaim.update(now, claim, c.config.Incarnation, c.config.Freshness) {
		c.openFloors(now)
	}
	for _, role := range slices.Sorted(maps.Keys(c.groupClaims)) {
		t := c.groupClaims[role]
		claim, ok := revision.Claim(role)
		if !ok {
			continue
		}
		if mine := t.held; t.update(now, claim, c.config.Incarnation, c.config.Freshness+c.config.AllowanceTTL) {
			c.openBuckets(now, t)
		} else if mine && !t.held {
			c.closeBuckets(role)
			t.noClaimUntil = now.Add(reclaimDelay)
		}
	}
	c.updateRanks()
	c.claimRoles(now)
	for tenant, p := range c.tenants {
		if len(p.waiting) > 0 {
			c.callOwner(now, tenant)
		}
	}
}

// rankRoles finds this entry's place among those that would succeed the holder
// of each role, and forgets what it knows of earlier holders.
func (c *Core) updateRanks() {
	holders := make(map[string]struct{})
	for _, t := range c.groupClaims {
		holder := t.current.Holder()
		holders[holder] = struct{}{}
		order := candidates(c.revision.Inventory(), t.role)
		if name := instanceName(holder); name != c.config.Instance {
			order = slices.DeleteFunc(order, func(candidate string) bool { return candidate == name })
		}
		t.rank = slices.Index(order, c.config.Instance)
	}
	past := func(holder string, _ time.Time) bool {
		_, ok := holders[holder]
		return !ok
	}
	maps.DeleteFunc(c.unansweredSince, past)
	maps.DeleteFunc(c.replacedSince, past)
}

// reviseTerms divides the tenants' limits anew.
func (c *Core) updateLimits(now time.Time, first bool) {
	inventory := c.revision.Inventory()
	due := now.Add(c.config.Freshness)
	if first && c.revision.Number() == 1 {
		due = now
	}
	for _, tenant := range inventory.Tenants() {
		t, ok := c.limits[tenant.Name()]
		if !ok {
			t = &tenantLimits{initialFill: initialFill{floor: c.floorClaim.active(now), owner: c.groupClaims[ownerRole(tenant.Name())].active(now)}}
			c.limits[tenant.Name()] = t
		}
		t.update(split(inventory, tenant, c.config.Instance, int64(c.config.FloorPercent)), due)
	}
	for name, t := range c.limits {
		if _, ok := inventory.Tenant(name); !ok {
			t.update(shares{}, due)
		}
	}
	for name := range c.limits {
		c.applyLimits(now, name)
	}
	c.applyDueLimits(now)
}

// promote puts raised limits in force when they are due.
func (c *Core) applyDueLimits(now time.Time) {
	for name, t := range c.limits {
		if !t.applyDue(now) {
			continue
		}
		c.applyLimits(now, name)
		if t.initialFill.floor && c.floorClaim.held {
			c.fillFloor(name)
		}
		if l, ok := c.ownedBuckets[name]; ok && t.initialFill.owner {
			l.bucket.add(t.current.owner.burst)
		}
		t.initialFill = initialFill{}
	}
}

// limit applies the limits in force to a tenant's buckets.
func (c *Core) applyLimits(now time.Time, tenant string) {
	t := c.limits[tenant]
	if c.floorClaim.held {
		c.tenant(tenant).floor.setShare(now, t.current.floor)
	}
	role := ownerRole(tenant)
	l, ok := c.ownedBuckets[tenant]
	if !ok && c.groupClaims[role].held {
		l = &ownedBucket{bucket: bucket{updated: now}}
		c.ownedBuckets[tenant] = l
	}
	if l != nil {
		l.advance(now)
		l.bucket.setShare(now, t.current.owner)
	}
}

func (c *Core) fillFloor(tenant string) {
	p := c.tenant(tenant)
	p.floor.add(p.floor.share.burst)
}

// openFloors starts this entry's floors: full if the fleet is new, else empty
// once the floors of the incarnation before it are surely closed.
func (c *Core) openFloors(now time.Time) {
	for tenant, t := range c.limits {
		p := c.tenant(tenant)
		p.floor = bucket{share: t.current.floor, updated: c.floorClaim.activeAt}
		if c.floorClaim.firstHolder && c.revision.Number() == 1 {
			c.fillFloor(tenant)
		}
	}
}

// openLedgers starts the buckets of a group: full if nobody owned them before,
// with the state that was handed over if there is one, else empty once all that
// the earlier owner lent has surely expired.
func (c *Core) openBuckets(now time.Time, t *claimState) {
	for tenant, terms := range c.limits {
		if ownerRole(tenant) != t.role {
			continue
		}
		l := &ownedBucket{bucket: bucket{share: terms.current.owner, updated: t.activeAt}}
		if t.firstHolder {
			l.bucket.add(terms.current.owner.burst)
			terms.initialFill.owner = terms.pending
		}
		c.ownedBuckets[tenant] = l
	}
	c.restoreHandOver(now, t)
}

// inherit takes over what the superseded owner handed over.
func (c *Core) restoreHandOver(now time.Time, t *claimState) {
	handOver := t.supersededHandOver()
	if handOver == nil || !now.Before(t.activeAt) {
		return
	}
	t.activeAt = now
	for _, balance := range handOver.Balances() {
		if l, ok := c.ownedBuckets[balance.Tenant()]; ok && ownerRole(balance.Tenant()) == t.role {
			l.restore(now, balance)
		}
	}
}

func (c *Core) closeBuckets(role string) {
	maps.DeleteFunc(c.ownedBuckets, func(tenant string, _ *ownedBucket) bool { return ownerRole(tenant) == role })
}

// claim appends the claims that this entry should hold.
func (c *Core) claimRoles(now time.Time) {
	if c.draining || !c.fresh(now) {
		return
	}
	if self, ok := c.revision.Inventory().Instance(c.config.Instance); !ok || self.Role() != register.Entry {
		return
	}
	if !c.floorClaim.held {
		c.appendClaim(now, c.floorClaim)
	}
	for _, role := range slices.Sorted(maps.Keys(c.groupClaims)) {
		if t := c.groupClaims[role]; !t.held && c.shouldClaim(now, t) {
			c.appendClaim(now, t)
		}
	}
}

// succeeds reports whether this entry should claim a role that another entry
// or nobody holds.
func (c *Core) shouldClaim(now time.Time, t *claimState) bool {
	if t.handOver != nil && t.handOver.Epoch() == t.current.Epoch() {
		return true
	}
	if now.Before(t.noClaimUntil) {
		return false
	}
	holder := t.current.Holder()
	name := instanceName(holder)
	wait := time.Duration(t.rank) * claimStagger
	silent, unheard := c.unansweredSince[holder]
	gone, replaced := c.replacedSince[holder]
	switch {
	case holder == "":
		return !now.Before(t.vacantSince(now).Add(wait))
	case name == c.config.Instance:
		return true
	case replaced:
		return now.Sub(gone) >= wait
	default:
		return unheard && now.Sub(silent) >= ownerTimeout+wait
	}
}

// since returns the time from which a role is known to be vacant.
func (t *claimState) vacantSince(now time.Time) time.Time {
	if t.changedAt.IsZero() {
		t.changedAt = now
	}
	return t.changedAt
}

func (c *Core) appendClaim(now time.Time, t *claimState) {
	if t.proposed && t.supersededEpoch == t.current.Epoch() && now.Sub(t.proposedAt) < claimRetryInterval {
		return
	}
	t.markProposed(now)
	c.emit(Append{record: register.NewRecord(register.RecordConfig{
		Change: c.nextChangeID(), Kind: register.Take, Claim: t.role, Holder: c.config.Incarnation, Epoch: t.current.Epoch(),
	})})
}
