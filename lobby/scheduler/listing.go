package scheduler

import (
	"cmp"
	"slices"
	"time"

	"sesamewell.example/commons/charter"
)

// list takes the platform's list over. What is no longer on it gets no new
// requests; requests that it has go on.
func (c *Core) updateBackends(now time.Time, backends []charter.Backend) {
	c.listed, c.listedAt = true, now
	seen := make(map[string]bool, len(backends))
	for _, backend := range backends {
		seen[backend.ID()] = true
		h, ok := c.servers[backend.ID()]
		if !ok || h.backend.Born() != backend.Born() {
			h = newServer(backend)
			c.servers[backend.ID()] = h
		}
		if h.usable() && backend.Leaving() {
			c.emit(NewCloseIdle(CloseIdleConfig{Backend: backend.ID()}))
		}
		h.backend, h.listed = backend, true
	}
	for id, h := range c.servers {
		if !seen[id] {
			h.listed = false
			delete(c.servers, id)
			c.emit(NewCloseIdle(CloseIdleConfig{Backend: id}))
		}
	}
	defer c.placeQueued(now)
	clear(c.byService)
	for _, h := range c.servers {
		c.byService[h.backend.Service()] = append(c.byService[h.backend.Service()], h)
	}
	for _, hosts := range c.byService {
		slices.SortFunc(hosts, func(a, b *server) int { return cmp.Compare(a.backend.ID(), b.backend.ID()) })
	}
}
