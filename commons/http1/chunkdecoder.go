package http1

import (
	"bytes"
	"strconv"
)

// maxChunkLine is the maximum length of a line of chunked coding in bytes, without its LF.
const maxChunkLine = 4 << 10

// ChunkDecoder decodes a body in chunked coding (RFC 9112, section 7.1) as its
// bytes arrive. Its errors are ErrMalformed. The zero value is at the start of a body.
type ChunkDecoder struct {
	remaining   int  // bytes of the current chunk that have not arrived
	searched    int  // bytes of the current line that have arrived and hold no LF
	lineEndNext bool // the line end after a chunk's data comes next
	inTrailer   bool // the last chunk has been read
	done        bool
}

// Done reports whether the body has ended.
func (c *ChunkDecoder) Done() bool { return c.done }

// Next returns the chunk data at the start of rest, if any, and the number of
// bytes that it consumed, zero if more bytes are needed: the next call then gets the
// same bytes and more.
func (c *ChunkDecoder) Next(rest []byte) (data []byte, used int, err error) {
	if c.remaining > 0 {
		n := min(c.remaining, len(rest))
		c.remaining -= n
		c.lineEndNext = c.remaining == 0
		return rest[:n], n, nil
	}
	n := bytes.IndexByte(rest[c.searched:], '\n')
	end := c.searched + n
	switch {
	case end > maxChunkLine || n < 0 && len(rest) > maxChunkLine:
		return nil, 0, malformed("line of a chunk too long")
	case n < 0:
		c.searched = len(rest)
		return nil, 0, nil
	}
	c.searched = 0
	line, terminated := bytes.CutSuffix(rest[:end], []byte{'\r'})
	if !terminated {
		return nil, 0, malformed("line of a chunk ends without CR")
	}
	return nil, end + 1, c.parseLine(line)
}

func (c *ChunkDecoder) parseLine(line []byte) error {
	switch {
	case c.lineEndNext:
		c.lineEndNext = false
		if len(line) > 0 {
			return malformed("chunk longer than its size")
		}
	case c.inTrailer:
		if c.done = len(line) == 0; c.done {
			return nil
		}
		_, _, err := ParseField(line)
		return err
	default:
		return c.parseSize(line)
	}
	return nil
}

// parseSize reads the size of a chunk and skips its extensions, which may have white space
// before them (RFC 9112, section 7.1.1).
func (c *ChunkDecoder) parseSize(line []byte) error {
	digits, extensions, extended := bytes.Cut(line, []byte{';'})
	if extended {
		digits = bytes.TrimRight(digits, " \t")
	}
	size, err := strconv.ParseUint(string(digits), 16, 31)
	if err != nil {
		return malformed("chunk without a size")
	}
	c.remaining, c.inTrailer = int(size), size == 0
	return checkText(extensions)
}
