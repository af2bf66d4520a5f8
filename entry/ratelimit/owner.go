package ratelimit

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/protocol"
)

// borrower holds the last call of one borrowing incarnation and its answer, in
// order to detect duplicates.
type borrower struct {
	serial   int64
	answer   protocol.Loans
	calledAt time.Time
}

// lend answers a peer's call. A duplicate of the last call gets the same answer.
// An older call gets an empty one, since its sender no longer waits for it.
func (c *Core) lend(now time.Time, m protocol.Lend) protocol.Loans {
	b, ok := c.borrowers[m.Borrower()]
	if !ok {
		b = &borrower{}
		c.borrowers[m.Borrower()] = b
	}
	if m.Serial() <= b.serial {
		if m.Serial() == b.serial {
			return b.answer
		}
		return protocol.NewLoans(protocol.LoansConfig{Owner: c.config.Incarnation})
	}
	fresh := c.fresh(now)
	for _, returned := range m.Returns() {
		if owned, ok := c.ownedBuckets[returned.Tenant()]; ok && fresh && c.groupClaims[ownerRole(returned.Tenant())].active(now) {
			owned.settle(now, m.Borrower(), returned)
		}
	}
	config := protocol.LoansConfig{Owner: c.config.Incarnation}
	if !fresh {
		config.Owner = ""
	}
	for _, request := range m.Requests() {
		config.Loans = append(config.Loans, c.lendTokens(now, m, request, fresh))
	}
	*b = borrower{serial: m.Serial(), answer: protocol.NewLoans(config), calledAt: now}
	return b.answer
}

// lendTokens answers one loan request of a call.
func (c *Core) lendTokens(now time.Time, m protocol.Lend, request protocol.LoanRequest, fresh bool) protocol.Loan {
	claim := c.groupClaims[ownerRole(request.Tenant())]
	owned, ok := c.ownedBuckets[request.Tenant()]
	if !ok || !claim.held || claim.handedOver || !fresh {
		return protocol.NewLoan(protocol.LoanConfig{Tenant: request.Tenant()})
	}
	if !claim.active(now) {
		return protocol.NewLoan(protocol.LoanConfig{Tenant: request.Tenant(), Wait: claim.activeAt.Sub(now)})
	}
	return owned.lend(now, m.Borrower(), m.Serial(), request, now.Add(c.config.AllowanceTTL+returnGrace))
}

// evictBorrowers drops the last answers of borrowers that no longer call.
func (c *Core) evictBorrowers(now time.Time) {
	maps.DeleteFunc(c.borrowers, func(_ string, b *borrower) bool { return now.Sub(b.calledAt) > borrowerRetention })
}

// applyRevision applies a revision of the fleet state: tenants, limits and claims.
func (c *Core) applyRevision(now time.Time, revision *fleetstate.Revision) {
	first := c.revision == nil
	changed := first || revision.Number() != c.revision.Number()
	c.revision = revision
	if changed {
		c.updateLimits(now, first)
	}
	if current, ok := revision.Claim(c.floorClaim.role); ok && c.floorClaim.update(now, current, c.config.Incarnation, c.config.Freshness) {
		c.openFloors(now)
	}
	for _, role := range slices.Sorted(maps.Keys(c.groupClaims)) {
		claim := c.groupClaims[role]
		current, ok := revision.Claim(role)
		if !ok {
			continue
		}
		if held := claim.held; claim.update(now, current, c.config.Incarnation, c.config.Freshness+c.config.AllowanceTTL) {
			c.openBuckets(now, claim)
		} else if held && !claim.held {
			c.closeBuckets(role)
			claim.noClaimUntil = now.Add(reclaimDelay)
		}
	}
	c.updateRanks()
	c.claimRoles(now)
	for tenant, state := range c.tenants {
		if len(state.waiting) > 0 {
			c.callOwner(now, tenant)
		}
	}
}

// updateRanks determines this entry's rank among the successors of each role's
// holder and drops what is recorded about earlier holders.
func (c *Core) updateRanks() {
	holders := make(map[string]struct{})
	for _, claim := range c.groupClaims {
		holder := claim.current.Holder()
		holders[holder] = struct{}{}
		successors := candidates(c.revision.Inventory(), claim.role)
		if name := instanceName(holder); name != c.config.Instance {
			successors = slices.DeleteFunc(successors, func(candidate string) bool { return candidate == name })
		}
		claim.rank = slices.Index(successors, c.config.Instance)
	}
	stale := func(holder string, _ time.Time) bool {
		_, ok := holders[holder]
		return !ok
	}
	maps.DeleteFunc(c.unansweredSince, stale)
	maps.DeleteFunc(c.replacedSince, stale)
}

// updateLimits recomputes the tenants' shares from the inventory.
func (c *Core) updateLimits(now time.Time, first bool) {
	inventory := c.revision.Inventory()
	dueAt := now.Add(c.config.Freshness)
	if first && c.revision.Number() == 1 {
		dueAt = now
	}
	for _, tenant := range inventory.Tenants() {
		limits, ok := c.limits[tenant.Name()]
		if !ok {
			limits = &tenantLimits{initialFill: initialFill{floor: c.floorClaim.active(now), owner: c.groupClaims[ownerRole(tenant.Name())].active(now)}}
			c.limits[tenant.Name()] = limits
		}
		limits.update(split(inventory, tenant, c.config.Instance, int64(c.config.FloorPercent)), dueAt)
	}
	for name, limits := range c.limits {
		if _, ok := inventory.Tenant(name); !ok {
			limits.update(shares{}, dueAt)
		}
	}
	for name := range c.limits {
		c.applyLimits(now, name)
	}
	c.applyDueLimits(now)
}

// applyDueLimits applies raised limits that are due.
func (c *Core) applyDueLimits(now time.Time) {
	for name, limits := range c.limits {
		if !limits.applyDue(now) {
			continue
		}
		c.applyLimits(now, name)
		if limits.initialFill.floor && c.floorClaim.held {
			c.fillFloor(name)
		}
		if owned, ok := c.ownedBuckets[name]; ok && limits.initialFill.owner {
			owned.bucket.add(limits.current.owner.burst)
		}
		limits.initialFill = initialFill{}
	}
}

// applyLimits applies a tenant's current limits to its buckets.
func (c *Core) applyLimits(now time.Time, tenant string) {
	limits := c.limits[tenant]
	if c.floorClaim.held {
		c.tenant(tenant).floor.setShare(now, limits.current.floor)
	}
	role := ownerRole(tenant)
	owned, ok := c.ownedBuckets[tenant]
	if !ok && c.groupClaims[role].held {
		owned = &ownedBucket{bucket: bucket{updated: now}}
		c.ownedBuckets[tenant] = owned
	}
	if owned != nil {
		owned.advance(now)
		owned.bucket.setShare(now, limits.current.owner)
	}
}

// fillFloor fills a tenant's floor.
func (c *Core) fillFloor(tenant string) {
	state := c.tenant(tenant)
	state.floor.add(state.floor.share.burst)
}

// openFloors resets this entry's floors. They start full in a new fleet.
// Otherwise they start empty, at the time by which the earlier incarnation can no
// longer spend from them.
func (c *Core) openFloors(now time.Time) {
	for tenant, limits := range c.limits {
		state := c.tenant(tenant)
		state.floor = bucket{share: limits.current.floor, updated: c.floorClaim.activeAt}
		if c.floorClaim.firstHolder && c.revision.Number() == 1 {
			c.fillFloor(tenant)
		}
	}
}

// openBuckets creates the buckets of a group. They start full if the group had no
// earlier owner, and with the handed-over state if there is one. Otherwise they
// start empty, at the time by which all that the earlier owner lent has expired.
func (c *Core) openBuckets(now time.Time, claim *claimState) {
	for tenant, limits := range c.limits {
		if ownerRole(tenant) != claim.role {
			continue
		}
		owned := &ownedBucket{bucket: bucket{share: limits.current.owner, updated: claim.activeAt}}
		if claim.firstHolder {
			owned.bucket.add(limits.current.owner.burst)
			limits.initialFill.owner = limits.pending
		}
		c.ownedBuckets[tenant] = owned
	}
	c.restoreHandOver(now, claim)
}

// restoreHandOver restores the state that the superseded owner handed over, and
// activates the role at once.
func (c *Core) restoreHandOver(now time.Time, claim *claimState) {
	handOver := claim.supersededHandOver()
	if handOver == nil || !now.Before(claim.activeAt) {
		return
	}
	claim.activeAt = now
	for _, balance := range handOver.Balances() {
		if owned, ok := c.ownedBuckets[balance.Tenant()]; ok && ownerRole(balance.Tenant()) == claim.role {
			owned.restore(now, balance)
		}
	}
}

// closeBuckets drops the buckets of a group.
func (c *Core) closeBuckets(role string) {
	maps.DeleteFunc(c.ownedBuckets, func(tenant string, _ *ownedBucket) bool { return ownerRole(tenant) == role })
}

// claimRoles appends the claims that this entry should hold.
func (c *Core) claimRoles(now time.Time) {
	if c.draining || !c.fresh(now) {
		return
	}
	if self, ok := c.revision.Inventory().Instance(c.config.Instance); !ok || self.Role() != fleetstate.RoleEntry {
		return
	}
	if !c.floorClaim.held {
		c.appendClaim(now, c.floorClaim)
	}
	for _, role := range slices.Sorted(maps.Keys(c.groupClaims)) {
		if claim := c.groupClaims[role]; !claim.held && c.shouldClaim(now, claim) {
			c.appendClaim(now, claim)
		}
	}
}

// shouldClaim reports whether this entry should claim a role that it does not
// hold.
func (c *Core) shouldClaim(now time.Time, claim *claimState) bool {
	if claim.handOver != nil && claim.handOver.Epoch() == claim.current.Epoch() {
		return true
	}
	if now.Before(claim.noClaimUntil) {
		return false
	}
	holder := claim.current.Holder()
	name := instanceName(holder)
	wait := time.Duration(claim.rank) * claimStagger
	unansweredSince, unanswered := c.unansweredSince[holder]
	replacedSince, replaced := c.replacedSince[holder]
	switch {
	case holder == "":
		return !now.Before(claim.vacantSince(now).Add(wait))
	case name == c.config.Instance:
		return true
	case replaced:
		return now.Sub(replacedSince) >= wait
	default:
		return unanswered && now.Sub(unansweredSince) >= ownerTimeout+wait
	}
}

// vacantSince returns the time since which this entry has found a role vacant.
func (s *claimState) vacantSince(now time.Time) time.Time {
	if s.changedAt.IsZero() {
		s.changedAt = now
	}
	return s.changedAt
}

// appendClaim appends a claim to a role, unless one was appended recently.
func (c *Core) appendClaim(now time.Time, claim *claimState) {
	if claim.proposed && claim.supersededEpoch == claim.current.Epoch() && now.Sub(claim.proposedAt) < claimRetryInterval {
		return
	}
	claim.markProposed(now)
	c.emit(Append{record: fleetstate.NewRecord(fleetstate.RecordConfig{
		Change: c.nextChangeID(), Kind: fleetstate.KindClaim, Claim: claim.role, Holder: c.config.Incarnation, Epoch: claim.current.Epoch(),
	})})
}
