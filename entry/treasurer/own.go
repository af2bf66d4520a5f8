package treasurer

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
)

// borrower is responsible for telling new calls of an entry from copies.
type borrower struct {
	serial int64
	answer notice.Loans
	at     time.Time
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
		if l, ok := c.ledgers[back.Tenant()]; ok && fresh && c.tenures[groupRole(back.Tenant())].acts(now) {
			l.settle(now, m.Holder(), back)
		}
	}
	config := notice.LoansConfig{Holder: c.config.Incarnation}
	if !fresh {
		config.Holder = ""
	}
	for _, need := range m.Needs() {
		config.Loans = append(config.Loans, c.lendOne(now, m, need, fresh))
	}
	*b = borrower{serial: m.Serial(), answer: notice.NewLoans(config), at: now}
	return b.answer
}

func (c *Core) lendOne(now time.Time, m notice.Lend, need notice.Need, fresh bool) notice.Loan {
	t := c.tenures[groupRole(need.Tenant())]
	l, ok := c.ledgers[need.Tenant()]
	if !ok || !t.mine || t.retired || !fresh {
		return notice.NewLoan(notice.LoanConfig{Tenant: need.Tenant()})
	}
	if !t.acts(now) {
		return notice.NewLoan(notice.LoanConfig{Tenant: need.Tenant(), Wait: t.opensAt.Sub(now)})
	}
	return l.lend(now, m.Holder(), m.Serial(), need, now.Add(c.config.Allowance+returnGrace))
}

// forget drops the last answers of borrowers that no longer call.
func (c *Core) forget(now time.Time) {
	maps.DeleteFunc(c.borrowers, func(_ string, b *borrower) bool { return now.Sub(b.at) > forgetAfter })
}

// revise takes over a revision: tenants, limits and claims.
func (c *Core) revise(now time.Time, revision *register.Revision) {
	first := c.revision == nil
	changed := first || revision.Number() != c.revision.Number()
	c.revision = revision
	if changed {
		c.reviseTerms(now, first)
	}
	if claim, ok := revision.Claim(c.floor.role); ok && c.floor.observe(now, claim, c.config.Incarnation, c.config.Freshness) {
		c.openFloors(now)
	}
	for _, role := range slices.Sorted(maps.Keys(c.tenures)) {
		t := c.tenures[role]
		claim, ok := revision.Claim(role)
		if !ok {
			continue
		}
		if mine := t.mine; t.observe(now, claim, c.config.Incarnation, c.config.Freshness+c.config.Allowance) {
			c.openLedgers(now, t)
		} else if mine && !t.mine {
			c.closeLedgers(role)
			t.barredUntil = now.Add(lossPause)
		}
	}
	c.rankRoles()
	c.claim(now)
	for tenant, p := range c.purses {
		if len(p.parked) > 0 {
			c.callOwner(now, tenant)
		}
	}
}

// rankRoles finds this entry's place among those that would succeed the holder
// of each role, and forgets what it knows of earlier holders.
func (c *Core) rankRoles() {
	holders := make(map[string]struct{})
	for _, t := range c.tenures {
		holder := t.claim.Holder()
		holders[holder] = struct{}{}
		order := candidates(c.revision.Inventory(), t.role)
		if name := holderName(holder); name != c.config.Instance {
			order = slices.DeleteFunc(order, func(candidate string) bool { return candidate == name })
		}
		t.rank = slices.Index(order, c.config.Instance)
	}
	past := func(holder string, _ time.Time) bool {
		_, ok := holders[holder]
		return !ok
	}
	maps.DeleteFunc(c.silent, past)
	maps.DeleteFunc(c.gone, past)
}

// reviseTerms divides the tenants' limits anew.
func (c *Core) reviseTerms(now time.Time, first bool) {
	inventory := c.revision.Inventory()
	due := now.Add(c.config.Freshness)
	if first && c.revision.Number() == 1 {
		due = now
	}
	for _, tenant := range inventory.Tenants() {
		t, ok := c.terms[tenant.Name()]
		if !ok {
			t = &terms{fill: filling{floor: c.floor.acts(now), owner: c.tenures[groupRole(tenant.Name())].acts(now)}}
			c.terms[tenant.Name()] = t
		}
		t.revise(split(inventory, tenant, c.config.Instance, int64(c.config.Floor)), due)
	}
	for name, t := range c.terms {
		if _, ok := inventory.Tenant(name); !ok {
			t.revise(shares{}, due)
		}
	}
	for name := range c.terms {
		c.limit(now, name)
	}
	c.promote(now)
}

// promote puts raised limits in force when they are due.
func (c *Core) promote(now time.Time) {
	for name, t := range c.terms {
		if !t.promote(now) {
			continue
		}
		c.limit(now, name)
		if t.fill.floor && c.floor.mine {
			c.fillFloor(name)
		}
		if l, ok := c.ledgers[name]; ok && t.fill.owner {
			l.bucket.add(t.now.owner.burst)
		}
		t.fill = filling{}
	}
}

// limit applies the limits in force to a tenant's buckets.
func (c *Core) limit(now time.Time, tenant string) {
	t := c.terms[tenant]
	if c.floor.mine {
		c.purse(tenant).floor.limit(now, t.now.floor)
	}
	role := groupRole(tenant)
	l, ok := c.ledgers[tenant]
	if !ok && c.tenures[role].mine {
		l = &ledger{bucket: bucket{at: now}}
		c.ledgers[tenant] = l
	}
	if l != nil {
		l.advance(now)
		l.bucket.limit(now, t.now.owner)
	}
}

func (c *Core) fillFloor(tenant string) {
	p := c.purse(tenant)
	p.floor.add(p.floor.share.burst)
}

// openFloors starts this entry's floors: full if the fleet is new, else empty
// once the floors of the incarnation before it are surely closed.
func (c *Core) openFloors(now time.Time) {
	for tenant, t := range c.terms {
		p := c.purse(tenant)
		p.floor = bucket{share: t.now.floor, at: c.floor.opensAt}
		if c.floor.first && c.revision.Number() == 1 {
			c.fillFloor(tenant)
		}
	}
}

// openLedgers starts the buckets of a group: full if nobody owned them before,
// with the state that was handed over if there is one, else empty once all that
// the earlier owner lent has surely expired.
func (c *Core) openLedgers(now time.Time, t *tenure) {
	for tenant, terms := range c.terms {
		if groupRole(tenant) != t.role {
			continue
		}
		l := &ledger{bucket: bucket{share: terms.now.owner, at: t.opensAt}}
		if t.first {
			l.bucket.add(terms.now.owner.burst)
			terms.fill.owner = terms.pending
		}
		c.ledgers[tenant] = l
	}
	c.inherit(now, t)
}

// inherit takes over what the superseded owner handed over.
func (c *Core) inherit(now time.Time, t *tenure) {
	handOver := t.inherited()
	if handOver == nil || !now.Before(t.opensAt) {
		return
	}
	t.opensAt = now
	for _, balance := range handOver.Balances() {
		if l, ok := c.ledgers[balance.Tenant()]; ok && groupRole(balance.Tenant()) == t.role {
			l.restore(now, balance)
		}
	}
}

func (c *Core) closeLedgers(role string) {
	maps.DeleteFunc(c.ledgers, func(tenant string, _ *ledger) bool { return groupRole(tenant) == role })
}

// claim appends the claims that this entry should hold.
func (c *Core) claim(now time.Time) {
	if c.draining || !c.fresh(now) {
		return
	}
	if self, ok := c.revision.Inventory().Instance(c.config.Instance); !ok || self.Role() != register.Entry {
		return
	}
	if !c.floor.mine {
		c.propose(now, c.floor)
	}
	for _, role := range slices.Sorted(maps.Keys(c.tenures)) {
		if t := c.tenures[role]; !t.mine && c.succeeds(now, t) {
			c.propose(now, t)
		}
	}
}

// succeeds reports whether this entry should claim a role that another entry
// or nobody holds.
func (c *Core) succeeds(now time.Time, t *tenure) bool {
	if t.received != nil && t.received.Epoch() == t.claim.Epoch() {
		return true
	}
	if now.Before(t.barredUntil) {
		return false
	}
	holder := t.claim.Holder()
	name := holderName(holder)
	wait := time.Duration(t.rank) * stagger
	silent, unheard := c.silent[holder]
	gone, replaced := c.gone[holder]
	switch {
	case holder == "":
		return !now.Before(t.since(now).Add(wait))
	case name == c.config.Instance:
		return true
	case replaced:
		return now.Sub(gone) >= wait
	default:
		return unheard && now.Sub(silent) >= suspectAfter+wait
	}
}

// since returns the time from which a role is known to be vacant.
func (t *tenure) since(now time.Time) time.Time {
	if t.seenAt.IsZero() {
		t.seenAt = now
	}
	return t.seenAt
}

func (c *Core) propose(now time.Time, t *tenure) {
	if t.proposed && t.superseded == t.claim.Epoch() && now.Sub(t.proposedAt) < proposePause {
		return
	}
	t.propose(now)
	c.do(Append{record: register.NewRecord(register.RecordConfig{
		Change: c.nextChange(), Kind: register.Take, Claim: t.role, Holder: c.config.Incarnation, Epoch: t.claim.Epoch(),
	})})
}
