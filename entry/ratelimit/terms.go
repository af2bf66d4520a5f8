package ratelimit

import (
	"time"

	"sesamewell.example/commons/register"
)

// shares are the two parts of a tenant's limits that matter to one entry.
type shares struct {
	owner share
	floor share // of this entry
}

// lower returns the smaller of each limit.
func (s shares) min(other shares) shares {
	return shares{owner: s.owner.min(other.owner), floor: s.floor.min(other.floor)}
}

// split divides a tenant's limits: every failure domain with entries gets an
// equal part of the floors, which its entries share equally; the owner gets the
// rest.
func split(inventory *register.Inventory, tenant register.Tenant, instance string, percent int64) shares {
	count := make(map[string]int64) // entries by failure domain
	self := ""
	for _, i := range inventory.Instances() {
		if i.Role() != register.Entry {
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

// terms are the limits of one tenant as this entry may use them. A limit that
// is raised is used only once everybody who still goes by the earlier revision
// has lost his proof; one that is lowered holds at once.
type tenantLimits struct {
	current     shares
	next        shares
	dueAt       time.Time
	pending     bool
	initialFill initialFill
}

// filling tells which buckets of a new tenant start full: those that this entry
// held already when the tenant came.
type initialFill struct {
	floor bool
	owner bool
}

// revise notes new shares.
func (t *tenantLimits) update(to shares, due time.Time) {
	t.current, t.next = t.current.min(to), to
	t.dueAt, t.pending = due, t.current != to
}

// promote puts raised shares in force when they are due and reports whether it
// did.
func (t *tenantLimits) applyDue(now time.Time) bool {
	if !t.pending || now.Before(t.dueAt) {
		return false
	}
	t.current, t.pending = t.next, false
	return true
}
