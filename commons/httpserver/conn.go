package httpserver

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/memory"
)

// conn is one caller's connection. It has at most one open call; pipelined requests
// stay in the buffer until the call has ended. Only the event loop changes
// the fields that are not atomic.
type conn struct {
	server       *Server
	socket       gnet.Conn
	call         *Call
	reader       *RequestReader // of the request that arrives, nil before its first byte
	opened       *RequestReader // of the request of the open call, which is charged
	continueSent bool
	ended        bool   // nothing that arrives is read any more
	flooded      bool   // too many bytes have arrived behind the open call or an unread answer
	resets       bool   // the kernel resets the connection when it is closed
	address      string // IP of the caller
	unread       Unread
	buffers      *memory.Charge // for bytes that have arrived and are not read, and those that the event loop could not write
	held         atomic.Int64   // bytes of these buffers
	outbox       *outbox
	partial      atomic.Bool  // part of a request has been received
	gone         atomic.Bool  // the connection is closed or the call was aborted
	closing      atomic.Bool  // the connection is being closed to make room for others
	closeSent    atomic.Bool  // the connection is closed once they have left
	progress     Progress     // used on the event loop only
	lastByte     atomic.Int64 // arrival of the last byte of the request that arrives, in Unix nanoseconds
	lingerSince  atomic.Int64 // end of the connection in its own direction, in Unix nanoseconds; zero before
	waitingSince atomic.Int64 // start of the current wait in Unix nanoseconds; zero while a call is open
	wire         int64        // bytes that have arrived since the first byte of the request that arrives
	fragment     atomic.Pointer[Fragment]
}

func newConn(s *Server, socket gnet.Conn, address string) *conn {
	return &conn{
		server: s, socket: socket, address: address,
		buffers: memory.NewCharge(s.config.Account, address), outbox: newOutbox(&s.unsent, s.config.Account, address),
	}
}

// processBuffered parses the buffered data and delivers the next request, unless a call is
// open or an answer has not been taken: a caller that does not read gets no further answer.
func (c *conn) processBuffered(now time.Time) gnet.Action {
	c.wire += int64(c.unread.Fill(c.socket))
	defer c.chargeBuffers()
	defer c.unread.Keep()
	if c.ended || c.gone.Load() {
		c.lastByte.Store(now.UnixNano())
		c.unread.Clear()
		return gnet.None
	}
	if c.call != nil || c.socket.OutboundBuffered() > 0 {
		return c.limitPipelined(now)
	}
	buffered := c.unread.Bytes()
	if len(buffered) == 0 {
		return gnet.None
	}
	if c.reader == nil {
		c.reader = NewRequestReader(RequestReaderConfig{MaxHeader: c.server.config.MaxHeader, MaxBody: c.server.config.MaxBody, Account: c.server.config.Account})
	}
	used, err := c.reader.Read(buffered)
	c.arrivedAt(now, len(buffered)-used)
	if err != nil {
		return c.refuse(now, err)
	}
	c.unread.Discard(used)
	request := c.reader.Request()
	if request == nil {
		fragment := NewFragment(FragmentConfig{Wire: c.wire, Reader: c.reader, Unread: c.unread.Len()})
		c.fragment.Store(&fragment)
		if c.partial.Load() && c.server.draining.Load() {
			c.refuseUnread(now, errStopping, Stopping)
			return gnet.None
		}
		c.answerExpect()
		return gnet.None
	}
	c.opened, c.reader = c.reader, nil
	return c.deliver(now, request)
}

// arrivedAt records that bytes of a request have arrived, of which some are left unread. The
// first one begins the wait for the rest; the ticker reads the times once partial is set.
func (c *conn) arrivedAt(now time.Time, unread int) {
	if !c.reader.Begun() {
		return
	}
	c.lastByte.Store(now.UnixNano())
	if !c.partial.Load() {
		c.waitingSince.Store(now.UnixNano())
		c.wire = c.reader.Taken() + int64(unread)
		c.partial.Store(true)
	}
}

// limitPipelined drops what arrives behind an open call or an unread answer, once it is more
// than the largest request may have, or than a head if the process holds as much as it may.
// The connection is closed after the answer then.
func (c *conn) limitPipelined(now time.Time) gnet.Action {
	limit := c.server.config.MaxHeader
	if account := c.server.config.Account; account.Total() <= account.Limit() {
		limit += c.server.config.MaxBody
	}
	if !c.flooded && c.unread.Len() <= limit {
		return gnet.None
	}
	if !c.flooded {
		c.server.causes.Record(now, Flood, c.address)
	}
	c.flooded = true
	c.unread.Clear()
	if c.call == nil {
		c.ended = true
		c.closeSent.Store(true)
	}
	return gnet.None
}

// chargeBuffers charges the address with what the connection's buffers hold. If the
// process holds far too many bytes, the clients that hold most are closed.
func (c *conn) chargeBuffers() {
	if c.gone.Load() {
		return
	}
	if c.charge(int64(c.unread.Held()) + int64(Unsent(c.socket))) {
		c.server.shed(time.Now())
	}
}

// charge sets the number of bytes that the connection's buffers hold, unless it has ended. It
// reports whether the process holds far too many bytes.
func (c *conn) charge(bytes int64) (overrun bool) {
	overrun = c.buffers.Set(bytes)
	c.held.Store(c.buffers.Bytes())
	return overrun
}

// answerExpect sends an interim answer to a caller that expects one before it sends the
// body.
func (c *conn) answerExpect() {
	if c.reader.ExpectsContinue() && !c.continueSent {
		c.continueSent = true
		_ = c.socket.AsyncWrite(ContinueResponse, nil)
	}
}

// releaseBodies gives back what the connection's requests and buffers were charged with.
func (c *conn) releaseBodies() {
	for _, reader := range []*RequestReader{c.reader, c.opened} {
		if reader != nil {
			reader.Release()
		}
	}
	c.opened = nil
	c.charge(0)
}

// deliver puts a complete request into the inbox, or refuses it if the inbox is
// full.
func (c *conn) deliver(now time.Time, request *fasthttp.Request) gnet.Action {
	c.continueSent = false
	c.partial.Store(false)
	c.fragment.Store(nil)
	c.waitingSince.Store(0)
	call := newCall(c, request, now)
	c.call = call
	if err := c.server.config.Inbox.Put(call); err != nil {
		call.Refuse(errOverloaded)
	}
	return gnet.None
}

// refuse replies to a request that could not be parsed and closes the connection,
// since the start of the next request cannot be determined.
func (c *conn) refuse(now time.Time, err error) gnet.Action {
	c.ended = true
	c.reader.Release()
	c.waitingSince.Store(0)
	c.server.causes.Record(now, CauseOf(AsRefusal(err)), c.address)
	_, _ = c.socket.Write(refusalBytes(err))
	return gnet.Close
}

// onLoop calls a function on the connection's event loop unless the connection is closed. It
// is safe to call from any thread.
func (c *conn) onLoop(do func(socket gnet.Conn) error) {
	_ = c.socket.AsyncWrite(nil, func(socket gnet.Conn, err error) error { // fails on a connection that has been closed
		if err != nil || c.gone.Load() {
			return err
		}
		return do(socket)
	})
}

// arrived returns the part of the request that has arrived. It is safe to call from any
// thread.
func (c *conn) arrived() Fragment {
	if fragment := c.fragment.Load(); fragment != nil {
		return *fragment
	}
	return Fragment{}
}

// refuseUnread answers a request that has not been read to its end and closes the
// connection. What arrives afterwards is not read: the request is not run.
func (c *conn) refuseUnread(now time.Time, refusal *Refusal, cause Cause) {
	c.ended = true
	c.server.causes.RecordFragment(now, cause, c.address, c.arrived())
	_ = c.write(c.closeWhenSent, refusalBytes(refusal)) // before the request arrives no more: a stop waits for either
	c.partial.Store(false)
	c.waitingSince.Store(0)
}

// arriving reports whether a request has arrived in part and has not been refused. It is
// safe to call from any thread.
func (c *conn) arriving() bool {
	return c.partial.Load() && c.waitingSince.Load() != 0 && !c.gone.Load()
}

// refuseArriving refuses a request that has arrived in part, unless it has arrived whole
// meanwhile. It is safe to call from any thread.
func (c *conn) refuseArriving(now time.Time, refusal *Refusal, cause Cause) {
	c.onLoop(func(gnet.Conn) error {
		if c.arriving() {
			c.refuseUnread(now, refusal, cause)
		}
		return nil
	})
}

// reset closes the connection at once, so that nobody takes what has been sent for a whole
// answer. It is safe to call from any thread.
func (c *conn) reset() {
	c.gone.Store(true)
	_ = c.socket.AsyncWrite(nil, func(socket gnet.Conn, err error) error {
		if err != nil {
			return err // the connection has been closed
		}
		return c.resetNow(socket)
	})
}

// resetNow does the same as reset, on the event loop.
func (c *conn) resetNow(socket gnet.Conn) error {
	c.gone.Store(true)
	return errors.CombineErrors(socket.SetLinger(0), socket.Close())
}

// release makes the connection available for its next request.
func (c *conn) release(socket gnet.Conn) error {
	c.call = nil
	c.opened.Release()
	c.opened = nil
	c.waitingSince.Store(time.Now().UnixNano())
	return socket.Wake(nil)
}
