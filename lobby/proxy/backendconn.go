package proxy

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/eventstream"
	"sesamewell.example/commons/httpserver"
	"sesamewell.example/lobby/scheduler"
)

// backendConn is a connection to a backend server, which carries one request at a
// time. It must be used on the event loop only.
type backendConn struct {
	busyTime

	proxy       *Proxy
	pool        *pool
	conn        gnet.Conn
	unread      httpserver.Unread // bytes that have arrived and are not read
	exchange    *exchange
	answer      *answer
	idleSince   time.Time
	idleTimeout time.Duration // idle time after which it is not used any more
	answers     int           // complete answers so far
	requests    []string      // IDs of the last requests, with the current one
	tainted     bool          // an answer has arrived that belongs to no open request
	closed      bool
	opened      atomic.Bool // the event loop has opened it; the dialer reads this
}

// send sends the request of an exchange.
func (b *backendConn) send(now time.Time, e *exchange) {
	b.exchange, b.answer = e, &answer{}
	e.sentOn = append(e.sentOn, b)
	b.requests = append(b.requests[max(len(b.requests)-maxEarlier, 0):], e.meta.ID())
	e.conn, e.sentAt, e.lastByte, e.lastProgress, e.scanner = b, now, now, now, eventstream.Scanner{}

	b.proxy.requestBuffer = b.proxy.config.Codec.AppendRequest(now, b.proxy.requestBuffer[:0], e.request, e.send.Forwarding().WithLastEventID(string(e.events.lastID)))
	if _, err := b.conn.Write(b.proxy.requestBuffer); err != nil {
		b.fail(errors.Wrap(err, "send"))
	}
}

// readAnswer handles the bytes that have arrived.
func (b *backendConn) readAnswer(now time.Time) {
	b.unread.Fill(b.conn)
	defer b.unread.Keep()
	for !b.closed && b.exchange != nil && b.unread.Len() > 0 {
		used, err := b.read(now, b.unread.Bytes())
		if err != nil {
			b.fail(err)
			return
		}
		if used == 0 {
			return
		}
		b.unread.Discard(used)
		if b.answer != nil && b.answer.complete() {
			b.finish(now)
		}
	}
	if !b.closed && b.exchange == nil && b.unread.Len() > 0 {
		b.close() // the bytes belong to no request
	}
}

// read handles a head or a piece of a body and returns the number of bytes
// consumed.
func (b *backendConn) read(now time.Time, buffered []byte) (int, error) {
	if !b.answer.headRead {
		return b.readHead(buffered)
	}
	b.exchange.lastByte = now
	data, used, err := b.answer.readBody(buffered)
	if err == nil && b.answer.guard != nil {
		data, err = b.answer.guard.pass(data)
	}
	if err != nil || len(data) == 0 {
		return used, err
	}
	return used, b.takeBody(now, data)
}

// takeBody forwards or buffers a piece of a body.
func (b *backendConn) takeBody(now time.Time, data []byte) error {
	switch {
	case b.stale():
		return nil
	case b.answer.streaming:
		return b.exchange.forwardStream(b.answer, data)
	}
	b.exchange.lastProgress = now
	if err := b.answer.buffer(data); err != nil {
		return err
	}
	b.proxy.charge(b.exchange.buffered, int64(len(b.answer.body)))
	return nil
}

func (b *backendConn) readHead(buffered []byte) (int, error) {
	used, err := b.answer.readHead(buffered, b.exchange.request.Header.IsHead(), b.proxy.config.Codec)
	if err != nil || !b.answer.headRead {
		return used, err
	}
	b.answer.streaming = b.forwards()
	if earlier := b.requests[:len(b.requests)-1]; len(earlier) > 0 && b.answer.length == unknownLength {
		b.answer.guard = &copyGuard{earlier: earlier}
	}
	if b.stale() {
		return used, nil
	}
	b.reportLeaving()
	b.reportLimit()
	if b.answer.info.RequestID() == "" && b.answers > 0 {
		return used, errors.New("answer without a request ID on a connection in use again")
	}
	b.reportRefusal()
	success := b.answer.head.StatusCode() < fasthttp.StatusMultipleChoices
	if success && (!b.answer.info.Signed() || len(b.answer.head.ContentEncoding()) > 0) {
		return used, errors.New("answer is encoded or lacks the backend server's signature")
	}
	return used, nil
}

// reportLeaving reports that the backend server says in the head of an answer that it
// leaves.
func (b *backendConn) reportLeaving() {
	if b.answer.info.Leaving() && b.fromExpected() {
		b.proxy.notifyScheduler(scheduler.NewBackendLeaving(b.exchange.send.Origin()))
	}
}

// reportRefusal reports that the backend server asks for a time without requests. The head
// is enough: a body that is cut or does not end changes nothing.
func (b *backendConn) reportRefusal() {
	if wait := b.answer.info.RetryAfter(); wait > 0 && b.fromExpected() {
		b.proxy.notifyScheduler(scheduler.NewBackendRefusing(b.exchange.send.Origin(), wait))
	}
}

// reportLimit reports the rate that the backend server names in the head of an answer, or
// that a signed answer names none any more. One that cannot be read changes nothing.
func (b *backendConn) reportLimit() {
	rate := b.answer.info.Limit()
	ended := rate == 0 && b.exchange.send.Limited() && b.answer.info.Signed()
	if (rate > 0 || ended) && b.fromExpected() {
		b.proxy.notifyScheduler(scheduler.NewBackendLimit(b.exchange.send.Origin(), rate, b.exchange.sentAt))
	}
}

// fromExpected reports whether the answer is from the backend server that the request was
// sent to, not from another one that has taken over its address.
func (b *backendConn) fromExpected() bool {
	id := b.answer.info.Backend()
	return id == "" || id == b.exchange.send.Forwarding().Backend()
}

// stale reports whether the answer belongs to an earlier request. The answer to
// the current one may follow.
func (b *backendConn) stale() bool {
	id := b.answer.info.RequestID()
	return id != "" && id != b.exchange.meta.ID()
}

// forwards reports whether the answer, whose head has arrived, is forwarded as its body
// arrives. Only a stream of events continues one that has begun.
func (b *backendConn) forwards() bool {
	if !b.exchange.send.Stream() || b.answer.head.StatusCode() != fasthttp.StatusOK {
		return false
	}
	return !b.exchange.started || b.answer.isEventStream()
}

// finish handles a complete answer.
func (b *backendConn) finish(now time.Time) {
	a := b.answer
	b.answers++
	if b.stale() {
		b.answer, b.tainted = &answer{}, true
		return
	}
	if b.endsInEvent() {
		b.fail(errEndInEvent)
		return
	}
	e := b.exchange
	b.exchange, b.answer, e.conn = nil, nil, nil
	b.release(now, a)
	if a.streaming {
		e.finishStream(now, a)
		return
	}
	e.finishBuffered(now, a)
}

// release returns the connection to its pool. It closes the connection instead if
// the backend server asks for that, if unread or unsent bytes are left, or if a byte
// has arrived that belongs to no request.
func (b *backendConn) release(now time.Time, a *answer) {
	if b.closed {
		return
	}
	if b.tainted || a.info.Close() || a.length == unknownLength || b.unread.Len() > 0 || b.conn.OutboundBuffered() > 0 {
		b.close()
		return
	}
	b.idleSince, b.idleTimeout = now, defaultIdle
	if a.info.IdleTimeout() > 0 {
		b.idleTimeout = max(a.info.IdleTimeout()-idleMargin, a.info.IdleTimeout()/2)
	}
	b.pool.release(now, b)
}

// peerClosed handles the end of the connection.
func (b *backendConn) peerClosed(now time.Time, cause error) {
	if b.closed {
		return // by this process
	}
	complete := b.exchange != nil && b.endedInOrder(cause) && b.takeHeld(now) && b.completeAtEnd()
	b.closed = true
	switch {
	case !complete:
		b.reportIncomplete(true)
	case b.answer.info.NotRun(): // the head alone says that
		b.finish(now)
	default:
		b.awaitConfirmation(now)
	}
	b.pool.remove(b)
	if !complete {
		b.pool.disconnected()
	}
}

// endedInOrder reports whether the backend server has ended the connection in the middle of
// an exchange as it ends an answer without a length: not by a reset, nor with bytes unread.
func (b *backendConn) endedInOrder(cause error) bool {
	log := b.logExchange("link_ended").WithField("reported", cause)
	if err := httpserver.EndError(b.conn, cause); err != nil {
		log.WithError(err).Info("connection to the backend server broken")
		return false
	}
	log.Info("connection ended by the backend server")
	return true
}

// logExchange returns the log with an event and what has arrived of the answer.
func (b *backendConn) logExchange(event string) *logrus.Entry {
	return b.proxy.config.Log.WithFields(logrus.Fields{
		"event": event, "request": b.exchange.meta.ID(), "backend": b.pool.backend,
		"head_read": b.answer.headRead, "until_end": b.answer.headRead && b.answer.length == unknownLength, "bytes": b.answer.received,
	})
}

// takeHeld takes what is held back of a body that has ended. It reports whether that is a part
// of the body.
func (b *backendConn) takeHeld(now time.Time) bool {
	if b.answer.guard == nil {
		return true
	}
	data, err := b.answer.guard.end()
	return err == nil && b.takeBody(now, data) == nil && b.exchange != nil // it may have been given up
}

// completeAtEnd reports whether the end of the connection, in order, completes the answer.
func (b *backendConn) completeAtEnd() bool {
	return b.answer.headRead && b.answer.length == unknownLength && !b.stale() && !b.endsInEvent()
}

// errEndInEvent reports a stream whose body has ended, by whatever framing, within an event.
var errEndInEvent = errors.New("stream broken off within an event")

// endsInEvent reports whether the answer, whose body has ended, is a stream that was broken
// off within an event. One that is not forwarded as it arrives is a stream only if it says so.
func (b *backendConn) endsInEvent() bool {
	success := b.answer.head.StatusCode() < fasthttp.StatusMultipleChoices
	switch {
	case !b.exchange.send.Stream() || !success:
		return false
	case b.answer.streaming:
		return b.answer.mayBeEventStream() && b.exchange.scanner.InEvent()
	default:
		var scanner eventstream.Scanner
		scanner.Scan(b.answer.body)
		return b.answer.isEventStream() && scanner.InEvent()
	}
}

// fail closes the connection and reports its exchange as incomplete.
func (b *backendConn) fail(cause error) {
	b.proxy.config.Log.WithField("event", "link_failed").WithField("backend", b.pool.backend).WithError(cause).Debug("connection to the backend server failed")
	b.close()
	b.reportIncomplete(false)
}

// resetAndFail does the same as fail, but resets the connection, which discards the
// bytes that the backend server has not read.
func (b *backendConn) resetAndFail(cause error) {
	b.reset()
	b.fail(cause)
}

// reportIncomplete reports to the scheduler that the exchange got no complete
// answer. disconnected is true if the backend server closed the connection.
func (b *backendConn) reportIncomplete(disconnected bool) {
	e := b.exchange
	if e == nil {
		return
	}
	b.exchange, b.answer, e.conn = nil, nil, nil
	result := scheduler.Lost
	if e.started {
		result = scheduler.Truncated
	}
	ended := scheduler.NewSendEnded(e.number, result, 0).WithLongestPause(e.longestPause)
	if disconnected {
		ended = ended.WithDisconnect()
	}
	b.proxy.notifyScheduler(ended)
}

// reset closes the connection with a TCP reset, so that a backend server that has
// not read the request yet never does.
func (b *backendConn) reset() {
	if b.closed {
		return
	}
	if err := b.conn.SetLinger(0); err != nil {
		b.proxy.config.Log.WithField("event", "link_reset").WithError(err).Debug("connection not reset")
	}
	b.close()
}

// close closes the connection. It does not report the exchange that it carries.
func (b *backendConn) close() {
	if b.closed {
		return
	}
	b.closed = true
	b.pool.remove(b)
	_ = b.conn.Close()
}
