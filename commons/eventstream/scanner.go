// Package eventstream reads streams of server-sent events (WHATWG HTML, section 9.2).
package eventstream

// Scanner finds the ends of the events in a stream. Blank lines and comments alone are
// no event. The zero value is ready for the start of a stream.
type Scanner struct {
	lineLength int  // bytes of the current line so far
	comment    bool // the current line is a comment
	hasField   bool // the current event has a field
	afterCR    bool // a CR has come, which an LF may follow
	bareCR     bool // the line before ended with a CR alone
	events     int  // events that have ended
}

// InEvent reports whether an event has begun and not ended. A stream that ends there was
// broken off.
func (s *Scanner) InEvent() bool { return s.hasField || s.lineLength > 0 && !s.comment }

// Events returns the number of events that have ended.
func (s *Scanner) Events() int { return s.events }

// Scan reads the next piece of a stream and reports whether an event ends in it. Lines end
// with LF, CR LF or CR.
func (s *Scanner) Scan(data []byte) (ended bool) {
	before := s.events
	for _, c := range data {
		if s.afterCR && c != '\n' {
			s.endLine()
			s.bareCR = true
		}
		s.afterCR = false
		switch {
		case c == '\n':
			s.endLine()
			s.bareCR = false
		case c == '\r' && s.bareCR && s.lineLength == 0: // an LF will hardly follow
			s.endLine()
		case c == '\r':
			s.afterCR = true
		default:
			s.comment = s.comment || s.lineLength == 0 && c == ':'
			s.lineLength++
		}
	}
	return s.events > before
}

// endLine ends the current line, and the current event if the line is blank.
func (s *Scanner) endLine() {
	if s.lineLength > 0 {
		s.hasField = s.hasField || !s.comment
		s.lineLength, s.comment = 0, false
		return
	}
	if s.hasField {
		s.events++
	}
	s.hasField = false
}
