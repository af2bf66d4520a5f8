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
	minBuffered      int // number of buffered bytes needed before the next attempt to parse
	continueSent     bool
	receiving        bool      // a request has arrived in part
	since            time.Time // end of the last request, or arrival of the first byte of the current one
	closeAfterAnswer bool
	closed           bool
	waitingIn        *list.List    // list of connections without an open request in which it is; nil while it has one
	waiting          *list.Element // its element there
}

// readRequests parses and handles buffered requests until one is being processed
// or more bytes are needed.
func (c *callerConn) readRequests(now time.Time) {
	for !c.closed && c.exchange == nil {
		buffered, _ := c.conn.Peek(-1)
		if blank := httpserver.LeadingBlank(buffered); blank > 0 {
			_, _ = c.conn.Discard(blank)
			buffered = buffered[blank:]
		}
		if len(buffered) == 0 || len(buffered) < c.minBuffered {
			return
		}
		if !c.receiving {
			c.receiving, c.since = true, now
			c.proxy.waiting.move(c, &c.proxy.waiting.receiving)
		}
		limits := c.proxy.limits.Load()
		parsed, err := httpserver.Parse(buffered, int(limits.MaxHeader()), int(limits.MaxBody()))
		if err != nil {
			c.reject(httpserver.AsRefusal(err))
			return
		}
		if parsed.Request() == nil {
			c.awaitRest(parsed)
			return
		}
		_, _ = c.conn.Discard(parsed.Consumed())
		c.minBuffered, c.continueSent, c.receiving = 0, false, false
		c.closeAfterAnswer = c.closeAfterAnswer || parsed.Request().Header.ConnectionClose()
		c.proxy.waiting.move(c, nil)
		c.receive(now, parsed.Request())
	}
}

func (c *callerConn) awaitRest(parsed httpserver.Parsed) {
	c.minBuffered = parsed.Need()
	if parsed.ExpectsContinue() && !c.continueSent {
		c.continueSent = true
		c.write(httpserver.ContinueResponse)
	}
}

func (c *callerConn) receive(now time.Time, request *fasthttp.Request) {
	if c.probe {
		c.answerProbe(now, request)
		return
	}
	c.proxy.openExchange(now, c, request)
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
func (c *callerConn) reject(refusal *httpserver.Refusal) { c.refuseUnread(refusal.Status(), 0) }

// refuseUnread answers a request that has not been read to its end and closes the
// connection.
func (c *callerConn) refuseUnread(status int, retryAfter time.Duration) {
	c.write(c.proxy.refusalHead(status, retryAfter))
	c.close()
}

// finish ends the current request. It closes the connection if the answer was its
// last.
func (c *callerConn) finish(now time.Time) {
	c.exchange, c.since = nil, now
	if c.closeAfterAnswer {
		c.close()
		return
	}
	c.proxy.waiting.move(c, &c.proxy.waiting.idle)
}

// write sends bytes. It closes the connection of a caller that does not read fast
// enough.
func (c *callerConn) write(out []byte) {
	if c.closed {
		return
	}
	if _, err := c.conn.Write(out); err != nil || c.conn.OutboundBuffered() > maxUnsent {
		c.close()
	}
}

// close closes the connection after the bytes written so far have been sent.
func (c *callerConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.proxy.waiting.move(c, nil)
	_ = c.conn.Close()
}

// sweep closes a connection that has been idle for too long or sends its request
// too slowly.
func (c *callerConn) sweep(now time.Time) {
	if c.exchange != nil || c.closed {
		return
	}
	limits, age := c.proxy.limits.Load(), now.Sub(c.since)
	switch {
	case c.receiving && age > limits.ReadTimeout():
		c.reject(httpserver.ErrSlowSender)
	case !c.receiving && (age > limits.IdleTimeout() || c.proxy.closesIdle(now)):
		c.close()
	}
}
