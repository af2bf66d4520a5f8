package proxy

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/visit"
	"sesamewell.example/lobby/scheduler"
)

var (
	lineEnd   = []byte("\r\n")
	lastChunk = []byte("0\r\n\r\n")
)

// exchange is responsible for one request and its answer. It belongs to the
// event loop.
type exchange struct {
	number        uint64
	proxy         *Proxy
	caller        *callerConn
	request       *fasthttp.Request
	visit         *visit.Visit
	send          scheduler.Send
	pool          *pool // in which it waits for a connection
	conn          *backendConn
	heldError     *answer       // an error of the backend server's own
	lastByte      time.Time     // of the last byte in either direction
	lastEvent     time.Time     // of the last event to the caller
	longestPause  time.Duration // longest one between two events
	started       bool          // a part of the answer has gone to the caller
	startReported bool          // the steward knows that the present send has brought an event
	events        eventBuffer   // of a stream that may go on at another backend server
	chunked       bool
	ended         bool
}

// relay passes a piece of a stream on, as far as its events are whole if it may
// go on at another backend server.
func (e *exchange) forwardStream(a *answer, data []byte) (err error) {
	if e.send.Resumable() {
		data, err = e.events.add(data)
	}
	e.forward(a, data)
	return err
}

// pass gives the caller a piece of a stream, after the head if it is the first.
func (e *exchange) forward(a *answer, data []byte) {
	if len(data) == 0 {
		return
	}
	if !e.startReported {
		e.startReported = true
		e.proxy.notifyScheduler(scheduler.NewStreamStarted(e.number))
	}
	if e.started {
		e.longestPause = max(e.longestPause, e.lastByte.Sub(e.lastEvent))
	}
	e.lastEvent = e.lastByte
	out := e.proxy.answerBuffer[:0]
	if !e.started {
		e.started = true
		out = e.appendHead(out, a)
	}
	if e.chunked {
		out = strconv.AppendInt(out, int64(len(data)), 16)
		out = append(out, lineEnd...)
	}
	out = append(out, data...)
	if e.chunked {
		out = append(out, lineEnd...)
	}
	e.proxy.answerBuffer = out
	e.caller.write(out)
}

// appendHead appends the head of a stream. A caller of HTTP/1.0 gets it without
// chunked coding, up to the end of the connection.
func (e *exchange) appendHead(out []byte, a *answer) []byte {
	e.proxy.config.Codec.Relay(&a.head)
	e.chunked = e.request.Header.IsHTTP11()
	if !e.chunked {
		e.caller.closeAfterAnswer = true
	}
	a.head.SetContentLength(chunkedLength)
	if e.caller.closeAfterAnswer {
		a.head.SetConnectionClose()
	}
	if !e.chunked {
		a.head.Del(fasthttp.HeaderTransferEncoding)
	}
	return a.head.AppendBytes(out)
}

// finishRelay ends a stream that has arrived whole.
func (e *exchange) finishStream(now time.Time, a *answer) {
	e.forward(a, e.events.unfinished())
	if !e.started { // a stream without an event
		e.finishBuffered(now, a)
		return
	}
	if e.chunked {
		e.caller.write(lastChunk)
	}
	e.proxy.notifyScheduler(scheduler.NewSendEnded(e.number, scheduler.Complete, a.head.StatusCode()).WithLongestPause(e.longestPause))
	e.proxy.closeExchange(now, e)
}

// finishGathered decides by its kind where a whole answer goes.
func (e *exchange) finishBuffered(now time.Time, a *answer) {
	status := a.head.StatusCode()
	switch {
	case a.info.Elsewhere() && a.info.Backend() != "" && a.info.Backend() != e.send.Sheet().Backend():
		e.proxy.notifyScheduler(scheduler.NewSendEnded(e.number, scheduler.Replaced, status))
	case a.info.Elsewhere():
		e.proxy.notifyScheduler(scheduler.NewSendEnded(e.number, scheduler.ModelMissing, status))
	case a.info.NotRun():
		e.proxy.notifyScheduler(scheduler.NewSendEnded(e.number, scheduler.Rejected, status))
	case e.started: // it does not go on here
		e.proxy.notifyScheduler(scheduler.NewSendEnded(e.number, scheduler.Truncated, status))
	case status >= fasthttp.StatusInternalServerError && e.send.KeepError():
		e.heldError = a
		e.proxy.notifyScheduler(scheduler.NewSendEnded(e.number, scheduler.BackendError, status))
	default:
		e.proxy.notifyScheduler(scheduler.NewSendEnded(e.number, scheduler.Complete, status))
		e.reply(now, a)
	}
}

// reply gives the caller a gathered answer.
func (e *exchange) reply(now time.Time, a *answer) {
	e.proxy.config.Codec.Relay(&a.head)
	a.head.SetContentLength(len(a.body))
	if e.caller.closeAfterAnswer {
		a.head.SetConnectionClose()
	}
	out := a.head.AppendBytes(e.proxy.answerBuffer[:0])
	if !e.request.Header.IsHead() {
		out = append(out, a.body...)
	}
	e.proxy.answerBuffer = out
	e.caller.write(out)
	e.proxy.closeExchange(now, e)
}

// refuse ends the request without an answer of a backend server.
func (e *exchange) refuse(now time.Time, status int, retryAfter time.Duration) {
	e.cancelSend()
	if e.started {
		e.caller.close()
		e.proxy.closeExchange(now, e)
		return
	}
	a := &answer{}
	e.proxy.config.Codec.Refusal(&a.head, e.visit.ID(), status, retryAfter)
	e.reply(now, a)
}

// drop gives up a send that is under way.
func (e *exchange) cancelSend() {
	e.pool = nil
	if l := e.conn; l != nil {
		l.exchange, l.answer, e.conn = nil, nil, nil
		l.reset()
	}
}

// errSilent means that a backend server has sent nothing for too long.
var errBackendSilent = errors.New("backend server is silent")

// sweep gives up a send whose backend server has been silent for too long.
func (e *exchange) sweep(now time.Time) {
	limit := e.send.FirstByteTimeout()
	if e.started {
		limit = e.send.IdleTimeout()
	}
	if l := e.conn; l != nil && limit > 0 && now.Sub(e.lastByte) > limit {
		l.resetAndFail(errBackendSilent)
	}
}
