package placement

import (
	"slices"
	"time"

	"sesamewell.example/commons/deployment"
)

const (
	// minLimitAge is the time for which a backend server must have named a rate before models
	// are placed by it: a rate that is named for less is over before a load has ended.
	minLimitAge = 2 * time.Second
	// minCapacity is the smallest capacity, in engines, of a backend server that names a rate.
	minCapacity = 0.02
	// minReliefCapacity is the capacity, as a part of the largest one in the service, from
	// which on a backend server gets copies that relieve others.
	minReliefCapacity = 0.5
)

// LimitConfig holds the construction parameters of a Limit.
type LimitConfig struct {
	Backend string
	Start   int64     // start time of the backend server, in Unix milliseconds
	Engines float64   // number of engines that requests at the rate keep busy
	Since   time.Time // time from which on it has named a rate
}

// Limit tells how much a backend server runs that names a rate in its answers.
type Limit struct{ config LimitConfig }

// NewLimit returns a limit.
func NewLimit(config LimitConfig) Limit { return Limit{config: config} }

// Limits holds the limits of all backend servers that name a rate.
type Limits []Limit

// SetLimits replaces the limits.
func (c *Core) SetLimits(limits Limits) {
	clear(c.limits)
	for _, limit := range limits {
		c.limits[limit.config.Backend] = limit
	}
}

// limit returns the limit of a backend server, if it names a rate that keeps less than the
// whole engine busy.
func (c *Core) limit(backend deployment.Backend) (limit Limit, ok bool) {
	limit, ok = c.limits[backend.ID()]
	return limit, ok && limit.config.Start == backend.StartTime() && limit.capacity() < 1
}

// capacity returns the number of engines that requests to a backend server can keep busy:
// one, or less if it has named a rate for some time.
func (c *Core) capacity(now time.Time, backend deployment.Backend) float64 {
	limit, ok := c.limit(backend)
	if !ok || now.Sub(limit.config.Since) < minLimitAge {
		return 1
	}
	return limit.capacity()
}

// room returns the capacity that counts for a backend server as one that relieves others. It
// changes as soon as a rate is named.
func (c *Core) room(backend deployment.Backend) float64 {
	limit, ok := c.limit(backend)
	if !ok {
		return 1
	}
	return limit.capacity()
}

// capacity returns the number of engines that the requests keep busy, at most one.
func (l Limit) capacity() float64 { return min(max(l.config.Engines, minCapacity), 1) }

// limitDemand sets the demand that counts in a draft while backend servers name rates.
func (c *Core) limitDemand(now time.Time, service string, d *draft) {
	l, ok := c.limitedDemand[service]
	if !ok {
		l = &limitedDemand{}
		c.limitedDemand[service] = l
	}
	d.named = slices.ContainsFunc(d.hosts, func(h *host) bool { return h.room < 1 })
	l.update(now, d.demand, d.named, d.limited())
	d.settling = l.settling(now) && !d.limited()
	d.limitDemand(l.average)
}
