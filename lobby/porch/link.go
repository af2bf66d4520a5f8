package porch

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
type link struct {
	porch     *Porch
	pool      *pool
	conn      gnet.Conn
	exchange  *exchange
	answer    *answer
	idleSince time.Time
	idleLimit time.Duration // for which the peer is trusted to keep it
	closed    bool
	removed   bool // from its pool
}

// carry sends an exchange's request.
func (l *link) carry(now time.Time, e *exchange) {
	l.exchange, l.answer = e, &answer{}
	e.link, e.active = l, now

	l.porch.scratch = l.porch.config.Codec.Forward(now, l.porch.scratch[:0], e.request, e.send.Sheet().GoingOn(string(e.events.last)))
	if _, err := l.conn.Write(l.porch.scratch); err != nil {
		l.fail(errors.Wrap(err, "send"))
	}
}

// advance reads what has arrived.
func (l *link) advance(now time.Time) {
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
		if l.answer != nil && l.answer.whole() {
			l.finish(now)
		}
	}
	if !l.closed && l.exchange == nil && l.conn.InboundBuffered() > 0 {
		l.close() // bytes that belong to no request
	}
}

// read takes one head or one piece of a body.
func (l *link) read(now time.Time, buffered []byte) (int, error) {
	if !l.answer.begun {
		return l.readHead(buffered)
	}
	l.exchange.active = now
	data, used, err := l.answer.readBody(buffered)
	if err != nil || len(data) == 0 {
		return used, err
	}
	switch {
	case l.foreign():
	case l.relayed():
		err = l.exchange.relay(l.answer, data)
	default:
		err = l.answer.gather(data)
	}
	return used, err
}

func (l *link) readHead(buffered []byte) (int, error) {
	used, err := l.answer.readHead(buffered, l.exchange.request.Header.IsHead(), l.porch.config.Codec)
	if err != nil || !l.answer.begun || l.foreign() {
		return used, err
	}
	success := l.answer.head.StatusCode() < fasthttp.StatusMultipleChoices
	if success && (!l.answer.about.Signed() || len(l.answer.head.ContentEncoding()) > 0) {
		return used, errors.New("answer does not bear the backend server's signature")
	}
	return used, nil
}

// foreign reports whether the answer belongs to an earlier request; the right
// one may follow.
func (l *link) foreign() bool {
	id := l.answer.about.ID()
	return id != "" && id != l.exchange.visit.ID()
}

// relayed reports whether the answer is passed on as it arrives.
func (l *link) relayed() bool {
	return l.exchange.send.Stream() && l.answer.head.StatusCode() == fasthttp.StatusOK
}

// finish ends an answer that has arrived whole.
func (l *link) finish(now time.Time) {
	a := l.answer
	if l.foreign() {
		l.answer = &answer{}
		return
	}
	e := l.exchange
	relayed := l.relayed()
	l.exchange, l.answer, e.link = nil, nil, nil
	l.rest(now, a)
	if relayed {
		e.finishRelay(now, a)
		return
	}
	e.finishGathered(now, a)
}

// rest makes the link ready for its next request, unless the peer ends it or
// sent or awaits more than it should.
func (l *link) rest(now time.Time, a *answer) {
	if l.closed {
		return
	}
	if a.about.Close() || a.length == unknownLength || l.conn.InboundBuffered() > 0 || l.conn.OutboundBuffered() > 0 {
		l.close()
		return
	}
	l.idleSince, l.idleLimit = now, defaultIdle
	if a.about.Idle() > 0 {
		l.idleLimit = max(a.about.Idle()-idleMargin, a.about.Idle()/2)
	}
	l.pool.rest(now, l)
}

// ended handles the end of the connection by the peer.
func (l *link) ended(now time.Time, cause error) {
	if l.exchange != nil && l.answer.begun && l.answer.length == unknownLength && !l.foreign() && errors.Is(cause, io.EOF) {
		l.closed = true
		l.finish(now)
	}
	l.closed = true
	l.pool.remove(l)
	l.abandon()
}

// fail ends the connection, and with it the exchange that it carries.
func (l *link) fail(cause error) {
	l.porch.config.Log.WithField("event", "link_failed").WithField("backend", l.pool.backend).WithError(cause).Debug("connection to a backend server failed")
	l.close()
	l.abandon()
}

// forsake ends the connection so that what the peer has not read is dropped.
func (l *link) forsake(cause error) {
	l.reset()
	l.fail(cause)
}

// abandon reports that the exchange got no whole answer.
func (l *link) abandon() {
	e := l.exchange
	if e == nil {
		return
	}
	l.exchange, l.answer, e.link = nil, nil, nil
	result := scheduler.Lost
	if e.begun {
		result = scheduler.Truncated
	}
	l.porch.tell(scheduler.NewSendEnded(e.number, result, 0).WithLongestPause(e.pause))
}

// reset closes the connection so that a backend server that has not read the
// request yet never does.
func (l *link) reset() {
	if l.closed {
		return
	}
	if err := l.conn.SetLinger(0); err != nil {
		l.porch.config.Log.WithField("event", "link_reset").WithError(err).Debug("connection cannot be reset")
	}
	l.close()
}

// close closes the connection without regard to what it carries.
func (l *link) close() {
	if l.closed {
		return
	}
	l.closed = true
	l.pool.remove(l)
	_ = l.conn.Close()
}
