package httpserver

import (
	"bufio"
	"bytes"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/http1"
	"sesamewell.example/commons/memory"
)

var (
	headerEnd = []byte("\r\n\r\n")
	// lengthField is counted because fasthttp silently drops a Content-Length that
	// is combined with the chunked transfer coding or with another Content-Length.
	lengthField = []byte("\ncontent-length")
	// codingField is counted because fasthttp skips the coding "identity", with which the end
	// of a body cannot be told (RFC 9112, section 6.3).
	codingField = []byte("\ntransfer-encoding")
)

const (
	bodyCopies   = 2       // times that a body is held while its request is open: as received, and as sent on
	minBodyBytes = 4 << 10 // first size of the buffer of a body of unknown length
	headCopies   = 2       // times that a head is held while its request is open
	// headerLineBytes is what a parsed header line takes beside its text: two slices with
	// allocations of their own. A head of the largest size can have some thousand lines.
	headerLineBytes = 96
)

// errHeadEnd is the cause of a refusal of a head that ends, for the parser, at a blank line
// that is not headerEnd: the bytes between would belong to no message.
var errHeadEnd = errors.New("blank line without CR LF in the head")

// ContinueResponse is the interim answer to a caller that sent Expect: 100-continue
// and waits before it sends the body.
var ContinueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, DefaultMaxHeader) }}

// Account accounts for the bytes of bodies by customer.
type Account interface {
	// Admit charges a customer with bytes if there is room for them, and reports
	// whether there is.
	Admit(customer string, bytes int64) bool
	// Release gives back bytes that a customer was charged with.
	Release(customer string, bytes int64)
}

// RequestReaderConfig holds the construction parameters of a RequestReader.
type RequestReaderConfig struct {
	MaxHeader int     // maximum size of the request line and header fields in bytes
	MaxBody   int     // maximum size of the body in bytes
	Account   Account // nil for none
}

// RequestReader reads one request as its bytes arrive. Its head and its body are charged to
// the account, the body before it is held, and copied once. How the bytes are split makes no difference.
type RequestReader struct {
	config   RequestReaderConfig
	request  *fasthttp.Request // nil until the head has been read
	customer string            // value of the Authorization header
	length   int               // length of the body, chunkedLength if it is in chunks
	body     []byte
	chunks   http1.ChunkDecoder
	searched int  // bytes of the head that have arrived and do not hold its end
	begun    bool // a byte other than a line end has arrived
	done     bool
	reserved *memory.Reservation // of the customer, nil before the head has been read
	taken    int64               // bytes of the request that have been read
}

// NewRequestReader returns a reader of one request.
func NewRequestReader(config RequestReaderConfig) *RequestReader {
	return &RequestReader{config: config}
}

// Request returns the request, nil if it has not arrived whole.
func (r *RequestReader) Request() *fasthttp.Request {
	if !r.done {
		return nil
	}
	return r.request
}

// Head returns the head of the request, nil if it has not arrived whole.
func (r *RequestReader) Head() *fasthttp.RequestHeader {
	if r.request == nil {
		return nil
	}
	return &r.request.Header
}

// Customer returns the name under which the body is charged.
func (r *RequestReader) Customer() string { return r.customer }

// ExpectsContinue reports whether the caller waits for ContinueResponse.
func (r *RequestReader) ExpectsContinue() bool {
	return r.request != nil && !r.done && r.request.MayContinue()
}

// Received returns the number of bytes of the body that have arrived.
func (r *RequestReader) Received() int64 { return int64(len(r.body)) }

// Begun reports whether the first byte of the request has arrived.
func (r *RequestReader) Begun() bool { return r.begun }

// Taken returns the number of bytes of the request that have been read, with its head and
// framing.
func (r *RequestReader) Taken() int64 { return r.taken }

// Charged returns the number of bytes that the request is charged with.
func (r *RequestReader) Charged() int64 { return r.reserved.Bytes() }

// Release gives back what the request was charged with. It may be called several times.
func (r *RequestReader) Release() { r.reserved.Release() }

// Read reads as many of the buffered bytes as belong to the request and can be understood,
// and returns their number. It returns a *Refusal as error if the request is malformed or
// exceeds a limit, or if there is no room for its body.
func (r *RequestReader) Read(buffered []byte) (used int, err error) {
	blank := r.skipBlankLines(buffered)
	used = blank
	defer func() { r.taken += int64(used - blank) }()
	if r.request == nil {
		n, err := r.readHead(buffered[used:])
		if err != nil || n == 0 {
			return used, err
		}
		used += n
	}
	for !r.done && used < len(buffered) {
		n, err := r.readBody(buffered[used:])
		if err != nil {
			return used, err
		}
		if n == 0 {
			break
		}
		used += n
	}
	return used, nil
}

// skipBlankLines returns the number of bytes that empty lines before the request line take
// up (RFC 9112, section 2.2). Behind the first byte of the request line there are none.
func (r *RequestReader) skipBlankLines(buffered []byte) int {
	if r.begun {
		return 0
	}
	blank := len(buffered) - len(bytes.TrimLeft(buffered, "\r\n"))
	r.begun = blank < len(buffered)
	return blank
}

// readHead reads the request line and the header fields. It returns zero if they have not
// arrived whole.
func (r *RequestReader) readHead(buffered []byte) (int, error) {
	from := max(r.searched-len(headerEnd)+1, 0) // the end may have arrived in part
	n := bytes.Index(buffered[from:], headerEnd)
	end := from + n
	switch {
	case n < 0 && len(buffered) >= r.config.MaxHeader+len(headerEnd), n >= 0 && end > r.config.MaxHeader:
		return 0, errHeaderTooLarge
	case n < 0:
		r.searched = len(buffered)
		return 0, nil
	}
	end += len(headerEnd)
	request := &fasthttp.Request{}
	reader := headReader(buffered[:end])
	defer readers.Put(reader)
	if err := request.Header.Read(reader); err != nil {
		return 0, errMalformed(err)
	}
	if reader.Buffered() > 0 {
		return 0, errMalformed(errHeadEnd)
	}
	r.customer = string(request.Header.Peek(fasthttp.HeaderAuthorization))
	r.reserved = memory.NewReservation(r.config.Account, r.customer)
	if err := r.charge(headCost(buffered[:end])); err != nil {
		return 0, err
	}
	length := request.Header.ContentLength()
	head := bytes.ToLower(buffered[:end])
	lengthCount := bytes.Count(head, lengthField)
	switch {
	case length != chunkedLength && bytes.Contains(head, codingField):
		return 0, errUnknownCoding
	case lengthCount > 1 || length == chunkedLength && lengthCount > 0:
		return 0, errAmbiguousLength
	case length > r.config.MaxBody:
		return 0, errBodyTooLarge
	case length == chunkedLength:
	case length > 0:
		if err := r.grow(length); err != nil {
			return 0, err
		}
	default:
		if err := request.ContinueReadBody(reader, 0, false); err != nil {
			return 0, errMalformed(err)
		}
		r.done = true
	}
	r.request, r.length = request, length
	return end, nil
}

// headReader returns a reader of a head that has arrived whole, which the parser needs in one
// buffer.
func headReader(head []byte) *bufio.Reader {
	reader := readers.Get().(*bufio.Reader)
	if len(head) > reader.Size() {
		reader = bufio.NewReaderSize(nil, len(head))
	}
	reader.Reset(bytes.NewReader(head))
	return reader
}

// readBody reads a piece of the body. It returns zero if more bytes are needed.
func (r *RequestReader) readBody(rest []byte) (int, error) {
	if r.length != chunkedLength {
		n := min(r.length-len(r.body), len(rest))
		r.body = append(r.body, rest[:n]...)
		if len(r.body) == r.length {
			r.end()
		}
		return n, nil
	}
	data, used, err := r.chunks.Next(rest)
	if err != nil {
		return 0, errMalformed(err)
	}
	if err := r.appendChunk(data); err != nil {
		return 0, err
	}
	if r.chunks.Done() {
		r.request.Header.SetContentLength(len(r.body))
		r.end()
	}
	return used, nil
}

func (r *RequestReader) appendChunk(data []byte) error {
	size := len(r.body) + len(data)
	if size > r.config.MaxBody {
		return errBodyTooLarge
	}
	if size > cap(r.body) {
		if err := r.grow(min(max(2*cap(r.body), size, minBodyBytes), r.config.MaxBody)); err != nil {
			return err
		}
	}
	r.body = append(r.body, data...)
	return nil
}

// grow charges the account for a larger buffer and allocates it.
func (r *RequestReader) grow(size int) error {
	if err := r.charge(int64(size-cap(r.body)) * bodyCopies); err != nil {
		return err
	}
	body := make([]byte, len(r.body), size)
	copy(body, r.body)
	r.body = body
	return nil
}

// charge charges the customer with bytes, if there is room for them.
func (r *RequestReader) charge(bytes int64) error {
	if !r.reserved.Add(bytes) {
		return ErrNoRoom
	}
	return nil
}

// headCost returns the number of bytes that a parsed head takes.
func headCost(head []byte) int64 {
	return int64(len(head))*headCopies + int64(bytes.Count(head, []byte{'\n'}))*headerLineBytes
}

func (r *RequestReader) end() {
	r.done = true
	r.request.SetBodyRaw(r.body)
}
