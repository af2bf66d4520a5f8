package proxy

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"sesamewell.example/lobby/scheduler"
)

// link is responsible for one connection to a backend server, which carries one
// request at a time. It belongs to the event loop.
type backendConn struct {
	proxy       *Proxy
	pool        *pool
	conn        gnet.Conn
	exchange    *exchange
	answer      *answer
	idleSince   time.Time
	idleTimeout time.Duration // for which the peer is trusted to keep it
	closed      bool
	removed     bool // from its pool
}

// carry sends an exchange's request.
func (l *backendConn) send(now time.Time, e *exchange) {
	l.exchange, l.answer = e, &answer{}
	e.conn, e.lastByte = l, now

	l.proxy.requestBuffer = l.proxy.config.Codec.Forward(now, l.proxy.requestBuffer[:0], e.request, e.send.Sheet().GoingOn(string(e.events.lastID)))
	if _, err := l.conn.Write(l.proxy.requestBuffer); err != nil {
		l.fail(errors.Wrap(err, "send"))
	}
}

// advance reads what has arrived.
func (l *backendConn) readAnswer(now time.Time) {
	for !l.closed && l.exchange != nil {
		buffered, _ := l.conn.Peek(-1)
		if len(buffered) == 0 {
			return
		}
		used, err := l.read(now, buffered)
		if err != nil {
			l.fail(err)
			return
		}
		if used == 0 {
			return
		}
		if !l.closed {
			_, _ = l.conn.Discard(used)
		}
		if l.answer != nil && l.answer.complete() {
			l.finish(now)
		}
	}
	if !l.closed && l.exchange == nil && l.conn.InboundBuffered() > 0 {
		l.close() // bytes that belong to no request
	}
}

// read takes one head or one piece of a body.
func (l *backendConn) read(now time.Time, buffered []byte) (int, error) {
	if !l.answer.headRead {
		return l.readHead(buffered)
	}
	l.exchange.lastByte = now
	data, used, err := l.answer.readBody(buffered)
	if err != nil || len(data) == 0 {
		return used, err
	}
	switch {
	case l.stale():
	case l.streaming():
		err = l.exchange.forwardStream(l.answer, data)
	default:
		err = l.answer.buffer(data)
	}
	return used, err
}

func (l *backendConn) readHead(buffered []byte) (int, error) {
	used, err := l.answer.readHead(buffered, l.exchange.request.Header.IsHead(), l.proxy.config.Codec)
	if err != nil || !l.answer.headRead || l.stale() {
		return used, err
	}
	success := l.answer.head.StatusCode() < fasthttp.StatusMultipleChoices
	if success && (!l.answer.info.Signed() || len(l.answer.head.ContentEncoding()) > 0) {
		return used, errors.New("answer does not bear the backend server's signature")
	}
	return used, nil
}

// foreign reports whether the answer belongs to an earlier request; the right
// one may follow.
func (l *backendConn) stale() bool {
	id := l.answer.info.ID()
	return id != "" && id != l.exchange.visit.ID()
}

// relayed reports whether the answer is passed on as it arrives.
func (l *backendConn) streaming() bool {
	return l.exchange.send.Stream() && l.answer.head.StatusCode() == fasthttp.StatusOK
}

// finish ends an answer that has arrived whole.
func (l *backendConn) finish(now time.Time) {
	a := l.answer
	if l.stale() {
		l.answer = &answer{}
		return
	}
	e := l.exchange
	relayed := l.streaming()
	l.exchange, l.answer, e.conn = nil, nil, nil
	l.release(now, a)
	if relayed {
		e.finishStream(now, a)
		return
	}
	e.finishBuffered(now, a)
}

// rest makes the link ready for its next request, unless the peer ends it or
// sent or awaits more than it should.
func (l *backendConn) release(now time.Time, a *answer) {
	if l.closed {
		return
	}
	if a.info.Close() || a.length == unknownLength || l.conn.InboundBuffered() > 0 || l.conn.OutboundBuffered() > 0 {
		l.close()
		return
	}
	l.idleSince, l.idleTimeout = now, defaultIdle
	if a.info.Idle() > 0 {
		l.idleTimeout = max(a.info.Idle()-idleMargin, a.info.Idle()/2)
	}
	l.pool.release(now, l)
}

// ended handles the end of the connection by the peer.
func (l *backendConn) peerClosed(now time.Time, cause error) {
	if l.exchange != nil && l.answer.headRead && l.answer.length == unknownLength && !l.stale() && errors.Is(cause, io.EOF) {
		l.closed = true
		l.finish(now)
	}
	l.closed = true
	l.pool.remove(l)
	l.reportIncomplete()
}

// fail ends the connection, and with it the exchange that it carries.
func (l *backendConn) fail(cause error) {
	l.proxy.config.Log.WithField("event", "link_failed").WithField("backend", l.pool.backend).WithError(cause).Debug("connection to a backend server failed")
	l.close()
	l.reportIncomplete()
}

// forsake ends the connection so that what the peer has not read is dropped.
func (l *backendConn) resetAndFail(cause error) {
	l.reset()
	l.fail(cause)
}

// abandon reports that the exchange got no whole answer.
func (l *backendConn) reportIncomplete() {
	e := l.exchange
	if e == nil {
		return
	}
	l.exchange, l.answer, e.conn = nil, nil, nil
	result := scheduler.Lost
	if e.started {
		result = scheduler.Truncated
	}
	l.proxy.notifyScheduler(scheduler.NewSendEnded(e.number, result, 0).WithLongestPause(e.longestPause))
}

// reset closes the connection so that a backend server that has not read the
// request yet never does.
func (l *backendConn) reset() {
	if l.closed {
		return
	}
	if err := l.conn.SetLinger(0); err != nil {
		l.proxy.config.Log.WithField("event", "link_reset").WithError(err).Debug("connection cannot be reset")
	}
	l.close()
}

// close closes the connection without regard to what it carries.
func (l *backendConn) close() {
	if l.closed {
		return
	}
	l.closed = true
	l.pool.remove(l)
	_ = l.conn.Close()
}
