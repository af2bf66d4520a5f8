package treasurer

import (
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/entry/router"
)

// lot is an allowance that this entry has borrowed.
type lot struct {
	serial int64
	size   amount
	left   amount
	until  time.Time
}

// parked is a request that waits for an allowance.
type parked struct {
	ask   router.Request
	since time.Time
}

// purse is responsible for what this entry may spend of one tenant's rate: its
// standing floor share and the allowances that it has borrowed.
type purse struct {
	floor    bucket
	lots     []lot // in the order in which they expire
	parked   []parked
	demand   float64 // mean tokens per second asked for
	asked    int64   // tokens asked for since the last tick
	largest  int64   // tokens of the largest recent request
	dryUntil time.Time
	dryWait  time.Duration
	promised time.Time // end of the accrual that refused callers were told to come back for
}

// available returns what can be spent now.
func (p *purse) available(now time.Time, floor bool) amount {
	var sum amount
	if floor {
		p.floor.advance(now)
		sum = p.floor.level
	}
	for _, l := range p.lots {
		if now.Before(l.until) {
			sum += l.left
		}
	}
	return sum
}

// spend removes an amount if there is enough: the upper part of the floor
// first, which would else stop growing, then allowances, then the rest.
func (p *purse) spend(now time.Time, a amount, floor bool) bool {
	if p.available(now, floor) < a {
		return false
	}
	if floor {
		a -= p.floor.take(min(a, max(p.floor.level-p.floor.share.burst/reservePart, 0)))
	}
	for i := range p.lots {
		if !now.Before(p.lots[i].until) {
			continue
		}
		part := min(a, p.lots[i].left)
		p.lots[i].left -= part
		a -= part
	}
	p.floor.take(a)
	return true
}

// refund takes back unused tokens of an answer, as far as the allowances that
// still stand and the floor have room: what an owner or a floor has given out
// may be filled up again, but never beyond its first size.
func (p *purse) refund(now time.Time, a amount, floor bool) {
	for i := len(p.lots) - 1; i >= 0 && a > 0; i-- {
		if !now.Before(p.lots[i].until) {
			continue
		}
		part := min(a, p.lots[i].size-p.lots[i].left)
		p.lots[i].left += part
		a -= part
	}
	if floor {
		p.floor.advance(now)
		p.floor.add(a)
	}
}

// expire removes the allowances whose time is over and returns them.
func (p *purse) expire(now time.Time) []lot {
	var ended []lot
	kept := p.lots[:0]
	for _, l := range p.lots {
		if now.Before(l.until) {
			kept = append(kept, l)
			continue
		}
		ended = append(ended, l)
	}
	p.lots = kept
	return ended
}

// measure brings the mean demand up to date, once a tick.
func (p *purse) measure(span time.Duration) {
	if span <= 0 {
		return
	}
	p.demand += (float64(p.asked)/span.Seconds() - p.demand) * demandWeight
	p.asked = 0
	if p.demand < 1 {
		p.demand, p.largest = 0, 0
	}
}

// need returns what this entry wants to borrow, and whether it wants anything.
func (p *purse) need(now time.Time, tenant string, floor bool) (notice.Need, bool) {
	config := notice.NeedConfig{Tenant: tenant}
	available := p.available(now, floor)
	var waiting amount
	for i, w := range p.parked {
		waiting += tokens(w.ask.Tokens())
		if i == 0 {
			config.Least = missing(waiting - available)
		}
	}
	config.All = missing(waiting - available)
	target := int64(p.demand*stockSpan.Seconds()) + p.largest
	stock := p.lasting(now).whole()
	if p.demand > 0 && stock < target/2 {
		config.Stock = target - stock
	}
	wants := config.All > 0 || (config.Stock > 0 && !now.Before(p.dryUntil))
	return notice.NewNeed(config), wants
}

// missing returns the whole tokens that cover an amount.
func missing(a amount) int64 { return max((a + token - 1).whole(), 0) }

// lasting returns what is left of the allowances that do not expire soon.
func (p *purse) lasting(now time.Time) amount {
	var sum amount
	for _, l := range p.lots {
		if now.Add(renewAhead).Before(l.until) {
			sum += l.left
		}
	}
	return sum
}
