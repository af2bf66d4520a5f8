package routingsim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// world is responsible for virtual time: it runs events in the order of their
// times, and events of one time in the order in which they were scheduled.
type simulation struct {
	now          time.Time
	random       *rand.Rand
	events       eventHeap
	lastSequence int
	// travel returns the delays of the copies of a message that arrive; none
	// when it is lost.
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

// after schedules run.
func (w *simulation) after(delay time.Duration, run func()) {
	w.lastSequence++
	heap.Push(&w.events, event{at: w.now.Add(delay), sequence: w.lastSequence, run: run})
}

// runUntil runs all events up to a time.
func (w *simulation) runUntil(end time.Time) {
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// send delivers a message over the network.
func (w *simulation) send(from, to string, arrive func()) {
	for _, delay := range w.deliveryDelays(from, to) {
		w.after(delay, arrive)
	}
}

// call makes a remote call: serve runs once for each copy that arrives; the
// first reply before the limit goes to done, else done gets nil.
func (w *simulation) call(from, to string, limit time.Duration, serve func(reply replyFunc), done func(reply any)) {
	over := false
	finish := func(reply any) {
		if !over {
			over = true
			done(reply)
		}
	}
	w.send(from, to, func() {
		serve(func(item any) { w.send(to, from, func() { finish(item) }) })
	})
	w.after(limit, func() { finish(nil) })
}

// replyTo takes the answer to a call.
type replyFunc func(item any)

// Put passes the answer on.
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

// Push appends an event, as container/heap asks.
func (h *eventHeap) Push(item any) { *h = append(*h, item.(event)) }

// Pop removes the last event, as container/heap asks.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
