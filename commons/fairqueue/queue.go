// Package fairqueue orders requests that wait for the same capacity, for a time in which
// there are more of them than capacity. Customers share the capacity of a priority in
// proportion to their weights, by expected work and not by number. A request that can
// still meet its objective precedes one that cannot; late ones keep a fixed share of the
// capacity.
//
// The order among customers is that of start-time fair queueing (P. Goyal, H. M. Vin and
// H. Cheng, "Start-time Fair Queuing: A Scheduling Algorithm for Integrated Services
// Packet Switching Networks", SIGCOMM 1996): the customer whose next request has the
// lowest virtual start tag is served next, and virtual time is the start tag of the last
// request that was served. Tags are held by customer and advance when a request is served,
// so that requests that leave unserved cost their customer nothing. Within a customer the
// requests are ordered by their latest start.
//
// A Queue makes no decision on its own and is not safe for concurrent use.
package fairqueue

import (
	"slices"
	"time"
)

// Config holds the construction parameters of a Queue.
type Config struct {
	// LateShare is the share of the work that late requests get while others wait, at
	// least zero and below one.
	LateShare float64
}

// Queue holds the requests that wait for the same capacity.
type Queue struct {
	config  Config
	levels  []*level // by priority
	late    *level
	credit  float64 // work that late requests may have before others
	entries map[uint64]*Entry
}

// New returns an empty queue.
func New(config Config) *Queue {
	return &Queue{config: config, late: newLevel(0, true), entries: make(map[uint64]*Entry)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Work returns the work of all waiting requests.
func (q *Queue) Work() float64 {
	work := q.late.work
	for _, l := range q.levels {
		work += l.work
	}
	return work
}

// Entry returns the waiting request with a number.
func (q *Queue) Entry(number uint64) (*Entry, bool) {
	e, ok := q.entries[number]
	return e, ok
}

// Add adds a request. One with the number of a waiting request replaces that.
func (q *Queue) Add(now time.Time, config EntryConfig) *Entry {
	q.Remove(config.Number)
	e := &Entry{config: config}
	q.entries[config.Number] = e
	l := q.late
	if !config.StartBy.Before(now) {
		l = q.levelOf(config.Priority)
	}
	l.flowOf(config.Customer).add(e)
	return e
}

// Remove removes a request that is not served, if it waits.
func (q *Queue) Remove(number uint64) {
	e, ok := q.entries[number]
	if !ok {
		return
	}
	delete(q.entries, number)
	e.flow.remove(e)
	q.limitCredit()
}

// Serve removes a request that is served now and charges its customer. It does nothing
// if the request does not wait.
func (q *Queue) Serve(number uint64) {
	e, ok := q.entries[number]
	if !ok {
		return
	}
	delete(q.entries, number)
	l := e.flow.level
	l.virtual = max(l.virtual, e.flow.tag)
	e.flow.charge(e.config.Work, e.weight())
	e.flow.remove(e)
	if l.late {
		q.credit = max(q.credit-e.config.Work, 0)
	} else {
		q.credit += e.config.Work * q.config.LateShare / (1 - q.config.LateShare)
	}
	q.limitCredit()
}

// Charge charges a customer for a request that is served without having waited, while
// others wait with the same priority.
func (q *Queue) Charge(config EntryConfig) {
	l := q.levelOf(config.Priority)
	if l.empty() {
		return
	}
	e := Entry{config: config}
	l.flowOf(config.Customer).charge(config.Work, e.weight())
}

// WorkAhead returns the work that is served before a waiting request, if no other
// request is added. The work of a customer counts up to the virtual time of the request.
func (q *Queue) WorkAhead(now time.Time, number uint64) float64 {
	e, ok := q.entries[number]
	if !ok {
		return 0
	}
	q.markLate(now)
	ahead := e.flow.level.workAhead(e)
	if e.Late() {
		return ahead + min(q.Work()-q.late.work, q.beforeLate(ahead+e.config.Work))
	}
	for _, l := range q.levels {
		if l.priority < e.flow.level.priority {
			ahead += l.work
		}
	}
	return ahead + min(q.late.work, q.credit+ahead*q.config.LateShare/(1-q.config.LateShare))
}

// beforeLate returns the most work of requests in time that is served before an amount
// of late work.
func (q *Queue) beforeLate(late float64) float64 {
	if q.config.LateShare <= 0 {
		return q.Work()
	}
	return late * (1 - q.config.LateShare) / q.config.LateShare
}

// workAhead returns the work on the level that is served before an entry.
func (l *level) workAhead(e *Entry) float64 {
	own := 0.0
	for _, other := range e.flow.entries {
		if other == e {
			break
		}
		own += other.config.Work
	}
	position, ahead := e.flow.tag+own/e.flow.weight, own
	for _, f := range l.flows {
		if f != e.flow {
			ahead += min(f.work, max(position-f.tag, 0)*f.weight)
		}
	}
	return ahead
}

// Priorities calls report with the number and the work of the requests in time of each
// priority, then of the late ones of all priorities.
func (q *Queue) Priorities(report func(priority int, late bool, length int, work float64)) {
	for _, l := range append(slices.Clone(q.levels), q.late) {
		if !l.empty() {
			report(l.priority, l.late, l.length, l.work)
		}
	}
}

// levelOf returns the level of a priority, a new one if there is none.
func (q *Queue) levelOf(priority int) *level {
	at, found := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int { return l.priority - p })
	if !found {
		q.levels = slices.Insert(q.levels, at, newLevel(priority, false))
	}
	return q.levels[at]
}

// markLate moves the requests that can no longer meet their objective to the late ones.
func (q *Queue) markLate(now time.Time) {
	for _, l := range q.levels {
		for customer, f := range l.flows {
			for len(f.entries) > 0 && f.entries[0].config.StartBy.Before(now) {
				e := f.entries[0]
				f.remove(e)
				q.late.flowOf(customer).add(e)
			}
		}
		l.dropIdle()
	}
	q.late.dropIdle()
}

// limitCredit bounds the credit of late requests by what waits.
func (q *Queue) limitCredit() {
	if q.late.empty() {
		q.credit = 0
		return
	}
	q.credit = min(q.credit, q.late.work)
}
