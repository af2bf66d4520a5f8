package scheduler

import (
	"cmp"
	"time"
)

// places counts the places in the queue of a lobby by customer. They are limited in total,
// and a customer whose requests wait for long would otherwise leave none to the others.
type places struct{ taken map[string]int }

func newPlaces() *places { return &places{taken: make(map[string]int)} }

// take records that a request of a customer takes a place.
func (p *places) take(customer string) { p.taken[customer]++ }

// leave records that a request of a customer leaves its place.
func (p *places) leave(customer string) {
	if p.taken[customer]--; p.taken[customer] <= 0 {
		delete(p.taken, customer)
	}
}

// most returns the customer that has the most places, and how many. Of several it is the
// first by name.
func (p *places) most() (customer string, taken int) {
	for name, n := range p.taken {
		if n > taken || n == taken && name < customer {
			customer, taken = name, n
		}
	}
	return customer, taken
}

// hasPlace reports whether a request that does not wait yet may join the queue. If the
// queue is full, the customer with the most places makes way for one that has fewer, by
// its request that would be served last.
func (c *Core) hasPlace(now time.Time, req *openRequest) bool {
	if len(c.queued) < maxQueued {
		return true
	}
	customer, taken := c.places.most()
	if taken <= c.places.taken[req.tenant.Name()]+1 {
		return false
	}
	last := c.lastOf(customer)
	if last == nil {
		return false
	}
	c.refuseUnserved(now, last, noBackend, max(c.freeQueueDelay(now, last), noBackendRetryAfter))
	return true
}

// lastOf returns the queued request of a customer that is least urgent and has the most
// time, nil if all of them may have run.
func (c *Core) lastOf(customer string) *openRequest {
	var last *openRequest
	for _, req := range c.queued {
		if req.tenant.Name() != customer || req.mayHaveRun {
			continue
		}
		if last == nil || c.compareUrgency(req, last) > 0 {
			last = req
		}
	}
	return last
}

// compareUrgency orders requests by priority, then by latest start, then by number.
func (c *Core) compareUrgency(a, b *openRequest) int {
	return cmp.Or(cmp.Compare(a.priority(), b.priority()), c.startBy(a).Compare(c.startBy(b)), cmp.Compare(a.number, b.number))
}
