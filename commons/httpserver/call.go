package httpserver

import (
	"bytes"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
)

// chunkedLength is the content length by which fasthttp marks chunked coding.
const chunkedLength = -1

// ErrGone means that the caller closed its connection or was too slow to read.
var ErrCallerGone = errors.New("caller is gone")

// Call is responsible for one request and the answer that its caller awaits.
// Exactly one of Reply, End and Abort ends it; calls to its methods must not
// overlap.
type Call struct {
	conn      *conn
	request   *fasthttp.Request
	arrived   time.Time
	keepAlive bool
	chunked   bool
	unsent    atomic.Int64 // bytes of answer not yet taken by the event loop or the peer
}

// Hangup reports that a call's caller has left.
type Disconnect struct {
	call *Call
}

// Call returns the call that was left.
func (h Disconnect) Call() *Call { return h.call }

func newCall(k *conn, request *fasthttp.Request, now time.Time) *Call {
	return &Call{
		conn:      k,
		request:   request,
		arrived:   now,
		keepAlive: !request.Header.ConnectionClose(),
		chunked:   request.Header.IsHTTP11(),
	}
}

// Request returns the parsed request, which belongs to the call's receiver.
func (c *Call) Request() *fasthttp.Request { return c.request }

// Arrived returns the time at which the request was complete.
func (c *Call) Arrived() time.Time { return c.arrived }

// Gone reports whether the caller has left.
func (c *Call) Gone() bool { return c.conn.gone.Load() }

// Reply sends a whole answer and ends the call.
func (c *Call) Reply(response *fasthttp.Response) {
	body := response.Body()
	response.Header.SetContentLength(len(body))
	if !c.keepAlive {
		response.Header.SetConnectionClose()
	}
	message := response.Header.AppendBytes(nil)
	if !c.request.Header.IsHead() {
		message = append(message, body...)
	}
	c.finish(message)
}

// Begin sends the header of an answer whose body follows in pieces.
func (c *Call) Begin(response *fasthttp.Response) error {
	if c.chunked {
		response.Header.SetContentLength(chunkedLength)
	} else {
		c.keepAlive = false
	}
	if !c.keepAlive {
		response.Header.SetConnectionClose()
	}
	return c.send(response.Header.AppendBytes(nil))
}

// Write sends one piece of the body. It returns ErrGone once the caller has
// left or does not read.
func (c *Call) Write(piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	if !c.chunked {
		return c.send(bytes.Clone(piece))
	}
	var message bytes.Buffer
	message.Grow(len(piece) + chunkOverhead)
	if _, err := httputil.NewChunkedWriter(&message).Write(piece); err != nil {
		return err
	}
	return c.send(message.Bytes())
}

// End completes an answer that was begun.
func (c *Call) End() {
	if !c.chunked {
		c.finish(nil)
		return
	}
	c.finish([]byte("0\r\n\r\n"))
}

// Abort closes the connection without the mark that ends an answer, so that a
// cut answer cannot be taken for a whole one.
func (c *Call) Abort() {
	c.conn.gone.Store(true)
	_ = c.conn.socket.Close()
}

// Refuse ends the call with the refusal that belongs to err.
func (c *Call) Refuse(err error) { c.Reply(refusalResponse(err)) }

func (c *Call) send(message []byte) error {
	if c.Gone() {
		return ErrCallerGone
	}
	if c.unsent.Add(int64(len(message))) > int64(c.conn.server.config.MaxUnsent) {
		c.Abort()
		return ErrCallerGone
	}
	return c.conn.socket.AsyncWrite(message, func(link gnet.Conn, _ error) error {
		c.unsent.Store(int64(link.OutboundBuffered()))
		return nil
	})
}

func (c *Call) finish(message []byte) {
	if c.Gone() {
		return
	}
	after := closeAfterWrite
	if c.keepAlive {
		after = func(link gnet.Conn, _ error) error { return c.conn.release(link) }
	}
	if err := c.conn.socket.AsyncWrite(message, after); err != nil {
		c.Abort()
	}
}

// chunkOverhead is the number of bytes that chunked coding adds to a piece.
const chunkOverhead = 16
