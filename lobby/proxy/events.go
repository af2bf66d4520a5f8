package proxy

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

var (
	idField  = []byte("id:")
	nextID   = []byte("\nid:")
	errEvent = errors.New("event of a stream is too long")
)

// events is responsible for the events of a stream that may go on at another
// backend server: it holds back the event that has not ended and knows the id
// of the last one that has (server-sent events, WHATWG HTML, section 9.2).
type eventBuffer struct {
	partial []byte // of the event that has not ended
	lastID  []byte // id of the last event that has
}

// take returns the events that data completes, as they arrived. They are valid
// up to the next call.
func (e *eventBuffer) add(data []byte) ([]byte, error) {
	if len(e.partial) > 0 {
		e.partial = append(e.partial, data...)
		data = e.partial
	}
	end := lastBlankLine(data)
	whole := data[:end]
	e.recordLastID(whole)
	if len(data)-end > maxEventSize {
		return whole, errEvent
	}
	e.partial = append([]byte(nil), data[end:]...)
	return whole, nil
}

// lastBlankLine returns the end of the last blank line, zero without one. Lines
// end with LF or CR LF.
func lastBlankLine(data []byte) int {
	plain := bytes.LastIndex(data, []byte("\n\n"))
	if plain >= 0 {
		plain += len("\n\n")
	}
	long := bytes.LastIndex(data, []byte("\n\r\n"))
	if long >= 0 {
		long += len("\n\r\n")
	}
	return max(plain, long, 0)
}

// note finds the last id in whole events.
func (e *eventBuffer) recordLastID(whole []byte) {
	at := bytes.LastIndex(whole, nextID) + 1
	if !bytes.HasPrefix(whole[at:], idField) {
		return
	}
	line, _, _ := bytes.Cut(whole[at+len(idField):], []byte{'\n'})
	e.lastID = append(e.lastID[:0], bytes.TrimSpace(line)...)
}

// rest returns what has not ended, once no more comes.
func (e *eventBuffer) unfinished() []byte { return e.partial }

// drop forgets what has not ended: its backend server is gone.
func (e *eventBuffer) reset() { e.partial = nil }
