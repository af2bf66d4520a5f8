package ratelimit

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/protocol"
)

// ownerCalls tracks the calls to one owner. At most one call is open.
type ownerCalls struct {
	owner        string // incarnation of the owner
	open         bool
	serial       int64
	sentAt       time.Time
	failedAt     time.Time
	loanRequests []protocol.LoanRequest
	returns      map[string][]pendingReturn // returns sent with the open call, by role
}

// pendingReturn is an ended allowance whose remaining tokens must be reported to
// the owner by the deadline.
type pendingReturn struct {
	message  protocol.Return
	deadline time.Time
}

// expireAllowances removes a tenant's expired allowances and queues their
// remaining tokens for return to the owner.
func (c *Core) expireAllowances(now time.Time, tenant string, state *tenantState) {
	for _, a := range state.expire(now) {
		c.queueReturn(tenant, a)
	}
}

// queueReturn queues the remaining tokens of an ended allowance for return.
func (c *Core) queueReturn(tenant string, a allowance) {
	role := ownerRole(tenant)
	message := protocol.NewReturn(protocol.ReturnConfig{Tenant: tenant, Serial: a.serial, Tokens: a.remaining.whole()})
	c.pendingReturns[role] = append(c.pendingReturns[role], pendingReturn{message: message, deadline: a.expiresAt.Add(returnGrace)})
}

// ownerOf returns the incarnation that holds a role, or "".
func (c *Core) ownerOf(role string) string { return c.groupClaims[role].current.Holder() }

// callOwner calls the owner of a tenant's bucket, unless a call is open.
func (c *Core) callOwner(now time.Time, tenant string) {
	if owner := c.ownerOf(ownerRole(tenant)); owner != "" {
		c.call(now, owner)
	}
}

// callOwners calls every owner that is due a heartbeat, a return of tokens or a
// request for tokens.
func (c *Core) callOwners(now time.Time) {
	watched := make(map[string]bool) // by owner
	for _, claim := range c.groupClaims {
		if holder := claim.current.Holder(); holder != "" {
			watched[holder] = watched[holder] || claim.rank < heartbeatSenders
		}
	}
	for _, owner := range slices.Sorted(maps.Keys(watched)) {
		calls := c.owners[instanceName(owner)]
		heartbeat := watched[owner] && (calls == nil || now.Sub(calls.sentAt) >= heartbeatInterval)
		if heartbeat || c.returnsDue(now, owner) || c.borrowingDue(now, owner, calls) {
			c.call(now, owner)
		}
	}
}

// returnsDue reports whether a return to an owner is close to its deadline.
// Earlier returns are sent along with the next call.
func (c *Core) returnsDue(now time.Time, owner string) bool {
	for role, returns := range c.pendingReturns {
		if c.ownerOf(role) != owner {
			continue
		}
		for _, r := range returns {
			if !now.Add(returnMargin).Before(r.deadline) {
				return true
			}
		}
	}
	return false
}

// borrowingDue reports whether an owner must be called to borrow tokens. Calls
// that only fill the reserve, which is borrowed ahead for expected demand, are
// batched over all tenants, at most one for each reserveInterval.
func (c *Core) borrowingDue(now time.Time, owner string, calls *ownerCalls) bool {
	requests := c.loanRequests(now, owner)
	if calls == nil || now.Sub(calls.sentAt) >= reserveInterval {
		return len(requests) > 0
	}
	return slices.ContainsFunc(requests, func(request protocol.LoanRequest) bool { return request.Backlog() > 0 })
}

// loanRequests returns the requests for tokens of one owner, sorted by tenant.
func (c *Core) loanRequests(now time.Time, owner string) []protocol.LoanRequest {
	var requests []protocol.LoanRequest
	if c.draining {
		return nil
	}
	for _, tenant := range slices.Sorted(maps.Keys(c.tenants)) {
		if c.ownerOf(ownerRole(tenant)) != owner {
			continue
		}
		if request, wanted := c.tenants[tenant].loanRequest(now, tenant, c.floorOpen(now)); wanted {
			requests = append(requests, request)
		}
	}
	return requests
}

// call sends one Lend to an owner. If this entry is the owner, the answer is
// handled at once.
func (c *Core) call(now time.Time, owner string) {
	name := instanceName(owner)
	calls, ok := c.owners[name]
	if !ok {
		calls = &ownerCalls{}
		c.owners[name] = calls
	}
	if calls.open && now.Sub(calls.sentAt) >= 2*callTimeout {
		c.callFailed(now, calls)
	}
	if calls.open || now.Sub(calls.failedAt) < retryDelay {
		return
	}
	c.lastSerial++
	calls.owner, calls.open, calls.serial, calls.sentAt = owner, true, c.lastSerial, now
	if _, ok := c.unansweredSince[owner]; !ok {
		c.unansweredSince[owner] = now
	}
	calls.loanRequests, calls.returns = c.loanRequests(now, owner), c.takeReturns(now, owner)
	config := protocol.LendConfig{Borrower: c.config.Incarnation, Serial: calls.serial, Requests: calls.loanRequests}
	for _, role := range slices.Sorted(maps.Keys(calls.returns)) {
		for _, r := range calls.returns[role] {
			config.Returns = append(config.Returns, r.message)
		}
	}
	lend := protocol.NewLend(config)
	if owner == c.config.Incarnation {
		c.handleLendAnswer(now, NewLendAnswered(name, calls.serial, c.lend(now, lend), nil))
		return
	}
	instance, ok := c.revision.Inventory().Instance(name)
	if !ok {
		c.callFailed(now, calls)
		return
	}
	c.emit(SendLend{peer: name, address: instance.Address(), lend: lend})
}

// takeReturns removes and returns the pending returns to an owner that have not
// passed their deadline.
func (c *Core) takeReturns(now time.Time, owner string) map[string][]pendingReturn {
	taken := make(map[string][]pendingReturn)
	for role, returns := range c.pendingReturns {
		if c.ownerOf(role) != owner {
			continue
		}
		taken[role] = slices.DeleteFunc(returns, func(r pendingReturn) bool { return !now.Before(r.deadline) })
		delete(c.pendingReturns, role)
	}
	return taken
}

// callFailed ends the open call after an error or timeout and queues its returns
// again.
func (c *Core) callFailed(now time.Time, calls *ownerCalls) {
	calls.open, calls.failedAt = false, now
	for role, returns := range calls.returns {
		c.pendingReturns[role] = append(c.pendingReturns[role], returns...)
	}
	calls.returns = nil
}

// handleLendAnswer handles the answer to the open call and ignores late and
// duplicate answers.
func (c *Core) handleLendAnswer(now time.Time, m LendAnswered) {
	calls, ok := c.owners[m.peer]
	if !ok || !calls.open || calls.serial != m.serial {
		return
	}
	if m.err != nil {
		c.callFailed(now, calls)
		return
	}
	calls.open, calls.returns = false, nil
	c.recordAnswer(now, calls.owner, m.loans.Owner())
	for i, loan := range m.loans.Loans() {
		if i < len(calls.loanRequests) && loan.Tenant() == calls.loanRequests[i].Tenant() {
			c.addAllowance(now, calls, calls.loanRequests[i], loan)
		}
	}
}

// recordAnswer records whether the called incarnation answered or another one in
// its place. An empty answered means that the owner may not act now.
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

// addAllowance adds a borrowed allowance and admits or refuses the requests that
// waited for it. The allowance's lifetime counts from the time at which the call
// was sent, so it ends here before it ends at the owner.
func (c *Core) addAllowance(now time.Time, calls *ownerCalls, request protocol.LoanRequest, loan protocol.Loan) {
	state := c.tenant(loan.Tenant())
	if loan.Tokens() > 0 {
		size := tokens(loan.Tokens())
		state.allowances = append(state.allowances, allowance{serial: calls.serial, size: size, remaining: size, expiresAt: calls.sentAt.Add(c.config.AllowanceTTL)})
		slices.SortStableFunc(state.allowances, func(a, b allowance) int { return a.expiresAt.Compare(b.expiresAt) })
		c.expireAllowances(now, loan.Tenant(), state)
	}
	c.admitWaiting(now, state)
	noAnswer := loan.Tokens() == 0 && loan.Wait() == 0
	if noAnswer || (loan.Tokens() > 0 && loan.Tokens() >= request.Backlog()) {
		return
	}
	state.refusalWait = loan.Wait()
	state.refuseUntil = now.Add(min(max(loan.Wait(), tickPeriod), refusalCacheLimit))
	for len(state.waiting) > 0 && !state.waiting[0].arrivedAt.After(calls.sentAt) {
		c.refuse(now, state, state.waiting[0].request, state.refusalWait)
		state.waiting = slices.Delete(state.waiting, 0, 1)
	}
}
