package httpserver

import (
	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// Untaken returns the number of written bytes that the peer of a connection has not taken,
// zero if all have left the process. The kernel takes bytes by the megabyte, a slow peer
// takes them all the time: what has left the process does not tell it from a stalled one.
func Untaken(conn gnet.Conn) int {
	unsent := conn.OutboundBuffered()
	if unsent == 0 {
		return 0
	}
	return unsent + Unacknowledged(conn.Fd())
}

// Unsent returns the number of bytes of memory that the written bytes of a connection take
// which have not left the process.
func Unsent(conn gnet.Conn) int {
	unsent := conn.OutboundBuffered()
	if unsent == 0 {
		return 0
	}
	return unsent + writeBufferSize
}

// Unacknowledged returns the number of bytes of a connection that the kernel has taken but
// the peer has not acknowledged, zero if it cannot be read.
func Unacknowledged(fd int) int {
	bytes, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return bytes
}
