package scheduler

import (
	"slices"
	"time"

	"sesamewell.example/commons/httpmeta"
)

// doubt is the state of a backend server that may have started again under its ID, with any
// software version, and is listed with its old entry. There is none while a connection has been
// open since before the newest list was read, long enough for another start to be on it.
type doubt struct {
	raised    bool
	reported  bool // in the log
	since     time.Time
	connected time.Time // time at which it accepted a connection; zero before
	asked     time.Time // time at which a connection was last asked for; zero before
}

const (
	// startListedAfter is the time after a new start of a backend server accepts a connection
	// within which it is listed.
	startListedAfter = 700 * time.Millisecond
	connectPeriod    = time.Second // time between two connections that are asked for to end a doubt
)

// backendDisconnected records that a backend server may start again before it is listed anew.
func (c *Core) backendDisconnected(now time.Time, origin Origin) {
	s := c.anyStartOf(origin)
	if s == nil {
		return
	}
	if !s.doubt.reported {
		c.emit(RecordDoubt{origin: NewOrigin(origin.backend, s.backend.StartTime()), raised: true, listAge: now.Sub(c.listedAt)})
	}
	s.doubt = doubt{raised: true, reported: true, since: now, asked: s.doubt.asked}
}

// backendUnconnected records that no connection to a backend server is open, which would show its
// end.
func (c *Core) backendUnconnected(now time.Time, origin Origin) {
	if s := c.anyStartOf(origin); s != nil {
		s.doubt = doubt{raised: true, reported: s.doubt.reported, since: now, asked: s.doubt.asked}
	}
}

// backendConnected records that a backend server that may have started again accepts a
// connection: from now on it is one start.
func (c *Core) backendConnected(now time.Time, origin Origin) {
	if s := c.anyStartOf(origin); s != nil {
		s.doubt.accepts(now)
	}
}

// anyStartOf returns the state of the last start of a backend server that was listed, nil if there
// is none. A connection may be to an earlier start, or to a later one.
func (c *Core) anyStartOf(origin Origin) *server {
	if s, ok := c.servers[origin.backend]; ok {
		return s
	}
	return c.unlisted[origin.backend]
}

// accepts records that the backend server accepts connections.
func (d *doubt) accepts(now time.Time) {
	if d.raised && d.connected.IsZero() {
		d.connected = now
	}
}

// answers records that the backend server answers a request that was sent at a time.
func (d *doubt) answers(now, sentAt time.Time) {
	if sentAt.After(d.since) {
		d.accepts(now)
	}
}

// settleDoubt ends the doubt about a backend server that a new list shows with the same start,
// if another one would be listed when it was read. The streams that have begun meanwhile can go on.
func (c *Core) settleDoubt(now, read time.Time, s *server) {
	if !s.doubt.raised || s.doubt.connected.IsZero() || read.Sub(s.doubt.connected) < startListedAfter {
		return
	}
	if s.doubt.reported {
		c.emit(RecordDoubt{origin: NewOrigin(s.backend.ID(), s.backend.StartTime())})
	}
	s.doubt = doubt{}
	for _, req := range c.requests {
		if req.server == s && req.pin.unknown {
			c.streamBegan(now, req)
		}
	}
}

// connectDoubted asks for connections to the doubted backend servers that queued streams wait
// for: no request that opens one may come.
func (c *Core) connectDoubted(now time.Time) {
	c.eachAwaited(func(key queueKey, s *server) {
		if !c.hasEligible(key) { // the rate at which its requests start says nothing about the time after
			delete(c.forecast.queues, key)
		}
		if s.doubt.connected.IsZero() && now.Sub(s.doubt.asked) >= connectPeriod {
			s.doubt.asked = now
			c.emit(Connect{send: c.newSend(s, SendConfig{Forwarding: httpmeta.NewForwarding(httpmeta.ForwardingConfig{Backend: s.backend.ID()})})})
		}
	})
}

// awaitsList reports whether a list that is read later may end a doubt.
func (c *Core) awaitsList() bool {
	for _, s := range c.servers {
		if s.doubt.raised && !s.doubt.connected.IsZero() {
			return true
		}
	}
	return false
}

// awaitsProof reports whether queued streams wait until a doubt ends.
func (c *Core) awaitsProof() (awaits bool) {
	c.eachAwaited(func(queueKey, *server) { awaits = true })
	return awaits
}

// hasEligible reports whether a usable backend server may run the requests of a key now.
func (c *Core) hasEligible(key queueKey) bool {
	return slices.ContainsFunc(c.byService[key.service], func(s *server) bool { return s.usable() && c.eligible(key, s) })
}

// eachAwaited calls a function with each doubted backend server that queued streams wait for, and
// their key.
func (c *Core) eachAwaited(visit func(key queueKey, s *server)) {
	for key := range c.waiting {
		if !key.pin.set {
			continue
		}
		for _, s := range c.byService[key.service] {
			if s.doubt.raised && s.usable() && key.pin.allows(s) {
				visit(key, s)
			}
		}
	}
}

// newSend returns a send to a backend server.
func (c *Core) newSend(s *server, config SendConfig) Send {
	service, _ := c.configuration.Service(s.backend.Service())
	config.Address, config.StartTime, config.Version = s.backend.Address(), s.backend.StartTime(), s.backend.Version()
	config.Connections = max(service.MaxConnections()/c.lobbyCount, 1)
	return NewSend(config)
}

// Connect opens a connection to a backend server, unless one is open. A BackendConnected
// follows in either case.
type Connect struct{ send Send }

// Send returns a send that names the backend server, its address and the number of connections
// that this process may have to it.
func (c Connect) Send() Send { return c.send }

// RecordDoubt records in log and metrics that a backend server may have started again, or has
// not.
type RecordDoubt struct {
	origin  Origin
	raised  bool
	listAge time.Duration
}

func (Connect) schedulerAction()     {}
func (RecordDoubt) schedulerAction() {}
