package ratelimit

import (
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/entry/router"
)

// lot is an allowance that this entry has borrowed.
type allowance struct {
	serial    int64
	size      nanotokens
	remaining nanotokens
	expiresAt time.Time
}

// parked is a request that waits for an allowance.
type waitingRequest struct {
	request   router.Request
	arrivedAt time.Time
}

// purse is responsible for what this entry may spend of one tenant's rate: its
// standing floor share and the allowances that it has borrowed.
type tenantState struct {
	floor          bucket
	allowances     []allowance // in the order in which they expire
	waiting        []waitingRequest
	demand         float64 // mean tokens per second asked for
	requested      int64   // tokens asked for since the last tick
	largestRequest int64   // tokens of the largest recent request
	refuseUntil    time.Time
	refusalWait    time.Duration
	reservedUntil  time.Time // end of the accrual that refused callers were told to come back for
}

// available returns what can be spent now.
func (p *tenantState) available(now time.Time, floor bool) nanotokens {
	var sum nanotokens
	if floor {
		p.floor.advance(now)
		sum = p.floor.level
	}
	for _, l := range p.allowances {
		if now.Before(l.expiresAt) {
			sum += l.remaining
		}
	}
	return sum
}

// spend removes an amount if there is enough: the upper part of the floor
// first, which would else stop growing, then allowances, then the rest.
func (p *tenantState) spend(now time.Time, a nanotokens, floor bool) bool {
	if p.available(now, floor) < a {
		return false
	}
	if floor {
		a -= p.floor.take(min(a, max(p.floor.level-p.floor.share.burst/floorReserveDivisor, 0)))
	}
	for i := range p.allowances {
		if !now.Before(p.allowances[i].expiresAt) {
			continue
		}
		part := min(a, p.allowances[i].remaining)
		p.allowances[i].remaining -= part
		a -= part
	}
	p.floor.take(a)
	return true
}

// refund takes back unused tokens of an answer, as far as the allowances that
// still stand and the floor have room: what an owner or a floor has given out
// may be filled up again, but never beyond its first size.
func (p *tenantState) refund(now time.Time, a nanotokens, floor bool) {
	for i := len(p.allowances) - 1; i >= 0 && a > 0; i-- {
		if !now.Before(p.allowances[i].expiresAt) {
			continue
		}
		part := min(a, p.allowances[i].size-p.allowances[i].remaining)
		p.allowances[i].remaining += part
		a -= part
	}
	if floor {
		p.floor.advance(now)
		p.floor.add(a)
	}
}

// expire removes the allowances whose time is over and returns them.
func (p *tenantState) expire(now time.Time) []allowance {
	var ended []allowance
	kept := p.allowances[:0]
	for _, l := range p.allowances {
		if now.Before(l.expiresAt) {
			kept = append(kept, l)
			continue
		}
		ended = append(ended, l)
	}
	p.allowances = kept
	return ended
}

// measure brings the mean demand up to date, once a tick.
func (p *tenantState) updateDemand(span time.Duration) {
	if span <= 0 {
		return
	}
	p.demand += (float64(p.requested)/span.Seconds() - p.demand) * demandWeight
	p.requested = 0
	if p.demand < 1 {
		p.demand, p.largestRequest = 0, 0
	}
}

// need returns what this entry wants to borrow, and whether it wants anything.
func (p *tenantState) need(now time.Time, tenant string, floor bool) (notice.Need, bool) {
	config := notice.NeedConfig{Tenant: tenant}
	available := p.available(now, floor)
	var waiting nanotokens
	for i, w := range p.waiting {
		waiting += tokens(w.request.Tokens())
		if i == 0 {
			config.Least = ceilTokens(waiting - available)
		}
	}
	config.All = ceilTokens(waiting - available)
	target := int64(p.demand*stockHorizon.Seconds()) + p.largestRequest
	stock := p.stock(now).whole()
	if p.demand > 0 && stock < target/2 {
		config.Stock = target - stock
	}
	wants := config.All > 0 || (config.Stock > 0 && !now.Before(p.refuseUntil))
	return notice.NewNeed(config), wants
}

// missing returns the whole tokens that cover an amount.
func ceilTokens(a nanotokens) int64 { return max((a + token - 1).whole(), 0) }

// lasting returns what is left of the allowances that do not expire soon.
func (p *tenantState) stock(now time.Time) nanotokens {
	var sum nanotokens
	for _, l := range p.allowances {
		if now.Add(renewAhead).Before(l.expiresAt) {
			sum += l.remaining
		}
	}
	return sum
}
