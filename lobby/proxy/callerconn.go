package proxy

import (
	"container/list"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"sesamewell.example/commons/httpserver"
)

// callerConn is a caller's connection, which carries one request at a time. It
// must be used on the event loop only.
type callerConn struct {
	proxy            *Proxy
	conn             gnet.Conn
	probe            bool // accepted at the probe address, so its requests are readiness probes
	exchange         *exchange
	reader           *httpserver.RequestReader // of the request that arrives, nil before its first byte
	continueSent     bool
	receiving        bool      // a request has arrived in part
	since            time.Time // end of the last request, or arrival of the first byte of the current one
	closeAfterAnswer bool
	flooded          bool      // too many bytes have arrived behind the open request
	closed           bool      // no further request is taken
	lingerSince      time.Time // time at which the connection ended in its own direction; zero before
	progress         httpserver.Progress
	unsent           int           // bytes written that have not left the process; charged to the customer
	customer         string        // customer of the last request
	waitingIn        *list.List    // list of connections without an open request in which it is; nil while it has one
	waiting          *list.Element // its element there
}

// readRequests parses and handles buffered requests until one is being processed
// or more bytes are needed.
func (c *callerConn) readRequests(now time.Time) {
	if c.closed {
		c.discard(now)
		return
	}
	if c.exchange != nil {
		c.limitPipelined()
		return
	}
	for !c.closed && c.exchange == nil {
		buffered, _ := c.conn.Peek(-1)
		if blank := httpserver.LeadingBlank(buffered); blank > 0 {
			_, _ = c.conn.Discard(blank)
			buffered = buffered[blank:]
		}
		if len(buffered) == 0 {
			return
		}
		if !c.receiving {
			c.receiving, c.since = true, now
			c.proxy.waiting.move(c, &c.proxy.waiting.receiving)
		}
		if c.reader == nil {
			c.reader = c.proxy.newRequestReader()
		}
		used, err := c.reader.Read(buffered)
		if err != nil {
			c.reject(httpserver.AsRefusal(err))
			return
		}
		if used > 0 {
			_, _ = c.conn.Discard(used)
		}
		if c.reader.Request() == nil {
			c.answerExpect()
			return
		}
		reader := c.reader
		c.reader, c.continueSent, c.receiving = nil, false, false
		c.closeAfterAnswer = c.closeAfterAnswer || reader.Request().Header.ConnectionClose()
		c.proxy.waiting.move(c, nil)
		c.receive(now, reader)
	}
}

// limitPipelined drops what arrives behind an open request, once it is more than the
// largest request may have. The connection is closed after the answer then.
func (c *callerConn) limitPipelined() {
	limits := c.proxy.limits.Load()
	if !c.flooded && c.conn.InboundBuffered() <= int(limits.MaxHeader()+limits.MaxBody()) {
		return
	}
	c.flooded, c.closeAfterAnswer = true, true
	_, _ = c.conn.Discard(-1)
}

// discard drops bytes that arrive after the last request.
func (c *callerConn) discard(now time.Time) {
	_, _ = c.conn.Discard(-1)
	if !c.lingerSince.IsZero() {
		c.lingerSince = now
	}
}

// answerExpect sends an interim answer to a caller that expects one before it sends the
// body.
func (c *callerConn) answerExpect() {
	if c.reader.ExpectsContinue() && !c.continueSent {
		c.continueSent = true
		c.write(httpserver.ContinueResponse)
	}
}

func (c *callerConn) receive(now time.Time, reader *httpserver.RequestReader) {
	if c.probe {
		reader.Release()
		c.answerProbe(now, reader.Request())
		return
	}
	c.proxy.openExchange(now, c, reader)
}

// answerProbe answers a readiness probe of the platform.
func (c *callerConn) answerProbe(now time.Time, request *fasthttp.Request) {
	status := fasthttp.StatusNotFound
	if string(request.URI().Path()) == c.proxy.config.ReadyPath {
		status = fasthttp.StatusServiceUnavailable
		if c.proxy.config.Readiness.Ready() {
			status = fasthttp.StatusOK
		}
	}
	var head fasthttp.ResponseHeader
	c.proxy.config.Codec.EncodeRefusal(&head, "", status, 0)
	head.SetContentLength(0)
	c.write(head.AppendBytes(nil))
	c.finish(now)
}

// reject answers a request that could not be parsed and closes the connection,
// since the start of the next request cannot be found.
func (c *callerConn) reject(refusal *httpserver.Refusal) {
	retryAfter := time.Duration(0)
	if refusal.Status() == fasthttp.StatusServiceUnavailable {
		retryAfter = overloadRetryAfter
		c.proxy.stats.noRoom.Inc()
	}
	c.refuseUnread(refusal.Status(), retryAfter)
}

// refuseUnread answers a request that has not been read to its end and closes the
// connection.
func (c *callerConn) refuseUnread(status int, retryAfter time.Duration) {
	c.releaseReader()
	c.write(c.proxy.refusalHead(status, retryAfter))
	c.close()
}

// releaseReader gives up a request that has arrived in part.
func (c *callerConn) releaseReader() {
	if c.reader != nil {
		c.reader.Release()
	}
	c.reader = nil
}

// finish ends the current request. It closes the connection if the answer was its
// last.
func (c *callerConn) finish(now time.Time) {
	c.exchange, c.since = nil, now
	switch {
	case c.closed:
	case c.closeAfterAnswer:
		c.close()
	default:
		c.proxy.waiting.move(c, &c.proxy.waiting.idle)
	}
}

// write sends bytes, now or as the caller takes them.
func (c *callerConn) write(out []byte) {
	if c.closed {
		return
	}
	if _, err := c.conn.Write(out); err != nil {
		return // the connection has been closed
	}
	c.wrote(len(out))
}

// writeWithBody sends a head and a body without a copy of what the kernel takes at once.
func (c *callerConn) writeWithBody(head, body []byte) {
	if c.closed {
		return
	}
	if _, err := c.conn.Writev([][]byte{head, body}); err != nil {
		return // the connection has been closed
	}
	c.wrote(len(head) + len(body))
}

// wrote accounts for bytes that were written.
func (c *callerConn) wrote(bytes int) {
	c.progress.Wrote(bytes)
	unsent := c.conn.OutboundBuffered()
	c.setUnsent(unsent)
	if unsent > maxUnsent {
		c.abort()
	}
}

// setUnsent records the number of bytes that have not left the process, and charges the
// customer for them.
func (c *callerConn) setUnsent(unsent int) {
	before := c.unsent
	c.unsent = unsent
	switch {
	case unsent > before:
		c.proxy.charge(c.customer, unsent-before)
	case unsent < before:
		c.proxy.config.Memory.Release(c.customer, int64(before-unsent))
	}
	switch {
	case before == 0 && unsent > 0:
		c.proxy.unsent.Add(1)
	case before > 0 && unsent == 0:
		c.proxy.unsent.Add(-1)
	}
}

// close takes no further request and closes the connection once all that was written has
// been sent. If bytes are left in either direction, that happens in the next sweeps.
func (c *callerConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.proxy.waiting.move(c, nil)
	if c.conn.OutboundBuffered() == 0 && c.conn.InboundBuffered() == 0 {
		_ = c.conn.Close()
	}
}

// abort closes the connection at once with a reset, so that nobody takes what has been
// sent for a whole answer.
func (c *callerConn) abort() {
	c.closed = true
	c.proxy.waiting.move(c, nil)
	if err := c.conn.SetLinger(0); err != nil {
		c.proxy.config.Log.WithField("event", "link_reset").WithError(err).Debug("connection not reset")
	}
	_ = c.conn.Close()
}

// sweep closes a connection whose caller takes no bytes, that has been idle for too long
// or whose request arrives too slowly, and goes on with a close that waits.
func (c *callerConn) sweep(now time.Time) {
	unsent := c.conn.OutboundBuffered()
	c.setUnsent(unsent)
	switch {
	case c.progress.Stalled(now, unsent, c.proxy.config.StallTimeout):
		c.abort()
	case c.closed:
		c.finishClose(now, unsent)
	case c.exchange == nil:
		c.sweepWaiting(now)
	}
}

// sweepWaiting closes a connection without an open request that has been idle for too long
// or whose request arrives too slowly.
func (c *callerConn) sweepWaiting(now time.Time) {
	limits, age := c.proxy.limits.Load(), now.Sub(c.since)
	switch {
	case c.receiving && age > limits.ReadTimeout():
		c.reject(httpserver.ErrSlowSender)
	case !c.receiving && (age > limits.IdleTimeout() || c.proxy.closesIdle(now)):
		c.close()
	}
}

// finishClose ends the connection in its own direction once all bytes have been sent, and
// waits for the caller's end: a close with bytes unread is a reset, which can cost the
// caller the end of its answer.
func (c *callerConn) finishClose(now time.Time, unsent int) {
	switch {
	case unsent > 0:
	case c.lingerSince.IsZero():
		c.lingerSince = now
		if err := unix.Shutdown(c.conn.Fd(), unix.SHUT_WR); err != nil {
			_ = c.conn.Close()
		}
	case now.Sub(c.lingerSince) > lingerTimeout || now.Sub(c.since) > c.proxy.limits.Load().ReadTimeout()+lingerTimeout:
		_ = c.conn.Close()
	}
}
