// Package ratelimit enforces the tenants' quotas across all lobbies, the processes
// that accept callers' requests. Each lobby counts the cost of the requests that it
// has admitted and the spending that the other lobbies report. For a lobby that
// does not report it assumes an even share of the quota; that lobby, if partitioned
// from the others, does the same and so stays within its share.
package ratelimit

import (
	"maps"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
)

// Config holds the construction parameters of a Limiter.
type Config struct {
	PeerTimeout    time.Duration // time without a digest after which another lobby is assumed to spend an even share
	PeerExpiry     time.Duration // time without a digest after which another lobby no longer counts
	LeaveTime      time.Duration // time from the first digest that says that a lobby drains until it accepts no request any more
	InitialLobbies int           // number of lobbies that is assumed until the first digest arrives
	InitialFill    float64       // fraction of its burst that a tenant has at the start among InitialLobbies; less among more
	DiscoveryTime  time.Duration // time from the start within which every live lobby has been heard from
	StartTime      time.Time     // start of the process, from which on the buckets are refilled
}

// Limiter holds one lobby's token buckets of all tenants. It is not safe for
// concurrent use.
type Limiter struct {
	config  Config
	buckets map[string]*bucket
	spent   map[string]float64 // by tenant, by this lobby only
	peers   map[string]*peer
	listed  int // number of lobbies that are listed, including this one
}

// bucket is the token bucket that a tenant has across all lobbies.
type bucket struct {
	level   float64
	updated time.Time
}

// peer is the state of another lobby.
type peer struct {
	incarnation uint64
	serial      int64
	spent       map[string]float64
	assumed     map[string]float64 // by tenant, spending assumed since its last digest
	lastSeen    time.Time
	drainsSince time.Time // first digest of this incarnation that says that it drains; zero before
}

// counts reports whether the lobby shares the quotas: it has been heard from lately, and
// has not left.
func (p *peer) counts(now time.Time, config Config) bool {
	if now.Sub(p.lastSeen) >= config.PeerExpiry {
		return false
	}
	return p.drainsSince.IsZero() || now.Sub(p.drainsSince) < config.LeaveTime
}

// New returns a limiter without peers.
func New(config Config) *Limiter {
	return &Limiter{config: config, buckets: make(map[string]*bucket), spent: make(map[string]float64), peers: make(map[string]*peer)}
}

// SetLobbies sets the number of lobbies that are listed, including this one.
func (l *Limiter) SetLobbies(n int) { l.listed = n }

// Bounds on what is kept by name. The one that was used least recently makes way for another.
const (
	maxTenants = 4096
	maxPeers   = 1024
)

// makeRoom deletes the entry with the earliest time if a map has as many as it may.
func makeRoom[V any](kept map[string]V, most int, at func(V) time.Time) (deleted string) {
	if len(kept) < most {
		return ""
	}
	for name, value := range kept {
		if first, ok := kept[deleted]; !ok || at(value).Before(at(first)) {
			deleted = name
		}
	}
	delete(kept, deleted)
	return deleted
}

// The reserve grows from reserveFreeLobbies on by one burst in lobbiesPerReserve, up to
// maxReserve of a burst.
const (
	reserveFreeLobbies = 10
	lobbiesPerReserve  = 30
	maxReserve         = 0.75
)

// A full bucket grants a request that costs more than the burst, up to these costs. The next
// one waits until the tokens have been refilled.
const (
	maxOverdraftTokens   = 8192 // more than an ordinary prompt and its answer
	maxOverdraftRequests = 1
)

// quota is a tenant's quota.
type quota struct {
	rate, burst float64 // tokens or requests, per second and at once
	overdraft   float64 // cost beyond the burst that one request may have
}

// quotaOf returns the quota of a tenant. Its rate is zero if there is no limit.
func quotaOf(tenant deployment.Tenant) quota {
	rate, burst := tenant.Quota()
	largest := float64(maxOverdraftRequests)
	if tenant.CountsTokens() {
		largest = maxOverdraftTokens
	}
	return quota{rate: rate, burst: max(burst, 0), overdraft: max(largest-burst, 0)}
}

// Spend takes cost from the tenant's quota. If the quota does not suffice, it
// takes nothing and returns the time until it may. A tenant without a rate is not
// limited.
func (l *Limiter) Spend(now time.Time, tenant deployment.Tenant, cost float64) (time.Duration, bool) {
	q := quotaOf(tenant)
	if q.rate <= 0 {
		return 0, true
	}
	b := l.refill(now, tenant.Name(), q)
	needed := min(cost+q.burst*l.reserveShare(now), q.burst) // a full bucket grants what the burst allows
	if cost > q.burst+q.overdraft {
		needed = cost // which no bucket holds
	}
	if b.level < needed {
		return time.Duration((needed - b.level) / q.rate * float64(time.Second)), false
	}
	b.level -= cost
	l.spent[tenant.Name()] += cost
	return 0, true
}

// Refund returns the cost of a request that did not run to the tenant's quota.
func (l *Limiter) Refund(now time.Time, tenant deployment.Tenant, cost float64) {
	if q := quotaOf(tenant); q.rate > 0 {
		b := l.refill(now, tenant.Name(), q)
		b.level = min(b.level+cost, q.burst)
		l.spent[tenant.Name()] -= cost
	}
}

// Spent returns the total that this lobby has taken from each tenant's quota.
func (l *Limiter) Spent() map[string]float64 { return maps.Clone(l.spent) }

// UpdatePeer deducts from the quotas what another lobby has spent since its last
// digest, less what was assumed in the meantime. It ignores digests out of order.
func (l *Limiter) UpdatePeer(now time.Time, digest protocol.Digest) {
	sender, ok := l.peers[digest.Sender()]
	if ok && sender.incarnation == digest.Incarnation() && digest.Serial() <= sender.serial {
		return
	}
	if !ok || sender.incarnation != digest.Incarnation() {
		sender = l.addPeer(ok, digest)
	}
	for tenant, spent := range digest.Spent() {
		added := spent - sender.spent[tenant]
		alreadyCounted := min(sender.assumed[tenant], max(added, 0))
		if b, ok := l.buckets[tenant]; ok {
			b.level -= added - alreadyCounted
		}
	}
	if digest.Draining() && sender.drainsSince.IsZero() {
		sender.drainsSince = now
	}
	clear(sender.assumed)
	sender.spent, sender.serial, sender.lastSeen = digest.Spent(), digest.Serial(), now
}

// addPeer records a new incarnation of a lobby. What a lobby has spent before its
// first digest arrives is not counted, unless there was an earlier incarnation.
func (l *Limiter) addPeer(restarted bool, digest protocol.Digest) *peer {
	added := &peer{incarnation: digest.Incarnation(), spent: digest.Spent(), assumed: make(map[string]float64)}
	if restarted {
		added.spent = make(map[string]float64)
	} else {
		makeRoom(l.peers, maxPeers, func(p *peer) time.Time { return p.lastSeen })
	}
	l.peers[digest.Sender()] = added
	return added
}

// refill adds the tokens due since the last call to a tenant's bucket, less the
// shares that silent lobbies are assumed to spend.
func (l *Limiter) refill(now time.Time, name string, q quota) *bucket {
	b, ok := l.buckets[name]
	if !ok {
		delete(l.spent, makeRoom(l.buckets, maxTenants, func(b *bucket) time.Time { return b.updated }))
		b = &bucket{level: q.burst * l.initialFill(now), updated: l.config.StartTime}
		l.buckets[name] = b
	}
	refilled := now.Sub(b.updated).Seconds() * q.rate
	b.updated = now
	share := refilled / float64(l.lobbyCount(now))
	for _, p := range l.peers {
		if now.Sub(p.lastSeen) > l.config.PeerTimeout && p.counts(now, l.config) {
			p.assumed[name] += share
			refilled -= share
		}
	}
	refilled -= share * float64(l.unheard(now))
	debt := q.burst*(1+2*l.reserveShare(now)) + q.overdraft*float64(l.lobbyCount(now)) // most that is paid back
	b.level = min(max(b.level+refilled, -debt), q.burst)
	return b
}

// reserveShare returns the part of a burst that is not granted in a large fleet: while
// all lobbies have requests waiting, each grants what is left before the others' digests
// show that they have, too, the later the more lobbies there are.
func (l *Limiter) reserveShare(now time.Time) float64 {
	excess := l.lobbyCount(now) - reserveFreeLobbies
	return min(max(float64(excess), 0)/lobbiesPerReserve, maxReserve)
}

// initialFill returns the fraction of its burst that a tenant has at this lobby's start.
// The sum over all lobbies falls with their number, too: the more there are, the later
// their digests show what the others spend.
func (l *Limiter) initialFill(now time.Time) float64 {
	ratio := min(float64(l.config.InitialLobbies)/float64(l.lobbyCount(now)), 1)
	return l.config.InitialFill * ratio * ratio
}

// unheard returns the number of lobbies that share a quota and from which no digest has
// arrived yet. After DiscoveryTime such a lobby is taken as stopped, unless there is no
// other.
func (l *Limiter) unheard(now time.Time) int {
	if len(l.peers) > 0 && now.Sub(l.config.StartTime) >= l.config.DiscoveryTime {
		return 0
	}
	return max(l.lobbyCount(now)-1-l.heard(now), 0)
}

// heard returns the number of other lobbies from which a digest has arrived.
func (l *Limiter) heard(now time.Time) int {
	n := 0
	for _, p := range l.peers {
		if p.counts(now, l.config) {
			n++
		}
	}
	return n
}

// lobbyCount returns the number of lobbies that share a quota, including this one.
func (l *Limiter) lobbyCount(now time.Time) int {
	n := l.heard(now) + 1
	if len(l.peers) == 0 {
		return max(n, l.listed, l.config.InitialLobbies)
	}
	if now.Sub(l.config.StartTime) < l.config.DiscoveryTime {
		return max(n, l.listed)
	}
	return n
}
