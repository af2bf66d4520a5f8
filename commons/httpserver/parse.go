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
	// lengthField is counted because fasthttp silently drops a Content-Length that
	// is combined with the chunked transfer coding or with another Content-Length.
	lengthField = []byte("\ncontent-length")
)

// ContinueResponse is the interim answer to a caller that sent Expect: 100-continue
// and waits before it sends the body.
var ContinueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, DefaultMaxHeader) }}

// Parsed is the result of parsing the bytes at the start of a connection's buffer.
type Parsed struct {
	request         *fasthttp.Request
	consumed        int
	need            int
	expectsContinue bool
}

// Request returns the request, or nil if it is incomplete.
func (p Parsed) Request() *fasthttp.Request { return p.request }

// Consumed returns the number of bytes that the request takes up.
func (p Parsed) Consumed() int { return p.consumed }

// Need returns the number of buffered bytes required before an incomplete request
// can be complete, zero if unknown.
func (p Parsed) Need() int { return p.need }

// ExpectsContinue reports whether the caller waits for ContinueResponse.
func (p Parsed) ExpectsContinue() bool { return p.expectsContinue }

// Parse parses the request at the start of buffered. The limits are in bytes. It
// returns a *Refusal as error if the request is malformed or exceeds a limit.
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
	complete, err := bodyComplete(request, buffered, end, maxBody)
	if err != nil {
		return Parsed{}, err
	}
	if !complete {
		return Parsed{need: end + max(request.Header.ContentLength(), 0), expectsContinue: request.MayContinue()}, nil
	}
	if err := request.ContinueReadBody(reader, maxBody, false); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
			return Parsed{}, nil // the apparent last chunk was data within a chunk
		}
		return Parsed{}, bodyError(request, err)
	}
	return Parsed{request: request, consumed: len(buffered) - source.Len() - reader.Buffered()}, nil
}

// bodyComplete reports whether the body, which starts at offset end of buffered, is
// complete.
func bodyComplete(request *fasthttp.Request, buffered []byte, end, maxBody int) (bool, error) {
	length := request.Header.ContentLength()
	chunked := length == chunkedLength
	lengthCount := bytes.Count(bytes.ToLower(buffered[:end]), lengthField)
	if lengthCount > 1 || chunked && lengthCount > 0 {
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

// lastChunkSeen reports whether the chunked body contains what may be its last
// chunk.
func lastChunkSeen(body []byte) bool {
	return bytes.HasPrefix(body, []byte("0\r\n")) || bytes.Contains(body, []byte("\r\n0\r\n"))
}
