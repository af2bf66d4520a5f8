package scheduler

import (
	"cmp"
	"slices"
	"time"

	"sesamewell.example/commons/deployment"
)

// updateBackends applies a new list of backend servers. Those that are no
// longer listed get no new requests, but keep the ones that they are running.
func (c *Core) updateBackends(now time.Time, backends []deployment.Backend) {
	c.listed, c.listedAt = true, now
	seen := make(map[string]bool, len(backends))
	for _, backend := range backends {
		seen[backend.ID()] = true
		s, ok := c.servers[backend.ID()]
		if !ok || s.backend.StartTime() != backend.StartTime() {
			s = newServer(backend)
			c.servers[backend.ID()] = s
		}
		if s.usable() && backend.Leaving() {
			c.emit(NewCloseIdle(CloseIdleConfig{Backend: backend.ID()}))
		}
		s.backend, s.listed = backend, true
	}
	for id, s := range c.servers {
		if !seen[id] {
			s.listed = false
			delete(c.servers, id)
			c.emit(NewCloseIdle(CloseIdleConfig{Backend: id}))
		}
	}
	defer c.placeQueued(now)
	defer c.endAbsences()
	clear(c.byService)
	for _, s := range c.servers {
		c.byService[s.backend.Service()] = append(c.byService[s.backend.Service()], s)
	}
	for _, servers := range c.byService {
		slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.backend.ID(), b.backend.ID()) })
	}
}
