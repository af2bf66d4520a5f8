package ratelimit

// Names returns the numbers of tenants and of other lobbies of which something is kept.
func (l *Limiter) Names() (tenants, lobbies int) {
	return max(len(l.buckets), len(l.spent)), len(l.peers)
}
