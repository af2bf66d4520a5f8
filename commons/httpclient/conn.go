package httpclient

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errUnusable is returned by a write before the first byte of a request was sent.
var errUnusable = errors.New("connection has ended, or bytes have arrived that belong to no request")

// keptConn is a connection that sends no request while bytes wait on it: they would be taken
// for the response. It must not be used concurrently.
type keptConn struct {
	net.Conn

	raw  syscall.RawConn
	read bool // a response has been read since the last write
}

// keep returns a connection that may be used for several requests.
func keep(conn net.Conn) (net.Conn, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return conn, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	return &keptConn{Conn: conn, raw: raw}, nil
}

// Read reads a piece of a response.
func (c *keptConn) Read(into []byte) (int, error) {
	c.read = true
	return c.Conn.Read(into)
}

// Write writes a piece of a request.
func (c *keptConn) Write(piece []byte) (int, error) {
	if c.read && !c.quiet() {
		return 0, errUnusable
	}
	c.read = false
	return c.Conn.Write(piece)
}

// quiet reports whether neither bytes nor the end of the connection wait to be read.
func (c *keptConn) quiet() bool {
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var first [1]byte
		_, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}
