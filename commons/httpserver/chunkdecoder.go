package httpserver

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

var errChunk = errors.New("malformed chunked coding")

// maxChunkLine is the maximum length of a line of chunked coding in bytes, without its LF.
const maxChunkLine = 4 << 10

// ChunkDecoder decodes a body in chunked coding (RFC 9112, section 7.1) as its
// bytes arrive. The zero value is at the start of a body.
type ChunkDecoder struct {
	remaining   int  // bytes of the current chunk that have not arrived
	lineEndNext bool // the line end after a chunk's data comes next
	inTrailer   bool // the last chunk has been read
	done        bool
}

// Done reports whether the body has ended.
func (c *ChunkDecoder) Done() bool { return c.done }

// Next returns the chunk data at the start of rest, if any, and the number of
// bytes that it consumed, zero if more bytes are needed.
func (c *ChunkDecoder) Next(rest []byte) (data []byte, used int, err error) {
	if c.remaining > 0 {
		n := min(c.remaining, len(rest))
		c.remaining -= n
		c.lineEndNext = c.remaining == 0
		return rest[:n], n, nil
	}
	end := bytes.IndexByte(rest, '\n')
	switch {
	case end > maxChunkLine || end < 0 && len(rest) > maxChunkLine:
		return nil, 0, errChunk
	case end < 0:
		return nil, 0, nil
	}
	return nil, end + 1, c.parseLine(bytes.TrimSuffix(rest[:end], []byte{'\r'}))
}

func (c *ChunkDecoder) parseLine(line []byte) error {
	switch {
	case c.lineEndNext:
		c.lineEndNext = false
		if len(line) > 0 {
			return errChunk
		}
	case c.inTrailer:
		c.done = len(line) == 0
	default:
		digits, _, _ := bytes.Cut(line, []byte{';'})
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil {
			return errChunk
		}
		c.remaining, c.inTrailer = int(size), size == 0
	}
	return nil
}
