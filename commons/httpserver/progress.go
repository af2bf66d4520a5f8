package httpserver

import "time"

// lateShare is the share of a limit that may pass between two looks. The time between looks
// that are further apart is not counted: the process was late, and may not have offered the
// peer any byte meanwhile.
const lateShare = 2

// Progress tracks whether the peer of a connection takes the bytes that are written to it.
// A slow peer is one that takes some, a stalled one takes none.
type Progress struct {
	written int64
	taken   int64     // bytes that the peer had taken at the last look
	all     bool      // no byte was unsent at the last look, whatever the peer had taken
	looked  time.Time // last look
	waited  time.Duration
}

// Wrote records that bytes were written.
func (p *Progress) Wrote(bytes int) { p.written += int64(bytes) }

// Stalled reports whether the peer has taken no byte for longer than limit, although some
// are unsent. unsent is zero if all have left the process, else the number of bytes that
// the peer has not taken, including those that the kernel holds.
func (p *Progress) Stalled(now time.Time, unsent int, limit time.Duration) bool {
	since, taken := now.Sub(p.looked), p.written-int64(unsent)
	progress := unsent == 0 || p.looked.IsZero() || !p.all && taken > p.taken
	p.taken, p.all, p.looked = taken, unsent == 0, now
	switch {
	case progress:
		p.waited = 0
	case since <= limit/lateShare:
		p.waited += since
	}
	return p.waited > limit
}
