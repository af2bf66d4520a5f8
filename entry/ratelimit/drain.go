package ratelimit

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/protocol"
)

// drain starts a drain: it returns the allowances, hands the owned buckets over to
// successors and refuses the waiting requests.
func (c *Core) drain(now time.Time) {
	if c.draining {
		return
	}
	c.draining, c.drainDeadline = true, now.Add(2*callTimeout)
	for _, tenant := range slices.Sorted(maps.Keys(c.tenants)) {
		state := c.tenants[tenant]
		for _, a := range state.allowances {
			c.queueReturn(tenant, a)
		}
		state.allowances = nil
		for _, w := range state.waiting {
			c.emit(Refuse{request: w.request.ID(), refusal: errDraining, retryAfter: minRetryAfter})
		}
		state.waiting = nil
	}
	for _, role := range slices.Sorted(maps.Keys(c.pendingReturns)) {
		if owner := c.ownerOf(role); owner != "" {
			c.call(now, owner)
		}
	}
	for _, role := range slices.Sorted(maps.Keys(c.groupClaims)) {
		if claim := c.groupClaims[role]; claim.active(now) && c.fresh(now) {
			c.handOverAttempts[role] = 0
			c.sendHandOver(now, claim)
			claim.handedOver = true
		}
	}
	c.callOwners(now)
}

// sendHandOver hands a role over to the next candidate.
func (c *Core) sendHandOver(now time.Time, claim *claimState) {
	successors := slices.DeleteFunc(candidates(c.revision.Inventory(), claim.role), func(name string) bool { return name == c.config.Instance })
	attempt := c.handOverAttempts[claim.role]
	if attempt >= min(len(successors), maxHandOverAttempts) {
		delete(c.handOverAttempts, claim.role)
		return
	}
	instance, _ := c.revision.Inventory().Instance(successors[attempt])
	config := protocol.HandOverConfig{Role: claim.role, Epoch: claim.current.Epoch()}
	for _, tenant := range slices.Sorted(maps.Keys(c.ownedBuckets)) {
		if ownerRole(tenant) == claim.role {
			config.Balances = append(config.Balances, c.ownedBuckets[tenant].balance(now, tenant))
		}
	}
	c.emit(SendHandOver{peer: instance.Name(), address: instance.Address(), handOver: protocol.NewHandOver(config)})
}

// handleHandOverAnswer tries the next candidate if the last one did not take the
// role.
func (c *Core) handleHandOverAnswer(now time.Time, m HandOverAnswered) {
	if _, ok := c.handOverAttempts[m.role]; !ok {
		return
	}
	if m.taken {
		delete(c.handOverAttempts, m.role)
		return
	}
	c.handOverAttempts[m.role]++
	c.sendHandOver(now, c.groupClaims[m.role])
}

// receiveHandOver stores the state of a draining owner and claims its role.
func (c *Core) receiveHandOver(now time.Time, m HandOverRequested) {
	claim, ok := c.groupClaims[m.handOver.Role()]
	superseded := ok && claim.held && claim.supersededEpoch == m.handOver.Epoch()
	taken := ok && !c.draining && (claim.current.Epoch() == m.handOver.Epoch() || superseded)
	c.emit(Reply{reply: m.reply, answer: protocol.NewHandedOver(taken)})
	if !taken || (claim.handOver != nil && claim.handOver.Epoch() == m.handOver.Epoch()) {
		return
	}
	claim.handOver = &m.handOver
	if claim.held {
		c.restoreHandOver(now, claim)
	}
	c.claimRoles(now)
}

// checkDrained emits Drained once, when no calls or hand-overs are open or the
// drain's deadline has passed.
func (c *Core) checkDrained(now time.Time) {
	if !c.draining || c.drained {
		return
	}
	open := len(c.handOverAttempts) > 0
	for _, calls := range c.owners {
		open = open || calls.open
	}
	if open && now.Before(c.drainDeadline) {
		return
	}
	c.drained = true
	c.emit(Drained{})
}
