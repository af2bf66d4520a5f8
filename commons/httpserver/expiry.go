package httpserver

import (
	"time"

	"github.com/panjf2000/gnet/v2"
)

// expire closes a connection whose request is incomplete, which has had no request, or whose
// caller does not end it, for longer than the limit. The event loop decides: a request may arrive whole
// meanwhile. It is safe to call from any thread.
func (c *conn) expire(now time.Time) {
	switch {
	case c.outbox.pending():
		c.onLoop(func(socket gnet.Conn) error { return c.checkSent(now, socket) })
	case c.lingerSince.Load() != 0:
		c.onLoop(func(socket gnet.Conn) error { return c.finishClose(now, socket) })
	case c.expired(now):
		c.onLoop(func(socket gnet.Conn) error { return c.closeIdle(now, socket) })
	case c.late(now):
		c.onLoop(func(gnet.Conn) error { return c.refuseLate(now) })
	}
}

// expired reports whether the connection has had no request for longer than the limit. It is
// safe to call from any thread.
func (c *conn) expired(now time.Time) bool { return c.idleFor(now) > c.server.config.Idle }

// closeIdle closes the connection, unless a request has arrived meanwhile.
func (c *conn) closeIdle(now time.Time, socket gnet.Conn) error {
	if !c.expired(now) {
		return nil
	}
	c.ended = true
	c.waitingSince.Store(0)
	return socket.Close()
}

// late reports whether a request arrives too slowly. It is safe to call from any thread.
func (c *conn) late(now time.Time) bool {
	if !c.arriving() {
		return false
	}
	arrival := NewArrival(time.Unix(0, c.waitingSince.Load()), time.Unix(0, c.lastByte.Load()), c.arrived().Body())
	return arrival.Late(now, c.server.config.SlowSender, c.server.config.MinUpload)
}

// refuseLate refuses a request that arrives too slowly, unless more of it has arrived
// meanwhile.
func (c *conn) refuseLate(now time.Time) error {
	if c.late(now) {
		c.refuseUnread(now, ErrSlowSender, SlowSender)
	}
	return nil
}

// idleFor returns the time for which no byte of a request has arrived, zero while there
// is one.
func (c *conn) idleFor(now time.Time) time.Duration {
	since := c.waitingSince.Load()
	if since == 0 || c.partial.Load() {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// removable reports whether the connection may be closed for another one: an idle one after
// minIdle, or crowdedIdle if its address holds most connections, and one whose request or
// answer is incomplete at once.
func (c *conn) removable(now time.Time, crowded bool) bool {
	idle := minIdle
	if crowded {
		idle = crowdedIdle
	}
	return c.partial.Load() || c.outbox.pending() || c.idleFor(now) >= idle
}

// displace closes the connection to make room for another one, unless a request has arrived
// whole meanwhile. It is safe to call from any thread.
func (c *conn) displace(now time.Time) {
	c.closing.Store(true)
	c.onLoop(func(socket gnet.Conn) error { return c.makeRoom(now, socket) })
}

// makeRoom closes the connection for another one, unless a call is open or has ended since
// it was chosen.
func (c *conn) makeRoom(now time.Time, socket gnet.Conn) error {
	since := c.waitingSince.Load()
	switch {
	case since == 0 || since > now.UnixNano():
		c.closing.Store(false)
	case c.outbox.pending():
		c.server.causes.Record(now, NotReading, c.address)
		return c.resetNow(socket)
	case c.partial.Load():
		c.refuseUnread(now, errTooManyConns, Displaced)
	default:
		c.ended = true
		return socket.Close()
	}
	return nil
}
