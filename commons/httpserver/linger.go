package httpserver

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// closeWhenSent closes the connection once all bytes that were written have left the
// process: gnet's close drops those that the kernel does not take at once.
func (c *conn) closeWhenSent(socket gnet.Conn) error {
	c.closeSent.Store(true)
	if socket.OutboundBuffered() == 0 {
		return c.endSending(time.Now(), socket)
	}
	return nil
}

// endSending closes the connection, or only its own direction if the caller has not taken
// all that was written: bytes that arrive on a closed connection cause a reset, which can cost
// the caller the end of its answer. A connection that makes room for others is closed.
func (c *conn) endSending(now time.Time, socket gnet.Conn) error {
	c.ended = true
	if c.resets {
		if err := socket.SetLinger(-1); err != nil {
			return err
		}
	}
	if c.closing.Load() || Unacknowledged(socket.Fd()) == 0 {
		return socket.Close()
	}
	if c.lingerSince.Load() != 0 {
		return nil
	}
	c.releaseBodies()
	c.lingerSince.Store(now.UnixNano())
	c.waitingSince.Store(now.UnixNano())
	return unix.Shutdown(socket.Fd(), unix.SHUT_WR)
}

// resetIfClosed makes the kernel reset the connection when it is closed before all has been sent,
// also by the end of the process: that would complete an answer without chunks.
func (c *conn) resetIfClosed(socket gnet.Conn) error {
	c.resets = true
	return socket.SetLinger(0)
}

// finishClose closes a connection of which the own direction has ended, once the caller has
// taken all and sends no more, or has had the time that a request may take.
func (c *conn) finishClose(now time.Time, socket gnet.Conn) error {
	since := time.Unix(0, c.lingerSince.Load())
	quiet := now.Sub(since) > lingerTimeout && now.Sub(time.Unix(0, c.lastByte.Load())) > lingerTimeout
	if quiet && Unacknowledged(socket.Fd()) == 0 || now.Sub(since) > c.server.config.SlowSender+lingerTimeout {
		return socket.Close()
	}
	return nil
}
