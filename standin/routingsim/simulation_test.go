package routingsim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simulation is a discrete-event simulation in virtual time. It runs events in the
// order of their times, and events of the same time in the order in which they
// were scheduled.
type simulation struct {
	now          time.Time
	random       *rand.Rand
	events       eventHeap
	lastSequence int // sequence number of the event scheduled last
	// deliveryDelays returns the delay of each copy of a message that arrives;
	// none if the message is lost.
	deliveryDelays func(from, to string) []time.Duration
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

func newSimulation(seed uint64) *simulation {
	return &simulation{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1))}
}

// after schedules run after a delay.
func (sim *simulation) after(delay time.Duration, run func()) {
	sim.lastSequence++
	heap.Push(&sim.events, event{at: sim.now.Add(delay), sequence: sim.lastSequence, run: run})
}

// runUntil runs all events up to a time and advances the clock to it.
func (sim *simulation) runUntil(end time.Time) {
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

// send sends a message over the network. arrive runs once for each copy that
// arrives.
func (sim *simulation) send(from, to string, arrive func()) {
	for _, delay := range sim.deliveryDelays(from, to) {
		sim.after(delay, arrive)
	}
}

// call makes a remote call. serve runs once for each copy of the call that
// arrives. done runs once, with the first reply, or with nil if none arrives
// before the timeout.
func (sim *simulation) call(from, to string, timeout time.Duration, serve func(reply replyFunc), done func(reply any)) {
	finished := false
	finish := func(reply any) {
		if !finished {
			finished = true
			done(reply)
		}
	}
	sim.send(from, to, func() {
		serve(func(item any) { sim.send(to, from, func() { finish(item) }) })
	})
	sim.after(timeout, func() { finish(nil) })
}

// replyFunc sends the reply to a call.
type replyFunc func(item any)

// Put sends item as the reply.
func (r replyFunc) Put(item any) error {
	r(item)
	return nil
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

// Push appends an event. It implements heap.Interface.
func (h *eventHeap) Push(item any) { *h = append(*h, item.(event)) }

// Pop removes the last event and returns it. It implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
