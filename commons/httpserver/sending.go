package httpserver

import (
	"time"

	"github.com/panjf2000/gnet/v2"
)

// write writes the parts of a message without a copy of them, and then calls a function on
// the event loop unless the connection is closed. The message is charged to the address
// until the event loop has it. It is safe to call from any thread.
func (c *conn) write(then func(socket gnet.Conn) error, message ...[]byte) error {
	size := 0
	for _, part := range message {
		size += len(part)
	}
	queued, overrun := c.outbox.put(size)
	err := c.socket.AsyncWritev(message, func(socket gnet.Conn, err error) error {
		defer queued.release() // once the rest of the message, if any, is accounted for
		return c.written(socket, err, size, then)
	})
	if err != nil {
		queued.release()
	}
	if overrun {
		c.server.shed(time.Now())
	}
	return err
}

// written accounts for a message that was written, and calls a function unless the
// connection is closed.
func (c *conn) written(socket gnet.Conn, err error, size int, then func(socket gnet.Conn) error) error {
	if err != nil || c.gone.Load() {
		c.outbox.setUnsent(false)
		return err
	}
	c.progress.Wrote(size)
	c.outbox.setUnsent(socket.OutboundBuffered() > 0)
	c.chargeBuffers()
	return then(socket)
}

// checkSent ends the wait for unsent bytes once they have left, or if the caller takes
// none of them.
func (c *conn) checkSent(now time.Time, socket gnet.Conn) error {
	if c.gone.Load() {
		return nil
	}
	unsent := socket.OutboundBuffered()
	c.outbox.setUnsent(unsent > 0)
	c.chargeBuffers()
	switch {
	case unsent == 0 && c.closeSent.Load():
		return c.endSending(now, socket)
	case c.progress.Stalled(now, Untaken(socket), c.server.config.Stall):
		c.server.causes.Record(now, NotReading, c.address)
		return c.resetNow(socket)
	case unsent == 0 && c.call == nil:
		c.waitingSince.Store(now.UnixNano())
		return socket.Wake(nil) // requests that arrived behind the answer
	}
	return nil
}
