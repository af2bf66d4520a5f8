package steward

import (
	"cmp"
	"slices"
	"time"

	"sesamewell.example/commons/charter"
)

// list takes the platform's list over. What is no longer on it gets no new
// requests; requests that it has go on.
func (c *Core) list(now time.Time, backends []charter.Backend) {
	c.listed, c.listedAt = true, now
	seen := make(map[string]bool, len(backends))
	for _, backend := range backends {
		seen[backend.ID()] = true
		h, ok := c.hosts[backend.ID()]
		if !ok || h.backend.Born() != backend.Born() {
			h = newHost(backend)
			c.hosts[backend.ID()] = h
		}
		if h.usable() && backend.Leaving() {
			c.do(NewRetire(RetireConfig{Backend: backend.ID()}))
		}
		h.backend, h.listed = backend, true
	}
	for id, h := range c.hosts {
		if !seen[id] {
			h.listed = false
			delete(c.hosts, id)
			c.do(NewRetire(RetireConfig{Backend: id}))
		}
	}
	defer c.unpark(now)
	clear(c.services)
	for _, h := range c.hosts {
		c.services[h.backend.Service()] = append(c.services[h.backend.Service()], h)
	}
	for _, hosts := range c.services {
		slices.SortFunc(hosts, func(a, b *host) int { return cmp.Compare(a.backend.ID(), b.backend.ID()) })
	}
}
