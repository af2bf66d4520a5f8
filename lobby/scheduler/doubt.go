package scheduler

import "time"

// doubt is the state of a backend server that may have started again under its ID, with any
// software version, and is listed with its old entry. The zero value stands for none.
type doubt struct {
	raised    bool
	connected time.Time // time at which it accepted a connection again; zero before
}

// startListedAfter is the time after a new start of a backend server accepts a connection within
// which the list that has been read shows it.
const startListedAfter = time.Second

// backendDisconnected records that a backend server may start again before it is listed anew.
func (c *Core) backendDisconnected(origin Origin) {
	s := c.serverOf(origin)
	if s == nil {
		return
	}
	if !s.doubt.raised {
		c.emit(RecordDoubt{origin: origin, raised: true, listAge: c.now.Sub(c.listedAt)})
	}
	s.doubt = doubt{raised: true}
}

// backendConnected records that a backend server that may have started again accepts a
// connection: from now on it is one start.
func (c *Core) backendConnected(now time.Time, origin Origin) {
	if s := c.serverOf(origin); s != nil && s.doubt.raised && s.doubt.connected.IsZero() {
		s.doubt.connected = now
	}
}

// settleDoubt ends the doubt about a backend server that a new list shows with the same start,
// if another one would be listed by now. The streams that have begun meanwhile can go on.
func (c *Core) settleDoubt(now time.Time, s *server) {
	if !s.doubt.raised || s.doubt.connected.IsZero() || now.Sub(s.doubt.connected) < startListedAfter {
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

// RecordDoubt records in log and metrics that a backend server may have started again, or has
// not.
type RecordDoubt struct {
	origin  Origin
	raised  bool
	listAge time.Duration
}

func (RecordDoubt) schedulerAction() {}
