package httpserver

import (
	"bytes"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
)

// conn is responsible for one caller's connection: it holds at most one call
// at a time and leaves pipelined requests in the buffer until it has ended.
// Fields without a lock belong to the event loop.
type conn struct {
	server       *Server
	socket       gnet.Conn
	call         *Call
	need         int // bytes the buffered request needs before it is parsed again
	continueSent bool
	partial      atomic.Bool
	gone         atomic.Bool
	waitingSince atomic.Int64 // Unix nanoseconds; zero while a call is open
}

// advance parses the next request when the connection is free for it.
func (k *conn) processBuffered(now time.Time) gnet.Action {
	buffered, _ := k.socket.Peek(-1)
	limit := k.server.config.MaxHeader + k.server.config.MaxBody
	if k.call != nil {
		if len(buffered) > limit {
			return gnet.Close
		}
		return gnet.None
	}
	if blank := LeadingBlank(buffered); blank > 0 {
		_, _ = k.socket.Discard(blank)
		buffered = buffered[blank:]
	}
	if len(buffered) == 0 || len(buffered) < k.need {
		return gnet.None
	}
	if !k.partial.Swap(true) {
		k.waitingSince.Store(now.UnixNano())
	}
	parsed, err := Parse(buffered, k.server.config.MaxHeader, k.server.config.MaxBody)
	if err != nil {
		return k.refuse(err)
	}
	if parsed.Request() == nil {
		k.awaitMore(parsed)
		return gnet.None
	}
	_, _ = k.socket.Discard(parsed.Consumed())
	return k.deliver(now, parsed.Request())
}

// await notes how many bytes the request needs and asks a caller that waits for
// it to send the body.
func (k *conn) awaitMore(parsed Parsed) {
	k.need = parsed.Need()
	if parsed.ExpectsContinue() && !k.continueSent {
		k.continueSent = true
		_ = k.socket.AsyncWrite(ContinueResponse, nil)
	}
}

// deliver hands a complete request over, or refuses it when the inbox is full.
func (k *conn) deliver(now time.Time, request *fasthttp.Request) gnet.Action {
	k.need = 0
	k.continueSent = false
	k.partial.Store(false)
	k.waitingSince.Store(0)
	call := newCall(k, request, now)
	k.call = call
	if err := k.server.config.Inbox.Put(call); err != nil {
		call.Refuse(errOverloaded)
	}
	return gnet.None
}

// refuse answers a request that could not be parsed and closes the connection,
// since the start of the next request cannot be found.
func (k *conn) refuse(err error) gnet.Action {
	_, _ = k.socket.Write(refusalBytes(err))
	return gnet.Close
}

// expire closes a connection whose request or silence has lasted too long.
func (k *conn) expire(now time.Time) {
	since := k.waitingSince.Load()
	if since == 0 {
		return
	}
	age := now.Sub(time.Unix(0, since))
	if k.partial.Load() && age > k.server.config.SlowSender {
		k.waitingSince.Store(0)
		_ = k.socket.AsyncWrite(refusalBytes(ErrSlowSender), closeAfterWrite)
		return
	}
	if !k.partial.Load() && age > k.server.config.Idle {
		k.waitingSince.Store(0)
		_ = k.socket.Close()
	}
}

// release makes the connection free for its next request.
func (k *conn) release(link gnet.Conn) error {
	k.call = nil
	k.waitingSince.Store(time.Now().UnixNano())
	return link.Wake(nil)
}

func closeAfterWrite(link gnet.Conn, _ error) error { return link.Close() }

// LeadingBlank returns the number of bytes of empty lines before a request.
func LeadingBlank(buffered []byte) int {
	return len(buffered) - len(bytes.TrimLeft(buffered, "\r\n"))
}
