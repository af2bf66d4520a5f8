package httpclient

import (
	"bytes"
	"net"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/http1"
)

// maxHead is the maximum size of the head of a response in bytes.
const maxHead = 64 << 10

// errHeadTooLarge is the error of a read on whose connection the head of a response does not
// end.
var errHeadTooLarge = errors.New("head of the response too large")

// checkedConn fails reads of bytes that are no response by the grammar of package http1. The
// parser of package fasthttp takes some of them for one, with another status or another body.
// It must not be used concurrently.
type checkedConn struct {
	net.Conn

	headOnly bool // the method of the request is HEAD
	begun    bool // a request has been written whose response has not ended
	headRead bool
	ended    bool // the response has ended
	head     http1.ResponseReader
	length   http1.Length
	chunks   http1.ChunkDecoder
	rest     []byte // bytes that are no whole head or line yet
}

// Check returns a connection whose reads return an http1.ErrMalformed for bytes that are no
// response. Each request must be written to it from the start of a call of Write on.
func Check(conn net.Conn) net.Conn { return &checkedConn{Conn: conn} }

// Write writes a piece of a request.
func (c *checkedConn) Write(piece []byte) (int, error) {
	if !c.begun || c.ended {
		*c = checkedConn{Conn: c.Conn, begun: true, headOnly: bytes.HasPrefix(piece, []byte("HEAD "))}
	}
	return c.Conn.Write(piece)
}

// Read reads a piece of a response.
func (c *checkedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if malformed := c.check(into[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

func (c *checkedConn) check(piece []byte) error {
	held := len(c.rest) > 0
	rest := piece
	if held {
		c.rest = append(c.rest, piece...)
		rest = c.rest
	}
	for len(rest) > 0 {
		used, err := c.next(rest)
		if err != nil {
			return err
		}
		if used == 0 {
			break
		}
		rest = rest[used:]
	}
	if !held {
		rest = bytes.Clone(rest) // the reader's buffer is used again
	}
	c.rest = rest
	return nil
}

// next checks a head or a piece of a body and returns the number of its bytes, zero if it has
// not arrived whole. What follows a response is left to the reader.
func (c *checkedConn) next(rest []byte) (int, error) {
	switch {
	case c.ended:
		return len(rest), nil
	case !c.headRead:
		return c.readHead(rest)
	case c.length == http1.UntilEnd:
		return len(rest), nil
	case c.length == http1.Chunked:
		_, used, err := c.chunks.Next(rest)
		c.ended = c.chunks.Done()
		return used, err
	default:
		n := min(int64(c.length), int64(len(rest)))
		c.length -= http1.Length(n)
		c.ended = c.length == 0
		return int(n), nil
	}
}

func (c *checkedConn) readHead(rest []byte) (int, error) {
	response, used, err := c.head.Read(rest)
	switch {
	case err != nil:
		return 0, err
	case used == 0 && len(rest) > maxHead:
		return 0, errHeadTooLarge
	case used > 0 && !response.Interim():
		c.headRead, c.length = true, response.Length(c.headOnly)
		c.ended = c.length == 0
	}
	return used, nil
}
