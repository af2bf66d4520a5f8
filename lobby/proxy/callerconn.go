package proxy

import (
	"container/list"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/memory"
)

// callerConn is a caller's connection, which carries one request at a time. It
// must be used on the event loop only.
type callerConn struct {
	busyTime

	proxy            *Proxy
	conn             gnet.Conn
	probe            bool // accepted at the probe address, so its requests are readiness probes
	exchange         *exchange
	reader           *httpserver.RequestReader // of the request that arrives, nil before its first byte
	continueSent     bool
	receiving        bool      // a request has arrived in part
	since            time.Time // end of the last request, arrival of the first byte of the current one, or start of the wait for the caller's end
	lastByte         time.Time // arrival of the last byte of the current request
	wire             int64     // bytes that have arrived since its first byte
	closeAfterAnswer bool
	resets           bool      // the kernel resets the connection when it is closed
	flooded          bool      // too many bytes have arrived behind the open request
	closed           bool      // no further request is taken
	lingerSince      time.Time // time at which the connection ended in its own direction; zero before
	progress         httpserver.Progress
	address          string            // IP of the caller
	unsent           *memory.Charge    // for bytes written that have not left the process
	buffer           httpserver.Unread // bytes that have arrived and are not read
	unread           *memory.Charge    // for the memory that they take
	waitingIn        *list.List        // list of connections without an open request in which it is; nil while it has one
	waiting          *list.Element     // its element there
}

// newCallerConn returns a connection that was accepted at a time.
func newCallerConn(now time.Time, p *Proxy, conn gnet.Conn, address string) *callerConn {
	return &callerConn{
		proxy: p, conn: conn, since: now, address: address, probe: conn.LocalAddr().String() == p.config.Probe,
		unsent: memory.NewCharge(p.config.Memory, address), unread: memory.NewCharge(p.config.Memory, address),
	}
}

// readRequests handles buffered requests and accounts for the bytes that stay buffered.
func (c *callerConn) readRequests(now time.Time) {
	c.wire += int64(c.buffer.Fill(c.conn))
	switch {
	case c.closed:
		c.discard(now)
	case c.takesRequests():
		c.parseRequests(now)
	}
	if !c.closed && (c.reader == nil || !c.takesRequests()) {
		c.limitPipelined(now)
	}
	c.buffer.Keep()
	c.proxy.charge(c.unread, int64(c.buffer.Held()))
}

// takesRequests reports whether the next request may be read. A caller that does not take
// its answers gets no further one.
func (c *callerConn) takesRequests() bool {
	return !c.closed && c.exchange == nil && c.conn.OutboundBuffered() == 0
}

// parseRequests parses and handles buffered requests until one is being processed, an
// answer is not taken at once or more bytes are needed. After a few that were answered at
// once it lets other connections have their turn.
func (c *callerConn) parseRequests(now time.Time) {
	for answered := 0; c.takesRequests(); answered++ {
		if answered == maxInTurn {
			_ = c.conn.Wake(nil) // fails on a connection that has been closed
			return
		}
		buffered := c.buffer.Bytes()
		if len(buffered) == 0 {
			return
		}
		if c.reader == nil {
			c.reader = c.newRequestReader()
		}
		c.lastByte = now // before the read, which may refuse a request that has paused
		used, err := c.reader.Read(buffered)
		c.arrivedAt(now, len(buffered)-used)
		if err != nil {
			c.reject(now, httpserver.AsRefusal(err))
			return
		}
		c.buffer.Discard(used)
		if c.reader.Request() == nil {
			c.awaitRest(now)
			return
		}
		reader := c.reader
		c.reader, c.continueSent, c.receiving = nil, false, false
		c.closeAfterAnswer = c.closeAfterAnswer || reader.Request().Header.ConnectionClose()
		c.proxy.waiting.move(c, nil)
		c.receive(now, reader)
	}
}

// newRequestReader returns a reader of a request within the limits in force.
func (c *callerConn) newRequestReader() *httpserver.RequestReader {
	limits := c.proxy.limits.Load()
	return httpserver.NewRequestReader(httpserver.RequestReaderConfig{
		MaxHeader: int(limits.MaxHeader()), MaxBody: int(limits.MaxBody()), Account: senders{proxy: c.proxy, conn: c},
	})
}

// arrivedAt records that bytes of a request have arrived, of which some are left unread. The
// first one begins the wait for the rest.
func (c *callerConn) arrivedAt(now time.Time, unread int) {
	if c.reader.Begun() && !c.receiving {
		c.receiving, c.since, c.wire = true, now, c.reader.Taken()+int64(unread)
		c.proxy.waiting.move(c, &c.proxy.waiting.receiving)
	}
}

// limitPipelined drops what arrives behind an open request or an unread answer, once it is
// more than the largest request may have, or than a head if the process holds as much as it
// may. The connection is closed after the answer then.
func (c *callerConn) limitPipelined(now time.Time) {
	limits := c.proxy.limits.Load()
	limit := limits.MaxHeader()
	if account := c.proxy.config.Memory; account.Total() <= account.Limit() {
		limit += limits.MaxBody()
	}
	if !c.flooded && c.buffer.Len() <= int(limit) {
		return
	}
	if !c.flooded {
		c.proxy.causes.Record(now, httpserver.Flood, c.address)
	}
	c.flooded, c.closeAfterAnswer = true, true
	c.buffer.Clear()
	if c.exchange == nil {
		c.close(now)
	}
}

// discard drops bytes that arrive after the last request.
func (c *callerConn) discard(now time.Time) {
	c.buffer.Clear()
	if !c.lingerSince.IsZero() {
		c.lingerSince = now
	}
}

// awaitRest waits for the rest of a request that has arrived in part, unless it would be
// refused anyway.
func (c *callerConn) awaitRest(now time.Time) {
	if c.receiving && !c.proxy.accepts(now) {
		c.refuseArriving(now)
		return
	}
	c.answerExpect()
}

// refuseArriving refuses a request that has arrived in part, since the process stops. The
// caller may still send: it closes the connection.
func (c *callerConn) refuseArriving(now time.Time) {
	c.proxy.causes.RecordFragment(now, httpserver.Stopping, c.address, c.fragment())
	c.releaseReader()
	c.write(c.proxy.refusalHead(fasthttp.StatusServiceUnavailable, overloadRetryAfter))
	c.halfClose()
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
func (c *callerConn) reject(now time.Time, refusal *httpserver.Refusal) {
	retryAfter := time.Duration(0)
	if refusal.Status() == fasthttp.StatusServiceUnavailable {
		retryAfter = overloadRetryAfter
		c.proxy.stats.noRoom.Inc()
	}
	c.proxy.causes.RecordFragment(now, httpserver.CauseOf(refusal), c.address, c.fragment())
	c.refuseUnread(now, refusal.Status(), retryAfter)
}

// refuseUnread answers a request that has not been read to its end and closes the
// connection.
func (c *callerConn) refuseUnread(now time.Time, status int, retryAfter time.Duration) {
	c.releaseReader()
	c.write(c.proxy.refusalHead(status, retryAfter))
	c.close(now)
}

// fragment returns the part of the request that has arrived.
func (c *callerConn) fragment() httpserver.Fragment {
	config := httpserver.FragmentConfig{Wire: c.wire, Reader: c.reader, Unread: c.buffer.Len()}
	if c.reader != nil && c.reader.Head() != nil {
		config.ID = c.proxy.config.Codec.RequestID(c.reader.Head())
	}
	return httpserver.NewFragment(config)
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
		c.close(now)
	default:
		c.proxy.waiting.move(c, &c.proxy.waiting.idle)
	}
}
