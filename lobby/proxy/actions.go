package proxy

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"

	"sesamewell.example/lobby/scheduler"
)

// OnTick makes the event loop check for timeouts.
func (p *Proxy) OnTick() (time.Duration, gnet.Action) {
	if err := p.Put(sweep{due: time.Now()}); err != nil {
		p.config.Log.WithField("event", "sweep").WithError(err).Warn("check for timeouts skipped: inbox of the event loop full")
	}
	return sweepPeriod, gnet.None
}

// sweep makes the event loop check for timeouts.
type sweep struct{ due time.Time }

// Put queues an action for the event loop.
func (p *Proxy) Put(action any) error {
	if err := p.inbox.Put(action); err != nil {
		return err
	}
	p.wake()
	return nil
}

func (p *Proxy) wake() {
	run := p.run.Load()
	if run == nil || run.loop() == nil || p.wakePending.Swap(true) {
		return
	}
	if err := run.loop().Execute(context.Background(), gnet.RunnableFunc(p.drainInbox)); err != nil {
		p.wakePending.Store(false)
		p.config.Log.WithField("event", "wake").WithError(err).Warn("event loop not woken")
	}
}

// drainInbox executes the queued actions.
func (p *Proxy) drainInbox(context.Context) error {
	p.wakePending.Store(false)
	var batch [64]any
	for {
		n := p.inbox.Drain(batch[:])
		if n == 0 {
			return nil
		}
		now := time.Now()
		for _, action := range batch[:n] {
			p.execute(now, action)
		}
	}
}

func (p *Proxy) execute(now time.Time, action any) {
	defer p.containPanic(nil)
	switch a := action.(type) {
	case scheduler.Send:
		p.send(now, a)
	case scheduler.ForwardError:
		if e, ok := p.exchanges[a.Number()]; ok {
			e.reply(now, e.heldError)
		}
	case scheduler.Refuse:
		if e, ok := p.exchanges[a.Number()]; ok {
			e.refuse(now, a.Status(), a.RetryAfter())
		}
	case scheduler.Connect:
		p.poolOf(a.Send()).connect()
	case scheduler.ReturnWaiting:
		if pool, ok := p.pools[a.Backend()]; ok {
			pool.returnWaiting(scheduler.Deferred)
		}
	case scheduler.CloseIdle:
		if pool, ok := p.pools[a.Backend()]; ok {
			pool.retire()
		}
	case dialFailed:
		if a.ranOut {
			p.budget.Exhausted(now, p.openConnections())
		}
		a.conn.pool.dialFailed(a.conn, !a.ranOut)
	case confirmation:
		a.conn.confirm(now, a.ended)
	case sweep:
		p.recordLateness(now, a.due)
		p.sweep(now)
	}
}

// refuseArriving refuses the requests that have arrived in part.
func (p *Proxy) refuseArriving(now time.Time) {
	for element := p.waiting.receiving.Front(); element != nil; element = p.waiting.receiving.Front() {
		element.Value.(*callerConn).refuseArriving(now)
	}
}

func (p *Proxy) send(now time.Time, send scheduler.Send) {
	e, ok := p.exchanges[send.Number()]
	if !ok {
		return
	}
	e.send, e.heldError, e.startReported = send, nil, false
	e.buffered.Set(0)
	e.events.reset()
	if e.started && len(e.events.lastID) == 0 { // without an event ID the stream cannot be resumed
		p.notifyScheduler(scheduler.NewSendEnded(e.number, scheduler.Truncated, 0))
		return
	}
	if e.late(now) {
		e.deferSend()
		return
	}
	e.pool = p.poolOf(send)
	e.pool.send(now, e)
}

// poolOf returns the pool of connections to the backend server of a send.
func (p *Proxy) poolOf(send scheduler.Send) *pool {
	id := send.Forwarding().Backend()
	target, ok := p.pools[id]
	if ok && target.address != send.Address() { // the backend server has started again elsewhere
		target.returnWaiting(scheduler.Unsent)
		target.retire()
		ok = false
	}
	if !ok {
		target = newPool(p, id, send.Address())
		p.pools[id] = target
	}
	target.maxOpen, target.origin = send.Connections(), send.Origin()
	return target
}

func (p *Proxy) sweep(now time.Time) {
	if !p.accepts(now) {
		p.refuseArriving(now)
	}
	for c := range p.callers {
		c.sweep(now)
	}
	for _, pool := range p.pools {
		pool.sweep(now)
	}
	for _, e := range p.exchanges {
		e.sweep(now)
	}
	p.stats.callers.Store(int64(len(p.callers)))
	p.stats.backends.Store(int64(len(p.backendConns)))
	p.stats.pending.Store(int64(p.Pending()))
	p.stats.limit.Store(int64(p.budget.Limit(now)))
	p.logLimit(now)
}
