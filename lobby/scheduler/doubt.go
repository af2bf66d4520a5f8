package scheduler

import (
	"time"

	"sesamewell.example/commons/httpmeta"
)

// doubt is the state of a backend server that may have started again under its ID, with any
// software version, and is listed with its old entry. The zero value stands for none.
type doubt struct {
	raised    bool
	since     time.Time
	connected time.Time // time at which it accepted a connection again; zero before
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
	if !s.doubt.raised {
		c.emit(RecordDoubt{origin: NewOrigin(origin.backend, s.backend.StartTime()), raised: true, listAge: now.Sub(c.listedAt)})
	}
	s.doubt = doubt{raised: true, since: now, asked: s.doubt.asked}
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
	s.doubt = doubt{}
	c.emit(RecordDoubt{origin: NewOrigin(s.backend.ID(), s.backend.StartTime())})
	for _, req := range c.requests {
		if req.server == s && req.pin.unknown {
			c.streamBegan(now, req)
		}
	}
}

// connectDoubted asks for connections to the doubted backend servers that queued streams wait
// for: no request that opens one may come.
func (c *Core) connectDoubted(now time.Time) {
	for key := range c.waiting {
		if !key.pin.set {
			continue
		}
		for _, s := range c.byService[key.service] {
			if s.doubt.raised && s.doubt.connected.IsZero() && s.usable() && key.pin.allows(s) && now.Sub(s.doubt.asked) >= connectPeriod {
				s.doubt.asked = now
				c.emit(Connect{send: c.newSend(s, SendConfig{Forwarding: httpmeta.NewForwarding(httpmeta.ForwardingConfig{Backend: s.backend.ID()})})})
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

// Connect opens a connection to a backend server, unless one is open.
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
