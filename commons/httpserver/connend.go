package httpserver

import (
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// ErrUnread reports a connection that has ended with bytes that were not read.
var ErrUnread = errors.New("connection ended before all its bytes were read")

// EndError returns nil if the peer has ended a connection in order and all of its bytes have
// been read, else the cause of the end. It is to be called in OnClose with the cause that gnet
// gives: gnet also reports io.EOF, without a read, for a connection that was reset or has timed
// out, if the poller tells only of an error.
func EndError(conn gnet.Conn, cause error) error {
	switch {
	case cause == nil:
		return errors.Wrap(net.ErrClosed, "connection ended by this process")
	case !errors.Is(cause, io.EOF):
		return errors.Wrap(cause, "connection ended")
	}
	var first [1]byte
	n, _, err := unix.Recvfrom(conn.Fd(), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err != nil:
		return errors.Wrap(err, "connection ended")
	case n > 0:
		return ErrUnread
	default:
		return nil
	}
}
