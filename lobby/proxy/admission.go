package proxy

import (
	"container/list"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
)

// waitingCallers holds the callers' connections that have no open request, each list
// in the order in which they began to wait.
type waitingCallers struct {
	idle      list.List    // no byte of a request has arrived
	receiving list.List    // a request has arrived in part
	closing   list.List    // no request is taken any more, the caller's end is awaited
	arriving  atomic.Int64 // length of receiving, which any thread may read
}

// move puts a connection at the end of a list, nil for none. It takes the connection
// out of the list that it was in.
func (w *waitingCallers) move(c *callerConn, to *list.List) {
	if c.waitingIn != nil {
		c.waitingIn.Remove(c.waiting)
	}
	c.waitingIn, c.waiting = to, nil
	if to != nil {
		c.waiting = to.PushBack(c)
	}
	w.arriving.Store(int64(w.receiving.Len()))
}

// longest returns the connection at the front of a list that began to wait at least
// age ago and has no unsent bytes, nil if there is none.
func longest(now time.Time, waiting *list.List, age time.Duration) *callerConn {
	for element := waiting.Front(); element != nil; element = element.Next() {
		c := element.Value.(*callerConn)
		if now.Sub(c.since) < age {
			return nil
		}
		if c.conn.OutboundBuffered() == 0 {
			return c
		}
	}
	return nil
}

// openConnections returns the number of connections of callers and to backend servers,
// including those being opened.
func (p *Proxy) openConnections() int { return len(p.callers) + len(p.backendConns) }

// makeRoom closes a connection that has no request, if otherwise the process would run
// out of descriptors with one more connection. It reports whether that one may be open.
func (p *Proxy) makeRoom(now time.Time) bool {
	open := p.openConnections()
	switch {
	case open < p.budget.Limit(now):
		return true
	case p.closeIdle(now, minIdle):
		return true
	case open < p.budget.MaxConnections(now):
		return true
	default:
		return p.closeLongest(now)
	}
}

// closeIdle closes the connection that has been idle for longest, but at least for age:
// that of a caller, else one to a backend server. It reports whether there was one.
func (p *Proxy) closeIdle(now time.Time, age time.Duration) bool {
	if c := longest(now, &p.waiting.idle, age); c != nil {
		p.stats.closed.Inc()
		c.closeNow()
		return true
	}
	if b := p.longestIdleBackend(now, age); b != nil {
		p.stats.closed.Inc()
		b.close()
		return true
	}
	return false
}

// closeLongest closes the connection that has awaited its caller's end for longest, else
// that which has been idle for longest, or refuses the request that began to arrive even
// before. It reports whether there was one.
func (p *Proxy) closeLongest(now time.Time) bool {
	if c := longest(now, &p.waiting.closing, 0); c != nil {
		p.stats.closed.Inc()
		c.closeNow()
		return true
	}
	partial, idle := longest(now, &p.waiting.receiving, 0), longest(now, &p.waiting.idle, 0)
	if partial == nil || idle != nil && idle.since.Before(partial.since) {
		return p.closeIdle(now, 0) || p.closeUnread(now)
	}
	p.stats.closed.Inc()
	p.causes.RecordFragment(now, httpserver.Displaced, partial.address, partial.fragment())
	partial.refuseUnread(now, fasthttp.StatusServiceUnavailable, overloadRetryAfter)
	partial.closeNow()
	return true
}

// closeUnread closes the connection that has left its answer unread for longest, but at
// least for minIdle. It reports whether there was one.
func (p *Proxy) closeUnread(now time.Time) bool {
	for element := p.waiting.idle.Front(); element != nil; element = element.Next() {
		c := element.Value.(*callerConn)
		if now.Sub(c.since) < minIdle {
			return false
		}
		if c.conn.OutboundBuffered() > 0 {
			p.stats.closed.Inc()
			p.causes.Record(now, httpserver.NotReading, c.address)
			c.abort()
			return true
		}
	}
	return false
}

// longestIdleBackend returns the connection to a backend server that has been idle for
// longest, but at least for age, nil if there is none.
func (p *Proxy) longestIdleBackend(now time.Time, age time.Duration) (found *backendConn) {
	for _, pool := range p.pools {
		if len(pool.idle) == 0 {
			continue
		}
		first := pool.idle[0]
		if now.Sub(first.idleSince) >= age && (found == nil || first.idleSince.Before(found.idleSince)) {
			found = first
		}
	}
	return found
}

// logLimit logs, once in limitLogPeriod at most, that connections were closed or
// refused because there were too many.
func (p *Proxy) logLimit(now time.Time) {
	closed, refused := p.stats.closed.Get(), p.stats.refused.Get()
	if now.Sub(p.limitLogged) < limitLogPeriod || closed == p.loggedClosed && refused == p.loggedRefused {
		return
	}
	p.config.Log.WithFields(logrus.Fields{
		"event": "connections", "callers": len(p.callers), "backends": len(p.backendConns), "requests": len(p.exchanges), "limit": p.budget.Limit(now),
		"closed": closed - p.loggedClosed, "refused": refused - p.loggedRefused,
	}).Warn("connections at the limit: idle ones closed, or requests refused as not run")
	p.limitLogged, p.loggedClosed, p.loggedRefused = now, closed, refused
}
