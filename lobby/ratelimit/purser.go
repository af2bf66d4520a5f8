// Package purser keeps the tenants' quotas over all lobbies. Each counts what it
// has let in and what the others say that they have; for one that is silent it
// counts an even share, which that one keeps to on its own.
package ratelimit

import (
	"maps"
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
)

// Config holds the construction parameters of a Purser.
type Config struct {
	PeerTimeout    time.Duration // after which another lobby counts with an even share
	PeerExpiry     time.Duration // after which it no longer counts
	InitialLobbies int           // lobbies that are assumed until the first is met
	InitialFill    float64       // part of its burst that a tenant has at the start
	StartTime      time.Time     // start of the process, from which on quotas grow
}

// Purser is responsible for one lobby's view of every quota. Its methods belong
// to one thread.
type Limiter struct {
	config  Config
	buckets map[string]*bucket
	spent   map[string]float64 // by tenant, of this lobby
	peers   map[string]*peer
}

// purse is one tenant's bucket over all lobbies.
type bucket struct {
	level   float64
	updated time.Time
}

// peer is what is known of another lobby.
type peer struct {
	incarnation uint64
	serial      int64
	spent       map[string]float64
	assumed     map[string]float64 // counted while it was silent
	lastSeen    time.Time
}

// New returns a purser that has met no other lobby.
func New(config Config) *Limiter {
	return &Limiter{config: config, buckets: make(map[string]*bucket), spent: make(map[string]float64), peers: make(map[string]*peer)}
}

// Spend takes cost from the tenant's quota. If there is not enough, it takes
// nothing and returns the time until there may be.
func (p *Limiter) Spend(now time.Time, tenant charter.Tenant, cost float64) (time.Duration, bool) {
	rate, burst := tenant.Quota()
	if rate <= 0 {
		return 0, true
	}
	b := p.refill(now, tenant.Name(), rate, burst)
	if b.level < cost {
		return time.Duration((cost - b.level) / rate * float64(time.Second)), false
	}
	b.level -= cost
	p.spent[tenant.Name()] += cost
	return 0, true
}

// Refund gives back the cost of a request that did not run.
func (p *Limiter) Refund(now time.Time, tenant charter.Tenant, cost float64) {
	if rate, burst := tenant.Quota(); rate > 0 {
		b := p.refill(now, tenant.Name(), rate, burst)
		b.level = min(b.level+cost, burst)
		p.spent[tenant.Name()] -= cost
	}
}

// Spent returns what this lobby has taken of each tenant's quota.
func (p *Limiter) Spent() map[string]float64 { return maps.Clone(p.spent) }

// Heard takes over what another lobby says.
func (p *Limiter) Heard(now time.Time, digest notice.Digest) {
	known, ok := p.peers[digest.Sender()]
	if ok && known.incarnation == digest.Incarnation() && digest.Serial() <= known.serial {
		return
	}
	if !ok || known.incarnation != digest.Incarnation() {
		known = p.addPeer(ok, digest)
	}
	for tenant, spent := range digest.Spent() {
		fresh := spent - known.spent[tenant]
		counted := min(known.assumed[tenant], max(fresh, 0))
		if b, ok := p.buckets[tenant]; ok {
			b.level -= fresh - counted
		}
	}
	clear(known.assumed)
	known.spent, known.serial, known.lastSeen = digest.Spent(), digest.Serial(), now
}

// met notes a new incarnation of a lobby. What one that was running before this
// lobby has spent so far is not counted.
func (p *Limiter) addPeer(before bool, digest notice.Digest) *peer {
	known := &peer{incarnation: digest.Incarnation(), spent: digest.Spent(), assumed: make(map[string]float64)}
	if before {
		known.spent = make(map[string]float64)
	}
	p.peers[digest.Sender()] = known
	return known
}

// advance brings a tenant's bucket up to now.
func (p *Limiter) refill(now time.Time, name string, rate, burst float64) *bucket {
	b, ok := p.buckets[name]
	if !ok {
		b = &bucket{level: burst * p.config.InitialFill, updated: p.config.StartTime}
		p.buckets[name] = b
	}
	grown := now.Sub(b.updated).Seconds() * rate
	b.updated = now
	share := grown / float64(p.lobbyCount(now))
	for _, known := range p.peers {
		if silent := now.Sub(known.lastSeen); silent > p.config.PeerTimeout && silent < p.config.PeerExpiry {
			known.assumed[name] += share
			grown -= share
		}
	}
	if len(p.peers) == 0 {
		grown = share
	}
	b.level = min(max(b.level+grown, -burst), burst)
	return b
}

// lobbies returns how many share a quota, this one included.
func (p *Limiter) lobbyCount(now time.Time) int {
	if len(p.peers) == 0 {
		return p.config.InitialLobbies
	}
	n := 1
	for _, known := range p.peers {
		if now.Sub(known.lastSeen) < p.config.PeerExpiry {
			n++
		}
	}
	return n
}
