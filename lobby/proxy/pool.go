package proxy

import (
	"slices"
	"time"

	"sesamewell.example/lobby/scheduler"
)

// pool is responsible for the connections to one backend server and for the
// requests that wait for one. It belongs to the event loop.
type pool struct {
	proxy   *Proxy
	backend string // id
	address string
	open    int // connections, those that are being dialled included
	dialing int
	maxOpen int
	idle    []*backendConn // most recently used last
	waiting []*exchange
}

// carry sends an exchange on an idle connection, or on one that it dials.
func (p *pool) send(now time.Time, e *exchange) {
	if l := p.takeIdle(now, e.send.FreshConnection()); l != nil {
		l.send(now, e)
		return
	}
	p.waiting = append(p.waiting, e)
	p.dial()
}

func (p *pool) takeIdle(now time.Time, fresh bool) *backendConn {
	for len(p.idle) > 0 {
		l := p.idle[len(p.idle)-1]
		limit := l.idleTimeout
		if fresh {
			limit = min(limit, maxFreshIdle)
		}
		if now.Sub(l.idleSince) > limit {
			return nil // the others have been idle for longer
		}
		p.idle = p.idle[:len(p.idle)-1]
		if !l.closed {
			return l
		}
	}
	return nil
}

// dial asks for as many connections as requests wait and the limit allows.
func (p *pool) dial() {
	for p.dialing < len(p.waiting) && p.open < p.maxOpen {
		p.open++
		p.dialing++
		if err := p.proxy.dials.Put(dialRequest{pool: p, address: p.address}); err != nil {
			p.dialFailed()
		}
	}
}

// opened takes a new connection over.
func (p *pool) connected(now time.Time, l *backendConn) {
	p.dialing--
	l.idleSince, l.idleTimeout = now, defaultIdle
	p.release(now, l)
}

// failed notes that a connection could not be made. One request that waits for
// it is told.
func (p *pool) dialFailed() {
	p.dialing--
	p.open--
	if e := p.nextWaiting(); e != nil {
		p.proxy.notifyScheduler(scheduler.NewSendEnded(e.number, scheduler.Unsent, 0))
	}
	p.dial()
}

// rest gives a free connection to the next request that waits.
func (p *pool) release(now time.Time, l *backendConn) {
	if e := p.nextWaiting(); e != nil {
		l.send(now, e)
		return
	}
	if p.proxy.pools[p.backend] != p {
		l.close()
		return
	}
	p.idle = append(p.idle, l)
}

// next returns the request that has waited longest and is still wanted.
func (p *pool) nextWaiting() *exchange {
	for len(p.waiting) > 0 {
		e := p.waiting[0]
		p.waiting = p.waiting[1:]
		if e.pool == p && !e.ended {
			e.pool = nil
			return e
		}
	}
	return nil
}

// remove forgets a connection that has ended.
func (p *pool) remove(l *backendConn) {
	if l.removed {
		return
	}
	l.removed = true
	p.open--
	p.idle = slices.DeleteFunc(p.idle, func(other *backendConn) bool { return other == l })
	p.dial()
}

// sweep closes connections that have been idle for too long.
func (p *pool) sweep(now time.Time) {
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.idle[0].idleTimeout {
		p.idle[0].close()
	}
}

// retire closes the idle connections and forgets the pool; others end with
// their request.
func (p *pool) retire() {
	delete(p.proxy.pools, p.backend)
	for len(p.idle) > 0 {
		p.idle[0].close()
	}
}
