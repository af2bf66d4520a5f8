package ratelimit

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/notice"
)

// drain begins a planned stop: allowances go back, buckets go to successors,
// and what still waits is refused.
func (c *Core) drain(now time.Time) {
	if c.draining {
		return
	}
	c.draining, c.drainDeadline = true, now.Add(2*callTimeout)
	for _, tenant := range slices.Sorted(maps.Keys(c.tenants)) {
		p := c.tenants[tenant]
		for _, l := range p.allowances {
			c.queueReturn(tenant, l)
		}
		p.allowances = nil
		for _, w := range p.waiting {
			c.emit(Refuse{request: w.request.ID(), refusal: errDraining, retryAfter: minRetryAfter})
		}
		p.waiting = nil
	}
	for _, role := range slices.Sorted(maps.Keys(c.pendingReturns)) {
		if owner := c.ownerOf(role); owner != "" {
			c.call(now, owner)
		}
	}
	for _, role := range slices.Sorted(maps.Keys(c.groupClaims)) {
		if t := c.groupClaims[role]; t.active(now) && c.fresh(now) {
			c.handOverAttempts[role] = 0
			c.sendHandOver(now, t)
			t.handedOver = true
		}
	}
	c.callOwners(now)
}

// pass hands a role to the next candidate.
func (c *Core) sendHandOver(now time.Time, t *claimState) {
	order := slices.DeleteFunc(candidates(c.revision.Inventory(), t.role), func(name string) bool { return name == c.config.Instance })
	try := c.handOverAttempts[t.role]
	if try >= min(len(order), maxHandOverAttempts) {
		delete(c.handOverAttempts, t.role)
		return
	}
	instance, _ := c.revision.Inventory().Instance(order[try])
	config := notice.HandOverConfig{Role: t.role, Epoch: t.current.Epoch()}
	for _, tenant := range slices.Sorted(maps.Keys(c.ownedBuckets)) {
		if ownerRole(tenant) == t.role {
			config.Balances = append(config.Balances, c.ownedBuckets[tenant].balance(now, tenant))
		}
	}
	c.emit(SendHandOver{peer: instance.Name(), address: instance.Link(), handOver: notice.NewHandOver(config)})
}

// handedOver goes on to the next candidate when one did not take the role.
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

// receive keeps the state of a leaving owner and claims its role.
func (c *Core) receiveHandOver(now time.Time, m HandOverRequested) {
	t, ok := c.groupClaims[m.handOver.Role()]
	superseded := ok && t.held && t.supersededEpoch == m.handOver.Epoch()
	taken := ok && !c.draining && (t.current.Epoch() == m.handOver.Epoch() || superseded)
	c.emit(Reply{reply: m.reply, answer: notice.NewHandedOver(taken)})
	if !taken || (t.handOver != nil && t.handOver.Epoch() == m.handOver.Epoch()) {
		return
	}
	t.handOver = &m.handOver
	if t.held {
		c.restoreHandOver(now, t)
	}
	c.claimRoles(now)
}

// settleDrain reports once that the stop need not wait for the treasurer.
func (c *Core) checkDrained(now time.Time) {
	if !c.draining || c.drained {
		return
	}
	open := len(c.handOverAttempts) > 0
	for _, p := range c.owners {
		open = open || p.open
	}
	if open && now.Before(c.drainDeadline) {
		return
	}
	c.drained = true
	c.emit(Drained{})
}
