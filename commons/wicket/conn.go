package wicket

import (
	"bufio"
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
)

var (
	headerEnd = []byte("\r\n\r\n")
	lineEnd   = []byte("\r\n")
	// fasthttp forgets a length that stands beside chunked coding.
	lengthField = []byte("\ncontent-length")
	proceed     = []byte("HTTP/1.1 100 Continue\r\n\r\n")
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, DefaultMaxHeader) }}

// conn is responsible for one caller's connection: it holds at most one call
// at a time and leaves pipelined requests in the buffer until it has ended.
// Fields without a lock belong to the event loop.
type conn struct {
	server       *Server
	link         gnet.Conn
	call         *Call
	need         int // bytes the buffered request needs before it is parsed again
	proceeded    bool
	partial      atomic.Bool
	gone         atomic.Bool
	waitingSince atomic.Int64 // Unix nanoseconds; zero while a call is open
}

// advance parses the next request when the connection is free for it.
func (k *conn) advance(now time.Time) gnet.Action {
	buffered, _ := k.link.Peek(-1)
	limit := k.server.config.MaxHeader + k.server.config.MaxBody
	if k.call != nil {
		if len(buffered) > limit {
			return gnet.Close
		}
		return gnet.None
	}
	if blank := leadingBlank(buffered); blank > 0 {
		_, _ = k.link.Discard(blank)
		buffered = buffered[blank:]
	}
	if len(buffered) == 0 || len(buffered) < k.need {
		return gnet.None
	}
	if !k.partial.Swap(true) {
		k.waitingSince.Store(now.UnixNano())
	}
	request, used, err := k.parse(buffered)
	if err != nil {
		return k.refuse(err)
	}
	if request == nil {
		return gnet.None
	}
	_, _ = k.link.Discard(used)
	return k.deliver(now, request)
}

// parse returns a complete request and its size in bytes, or nil when more
// bytes are needed.
func (k *conn) parse(buffered []byte) (*fasthttp.Request, int, error) {
	end := bytes.Index(buffered, headerEnd)
	if end < 0 {
		if len(buffered) > k.server.config.MaxHeader {
			return nil, 0, errHeaderTooLarge
		}
		return nil, 0, nil
	}
	if end > k.server.config.MaxHeader {
		return nil, 0, errHeaderTooLarge
	}
	end += len(headerEnd)
	request := &fasthttp.Request{}
	source := bytes.NewReader(buffered)
	reader := readers.Get().(*bufio.Reader)
	defer readers.Put(reader)
	reader.Reset(source)
	if err := request.Header.Read(reader); err != nil {
		return nil, 0, errMalformed(err)
	}
	if wait, err := k.awaitBody(request, buffered, end); wait || err != nil {
		return nil, 0, err
	}
	if err := request.ContinueReadBody(reader, k.server.config.MaxBody, false); err != nil {
		return nil, 0, bodyError(request, err)
	}
	return request, len(buffered) - source.Len() - reader.Buffered(), nil
}

// awaitBody reports whether the body is still incomplete, and asks a caller
// that waits for it to go on.
func (k *conn) awaitBody(request *fasthttp.Request, buffered []byte, end int) (bool, error) {
	length := request.Header.ContentLength()
	chunked := length == chunkedLength
	if chunked && bytes.Contains(bytes.ToLower(buffered[:end]), lengthField) {
		return false, errAmbiguousLength
	}
	if length > k.server.config.MaxBody || len(buffered)-end > 2*k.server.config.MaxBody {
		return false, errBodyTooLarge
	}
	complete := length <= 0 || len(buffered) >= end+length
	if chunked {
		complete = len(buffered) > end && bytes.HasSuffix(buffered, lineEnd)
	}
	if complete && !(chunked && !lastChunkSeen(buffered[end:])) {
		return false, nil
	}
	if length > 0 {
		k.need = end + length
	}
	if request.MayContinue() && !k.proceeded {
		k.proceeded = true
		_ = k.link.AsyncWrite(proceed, nil)
	}
	return true, nil
}

// deliver hands a complete request over, or refuses it when the inbox is full.
func (k *conn) deliver(now time.Time, request *fasthttp.Request) gnet.Action {
	k.need = 0
	k.proceeded = false
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
	_, _ = k.link.Write(refusalBytes(err))
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
		_ = k.link.AsyncWrite(refusalBytes(errSlowSender), closeAfterWrite)
		return
	}
	if !k.partial.Load() && age > k.server.config.Idle {
		k.waitingSince.Store(0)
		_ = k.link.Close()
	}
}

// release makes the connection free for its next request.
func (k *conn) release(link gnet.Conn) error {
	k.call = nil
	k.waitingSince.Store(time.Now().UnixNano())
	return link.Wake(nil)
}

func closeAfterWrite(link gnet.Conn, _ error) error { return link.Close() }

func leadingBlank(buffered []byte) int {
	return len(buffered) - len(bytes.TrimLeft(buffered, "\r\n"))
}

// lastChunkSeen reports whether the buffered chunked body can be complete.
func lastChunkSeen(body []byte) bool {
	return bytes.HasPrefix(body, []byte("0\r\n")) || bytes.Contains(body, []byte("\r\n0\r\n"))
}
