package dispatcher

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/protocol"
)

// queue is the fair queue of the attempts that wait for a slot.
//
// Tenants are served in the order of their virtual token counters, smallest first,
// as in "Fairness in Serving Large Language Models" (Sheng et al., OSDI 2024). If
// counters are equal, a tenant with an urgent attempt precedes. A tenant is charged
// the tokens of the prompt when an attempt is popped and each token of the answer
// when it arrives. Counters never decrease, because after a refund a tenant would
// overtake others whose counters were raised to its own in the meantime.
//
// Within a tenant, urgent attempts precede regular ones, and attempts of one class
// are ordered by deadline. A regular attempt with less than promotionSlack left
// counts as urgent and is ordered among the urgent ones by its deadline.
//
// One in reservedSlotsDivisor slots is reserved for tenants that run fewer attempts
// than their slot share, so that they need not wait for the end of an answer.
type queue struct {
	slots      int // maximum number of attempts that run at once
	tenants    map[string]*tenantQueue
	length     int   // number of queued attempts
	running    int   // number of popped attempts that have not been released
	lastServed int64 // counter of the tenant that was served last
}

// tenantQueue holds one tenant's queued attempts and its counter.
type tenantQueue struct {
	tenant      string
	counter     int64 // tokens served, raised when the tenant returns so that idle time earns no credit
	running     int
	lastArrival time.Time // arrival time of the last attempt
	urgent      deadlineHeap
	regular     deadlineHeap
}

func newQueue(slots int) *queue { return &queue{slots: slots, tenants: make(map[string]*tenantQueue)} }

// Len returns the number of queued attempts.
func (q *queue) Len() int { return q.length }

// push adds an attempt. The counter of a tenant without queued attempts is raised to
// the smallest counter of the tenants that have some.
func (q *queue) push(a *attempt) {
	t, ok := q.tenants[a.submit.Tenant()]
	if !ok {
		t = &tenantQueue{tenant: a.submit.Tenant()}
		q.tenants[t.tenant] = t
	}
	if t.length() == 0 {
		t.counter = max(t.counter, q.minCounter())
	}
	t.lastArrival = a.arrivedAt
	heap.Push(t.heapFor(a), a)
	q.length++
}

// minCounter returns the smallest counter of the tenants with queued attempts, or
// the counter of the tenant served last if no attempt is queued.
func (q *queue) minCounter() int64 {
	least, found := q.lastServed, false
	for _, t := range q.tenants {
		if t.length() > 0 && (!found || t.counter < least) {
			least, found = t.counter, true
		}
	}
	return least
}

// remove removes an attempt if it is queued.
func (q *queue) remove(a *attempt) {
	t, ok := q.tenants[a.submit.Tenant()]
	if !ok || a.heapIndex < 0 {
		return
	}
	heap.Remove(t.heapFor(a), a.heapIndex)
	q.length--
}

// pop removes and returns the attempt that runs next. It returns nil if no tenant
// with queued attempts may use one of the free slots.
func (q *queue) pop(now time.Time) *attempt {
	promoted := now.Add(promotionSlack)
	share := q.slotShare(now)
	eligible := func(t *tenantQueue) bool {
		return t.length() > 0 && (t.running < share || q.slots-q.running > q.slots/reservedSlotsDivisor)
	}
	best := q.minTenant(eligible)
	if best == nil {
		return nil
	}
	if urgent := q.minTenant(func(t *tenantQueue) bool { return eligible(t) && t.hasUrgent(promoted) }); urgent != nil && urgent.counter == best.counter {
		best = urgent
	}
	a := best.next(promoted)
	q.remove(a)
	best.running++
	q.running++
	best.counter += max(promptTokens(a.submit), 1)
	q.lastServed = best.counter
	return a
}

// slotShare returns the number of slots from which on a tenant may not use the
// reserved slots: twice an equal share among the active tenants, at most three
// quarters of all slots. A single active tenant may use all slots.
func (q *queue) slotShare(now time.Time) int {
	active := 0
	for _, t := range q.tenants {
		if now.Sub(t.lastArrival) < activePeriod {
			active++
		}
	}
	if active < 2 {
		return q.slots
	}
	return min(2*q.slots/active, q.slots*3/4)
}

// minTenant returns the eligible tenant with the smallest counter, or nil.
func (q *queue) minTenant(eligible func(t *tenantQueue) bool) *tenantQueue {
	var best *tenantQueue
	for _, t := range q.tenants {
		if !eligible(t) {
			continue
		}
		if best == nil || t.counter < best.counter || (t.counter == best.counter && t.tenant < best.tenant) {
			best = t
		}
	}
	return best
}

// charge charges tokens of a running attempt's answer to its tenant.
func (q *queue) charge(a *attempt, tokens int64) {
	if t, ok := q.tenants[a.submit.Tenant()]; ok {
		t.counter += tokens
	}
}

// release releases the slot of a popped attempt that does not run any more.
func (q *queue) release(a *attempt) {
	if t, ok := q.tenants[a.submit.Tenant()]; ok {
		t.running--
		q.running--
	}
}

// popExpired removes and returns the attempts whose deadline has passed, sorted by
// tenant.
func (q *queue) popExpired(now time.Time) []*attempt {
	var expired []*attempt
	for _, tenant := range slices.Sorted(maps.Keys(q.tenants)) {
		t := q.tenants[tenant]
		for _, class := range []*deadlineHeap{&t.urgent, &t.regular} {
			for len(*class) > 0 && now.After((*class)[0].deadline) {
				expired = append(expired, heap.Pop(class).(*attempt))
				q.length--
			}
		}
	}
	return expired
}

// evictionCandidate returns the attempt that is evicted from a full queue in favour
// of a new one, or nil if the new one is to be refused. The candidate is the attempt
// with the latest deadline of the tenant with the longest queue, a regular one if
// there is any.
func (q *queue) evictionCandidate(newcomer protocol.Submit) *attempt {
	longest := q.minTenant(func(t *tenantQueue) bool { return t.length() > 0 })
	for _, tenant := range slices.Sorted(maps.Keys(q.tenants)) {
		if t := q.tenants[tenant]; longest != nil && t.length() > longest.length() {
			longest = t
		}
	}
	if longest == nil {
		return nil
	}
	own, ok := q.tenants[newcomer.Tenant()]
	outranked := newcomer.Urgent() && len(longest.regular) > 0
	if ok && own.length()+1 >= longest.length() && !outranked {
		return nil
	}
	if len(longest.regular) > 0 {
		return longest.regular.latest()
	}
	return longest.urgent.latest()
}

// countAhead estimates how many queued attempts run before a new one, assuming that
// tenants are served in turn.
func (q *queue) countAhead(tenant string, urgent bool) int {
	own := 0
	if t, ok := q.tenants[tenant]; ok {
		own = t.countAhead(urgent)
	}
	ahead := own
	for name, t := range q.tenants {
		if name != tenant {
			ahead += min(t.countAhead(urgent), own+1)
		}
	}
	return ahead
}

// prune removes idle tenants whose counters would be raised on their next attempt
// anyway.
func (q *queue) prune() {
	least := q.minCounter()
	maps.DeleteFunc(q.tenants, func(_ string, t *tenantQueue) bool {
		return t.length() == 0 && t.running == 0 && t.counter <= least
	})
}

func (t *tenantQueue) length() int { return len(t.urgent) + len(t.regular) }

// countAhead returns the number of the tenant's queued attempts that precede a new
// one.
func (t *tenantQueue) countAhead(urgent bool) int {
	if urgent {
		return len(t.urgent)
	}
	return t.length()
}

func (t *tenantQueue) heapFor(a *attempt) *deadlineHeap {
	if a.submit.Urgent() {
		return &t.urgent
	}
	return &t.regular
}

func (t *tenantQueue) hasUrgent(promoted time.Time) bool {
	return len(t.urgent) > 0 || (len(t.regular) > 0 && t.regular[0].deadline.Before(promoted))
}

func (t *tenantQueue) next(promoted time.Time) *attempt {
	if len(t.urgent) == 0 {
		return t.regular[0]
	}
	if len(t.regular) > 0 && t.regular[0].deadline.Before(promoted) && t.regular[0].deadline.Before(t.urgent[0].deadline) {
		return t.regular[0]
	}
	return t.urgent[0]
}

// promptTokens estimates the number of tokens of an attempt's prompt.
func promptTokens(submit protocol.Submit) int64 { return int64(len(submit.Body()) / bytesPerToken) }

// deadlineHeap is a min-heap of attempts by deadline and sequence. It implements
// heap.Interface.
type deadlineHeap []*attempt

func (d deadlineHeap) Len() int { return len(d) }

func (d deadlineHeap) Less(i, j int) bool {
	if !d[i].deadline.Equal(d[j].deadline) {
		return d[i].deadline.Before(d[j].deadline)
	}
	return d[i].sequence < d[j].sequence
}

func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push appends an attempt.
func (d *deadlineHeap) Push(item any) {
	a := item.(*attempt)
	a.heapIndex = len(*d)
	*d = append(*d, a)
}

// Pop removes and returns the last attempt.
func (d *deadlineHeap) Pop() any {
	last := len(*d) - 1
	a := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	a.heapIndex = -1
	return a
}

// latest returns the attempt with the latest deadline.
func (d deadlineHeap) latest() *attempt {
	return slices.MaxFunc(d, func(a, b *attempt) int {
		if byDeadline := a.deadline.Compare(b.deadline); byDeadline != 0 {
			return byDeadline
		}
		return int(a.sequence) - int(b.sequence)
	})
}
