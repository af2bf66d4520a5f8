package proxy

import (
	"slices"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/http1"
)

// errLateCopy reports an answer that ends with its connection and holds one to an earlier
// request, or the start of one.
var errLateCopy = errors.New("late copy of an earlier answer within an answer without a length")

// statusLine is the start of a head of an answer, with 9 in place of each digit.
const statusLine = "HTTP/1.9 999 "

// copyGuard looks for late copies of earlier answers in the body of an answer without a length,
// where nothing else tells them from it: heads of which a field names an earlier request. It
// holds back what may be the head of one. It looks at each byte once: heads that begin in one
// another end at the same blank line. Offsets are those in the body.
type copyGuard struct {
	earlier []string // IDs of the requests that the connection has carried before
	held    []byte   // bytes that are held back
	base    int      // offset of the first of them
	scanned int      // offset of the first byte that has not been looked at
	matched int      // bytes before scanned that may begin a status line
	starts  []int    // offsets of the heads that may have begun
	line    int      // offset of the current line, if a head has begun before it
	named   int      // offset of the last field that names an earlier request
}

// pass returns what has arrived and is a part of the body. It is valid until the next call. It
// returns errLateCopy if a copy has arrived.
func (g *copyGuard) pass(data []byte) ([]byte, error) {
	g.held = append(g.held, data...)
	for end := g.base + len(g.held); g.scanned < end; {
		if len(g.starts) == 0 && g.matched == 0 && !g.skip() {
			break
		}
		if err := g.scan(g.at(g.scanned)); err != nil {
			return nil, err
		}
	}
	if len(g.starts) > 0 {
		return g.release(g.starts[0]), nil
	}
	return g.release(g.scanned - g.matched), nil
}

// at returns the byte at an offset.
func (g *copyGuard) at(offset int) byte { return g.held[offset-g.base] }

// skip goes on to the next byte that may begin a status line. It reports whether there is one.
func (g *copyGuard) skip() bool {
	rest := g.held[g.scanned-g.base:]
	n := slices.Index(rest, statusLine[0])
	if n < 0 {
		n = len(rest)
	}
	g.scanned += n
	return n < len(rest)
}

// scan looks at the next byte.
func (g *copyGuard) scan(b byte) error {
	at := g.scanned
	g.scanned++
	g.match(at, b)
	switch {
	case len(g.starts) == 0:
		return nil
	case b == '\n':
		return g.endLine(at)
	case b < ' ' && b != '\t' && b != '\r' || b == 0x7f, g.at(at-1) == '\r':
		g.starts = g.starts[:0] // no line of a head holds that
	case g.scanned-g.starts[0] > maxHead+len(headEnd):
		g.starts = g.starts[1:]
	}
	return nil
}

// match records the start of a head if a byte ends one of a status line. The first byte of a
// status line comes nowhere else in its start.
func (g *copyGuard) match(at int, b byte) {
	wanted := statusLine[g.matched]
	switch {
	case b == wanted, wanted == '9' && b >= '0' && b <= '9':
		g.matched++
	case b == statusLine[0]:
		g.matched = 1
	default:
		g.matched = 0
	}
	if g.matched == len(statusLine) {
		g.matched = 0
		g.starts = append(g.starts, at+1-len(statusLine))
	}
}

// endLine takes a line of the heads that have begun, whose LF is at an offset. The blank line
// ends them all.
func (g *copyGuard) endLine(at int) error {
	line := g.line
	g.line = at + 1
	text, terminated := g.lineBefore(max(line, g.base), at)
	switch {
	case !terminated:
		g.starts = g.starts[:0]
	case g.starts[0] >= line: // a status line is the first
	case len(text) == 0 && g.starts[0] < g.named:
		return errLateCopy
	case len(text) == 0:
		g.starts = g.starts[:0]
	default:
		g.takeField(line, text)
	}
	return nil
}

// lineBefore returns the line between two offsets without its CR, and whether it has one.
func (g *copyGuard) lineBefore(start, end int) (text []byte, terminated bool) {
	text = g.held[start-g.base : end-g.base]
	if len(text) == 0 || text[len(text)-1] != '\r' {
		return text, false
	}
	return text[:len(text)-1], true
}

// takeField takes a line of the heads that have begun before it. If it is no field, they are
// none.
func (g *copyGuard) takeField(line int, text []byte) {
	_, value, err := http1.ParseField(text)
	switch {
	case err != nil:
		n, _ := slices.BinarySearch(g.starts, line)
		g.starts = g.starts[n:]
	case len(value) > 0 && slices.Contains(g.earlier, string(value)):
		g.named = line
	}
}

// end returns the rest of the body when its connection has ended. A status line whose head has
// not ended is the start of a copy.
func (g *copyGuard) end() ([]byte, error) {
	if len(g.starts) > 0 && g.starts[0] < g.line {
		return nil, errLateCopy
	}
	return g.release(g.base + len(g.held)), nil
}

// release returns the bytes before an offset and holds them back no longer.
func (g *copyGuard) release(offset int) []byte {
	n := offset - g.base
	released := g.held[:n:n]
	g.held, g.base = g.held[n:], offset
	return released
}
