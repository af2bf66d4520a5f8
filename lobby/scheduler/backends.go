package scheduler

import (
	"cmp"
	"slices"
	"time"

	"sesamewell.example/commons/deployment"
)

// serverOf returns the state of the start of a backend server that sent an answer, nil if
// it is not known any more.
func (c *Core) serverOf(origin Origin) *server {
	s, ok := c.servers[origin.backend]
	if !ok {
		s, ok = c.unlisted[origin.backend]
	}
	if !ok || s.backend.StartTime() != origin.startTime {
		return nil
	}
	return s
}

// backendLeaving records that a backend server says that it leaves.
func (c *Core) backendLeaving(origin Origin) {
	c.learnLeaving(origin, RecordLeaving{source: leavingInAnswer})
}

// learnLeaving records that a start of a backend server leaves. The list, which may be
// older or lack its entry for long, does not undo that; another start is another server.
func (c *Core) learnLeaving(origin Origin, record RecordLeaving) {
	if last, ok := c.departed[origin.backend]; ok && last >= origin.startTime {
		return
	}
	c.makeRoomForDeparted()
	c.departed[origin.backend] = origin.startTime
	record.origin, record.listAge = origin, c.now.Sub(c.listedAt)
	c.emit(record)
	if s := c.serverOf(origin); s != nil {
		c.markLeaving(s)
	}
}

// markLeaving takes a backend server out of routing. The requests that it runs go on.
func (c *Core) markLeaving(s *server) {
	s.leaving = true
	c.emit(ReturnWaiting{backend: s.backend.ID()})
	c.emit(NewCloseIdle(CloseIdleConfig{Backend: s.backend.ID()}))
	c.rerouteWaiting(c.now)
}

// updateBackends applies a new list of backend servers. Those that are no
// longer listed get no new requests, but keep the ones that they are running.
func (c *Core) updateBackends(now time.Time, m BackendsChanged) {
	if !c.listed {
		c.listedFirst = now
	}
	c.listed, c.listedAt = true, now
	c.config.Streams.SetBackends(now, m.read, m.backends)
	seen := make(map[string]bool, len(m.backends))
	for _, backend := range m.backends {
		seen[backend.ID()] = true
		s, ok := c.servers[backend.ID()]
		if !ok || s.backend.StartTime() != backend.StartTime() {
			s = c.relisted(backend)
			c.servers[backend.ID()] = s
		}
		if s.usable() && backend.Leaving() {
			c.emit(ReturnWaiting{backend: backend.ID()})
			c.emit(NewCloseIdle(CloseIdleConfig{Backend: backend.ID()}))
		}
		s.forgetUnloaded(func(model string) bool { return backend.Holds(model, "") })
		s.backend, s.listed = backend, true
		c.settleDoubt(now, m.read, s)
		c.updateCold(now, s)
		s.cacheTokens = c.cacheTokens(s)

		c.applyEvacuation(now, s)
	}
	for id, s := range c.servers {
		if !seen[id] {
			s.listed, s.unlistedAt = false, now
			delete(c.servers, id)
			c.unlisted[id] = s
			c.emit(ReturnWaiting{backend: id})
			c.emit(NewCloseIdle(CloseIdleConfig{Backend: id}))
		}
	}
	c.forgetUnlisted(now)
	c.emitEvacuations()
	defer c.placeQueued(now)
	defer c.rerouteWaiting(now)
	defer c.endAbsences()
	clear(c.byService)
	for _, s := range c.servers {
		c.byService[s.backend.Service()] = append(c.byService[s.backend.Service()], s)
	}
	for _, servers := range c.byService {
		slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.backend.ID(), b.backend.ID()) })
	}
}

// relisted returns the state of a backend server that is listed now: that from before its
// entry lapsed, if it is the same start of it, else a new one. What it has asked for and
// what it runs holds on, whatever the list says.
func (c *Core) relisted(backend deployment.Backend) *server {
	s, ok := c.unlisted[backend.ID()]
	delete(c.unlisted, backend.ID())
	if !ok || s.backend.StartTime() != backend.StartTime() {
		s = newServer(backend)
		departed, ok := c.departed[backend.ID()]
		s.leaving = ok && departed == backend.StartTime()
		return s
	}
	if s.backend.Address() != backend.Address() {
		s.replaced = false
	}
	return s
}

// forgetUnlisted drops what is known of backend servers that have not been listed for
// long, unless a time that one of them asked for has not ended.
func (c *Core) forgetUnlisted(now time.Time) {
	for id, s := range c.unlisted {
		if now.Sub(s.unlistedAt) > unlistedRetention && !s.hold.active(now) && !s.limit.heldAt(now) {
			delete(c.unlisted, id)
		}
	}
}
