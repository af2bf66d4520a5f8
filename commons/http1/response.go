// Package http1 holds the grammar of HTTP/1.1 messages (RFC 9112) as far as the parser of
// package fasthttp is more lenient: the heads of responses, and bodies in chunked coding. A
// message that has two meanings is none.
package http1

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ErrMalformed is the mark of all errors of this package: the bytes are no message.
var ErrMalformed = errors.New("malformed HTTP message")

func malformed(what string) error { return errors.Mark(errors.New(what), ErrMalformed) }

const (
	versionPrefix  = "HTTP/1."
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599 // RFC 9110, section 15
	switching      = 101
	noContent      = 204
	notModified    = 304
	maxLengthSize  = 18 // digits of a Content-Length that fits an int64
)

// Length is the way in which the end of a response's body is found (RFC 9112, section 6.3),
// or its number of bytes if that is not negative.
type Length int64

// Lengths other than a number of bytes.
const (
	Chunked  Length = -1 // chunked coding
	UntilEnd Length = -2 // the body ends with its connection
)

// Response is what the head of a response says of the message itself.
type Response struct {
	status int
	length Length
}

// Status returns the status code.
func (r Response) Status() int { return r.status }

// Interim reports whether another response to the same request follows.
func (r Response) Interim() bool { return r.status < minFinalStatus }

// Length returns the length of the body. headOnly must be true if the method of the request
// is HEAD.
func (r Response) Length(headOnly bool) Length {
	if headOnly || r.Interim() || r.status == noContent || r.status == notModified {
		return 0
	}
	return r.length
}

// ReadResponse reads the head at the start of buffered as a ResponseReader does. It is for a
// head that is read once: to read on in one, which arrives in pieces, costs less.
func ReadResponse(buffered []byte) (Response, int, error) {
	var reader ResponseReader
	return reader.Read(buffered)
}

// ResponseReader reads heads as their bytes arrive, each byte once however they are split. The
// zero value is at the start of a head, and so is a reader that has read a whole one.
type ResponseReader struct {
	head    head
	line    int // offset of the line that is being read
	checked int // offset of the first byte that has not been looked at
}

// Read reads on in the head at the start of buffered, which holds all bytes of the call before
// and may hold more. It returns the number of bytes that the head takes with its blank line and
// with empty lines before it, zero if it has not arrived whole. It returns an ErrMalformed as
// soon as the bytes cannot become a head (RFC 9112, sections 4 to 6, and RFC 9110, section 5):
// also for line ends without CR, white space before a colon, folded lines, and lengths that
// contradict each other, which the standard allows a recipient to repair.
func (r *ResponseReader) Read(buffered []byte) (Response, int, error) {
	for {
		n := bytes.IndexByte(buffered[r.checked:], '\n')
		if n < 0 {
			return Response{}, 0, r.checkPart(buffered)
		}
		end := r.checked + n
		line, terminated := bytes.CutSuffix(buffered[r.line:end], []byte{'\r'})
		if !terminated {
			return Response{}, 0, malformed("line of the head ends without CR")
		}
		r.line, r.checked = end+1, end+1
		if len(line) == 0 {
			if !r.head.begun {
				continue
			}
			response, err := r.head.response()
			*r = ResponseReader{}
			return response, end + 1, err
		}
		if err := r.head.add(line); err != nil {
			return Response{}, 0, err
		}
	}
}

// checkPart checks the beginning of a line that has not arrived whole. The CR at its end, if
// any, is checked with the byte behind it.
func (r *ResponseReader) checkPart(buffered []byte) error {
	line, _ := bytes.CutSuffix(buffered[r.line:], []byte{'\r'})
	if !r.head.begun && !bytes.HasPrefix(line, []byte(versionPrefix)[:min(len(line), len(versionPrefix))]) {
		return malformed("no status line")
	}
	part := line[min(r.checked-r.line, len(line)):]
	r.checked = r.line + len(line)
	return checkText(part)
}

// head is the part of a response's head that has been read.
type head struct {
	begun     bool // the status line has been read
	http10    bool
	status    int
	lengths   int // number of Content-Length fields
	length    Length
	encodings int // number of Transfer-Encoding fields
}

// add reads a line.
func (h *head) add(line []byte) error {
	if !h.begun {
		h.begun = true
		return h.readStatusLine(line)
	}
	name, value, err := ParseField(line)
	if err != nil {
		return err
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.lengths++
		return h.readLength(value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.encodings++
		if !bytes.EqualFold(value, []byte("chunked")) {
			return malformed("transfer coding that is not understood")
		}
	}
	return nil
}

// readStatusLine reads "HTTP/1.1 200 OK" (RFC 9112, section 4). The reason may be empty.
func (h *head) readStatusLine(line []byte) error {
	const codeAt, codeEnd = len(versionPrefix) + 2, len(versionPrefix) + 5
	if len(line) <= codeEnd || !bytes.HasPrefix(line, []byte(versionPrefix)) || line[codeAt-1] != ' ' || line[codeEnd] != ' ' {
		return malformed("no status line")
	}
	minor := line[len(versionPrefix)]
	for _, c := range append([]byte{minor}, line[codeAt:codeEnd]...) {
		if c < '0' || c > '9' {
			return malformed("no status line")
		}
	}
	h.http10 = minor == '0'
	h.status, _ = strconv.Atoi(string(line[codeAt:codeEnd]))
	if h.status < minStatus || h.status > maxStatus || h.status == switching {
		return malformed("status code that is none, or was not asked for")
	}
	return checkText(line)
}

func (h *head) readLength(value []byte) error {
	if len(value) == 0 || len(value) > maxLengthSize {
		return malformed("Content-Length that is no number")
	}
	for _, c := range value {
		if c < '0' || c > '9' {
			return malformed("Content-Length that is no number")
		}
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	h.length = Length(n)
	return err
}

// response returns the response once all lines have been read.
func (h *head) response() (Response, error) {
	bodiless := h.status < minFinalStatus || h.status == noContent
	switch {
	case h.lengths > 1, h.encodings > 1, h.lengths > 0 && h.encodings > 0:
		return Response{}, malformed("several lengths")
	case h.encodings > 0 && (h.http10 || bodiless), h.length > 0 && bodiless:
		return Response{}, malformed("length of a body that there cannot be")
	}
	r := Response{status: h.status, length: UntilEnd}
	switch {
	case h.encodings > 0:
		r.length = Chunked
	case h.lengths > 0:
		r.length = h.length
	}
	return r, nil
}
