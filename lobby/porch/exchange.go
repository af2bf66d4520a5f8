package porch

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
	number  uint64
	porch   *Porch
	caller  *caller
	request *fasthttp.Request
	visit   *visit.Visit
	send    scheduler.Send
	pool    *pool // in which it waits for a connection
	link    *link
	kept    *answer       // an error of the backend server's own
	active  time.Time     // of the last byte in either direction
	passed  time.Time     // of the last event to the caller
	pause   time.Duration // longest one between two events
	begun   bool          // a part of the answer has gone to the caller
	told    bool          // the steward knows that the present send has brought an event
	events  events        // of a stream that may go on at another backend server
	chunked bool
	gone    bool
}

// relay passes a piece of a stream on, as far as its events are whole if it may
// go on at another backend server.
func (e *exchange) relay(a *answer, data []byte) (err error) {
	if e.send.Resumable() {
		data, err = e.events.take(data)
	}
	e.pass(a, data)
	return err
}

// pass gives the caller a piece of a stream, after the head if it is the first.
func (e *exchange) pass(a *answer, data []byte) {
	if len(data) == 0 {
		return
	}
	if !e.told {
		e.told = true
		e.porch.tell(scheduler.NewStreamStarted(e.number))
	}
	if e.begun {
		e.pause = max(e.pause, e.active.Sub(e.passed))
	}
	e.passed = e.active
	out := e.porch.piece[:0]
	if !e.begun {
		e.begun = true
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
	e.porch.piece = out
	e.caller.write(out)
}

// appendHead appends the head of a stream. A caller of HTTP/1.0 gets it without
// chunked coding, up to the end of the connection.
func (e *exchange) appendHead(out []byte, a *answer) []byte {
	e.porch.config.Codec.Relay(&a.head)
	e.chunked = e.request.Header.IsHTTP11()
	if !e.chunked {
		e.caller.last = true
	}
	a.head.SetContentLength(chunkedLength)
	if e.caller.last {
		a.head.SetConnectionClose()
	}
	if !e.chunked {
		a.head.Del(fasthttp.HeaderTransferEncoding)
	}
	return a.head.AppendBytes(out)
}

// finishRelay ends a stream that has arrived whole.
func (e *exchange) finishRelay(now time.Time, a *answer) {
	e.pass(a, e.events.rest())
	if !e.begun { // a stream without an event
		e.finishGathered(now, a)
		return
	}
	if e.chunked {
		e.caller.write(lastChunk)
	}
	e.porch.tell(scheduler.NewSendEnded(e.number, scheduler.Complete, a.head.StatusCode()).WithLongestPause(e.pause))
	e.porch.close(now, e)
}

// finishGathered decides by its kind where a whole answer goes.
func (e *exchange) finishGathered(now time.Time, a *answer) {
	status := a.head.StatusCode()
	switch {
	case a.about.Elsewhere() && a.about.Backend() != "" && a.about.Backend() != e.send.Sheet().Backend():
		e.porch.tell(scheduler.NewSendEnded(e.number, scheduler.Replaced, status))
	case a.about.Elsewhere():
		e.porch.tell(scheduler.NewSendEnded(e.number, scheduler.ModelMissing, status))
	case a.about.NotRun():
		e.porch.tell(scheduler.NewSendEnded(e.number, scheduler.Rejected, status))
	case e.begun: // it does not go on here
		e.porch.tell(scheduler.NewSendEnded(e.number, scheduler.Truncated, status))
	case status >= fasthttp.StatusInternalServerError && e.send.KeepError():
		e.kept = a
		e.porch.tell(scheduler.NewSendEnded(e.number, scheduler.BackendError, status))
	default:
		e.porch.tell(scheduler.NewSendEnded(e.number, scheduler.Complete, status))
		e.reply(now, a)
	}
}

// reply gives the caller a gathered answer.
func (e *exchange) reply(now time.Time, a *answer) {
	e.porch.config.Codec.Relay(&a.head)
	a.head.SetContentLength(len(a.body))
	if e.caller.last {
		a.head.SetConnectionClose()
	}
	out := a.head.AppendBytes(e.porch.piece[:0])
	if !e.request.Header.IsHead() {
		out = append(out, a.body...)
	}
	e.porch.piece = out
	e.caller.write(out)
	e.porch.close(now, e)
}

// refuse ends the request without an answer of a backend server.
func (e *exchange) refuse(now time.Time, status int, retryAfter time.Duration) {
	e.drop()
	if e.begun {
		e.caller.abort()
		e.porch.close(now, e)
		return
	}
	a := &answer{}
	e.porch.config.Codec.Refusal(&a.head, e.visit.ID(), status, retryAfter)
	e.reply(now, a)
}

// drop gives up a send that is under way.
func (e *exchange) drop() {
	e.pool = nil
	if l := e.link; l != nil {
		l.exchange, l.answer, e.link = nil, nil, nil
		l.reset()
	}
}

// errSilent means that a backend server has sent nothing for too long.
var errSilent = errors.New("backend server is silent")

// sweep gives up a send whose backend server has been silent for too long.
func (e *exchange) sweep(now time.Time) {
	limit := e.send.FirstByteTimeout()
	if e.begun {
		limit = e.send.IdleTimeout()
	}
	if l := e.link; l != nil && limit > 0 && now.Sub(e.active) > limit {
		l.forsake(errSilent)
	}
}
