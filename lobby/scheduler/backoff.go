package scheduler

import "time"

// backoff is a pause after a failure. It doubles with each further failure until a
// success.
type backoff struct {
	until  time.Time
	length time.Duration // length of the last pause; zero after a success
}

// fail starts a pause, first of the shortest and at most of the longest length.
func (b *backoff) fail(now time.Time, shortest, longest time.Duration) {
	b.length = min(max(2*b.length, shortest), longest)
	b.until = now.Add(b.length)
}

// active reports whether the pause has not ended yet.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }
