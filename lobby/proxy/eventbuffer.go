package proxy

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

var (
	blankLines = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")} // with the end of the line before
	idField    = []byte("id:")
	nextIDs    = [][]byte{[]byte("\nid:"), []byte("\rid:")}
	errEvent   = errors.New("event of a stream too long")
)

// maxBlankLine is the size in bytes of the longest of blankLines.
const maxBlankLine = 3

// eventBuffer splits a resumable stream into events (server-sent events, WHATWG
// HTML, section 9.2). It holds back an incomplete event and records the ID of the
// last complete one, after which another backend server can resume the stream. It looks at each
// byte once, however they are split.
type eventBuffer struct {
	partial []byte // bytes of the incomplete event, in which no blank line ends
	lastID  []byte // ID of the last complete event
}

// add appends data and returns the bytes of all events that it completes. They are
// valid until the next call.
func (e *eventBuffer) add(data []byte) ([]byte, error) {
	from, held := 0, len(e.partial) > 0
	if held {
		from = max(len(e.partial)-maxBlankLine+1, 0) // a blank line may have begun
		e.partial = append(e.partial, data...)
		data = e.partial
	}
	end := lastBlankLine(data, from)
	events, rest := data[:end], data[end:]
	e.recordLastID(events)
	if len(rest) > maxEventSize {
		return events, errEvent
	}
	if end > 0 || !held {
		e.partial = bytes.Clone(rest)
	}
	return events, nil
}

// lastBlankLine returns the offset after the last blank line that begins at an offset or
// behind it, zero if there is none. Lines end with LF, CR LF or CR, all of a stream in the
// same way.
func lastBlankLine(data []byte, from int) (end int) {
	for _, blank := range blankLines {
		if at := bytes.LastIndex(data[from:], blank); at >= 0 {
			end = max(end, from+at+len(blank))
		}
	}
	return end
}

// recordLastID records the last ID in complete events.
func (e *eventBuffer) recordLastID(events []byte) {
	at := 0
	for _, field := range nextIDs {
		at = max(at, bytes.LastIndex(events, field)+1)
	}
	if !bytes.HasPrefix(events[at:], idField) {
		return
	}
	line := events[at+len(idField):]
	if end := bytes.IndexAny(line, "\r\n"); end >= 0 {
		line = line[:end]
	}
	e.lastID = append(e.lastID[:0], bytes.TrimSpace(line)...)
}

// unfinished returns the incomplete event, for the end of a stream.
func (e *eventBuffer) unfinished() []byte { return e.partial }

// reset discards the incomplete event, since another backend server sends it in
// full.
func (e *eventBuffer) reset() { e.partial = nil }
