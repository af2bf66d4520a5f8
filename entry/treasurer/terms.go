package treasurer

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
func (s shares) lower(other shares) shares {
	return shares{owner: s.owner.lower(other.owner), floor: s.floor.lower(other.floor)}
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
		parts := int64(len(count)) * entries * hundred
		floor := share{
			rate:  milliRate(int64(total.rate) / parts * percent),
			burst: amount(int64(total.burst) / parts * percent),
		}
		s.owner.rate -= floor.rate * milliRate(entries)
		s.owner.burst -= floor.burst * amount(entries)
		if domain == self {
			s.floor = floor
		}
	}
	return s
}

// terms are the limits of one tenant as this entry may use them. A limit that
// is raised is used only once everybody who still goes by the earlier revision
// has lost his proof; one that is lowered holds at once.
type terms struct {
	now     shares
	next    shares
	due     time.Time
	pending bool
	fill    filling
}

// filling tells which buckets of a new tenant start full: those that this entry
// held already when the tenant came.
type filling struct {
	floor bool
	owner bool
}

// revise notes new shares.
func (t *terms) revise(to shares, due time.Time) {
	t.now, t.next = t.now.lower(to), to
	t.due, t.pending = due, t.now != to
}

// promote puts raised shares in force when they are due and reports whether it
// did.
func (t *terms) promote(now time.Time) bool {
	if !t.pending || now.Before(t.due) {
		return false
	}
	t.now, t.pending = t.next, false
	return true
}
