package proxy

import (
	"slices"
	"time"

	"sesamewell.example/lobby/scheduler"
)

// pool holds the connections to one backend server and the requests that wait for
// one. It must be used on the event loop only.
type pool struct {
	proxy   *Proxy
	backend string           // backend server's ID
	origin  scheduler.Origin // start of the backend server of the last send
	address string
	conns   map[*backendConn]struct{} // including those being dialled
	dialing map[*backendConn]struct{}
	maxOpen int            // maximum number of connections
	idle    []*backendConn // ordered from least to most recently used
	waiting []*exchange
}

func newPool(p *Proxy, backend, address string) *pool {
	return &pool{proxy: p, backend: backend, address: address, conns: make(map[*backendConn]struct{}), dialing: make(map[*backendConn]struct{})}
}

// send sends the request of an exchange on an idle connection, or queues it and
// dials a new one.
func (p *pool) send(now time.Time, e *exchange) {
	if b := p.takeIdle(now, e); b != nil {
		b.send(now, e)
		return
	}
	p.waiting = append(p.waiting, e)
	if len(p.conns) < p.maxOpen && !p.proxy.makeRoom(now) {
		p.returnWaiting(scheduler.Unsent)
		return
	}
	if len(p.conns) >= p.maxOpen && len(p.idle) > 0 {
		p.idle[0].close() // none that is idle may carry this request
		return
	}
	p.dial()
}

// takeIdle removes and returns the most recently used idle connection that may carry the
// request of an exchange, nil if there is none.
func (p *pool) takeIdle(now time.Time, e *exchange) *backendConn {
	for i, b := range slices.Backward(p.idle) {
		limit := b.idleTimeout
		if e.send.FreshConnection() {
			limit = min(limit, maxFreshIdle)
		}
		if now.Sub(b.idleSince) > limit {
			return nil // the others have been idle even longer
		}
		if e.mayUse(b) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return b
		}
	}
	return nil
}

// dial requests a connection for each waiting request, up to the limit.
func (p *pool) dial() {
	for len(p.dialing) < len(p.waiting) && len(p.conns) < p.maxOpen {
		p.dialOne()
	}
}

// connect requests a connection. If one is open, it reports that instead.
func (p *pool) connect() {
	switch {
	case p.established() > 0:
		p.proxy.notifyScheduler(scheduler.NewBackendConnected(p.origin))
	case len(p.conns) == 0:
		p.dialOne()
	}
}

func (p *pool) dialOne() {
	b := &backendConn{proxy: p.proxy, pool: p}
	p.conns[b], p.dialing[b] = struct{}{}, struct{}{}
	p.proxy.backendConns[b] = struct{}{}
	if err := p.proxy.dials.Put(dialRequest{conn: b, address: p.address}); err != nil {
		p.dialFailed(b, false)
	}
}

// connected adds a new connection.
func (p *pool) connected(now time.Time, b *backendConn) {
	delete(p.dialing, b)
	if p.established() == 1 {
		p.proxy.notifyScheduler(scheduler.NewBackendConnected(p.origin))
	}
	b.idleSince, b.idleTimeout = now, defaultIdle
	p.release(now, b)
}

// dialFailed records that a connection could not be opened, and reports one of the waiting
// requests as unsent. tried is set unless that was for want of something of this process. It
// does nothing if the connection has been opened after all.
func (p *pool) dialFailed(b *backendConn, tried bool) {
	if _, ok := p.dialing[b]; !ok {
		return
	}
	p.forget(b)
	if tried {
		p.disconnected()
	}
	if e := p.nextWaiting(nil); e != nil {
		p.proxy.notifyScheduler(scheduler.NewSendEnded(e.number, scheduler.Unsent, 0))
	}
	p.dial()
}

// release uses a free connection for the next request that waits and may use it, or adds
// it to the idle ones. It closes the connection if the pool has been retired, or if it takes
// the place of one for the requests that wait.
func (p *pool) release(now time.Time, b *backendConn) {
	p.returnLate(now)
	if e := p.nextWaiting(b); e != nil {
		b.send(now, e)
		return
	}
	if p.proxy.pools[p.backend] != p || len(p.waiting) > len(p.dialing) && len(p.conns) >= p.maxOpen {
		b.close()
		return
	}
	p.idle = append(p.idle, b)
	p.dial()
}

// nextWaiting removes and returns the request that has waited longest of those that may
// use a connection, or of all if b is nil; nil if there is none. It drops those that have
// ended.
func (p *pool) nextWaiting(b *backendConn) *exchange {
	p.waiting = slices.DeleteFunc(p.waiting, func(e *exchange) bool { return e.pool != p || e.ended })
	i := slices.IndexFunc(p.waiting, func(e *exchange) bool { return b == nil || e.mayUse(b) })
	if i < 0 {
		return nil
	}
	e := p.waiting[i]
	p.waiting = slices.Delete(p.waiting, i, i+1)
	e.pool = nil
	return e
}

// returnWaiting ends the sends of the requests that wait for a connection with a result,
// so that they are sent elsewhere.
func (p *pool) returnWaiting(result scheduler.Result) {
	for e := p.nextWaiting(nil); e != nil; e = p.nextWaiting(nil) {
		p.proxy.notifyScheduler(scheduler.NewSendEnded(e.number, result, 0))
	}
}

// returnLate ends the sends of the requests that have waited for a connection for longer
// than they may.
func (p *pool) returnLate(now time.Time) {
	p.waiting = slices.DeleteFunc(p.waiting, func(e *exchange) bool {
		late := e.pool == p && !e.ended && e.late(now)
		if late {
			e.deferSend()
		}
		return late
	})
}

// remove removes a closed connection.
func (p *pool) remove(b *backendConn) {
	if _, ok := p.conns[b]; !ok {
		return
	}
	p.forget(b)
	p.idle = slices.DeleteFunc(p.idle, func(other *backendConn) bool { return other == b })
	if !p.connectedAtAll() {
		p.proxy.notifyScheduler(scheduler.NewBackendUnconnected(p.origin))
	}
	p.dial()
}

// forget gives up the place of a connection in the accounts of the pool and of the proxy.
func (p *pool) forget(b *backendConn) {
	delete(p.dialing, b)
	delete(p.conns, b)
	delete(p.proxy.backendConns, b)
}

// established returns the number of connections that are open.
func (p *pool) established() int { return len(p.conns) - len(p.dialing) }

// disconnected reports that the backend server has ended a connection or accepts none, unless
// another one is open.
func (p *pool) disconnected() {
	if !p.connectedAtAll() {
		p.proxy.notifyScheduler(scheduler.NewBackendDisconnected(p.origin))
	}
}

// connectedAtAll reports whether a connection to the backend server is open, if only in the pool
// that has taken the place of a retired one.
func (p *pool) connectedAtAll() bool {
	current, ok := p.proxy.pools[p.backend]
	return p.established() > 0 || ok && current.established() > 0
}

// sweep closes connections that have been idle for too long, and returns the requests
// that have waited for too long.
func (p *pool) sweep(now time.Time) {
	p.returnLate(now)
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.idle[0].idleTimeout {
		p.idle[0].close()
	}
}

// retire removes the pool and closes its idle connections. The others are closed
// when their requests end.
func (p *pool) retire() {
	delete(p.proxy.pools, p.backend)
	for len(p.idle) > 0 {
		p.idle[0].close()
	}
}
