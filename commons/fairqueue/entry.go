package fairqueue

import (
	"cmp"
	"time"
)

// EntryConfig holds the construction parameters of an Entry.
type EntryConfig struct {
	Number   uint64
	Customer string
	Priority int       // zero is the most urgent
	Work     float64   // expected work, in any unit that is the same throughout a queue
	Weight   float64   // the customer's share of the capacity, relative to that of others; one unless positive
	StartBy  time.Time // latest start with which the request meets its objective
}

// Entry is a request that waits.
type Entry struct {
	config EntryConfig
	flow   *flow
}

// Number returns the number of the request.
func (e *Entry) Number() uint64 { return e.config.Number }

// Customer returns the customer of the request.
func (e *Entry) Customer() string { return e.config.Customer }

// Work returns the expected work of the request.
func (e *Entry) Work() float64 { return e.config.Work }

// Priority returns the priority of the request.
func (e *Entry) Priority() int { return e.config.Priority }

// Late reports whether the request counts as one that misses its objective.
func (e *Entry) Late() bool { return e.flow.level.late }

// weight returns the weight of the entry's customer.
func (e *Entry) weight() float64 {
	if e.config.Weight > 0 {
		return e.config.Weight
	}
	return 1
}

// compareStart orders entries by their latest start, then by number.
func compareStart(a, b *Entry) int {
	return cmp.Or(a.config.StartBy.Compare(b.config.StartBy), cmp.Compare(a.config.Number, b.config.Number))
}
