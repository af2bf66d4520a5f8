package proxy

import (
	"time"

	"golang.org/x/sys/unix"

	"sesamewell.example/commons/httpserver"
)

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
	c.setUnsent(httpserver.Unsent(c.conn))
	if unsent > maxUnsent {
		c.proxy.causes.Record(time.Now(), httpserver.NotReading, c.address)
		c.abort()
	}
}

// setUnsent records the number of bytes that are taken by what has not left the process.
func (c *callerConn) setUnsent(unsent int) {
	c.proxy.charge(c.unsent, int64(unsent))
	if c.unsent.Bytes() > 0 {
		c.proxy.sending[c] = struct{}{}
	} else {
		delete(c.proxy.sending, c)
	}
	c.proxy.unsent.Store(int64(len(c.proxy.sending)))
}

// releaseBuffers gives back for good what the connection's buffers were charged with.
func (c *callerConn) releaseBuffers() {
	c.unread.Release()
	c.unsent.Release()
	c.setUnsent(0)
}

// close takes no further request and closes the connection once the caller has taken all
// that was written. If bytes are left in either direction, that happens in the next sweeps.
func (c *callerConn) close(now time.Time) {
	if c.closed {
		return
	}
	c.halfClose()
	switch {
	case c.conn.OutboundBuffered() > 0:
	case c.buffer.Len() > 0 || httpserver.Unacknowledged(c.conn.Fd()) > 0:
		c.endSending(now)
	default:
		c.resetIfClosed(false)
		c.closeNow()
	}
}

// closeNow closes the connection, although the caller may not have taken all that was
// written.
func (c *callerConn) closeNow() {
	c.closed = true
	c.proxy.waiting.move(c, nil)
	_ = c.conn.Close()
}

// halfClose takes no further request and leaves the end of the connection to the next
// sweeps, since the caller may still send. It does nothing if the caller has gone.
func (c *callerConn) halfClose() {
	if c.closed {
		return
	}
	c.closed = true
	c.proxy.waiting.move(c, &c.proxy.waiting.closing)
}

// abort closes the connection at once with a reset, so that nobody takes what has been
// sent for a whole answer.
func (c *callerConn) abort() {
	c.releaseBuffers()
	c.closed = true
	c.proxy.waiting.move(c, nil)
	c.resetIfClosed(true)
	_ = c.conn.Close()
}

// resetIfClosed sets whether the kernel resets the connection when it is closed, also by the end
// of the process. It does while an answer is sent that its end would complete.
func (c *callerConn) resetIfClosed(reset bool) {
	if reset == c.resets {
		return
	}
	c.resets = reset
	seconds := -1
	if reset {
		seconds = 0
	}
	if err := c.conn.SetLinger(seconds); err != nil {
		c.proxy.config.Log.WithField("event", "link_reset").WithError(err).Debug("reset of a connection not set")
	}
}

// sweep closes a connection whose caller takes no bytes, that has been idle for too long
// or whose request arrives too slowly, and goes on with a close that waits.
func (c *callerConn) sweep(now time.Time) {
	unsent := c.conn.OutboundBuffered()
	c.setUnsent(httpserver.Unsent(c.conn))
	switch {
	case c.progress.Stalled(now, httpserver.Untaken(c.conn), c.proxy.config.StallTimeout):
		c.proxy.causes.Record(now, httpserver.NotReading, c.address)
		c.abort()
	case c.closed:
		c.finishClose(now, unsent)
	case c.exchange == nil && c.unread.Bytes() > 0 && !c.receiving:
		c.sweepPipelined(now, unsent)
	case c.exchange == nil:
		c.sweepWaiting(now)
	}
}

// sweepPipelined goes on with requests that arrived behind an answer, once it has been sent.
func (c *callerConn) sweepPipelined(now time.Time, unsent int) {
	if unsent > 0 {
		return
	}
	c.since = now
	c.proxy.waiting.move(c, &c.proxy.waiting.idle)
	c.readRequests(now)
}

// sweepWaiting closes a connection without an open request that has been idle for too long
// or whose request arrives too slowly.
func (c *callerConn) sweepWaiting(now time.Time) {
	limits, age := c.proxy.limits.Load(), now.Sub(c.since)
	switch {
	case c.receiving && c.arrival().Late(now, limits.ReadTimeout(), c.proxy.config.MinUpload):
		c.reject(now, httpserver.ErrSlowSender)
	case !c.receiving && (age > limits.IdleTimeout() || c.proxy.closesIdle(now, c.since)):
		c.close(now)
	}
}

// arrival returns how far the request that arrives has come.
func (c *callerConn) arrival() httpserver.Arrival {
	body := int64(0)
	if c.reader != nil {
		body = c.reader.Received()
	}
	return httpserver.NewArrival(c.since, c.lastByte, body)
}

// finishClose ends the connection in its own direction once all bytes have been sent, and
// waits for the caller's end, or until it has taken all: bytes that arrive on a closed
// connection cause a reset, which can cost the caller the end of its answer.
func (c *callerConn) finishClose(now time.Time, unsent int) {
	switch {
	case unsent > 0:
	case c.lingerSince.IsZero():
		c.endSending(now)
	case now.Sub(c.lingerSince) > lingerTimeout && httpserver.Unacknowledged(c.conn.Fd()) == 0, now.Sub(c.since) > c.proxy.limits.Load().ReadTimeout()+lingerTimeout:
		c.closeNow()
	}
}

// endSending ends the connection in its own direction.
func (c *callerConn) endSending(now time.Time) {
	c.lingerSince, c.since = now, now
	c.resetIfClosed(false)
	if err := unix.Shutdown(c.conn.Fd(), unix.SHUT_WR); err != nil {
		c.closeNow()
	}
}
