package proxy

import (
	"bytes"
	"slices"

	"github.com/cockroachdb/errors"
)

// errLateCopy reports an answer that ends with its connection and holds one to an earlier
// request, or the start of one.
var errLateCopy = errors.New("late copy of an earlier answer within an answer without a length")

// statusLine is the start of a head of an answer, with 9 in place of each digit.
const statusLine = "HTTP/1.9 999"

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
	for start := 0; start < len(g.held); start++ {
		if !mayBeStatusLine(g.held[start:]) {
			continue
		}
		id, whole := g.readHead(g.held[start:])
		switch {
		case !whole:
			return g.release(start), nil
		case id != "" && slices.Contains(g.earlier, id):
			return nil, errLateCopy
		}
	}
	return g.release(len(g.held)), nil
}

// readHead returns the ID of the request that a head names, empty if the bytes are no head or
// name none. whole is not set if more bytes are needed to tell.
func (g *copyGuard) readHead(text []byte) (id string, whole bool) {
	if len(text) < len(statusLine) {
		return "", false
	}
	head := &answer{}
	used, err := head.readHead(text, false, g.codec)
	if err != nil {
		return "", true
	}
	return head.info.RequestID(), used > 0
}

// mayBeStatusLine reports whether bytes are, or may become, a head of an answer.
func mayBeStatusLine(text []byte) bool {
	for i, b := range text[:min(len(text), len(statusLine))] {
		digit := statusLine[i] == '9' && b >= '0' && b <= '9'
		if !digit && b != statusLine[i] {
			return false
		}
	}
	return true
}

// end returns the rest of the body when its connection has ended. A status line whose head has
// not ended is the start of a copy.
func (g *copyGuard) end() ([]byte, error) {
	if len(g.held) > len(statusLine) && bytes.Contains(g.held, lineEnd) {
		return nil, errLateCopy
	}
	return g.release(len(g.held)), nil
}

// release returns the first n bytes of what is held back, and drops them there.
func (g *copyGuard) release(n int) []byte {
	released := slices.Clone(g.held[:n])
	g.held = slices.Clone(g.held[n:])
	return released
}
