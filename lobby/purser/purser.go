// Package purser keeps the tenants' quotas over all entries: each counts what
// it has let in and what the others say that they have.
package purser

import (
	"time"

	"sesamewell.example/commons/charter"
)

// Purser is responsible for one entry's part of every quota. Its methods belong
// to one thread.
type Purser struct {
	purses map[string]*purse
	share  float64
}

// purse is one tenant's bucket.
type purse struct {
	level float64
	at    time.Time
	rate  float64
	burst float64
}

// New returns a purser that may spend a share of each quota.
func New(share float64) *Purser { return &Purser{purses: make(map[string]*purse), share: share} }

// Spend takes cost from the tenant's quota. If there is not enough, it takes
// nothing and returns the time until there may be.
func (p *Purser) Spend(now time.Time, tenant charter.Tenant, cost float64) (time.Duration, bool) {
	rate, burst := tenant.Quota()
	if rate <= 0 {
		return 0, true
	}
	b := p.purse(now, tenant.Name(), rate*p.share, burst*p.share)
	if b.level >= cost {
		b.level -= cost
		return 0, true
	}
	return time.Duration((cost - b.level) / b.rate * float64(time.Second)), false
}

// Refund gives back the cost of a request that did not run.
func (p *Purser) Refund(now time.Time, tenant charter.Tenant, cost float64) {
	rate, burst := tenant.Quota()
	if rate <= 0 {
		return
	}
	b := p.purse(now, tenant.Name(), rate*p.share, burst*p.share)
	b.level = min(b.level+cost, b.burst)
}

func (p *Purser) purse(now time.Time, name string, rate, burst float64) *purse {
	b, ok := p.purses[name]
	if !ok {
		b = &purse{level: burst, at: now}
		p.purses[name] = b
	}
	b.rate, b.burst = rate, burst
	b.level = min(b.level+now.Sub(b.at).Seconds()*rate, burst)
	b.at = now
	return b
}
