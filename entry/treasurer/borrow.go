package treasurer

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/notice"
)

// peer is responsible for the calls to one owner; at most one is open.
type peer struct {
	holder   string // incarnation that is called
	busy     bool
	serial   int64
	sentAt   time.Time
	failedAt time.Time
	needs    []notice.Need
	sent     map[string][]giveBack // by role
}

// giveBack is an ended allowance whose rest has to be reported in time.
type giveBack struct {
	back notice.GiveBack
	due  time.Time
}

// collect ends the allowances whose time is over and keeps their rests for the
// owner.
func (c *Core) collect(now time.Time, tenant string, p *purse) {
	for _, l := range p.expire(now) {
		c.owe(tenant, l)
	}
}

func (c *Core) owe(tenant string, l lot) {
	role := groupRole(tenant)
	back := notice.NewGiveBack(notice.GiveBackConfig{Tenant: tenant, Serial: l.serial, Tokens: l.left.whole()})
	c.owed[role] = append(c.owed[role], giveBack{back: back, due: l.until.Add(returnGrace)})
}

// ownerOf returns the incarnation that owns a role, or "".
func (c *Core) ownerOf(role string) string { return c.tenures[role].claim.Holder() }

// callOwner calls the owner of a tenant's bucket, unless a call is open.
func (c *Core) callOwner(now time.Time, tenant string) {
	if owner := c.ownerOf(groupRole(tenant)); owner != "" {
		c.call(now, owner)
	}
}

// callOwners calls the owners from which something is wanted, to which
// something is owed, or that this entry watches.
func (c *Core) callOwners(now time.Time) {
	watched := make(map[string]bool) // by owner
	for _, t := range c.tenures {
		if holder := t.claim.Holder(); holder != "" {
			watched[holder] = watched[holder] || t.rank < watchers
		}
	}
	for _, owner := range slices.Sorted(maps.Keys(watched)) {
		p := c.peers[holderName(owner)]
		beat := watched[owner] && (p == nil || now.Sub(p.sentAt) >= heartbeat)
		if beat || c.owes(owner) || len(c.needs(now, owner)) > 0 {
			c.call(now, owner)
		}
	}
}

func (c *Core) owes(owner string) bool {
	for role, backs := range c.owed {
		if len(backs) > 0 && c.ownerOf(role) == owner {
			return true
		}
	}
	return false
}

// needs returns what this entry wants to borrow from an owner.
func (c *Core) needs(now time.Time, owner string) []notice.Need {
	var needs []notice.Need
	if c.draining {
		return nil
	}
	for _, tenant := range slices.Sorted(maps.Keys(c.purses)) {
		if c.ownerOf(groupRole(tenant)) != owner {
			continue
		}
		if need, wants := c.purses[tenant].need(now, tenant, c.floorOpen(now)); wants {
			needs = append(needs, need)
		}
	}
	return needs
}

// call sends one Lend to an owner. This entry's own buckets are served at once.
func (c *Core) call(now time.Time, owner string) {
	name := holderName(owner)
	p, ok := c.peers[name]
	if !ok {
		p = &peer{}
		c.peers[name] = p
	}
	if p.busy && now.Sub(p.sentAt) >= 2*callLimit {
		c.fail(now, p)
	}
	if p.busy || now.Sub(p.failedAt) < retryPause {
		return
	}
	c.serial++
	p.holder, p.busy, p.serial, p.sentAt = owner, true, c.serial, now
	if _, ok := c.silent[owner]; !ok {
		c.silent[owner] = now
	}
	p.needs, p.sent = c.needs(now, owner), c.takeOwed(now, owner)
	config := notice.LendConfig{Holder: c.config.Incarnation, Serial: p.serial, Needs: p.needs}
	for _, role := range slices.Sorted(maps.Keys(p.sent)) {
		for _, g := range p.sent[role] {
			config.GiveBacks = append(config.GiveBacks, g.back)
		}
	}
	lend := notice.NewLend(config)
	if owner == c.config.Incarnation {
		c.lent(now, NewLent(name, p.serial, c.lend(now, lend), nil))
		return
	}
	instance, ok := c.revision.Inventory().Instance(name)
	if !ok {
		c.fail(now, p)
		return
	}
	c.do(Call{peer: name, address: instance.Link(), lend: lend})
}

// takeOwed removes and returns the reports for an owner that are still in time.
func (c *Core) takeOwed(now time.Time, owner string) map[string][]giveBack {
	taken := make(map[string][]giveBack)
	for role, backs := range c.owed {
		if c.ownerOf(role) != owner {
			continue
		}
		taken[role] = slices.DeleteFunc(backs, func(g giveBack) bool { return !now.Before(g.due) })
		delete(c.owed, role)
	}
	return taken
}

// fail ends a call without an answer. What it reported is reported again.
func (c *Core) fail(now time.Time, p *peer) {
	p.busy, p.failedAt = false, now
	for role, backs := range p.sent {
		c.owed[role] = append(c.owed[role], backs...)
	}
	p.sent = nil
}

// lent takes the answer to the open call. Any other answer is late or a copy.
func (c *Core) lent(now time.Time, m Lent) {
	p, ok := c.peers[m.peer]
	if !ok || !p.busy || p.serial != m.serial {
		return
	}
	if m.err != nil {
		c.fail(now, p)
		return
	}
	p.busy, p.sent = false, nil
	c.note(now, p.holder, m.loans.Holder())
	for i, loan := range m.loans.Loans() {
		if i < len(p.needs) && loan.Tenant() == p.needs[i].Tenant() {
			c.borrowed(now, p, p.needs[i], loan)
		}
	}
}

// note records that one incarnation answered where another was called. An
// answer without a name comes from an owner that may not act now.
func (c *Core) note(now time.Time, called, answered string) {
	if answered == "" {
		return
	}
	if called == answered {
		delete(c.silent, called)
		delete(c.gone, called)
		return
	}
	if _, ok := c.gone[called]; !ok {
		c.gone[called] = now
	}
}

// borrowed adds an allowance, whose life counts from before the call was sent,
// and admits or refuses what waited for it.
func (c *Core) borrowed(now time.Time, from *peer, need notice.Need, loan notice.Loan) {
	p := c.purse(loan.Tenant())
	if loan.Tokens() > 0 {
		size := tokens(loan.Tokens())
		p.lots = append(p.lots, lot{serial: from.serial, size: size, left: size, until: from.sentAt.Add(c.config.Allowance)})
		slices.SortStableFunc(p.lots, func(a, b lot) int { return a.until.Compare(b.until) })
		c.collect(now, loan.Tenant(), p)
	}
	c.serve(now, p)
	unknown := loan.Tokens() == 0 && loan.Wait() == 0
	if unknown || (loan.Tokens() > 0 && loan.Tokens() >= need.All()) {
		return
	}
	p.dryWait = loan.Wait()
	p.dryUntil = now.Add(min(max(loan.Wait(), tickPeriod), dryPause))
	for len(p.parked) > 0 && !p.parked[0].since.After(from.sentAt) {
		c.refuse(now, p, p.parked[0].ask, p.dryWait)
		p.parked = slices.Delete(p.parked, 0, 1)
	}
}
