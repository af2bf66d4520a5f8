package ratelimit

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/notice"
)

// peer is responsible for the calls to one owner; at most one is open.
type ownerCalls struct {
	owner    string // incarnation that is called
	open     bool
	serial   int64
	sentAt   time.Time
	failedAt time.Time
	needs    []notice.Need
	returns  map[string][]pendingReturn // by role
}

// giveBack is an ended allowance whose rest has to be reported in time.
type pendingReturn struct {
	message  notice.GiveBack
	deadline time.Time
}

// collect ends the allowances whose time is over and keeps their rests for the
// owner.
func (c *Core) expireAllowances(now time.Time, tenant string, p *tenantState) {
	for _, l := range p.expire(now) {
		c.queueReturn(tenant, l)
	}
}

func (c *Core) queueReturn(tenant string, l allowance) {
	role := ownerRole(tenant)
	back := notice.NewGiveBack(notice.GiveBackConfig{Tenant: tenant, Serial: l.serial, Tokens: l.remaining.whole()})
	c.pendingReturns[role] = append(c.pendingReturns[role], pendingReturn{message: back, deadline: l.expiresAt.Add(returnGrace)})
}

// ownerOf returns the incarnation that owns a role, or "".
func (c *Core) ownerOf(role string) string { return c.groupClaims[role].current.Holder() }

// callOwner calls the owner of a tenant's bucket, unless a call is open.
func (c *Core) callOwner(now time.Time, tenant string) {
	if owner := c.ownerOf(ownerRole(tenant)); owner != "" {
		c.call(now, owner)
	}
}

// callOwners calls the owners from which something is wanted, to which
// something is owed, or that this entry watches.
func (c *Core) callOwners(now time.Time) {
	watched := make(map[string]bool) // by owner
	for _, t := range c.groupClaims {
		if holder := t.current.Holder(); holder != "" {
			watched[holder] = watched[holder] || t.rank < heartbeatSenders
		}
	}
	for _, owner := range slices.Sorted(maps.Keys(watched)) {
		p := c.owners[instanceName(owner)]
		beat := watched[owner] && (p == nil || now.Sub(p.sentAt) >= heartbeatInterval)
		if beat || c.returnsDue(now, owner) || c.borrowingDue(now, owner, p) {
			c.call(now, owner)
		}
	}
}

// owes reports whether an owner must be told now of an ended allowance. Others
// wait for a call that is made anyway.
func (c *Core) returnsDue(now time.Time, owner string) bool {
	for role, backs := range c.pendingReturns {
		if c.ownerOf(role) != owner {
			continue
		}
		for _, g := range backs {
			if !now.Add(returnMargin).Before(g.deadline) {
				return true
			}
		}
	}
	return false
}

// wants reports whether an owner must be called for what this entry needs.
// Stock alone is borrowed for all tenants together, a few times a second.
func (c *Core) borrowingDue(now time.Time, owner string, p *ownerCalls) bool {
	needs := c.needs(now, owner)
	if p == nil || now.Sub(p.sentAt) >= stockInterval {
		return len(needs) > 0
	}
	return slices.ContainsFunc(needs, func(need notice.Need) bool { return need.All() > 0 })
}

// needs returns what this entry wants to borrow from an owner.
func (c *Core) needs(now time.Time, owner string) []notice.Need {
	var needs []notice.Need
	if c.draining {
		return nil
	}
	for _, tenant := range slices.Sorted(maps.Keys(c.tenants)) {
		if c.ownerOf(ownerRole(tenant)) != owner {
			continue
		}
		if need, wants := c.tenants[tenant].need(now, tenant, c.floorOpen(now)); wants {
			needs = append(needs, need)
		}
	}
	return needs
}

// call sends one Lend to an owner. This entry's own buckets are served at once.
func (c *Core) call(now time.Time, owner string) {
	name := instanceName(owner)
	p, ok := c.owners[name]
	if !ok {
		p = &ownerCalls{}
		c.owners[name] = p
	}
	if p.open && now.Sub(p.sentAt) >= 2*callTimeout {
		c.callFailed(now, p)
	}
	if p.open || now.Sub(p.failedAt) < retryDelay {
		return
	}
	c.lastSerial++
	p.owner, p.open, p.serial, p.sentAt = owner, true, c.lastSerial, now
	if _, ok := c.unansweredSince[owner]; !ok {
		c.unansweredSince[owner] = now
	}
	p.needs, p.returns = c.needs(now, owner), c.takeReturns(now, owner)
	config := notice.LendConfig{Holder: c.config.Incarnation, Serial: p.serial, Needs: p.needs}
	for _, role := range slices.Sorted(maps.Keys(p.returns)) {
		for _, g := range p.returns[role] {
			config.GiveBacks = append(config.GiveBacks, g.message)
		}
	}
	lend := notice.NewLend(config)
	if owner == c.config.Incarnation {
		c.handleLendAnswer(now, NewLendAnswered(name, p.serial, c.lend(now, lend), nil))
		return
	}
	instance, ok := c.revision.Inventory().Instance(name)
	if !ok {
		c.callFailed(now, p)
		return
	}
	c.emit(SendLend{peer: name, address: instance.Link(), lend: lend})
}

// takeOwed removes and returns the reports for an owner that are still in time.
func (c *Core) takeReturns(now time.Time, owner string) map[string][]pendingReturn {
	taken := make(map[string][]pendingReturn)
	for role, backs := range c.pendingReturns {
		if c.ownerOf(role) != owner {
			continue
		}
		taken[role] = slices.DeleteFunc(backs, func(g pendingReturn) bool { return !now.Before(g.deadline) })
		delete(c.pendingReturns, role)
	}
	return taken
}

// fail ends a call without an answer. What it reported is reported again.
func (c *Core) callFailed(now time.Time, p *ownerCalls) {
	p.open, p.failedAt = false, now
	for role, backs := range p.returns {
		c.pendingReturns[role] = append(c.pendingReturns[role], backs...)
	}
	p.returns = nil
}

// lent takes the answer to the open call. Any other answer is late or a copy.
func (c *Core) handleLendAnswer(now time.Time, m LendAnswered) {
	p, ok := c.owners[m.peer]
	if !ok || !p.open || p.serial != m.serial {
		return
	}
	if m.err != nil {
		c.callFailed(now, p)
		return
	}
	p.open, p.returns = false, nil
	c.recordAnswer(now, p.owner, m.loans.Holder())
	for i, loan := range m.loans.Loans() {
		if i < len(p.needs) && loan.Tenant() == p.needs[i].Tenant() {
			c.addAllowance(now, p, p.needs[i], loan)
		}
	}
}

// note records that one incarnation answered where another was called. An
// answer without a name comes from an owner that may not act now.
func (c *Core) recordAnswer(now time.Time, called, answered string) {
	if answered == "" {
		return
	}
	if called == answered {
		delete(c.unansweredSince, called)
		delete(c.replacedSince, called)
		return
	}
	if _, ok := c.replacedSince[called]; !ok {
		c.replacedSince[called] = now
	}
}

// borrowed adds an allowance, whose life counts from before the call was sent,
// and admits or refuses what waited for it.
func (c *Core) addAllowance(now time.Time, from *ownerCalls, need notice.Need, loan notice.Loan) {
	p := c.tenant(loan.Tenant())
	if loan.Tokens() > 0 {
		size := tokens(loan.Tokens())
		p.allowances = append(p.allowances, allowance{serial: from.serial, size: size, remaining: size, expiresAt: from.sentAt.Add(c.config.AllowanceTTL)})
		slices.SortStableFunc(p.allowances, func(a, b allowance) int { return a.expiresAt.Compare(b.expiresAt) })
		c.expireAllowances(now, loan.Tenant(), p)
	}
	c.admitWaiting(now, p)
	unknown := loan.Tokens() == 0 && loan.Wait() == 0
	if unknown || (loan.Tokens() > 0 && loan.Tokens() >= need.All()) {
		return
	}
	p.refusalWait = loan.Wait()
	p.refuseUntil = now.Add(min(max(loan.Wait(), tickPeriod), refusalCacheLimit))
	for len(p.waiting) > 0 && !p.waiting[0].arrivedAt.After(from.sentAt) {
		c.refuse(now, p, p.waiting[0].request, p.refusalWait)
		p.waiting = slices.Delete(p.waiting, 0, 1)
	}
}
