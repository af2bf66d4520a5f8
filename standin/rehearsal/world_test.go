package rehearsal

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// world is responsible for virtual time: it runs events in the order of their
// times, and events of one time in the order in which they were scheduled.
type world struct {
	now    time.Time
	random *rand.Rand
	events eventHeap
	number int
	// travel returns the delays of the copies of a message that arrive; none
	// when it is lost.
	travel func(from, to string) []time.Duration
}

type event struct {
	at     time.Time
	number int
	run    func()
}

func newWorld(seed uint64) *world {
	return &world{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1))}
}

// after schedules run.
func (w *world) after(delay time.Duration, run func()) {
	w.number++
	heap.Push(&w.events, event{at: w.now.Add(delay), number: w.number, run: run})
}

// runUntil runs all events up to a time.
func (w *world) runUntil(end time.Time) {
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// send delivers a message over the network.
func (w *world) send(from, to string, arrive func()) {
	for _, delay := range w.travel(from, to) {
		w.after(delay, arrive)
	}
}

// call makes a remote call: serve runs once for each copy that arrives; the
// first reply before the limit goes to done, else done gets nil.
func (w *world) call(from, to string, limit time.Duration, serve func(reply replyTo), done func(reply any)) {
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
type replyTo func(item any)

// Put passes the answer on.
func (r replyTo) Put(item any) error {
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
	return h[i].number < h[j].number
}

// Push appends an event, as container/heap asks.
func (h *eventHeap) Push(item any) { *h = append(*h, item.(event)) }

// Pop removes the last event, as container/heap asks.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
