package httpserver

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

var (
	headerEnd = []byte("\r\n\r\n")
	lineEnd   = []byte("\r\n")
	// fasthttp forgets a length that stands beside chunked coding or another
	// length.
	lengthField = []byte("\ncontent-length")
)

// Proceed is the interim answer to a caller that waits before it sends a body.
var ContinueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, DefaultMaxHeader) }}

// Parsed is what the first bytes of a connection hold.
type Parsed struct {
	request         *fasthttp.Request
	consumed        int
	need            int
	expectsContinue bool
}

// Request returns the request, nil while bytes are missing.
func (p Parsed) Request() *fasthttp.Request { return p.request }

// Used returns the bytes that the request takes.
func (p Parsed) Consumed() int { return p.consumed }

// Need returns the bytes without which parsing again is of no use, zero if that
// is not known.
func (p Parsed) Need() int { return p.need }

// Expects reports whether the caller waits for Proceed.
func (p Parsed) ExpectsContinue() bool { return p.expectsContinue }

// Parse reads the request that buffered begins with. Its error is a *Refusal
// for a request that is malformed or larger than the limits, in bytes.
func Parse(buffered []byte, maxHeader, maxBody int) (Parsed, error) {
	end := bytes.Index(buffered, headerEnd)
	if end > maxHeader || end < 0 && len(buffered) > maxHeader {
		return Parsed{}, errHeaderTooLarge
	}
	if end < 0 {
		return Parsed{}, nil
	}
	end += len(headerEnd)
	request := &fasthttp.Request{}
	source := bytes.NewReader(buffered)
	reader := readers.Get().(*bufio.Reader)
	defer readers.Put(reader)
	reader.Reset(source)
	if err := request.Header.Read(reader); err != nil {
		return Parsed{}, errMalformed(err)
	}
	whole, err := bodyComplete(request, buffered, end, maxBody)
	if err != nil {
		return Parsed{}, err
	}
	if !whole {
		return Parsed{need: end + max(request.Header.ContentLength(), 0), expectsContinue: request.MayContinue()}, nil
	}
	if err := request.ContinueReadBody(reader, maxBody, false); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
			return Parsed{}, nil // what looked like the last chunk was data
		}
		return Parsed{}, bodyError(request, err)
	}
	return Parsed{request: request, consumed: len(buffered) - source.Len() - reader.Buffered()}, nil
}

// bodyIsWhole reports whether the body has arrived; end is where it begins.
func bodyComplete(request *fasthttp.Request, buffered []byte, end, maxBody int) (bool, error) {
	length := request.Header.ContentLength()
	chunked := length == chunkedLength
	lengths := bytes.Count(bytes.ToLower(buffered[:end]), lengthField)
	if lengths > 1 || chunked && lengths > 0 {
		return false, errAmbiguousLength
	}
	if length > maxBody || len(buffered)-end > 2*maxBody {
		return false, errBodyTooLarge
	}
	if !chunked {
		return length <= 0 || len(buffered) >= end+length, nil
	}
	return len(buffered) > end && bytes.HasSuffix(buffered, lineEnd) && lastChunkSeen(buffered[end:]), nil
}

// lastChunkSeen reports whether the buffered chunked body can be complete.
func lastChunkSeen(body []byte) bool {
	return bytes.HasPrefix(body, []byte("0\r\n")) || bytes.Contains(body, []byte("\r\n0\r\n"))
}
