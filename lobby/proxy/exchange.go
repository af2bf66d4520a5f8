package proxy

import (
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/eventstream"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/memory"
	"sesamewell.example/lobby/scheduler"
)

var (
	lineEnd   = []byte("\r\n")
	lastChunk = []byte("0\r\n\r\n")
)

// exchange is a caller's request together with its answer. It must be used on the
// event loop only.
type exchange struct {
	number        uint64
	proxy         *Proxy
	caller        *callerConn
	reader        *httpserver.RequestReader // has charged the body
	request       *fasthttp.Request
	meta          *httpmeta.Request
	send          scheduler.Send
	pool          *pool // pool in which it waits for a connection
	conn          *backendConn
	sentOn        []*backendConn      // connections on which the request has been sent
	buffered      *memory.Charge      // for the bytes of the answer that are buffered
	heldError     *answer             // server error of the backend server, kept for ForwardError
	sentAt        time.Time           // time of the last send
	lastByte      time.Time           // time of the last byte in either direction
	lastProgress  time.Time           // time of the send, of the last event of a stream or of the last bytes of another answer
	lastEvent     time.Time           // time at which the last event was forwarded
	longestPause  time.Duration       // longest pause between two events
	started       bool                // a part of the answer has been forwarded
	startReported bool                // the start of the current send's stream has been reported to the scheduler
	scanner       eventstream.Scanner // used for streams only
	events        eventBuffer         // used for resumable streams only
	chunked       bool
	ended         bool
}

// forwardStream forwards a piece of a stream, of a resumable one only the complete
// events.
func (e *exchange) forwardStream(a *answer, data []byte) (err error) {
	if e.scanner.Scan(data) {
		e.lastProgress = e.lastByte
	}
	if e.send.Resumable() {
		data, err = e.events.add(data)
	}
	e.forward(a, data)
	return err
}

// forward sends a piece of a stream to the caller, preceded by the head if it is
// the first.
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

// appendHead appends the head of a stream. For an HTTP/1.0 caller the stream is not
// chunked and ends with the connection.
func (e *exchange) appendHead(out []byte, a *answer) []byte {
	e.proxy.config.Codec.RewriteAnswer(&a.head)
	e.chunked = e.request.Header.IsHTTP11()
	if !e.chunked {
		e.caller.closeAfterAnswer = true
		e.caller.resetIfClosed(true)
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

// finishStream ends a stream that has arrived completely.
func (e *exchange) finishStream(now time.Time, a *answer) {
	e.forward(a, e.events.unfinished())
	if !e.started { // a stream without an event
		e.finishBuffered(now, a)
		return
	}
	if e.chunked {
		e.caller.write(lastChunk)
	}
	e.proxy.notifyScheduler(scheduler.NewSendEnded(e.number, scheduler.Complete, a.head.StatusCode()).WithLongestPause(e.longestPause).WithEvents(e.scanner.Events()))
	e.proxy.closeExchange(now, e)
}

// finishBuffered reports the result of a complete buffered answer to the scheduler.
// It sends the answer to the caller only if the result is scheduler.Complete.
func (e *exchange) finishBuffered(now time.Time, a *answer) {
	status := a.head.StatusCode()
	report := func(result scheduler.Result) {
		e.proxy.notifyScheduler(scheduler.NewSendEnded(e.number, result, status))
	}
	switch {
	case a.info.Misdirected() && a.info.Backend() != "" && a.info.Backend() != e.send.Forwarding().Backend():
		report(scheduler.Replaced)
	case a.info.Misdirected():
		report(scheduler.ModelMissing)
	case a.info.NotRun():
		report(scheduler.Rejected)
	case e.started: // this backend server did not resume the stream
		report(scheduler.Truncated)
	case httpmeta.ImpliesNotRun(status): // but the backend server does not state it
		report(scheduler.Unconfirmed)
	case status >= fasthttp.StatusInternalServerError && e.send.KeepError():
		e.heldError = a
		report(scheduler.BackendError)
	default:
		report(scheduler.Complete)
		e.reply(now, a)
	}
}

// reply sends a buffered answer to the caller.
func (e *exchange) reply(now time.Time, a *answer) {
	e.proxy.config.Codec.RewriteAnswer(&a.head)
	a.head.SetContentLength(len(a.body))
	if e.caller.closeAfterAnswer {
		a.head.SetConnectionClose()
	}
	e.writeAnswer(a)
	e.proxy.closeExchange(now, e)
}

// writeAnswer writes the head and the body of an answer.
func (e *exchange) writeAnswer(a *answer) {
	body := a.body
	if e.request.Header.IsHead() {
		body = nil
	}
	out := a.head.AppendBytes(e.proxy.answerBuffer[:0])
	if len(body) >= largeBody {
		e.caller.writeWithBody(out, body)
		return
	}
	out = append(out, body...)
	e.proxy.answerBuffer = out
	e.caller.write(out)
}

// refuse ends the request with an error answer. If a part of another answer has
// been forwarded, it closes the caller's connection instead.
func (e *exchange) refuse(now time.Time, status int, retryAfter time.Duration) {
	e.cancelSend()
	if e.started {
		e.breakOff(now)
		e.proxy.closeExchange(now, e)
		return
	}
	a := &answer{}
	e.proxy.config.Codec.EncodeRefusal(&a.head, e.meta.ID(), status, retryAfter)
	e.reply(now, a)
}

// breakOff ends an answer of which a part has been forwarded, so that it does not look
// complete: without the last chunk, or with a reset if the end of the connection would
// complete it.
func (e *exchange) breakOff(now time.Time) {
	if e.chunked {
		e.caller.close(now)
		return
	}
	e.caller.abort()
}

// mayUse reports whether the request may be sent on a connection: it has not been sent there
// before. A late copy of an answer to the earlier send has the same request ID as the answer
// to the repeat.
func (e *exchange) mayUse(b *backendConn) bool { return !slices.Contains(e.sentOn, b) }

// late reports whether the request must not be sent any more.
func (e *exchange) late(now time.Time) bool {
	limit := e.send.SendBefore()
	return !limit.IsZero() && now.After(limit)
}

// deferSend ends a send of which no byte has left the process.
func (e *exchange) deferSend() {
	e.pool = nil
	e.proxy.notifyScheduler(scheduler.NewSendEnded(e.number, scheduler.Deferred, 0))
}

// cancelSend cancels the send in progress, if any.
func (e *exchange) cancelSend() {
	e.pool = nil
	if b := e.conn; b != nil {
		b.exchange, b.answer, e.conn = nil, nil, nil
		b.reset()
	}
}

// errBackendSilent reports that a backend server has sent no event of a stream, or
// no byte of another answer, within the timeout.
var errBackendSilent = errors.New("backend server made no progress within the timeout")

// sweep ends a send whose backend server has made no progress within the timeout.
// Comments, blank lines and answers to other requests are no progress.
func (e *exchange) sweep(now time.Time) {
	limit := e.send.FirstByteTimeout()
	if e.started {
		limit = e.send.IdleTimeout()
	}
	if b := e.conn; b != nil && limit > 0 && now.Sub(e.lastProgress) > limit {
		b.resetAndFail(errBackendSilent)
	}
}
