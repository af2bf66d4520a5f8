package proxy

import (
	"container/list"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

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
