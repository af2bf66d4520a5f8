package proxy

import (
	"bytes"
	"slices"

	"github.com/cockroachdb/errors"
)

// errLateCopy reports an answer that ends with its connection and holds one to an earlier
// request, or the start of one.
var errLateCopy = errors.New("late copy of an earlier answer within an answer without a length")

// statusLineStart begins each head of an answer.
const statusLineStart = "HTTP/1.1 "

// copyGuard looks for late copies of earlier answers in the body of an answer without a length,
// where nothing else tells them from it. It holds back what may be the head of one.
type copyGuard struct {
	codec   Codec
	earlier []string // IDs of the requests that the connection has carried before
	held    []byte
}

// pass returns what has arrived and is a part of the body. It returns errLateCopy if a copy has
// arrived.
func (g *copyGuard) pass(data []byte) ([]byte, error) {
	g.held = append(g.held, data...)
	for from := 0; ; {
		found := bytes.Index(g.held[from:], []byte(statusLineStart))
		if found < 0 {
			return g.release(len(g.held) - g.startLength()), nil
		}
		start := from + found
		head := &answer{}
		used, err := head.readHead(g.held[start:], false, g.codec)
		switch {
		case err != nil || !startsStatus(g.held[start+len(statusLineStart):]):
		case used == 0:
			return g.release(start), nil
		case slices.Contains(g.earlier, head.info.RequestID()):
			return nil, errLateCopy
		}
		from = start + len(statusLineStart)
	}
}

// startsStatus reports whether bytes are, or may become, a status and what follows it.
func startsStatus(rest []byte) bool {
	const digits = 3
	for _, b := range rest[:min(len(rest), digits)] {
		if b < '0' || b > '9' {
			return false
		}
	}
	return true
}

// end returns the rest of the body when its connection has ended.
func (g *copyGuard) end() ([]byte, error) {
	if bytes.HasPrefix(g.held, []byte(statusLineStart)) {
		return nil, errLateCopy
	}
	return g.release(len(g.held)), nil
}

// release returns the first bytes of what is held back, and drops them there.
func (g *copyGuard) release(bytes int) []byte {
	released := slices.Clone(g.held[:bytes])
	g.held = slices.Clone(g.held[bytes:])
	return released
}

// startLength returns the number of the last bytes that may be the start of a status line.
func (g *copyGuard) startLength() int {
	for n := min(len(statusLineStart)-1, len(g.held)); n > 0; n-- {
		if bytes.HasSuffix(g.held, []byte(statusLineStart[:n])) {
			return n
		}
	}
	return 0
}
