package httpserver

import "time"

// Arrival describes how far a request has arrived. It decides whether its sender is too
// slow: one that stops, and one that sends a long body by small pieces, hold memory and a
// connection for nothing.
type Arrival struct {
	began time.Time // arrival of the first byte
	last  time.Time // arrival of the last byte
	body  int64     // bytes of the body that have arrived
}

// NewArrival returns the state of a request of which the first byte arrived at began, the
// last one at last, with so many bytes of its body.
func NewArrival(began, last time.Time, body int64) Arrival {
	return Arrival{began: began, last: last, body: body}
}

// Late reports whether the sender is too slow: its head takes longer than limit, or its
// body stops for longer than that, or the body has arrived at less than rate bytes a second
// since. This is the rule of a minimal rate on top of a fixed time, by which each byte of
// the body extends the deadline.
func (a Arrival) Late(now time.Time, limit time.Duration, rate int64) bool {
	if now.Sub(a.last) > limit {
		return true
	}
	return now.Sub(a.began) > limit+a.extension(rate)
}

// extension returns the time that the body's bytes add to the deadline.
func (a Arrival) extension(rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(a.body) / float64(rate) * float64(time.Second))
}
