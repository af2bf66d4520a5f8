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
	c.setSending(true)
	account := c.server.config.Account
	overrun := account.Charge(c.address, int64(size))
	err := c.socket.AsyncWritev(message, func(socket gnet.Conn, err error) error {
		defer account.Release(c.address, int64(size))
		return c.written(socket, err, size, then)
	})
	if err != nil {
		account.Release(c.address, int64(size))
		c.setSending(false)
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
		c.setSending(false)
		return err
	}
	c.progress.Wrote(size)
	c.setSending(socket.OutboundBuffered() > 0)
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
	c.setSending(unsent > 0)
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

// setSending records whether bytes have been written that have not left the process.
func (c *conn) setSending(sending bool) {
	if c.sending.Swap(sending) == sending {
		return
	}
	if sending {
		c.server.unsent.Add(1)
		return
	}
	c.server.unsent.Add(-1)
}
