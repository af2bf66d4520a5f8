package httpserver

import "time"

// Progress tracks whether the peer of a connection takes the bytes that are written to it.
// A slow peer is one that takes some, a stalled one takes none.
type Progress struct {
	written int64
	taken   int64     // bytes that had left the process at the last look
	at      time.Time // last look at which more had left, or all
}

// Wrote records that bytes were written.
func (p *Progress) Wrote(bytes int) { p.written += int64(bytes) }

// Stalled reports whether no byte has left the process for longer than limit, although
// some are unsent.
func (p *Progress) Stalled(now time.Time, unsent int, limit time.Duration) bool {
	taken := p.written - int64(unsent)
	if unsent == 0 || taken > p.taken || p.at.IsZero() {
		p.taken, p.at = taken, now
		return false
	}
	return now.Sub(p.at) > limit
}
