package proxy

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/visit"
)

var (
	errHead        = errors.New("head of the answer is malformed or too large")
	errBodyTooLong = errors.New("answer is too long to be gathered")
	headEnd        = []byte("\r\n\r\n")
)

// answer is responsible for one answer of a backend server as it arrives.
type answer struct {
	head      fasthttp.ResponseHeader
	info      visit.Answer
	headRead  bool // the head has been read
	length    int  // of the body, chunkedLength or unknownLength
	remaining int  // bytes of a body of known length
	chunks    chunkDecoder
	body      []byte // as far as it is gathered
}

// readHead takes the head out of buffered and returns the bytes that it took,
// zero while bytes are missing. The answer to a HEAD request has no body.
func (a *answer) readHead(buffered []byte, headOnly bool, codec Codec) (int, error) {
	end := bytes.Index(buffered, headEnd)
	if end < 0 {
		if len(buffered) > maxHead {
			return 0, errHead
		}
		return 0, nil
	}
	end += len(headEnd)
	if err := a.head.Read(bufio.NewReaderSize(bytes.NewReader(buffered[:end]), end)); err != nil {
		return 0, errors.Mark(err, errHead)
	}
	if a.head.StatusCode() < fasthttp.StatusOK {
		a.head.Reset()
		return end, nil
	}
	a.headRead, a.info = true, codec.Answer(&a.head)
	a.length = a.head.ContentLength()
	if headOnly || a.head.StatusCode() == fasthttp.StatusNoContent || a.head.StatusCode() == fasthttp.StatusNotModified {
		a.length = 0
	}
	a.remaining = max(a.length, 0)
	return end, nil
}

// readBody takes the next piece of the body out of buffered.
func (a *answer) readBody(buffered []byte) (data []byte, used int, err error) {
	switch a.length {
	case chunkedLength:
		return a.chunks.next(buffered)
	case unknownLength:
		return buffered, len(buffered), nil
	default:
		n := min(a.remaining, len(buffered))
		a.remaining -= n
		return buffered[:n], n, nil
	}
}

// whole reports whether the body has ended. One of unknown length ends with its
// connection.
func (a *answer) complete() bool {
	if !a.headRead {
		return false
	}
	if a.length == chunkedLength {
		return a.chunks.done
	}
	return a.length >= 0 && a.remaining == 0
}

// gather keeps a piece of the body.
func (a *answer) buffer(data []byte) error {
	if len(a.body)+len(data) > maxBody {
		return errBodyTooLong
	}
	a.body = append(a.body, data...)
	return nil
}
