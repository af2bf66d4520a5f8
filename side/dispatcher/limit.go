package dispatcher

import "time"

const (
	// limitCatchUp is the longest time for which a turn is kept.
	limitCatchUp = 50 * time.Millisecond
	// maxTurnGap is the longest time between two attempts, however low the rate: only an
	// answer tells that the limit has ended.
	maxTurnGap = 30 * time.Second
)

// limit is the rate that the backend server names in its answers: the requests per second
// that it takes. No other side sends it any.
type limit struct {
	rate  float64   // zero if it names none
	heard time.Time // time of the last answer that named one
	next  time.Time // time of the next turn
}

// hear takes what the answer names to an attempt that started at a given time, and reports
// whether that changes the limit. An answer to an attempt that had started when a rate was
// last named does not end it, since answers overtake one another.
func (l *limit) hear(now time.Time, rate float64, started time.Time) bool {
	if rate < 0 || rate == 0 && (l.rate == 0 || !started.After(l.heard)) {
		return false // it cannot be read, or ends nothing
	}
	if rate > 0 {
		l.heard = now
		if l.rate == 0 {
			l.next = now.Add(gapOf(rate))
		}
	}
	changed := l.rate != rate
	l.rate = rate
	return changed
}

// gapOf returns the time between two attempts at a rate.
func gapOf(rate float64) time.Duration {
	return time.Duration(min(1/rate, maxTurnGap.Seconds()) * float64(time.Second))
}

// admits reports whether an attempt may start now.
func (l *limit) admits(now time.Time) bool { return l.rate == 0 || !now.Before(l.next) }

// started records that an attempt has started.
func (l *limit) started(now time.Time) {
	if l.rate == 0 {
		return
	}
	if l.next.Before(now.Add(-limitCatchUp)) {
		l.next = now.Add(-limitCatchUp)
	}
	l.next = l.next.Add(gapOf(l.rate))
}

// wait returns the time until the turn that follows a number of others.
func (l *limit) wait(now time.Time, ahead int) time.Duration {
	if l.rate == 0 {
		return 0
	}
	return max(l.next.Sub(now), 0) + time.Duration(ahead)*gapOf(l.rate)
}
