package ratelimit

import (
	"time"

	"sesamewell.example/commons/fleetstate"
)

// shares are the owner's share of a tenant's limits and this entry's floor.
type shares struct {
	owner share
	floor share // this entry's share of the floors
}

// min returns the smaller of each limit.
func (s shares) min(other shares) shares {
	return shares{owner: s.owner.min(other.owner), floor: s.floor.min(other.floor)}
}

// split divides a tenant's limits. Each failure domain that has entries gets an
// equal part of the floors, which its entries share equally. The owner gets the
// remainder.
func split(inventory *fleetstate.Inventory, tenant fleetstate.Tenant, instance string, percent int64) shares {
	count := make(map[string]int64) // number of entries by failure domain
	self := ""
	for _, i := range inventory.Instances() {
		if i.Role() != fleetstate.RoleEntry {
			continue
		}
		count[i.Domain()]++
		if i.Name() == instance {
			self = i.Domain()
		}
	}
	total := share{rate: milliRate(tenant.Rate() * milli), burst: tokens(tenant.Burst())}
	s := shares{owner: total}
	for domain, entries := range count {
		parts := int64(len(count)) * entries * percentBase
		floor := share{
			rate:  milliRate(int64(total.rate) / parts * percent),
			burst: nanotokens(int64(total.burst) / parts * percent),
		}
		s.owner.rate -= floor.rate * milliRate(entries)
		s.owner.burst -= floor.burst * nanotokens(entries)
		if domain == self {
			s.floor = floor
		}
	}
	return s
}

// tenantLimits are the limits of one tenant as this entry may use them. A lower
// limit applies at once. A higher limit applies only once the freshness proof of
// every entry that still uses the earlier revision has expired.
type tenantLimits struct {
	current     shares
	next        shares
	dueAt       time.Time
	pending     bool
	initialFill initialFill
}

// initialFill states which buckets of a new tenant start full: those whose claims
// this entry already held when the tenant was added.
type initialFill struct {
	floor bool
	owner bool
}

// update sets new shares. Higher limits apply from due on.
func (l *tenantLimits) update(to shares, due time.Time) {
	l.current, l.next = l.current.min(to), to
	l.dueAt, l.pending = due, l.current != to
}

// applyDue applies higher limits that are due and reports whether it did.
func (l *tenantLimits) applyDue(now time.Time) bool {
	if !l.pending || now.Before(l.dueAt) {
		return false
	}
	l.current, l.pending = l.next, false
	return true
}
