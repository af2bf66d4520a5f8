package proxy

import (
	"bufio"
	"bytes"
	"mime"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/http1"
	"sesamewell.example/commons/httpmeta"
)

var (
	errHead        = errors.New("head of the answer malformed or too large")
	errBodyTooLong = errors.New("body of the answer too long to buffer")
	headEnd        = "\r\n\r\n"
)

// answer parses one answer of a backend server as it arrives.
type answer struct {
	reader    http1.ResponseReader
	head      fasthttp.ResponseHeader
	info      httpmeta.Answer
	headRead  bool
	length    int // length of the body in bytes, chunkedLength or unknownLength
	remaining int // bytes of a body of known length that have not arrived
	received  int // bytes of the body that have arrived, as they were sent
	chunks    http1.ChunkDecoder
	body      []byte     // buffered part of the body
	streaming bool       // the body is forwarded as it arrives
	guard     *copyGuard // of a body that ends with its connection, if that has carried other requests; else nil
}

// readHead parses the head at the start of buffered, which holds all bytes of the call before,
// and returns the number of bytes consumed, zero if the head is incomplete. It skips interim answers (1xx).
// headOnly must be true if the method of the request is HEAD: the answer then has
// no body.
func (a *answer) readHead(buffered []byte, headOnly bool, codec Codec) (int, error) {
	response, end, err := a.reader.Read(buffered)
	switch {
	case err != nil:
		return 0, errors.Mark(err, errHead)
	case end > maxHead+len(headEnd) || end == 0 && len(buffered) >= maxHead+len(headEnd):
		return 0, errHead
	case end == 0:
		return 0, nil
	}
	reader := bufio.NewReaderSize(bytes.NewReader(buffered[:end]), end)
	a.head.SetNoDefaultContentType(true)
	if err := a.head.Read(reader); err != nil {
		return 0, errors.Mark(err, errHead)
	}
	if reader.Buffered() > 0 || a.head.StatusCode() != response.Status() {
		return 0, errHead // the parser understands the bytes in another way
	}
	if response.Interim() {
		a.head.Reset()
		return end, nil
	}
	a.headRead, a.info = true, codec.DecodeAnswer(&a.head)
	a.length = int(response.Length(headOnly))
	a.remaining = max(a.length, 0)
	return end, nil
}

// readBody returns the next piece of the body and the number of bytes of buffered
// that it consumed.
func (a *answer) readBody(buffered []byte) (data []byte, used int, err error) {
	defer func() { a.received += used }()
	switch a.length {
	case chunkedLength:
		return a.chunks.Next(buffered)
	case unknownLength:
		return buffered, len(buffered), nil
	default:
		n := min(a.remaining, len(buffered))
		a.remaining -= n
		return buffered[:n], n, nil
	}
}

// complete reports whether the body has ended. It returns false for a body of
// unknown length, which ends with its connection.
func (a *answer) complete() bool {
	if !a.headRead {
		return false
	}
	if a.length == chunkedLength {
		return a.chunks.Done()
	}
	return a.length >= 0 && a.remaining == 0
}

// isEventStream reports whether the body consists of server-sent events.
func (a *answer) isEventStream() bool {
	mediaType, _, err := mime.ParseMediaType(string(a.head.ContentType()))
	return err == nil && mediaType == "text/event-stream"
}

// mayBeEventStream reports whether the body consists of server-sent events, as far as the
// backend server tells: it may name no type.
func (a *answer) mayBeEventStream() bool { return len(a.head.ContentType()) == 0 || a.isEventStream() }

// buffer appends a piece to the buffered body.
func (a *answer) buffer(data []byte) error {
	if len(a.body)+len(data) > maxBody {
		return errBodyTooLong
	}
	a.body = append(a.body, data...)
	return nil
}
