package dispatcher

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/notice"
)

// queue is responsible for the order in which waiting attempts run. The tenant
// with the smallest virtual token counter goes first, as in "Fairness in Serving
// Large Language Models" (Sheng et al., OSDI 2024); of several with the same
// counter, one with an urgent attempt. Within a tenant, urgent attempts go before patient ones, unless the slack of a
// patient one is used up, and then by slack. A tenant is charged the prompt when
// an attempt is taken out and each token of the answer when it comes; counters
// never fall, since a later refund would let a tenant overtake those who were
// lifted to its counter meanwhile. One in keptSlots of the slots is kept from
// tenants that run far more than an equal part, so that the others need not wait
// for the end of an answer.
type queue struct {
	slots      int // attempts that run at once
	tenants    map[string]*tenantQueue
	length     int
	running    int
	lastServed int64 // counter of the tenant that was served last
}

// backlog is responsible for one tenant's waiting attempts and its counter.
type tenantQueue struct {
	tenant      string
	counter     int64 // tokens served, lifted so that an idle tenant saves up nothing
	running     int
	lastArrival time.Time // of the last arrival
	urgent      deadlineHeap
	regular     deadlineHeap
}

func newQueue(slots int) *queue { return &queue{slots: slots, tenants: make(map[string]*tenantQueue)} }

// Len returns the number of waiting attempts.
func (q *queue) Len() int { return q.length }

// push adds an attempt. The counter of a tenant that had nothing waiting is
// lifted to the smallest counter among those that have.
func (q *queue) push(a *attempt) {
	b, ok := q.tenants[a.submit.Tenant()]
	if !ok {
		b = &tenantQueue{tenant: a.submit.Tenant()}
		q.tenants[b.tenant] = b
	}
	if b.length() == 0 {
		b.counter = max(b.counter, q.minCounter())
	}
	b.lastArrival = a.arrivedAt
	heap.Push(b.heapFor(a), a)
	q.length++
}

// least returns the smallest counter of a tenant that waits, or of the one
// served last when nobody waits.
func (q *queue) minCounter() int64 {
	least, found := q.lastServed, false
	for _, b := range q.tenants {
		if b.length() > 0 && (!found || b.counter < least) {
			least, found = b.counter, true
		}
	}
	return least
}

// remove takes an attempt out that will not run.
func (q *queue) remove(a *attempt) {
	b, ok := q.tenants[a.submit.Tenant()]
	if !ok || a.heapIndex < 0 {
		return
	}
	heap.Remove(b.heapFor(a), a.heapIndex)
	q.length--
}

// pop takes out the attempt that runs next, or none when the last free slots
// are kept. A patient attempt without slack counts as urgent.
func (q *queue) pop(now time.Time) *attempt {
	promoted := now.Add(promotionSlack)
	share := q.slotShare(now)
	eligible := func(b *tenantQueue) bool {
		return b.length() > 0 && (b.running < share || q.slots-q.running > q.slots/reservedSlotsDivisor)
	}
	best := q.minTenant(eligible)
	if best == nil {
		return nil
	}
	if urgent := q.minTenant(func(b *tenantQueue) bool { return eligible(b) && b.hasUrgent(promoted) }); urgent != nil && urgent.counter == best.counter {
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

// share returns the slots that a tenant may take before some are kept from it:
// twice an equal part for each active tenant, three quarters at most.
func (q *queue) slotShare(now time.Time) int {
	active := 0
	for _, b := range q.tenants {
		if now.Sub(b.lastArrival) < activePeriod {
			active++
		}
	}
	if active < 2 {
		return q.slots
	}
	return min(2*q.slots/active, q.slots*3/4)
}

// first returns the eligible tenant with the smallest counter.
func (q *queue) minTenant(eligible func(b *tenantQueue) bool) *tenantQueue {
	var best *tenantQueue
	for _, b := range q.tenants {
		if !eligible(b) {
			continue
		}
		if best == nil || b.counter < best.counter || (b.counter == best.counter && b.tenant < best.tenant) {
			best = b
		}
	}
	return best
}

// charge counts tokens of a running attempt's answer.
func (q *queue) charge(a *attempt, tokens int64) {
	if b, ok := q.tenants[a.submit.Tenant()]; ok {
		b.counter += tokens
	}
}

// end notes that a popped attempt runs no more.
func (q *queue) release(a *attempt) {
	if b, ok := q.tenants[a.submit.Tenant()]; ok {
		b.running--
		q.running--
	}
}

// expired takes out the attempts whose deadline is over, in the order of tenants.
func (q *queue) popExpired(now time.Time) []*attempt {
	var over []*attempt
	for _, tenant := range slices.Sorted(maps.Keys(q.tenants)) {
		b := q.tenants[tenant]
		for _, class := range []*deadlineHeap{&b.urgent, &b.regular} {
			for len(*class) > 0 && now.After((*class)[0].deadline) {
				over = append(over, heap.Pop(class).(*attempt))
				q.length--
			}
		}
	}
	return over
}

// victim returns the attempt that gives way to a newcomer of a full queue, or
// nil when the newcomer has the weakest claim: the last of the tenant with the
// longest backlog, patient ones first.
func (q *queue) evictionCandidate(newcomer notice.Submit) *attempt {
	longest := q.minTenant(func(b *tenantQueue) bool { return b.length() > 0 })
	for _, tenant := range slices.Sorted(maps.Keys(q.tenants)) {
		if b := q.tenants[tenant]; longest != nil && b.length() > longest.length() {
			longest = b
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

// ahead returns how many waiting attempts run before a newcomer, taking one of
// each tenant in turn.
func (q *queue) countAhead(tenant string, urgent bool) int {
	own := 0
	if b, ok := q.tenants[tenant]; ok {
		own = b.countAhead(urgent)
	}
	ahead := own
	for name, b := range q.tenants {
		if name != tenant {
			ahead += min(b.countAhead(urgent), own+1)
		}
	}
	return ahead
}

// prune forgets the tenants whose counters say nothing any more.
func (q *queue) prune() {
	floor := q.minCounter()
	maps.DeleteFunc(q.tenants, func(_ string, b *tenantQueue) bool {
		return b.length() == 0 && b.running == 0 && b.counter <= floor
	})
}

func (b *tenantQueue) length() int { return len(b.urgent) + len(b.regular) }

// rank returns the number of attempts that go before a newcomer of a class.
func (b *tenantQueue) countAhead(urgent bool) int {
	if urgent {
		return len(b.urgent)
	}
	return b.length()
}

func (b *tenantQueue) heapFor(a *attempt) *deadlineHeap {
	if a.submit.Urgent() {
		return &b.urgent
	}
	return &b.regular
}

func (b *tenantQueue) hasUrgent(promoted time.Time) bool {
	return len(b.urgent) > 0 || (len(b.regular) > 0 && b.regular[0].deadline.Before(promoted))
}

func (b *tenantQueue) next(promoted time.Time) *attempt {
	if len(b.urgent) == 0 {
		return b.regular[0]
	}
	if len(b.regular) > 0 && b.regular[0].deadline.Before(promoted) && b.regular[0].deadline.Before(b.urgent[0].deadline) {
		return b.regular[0]
	}
	return b.urgent[0]
}

// promptTokens estimates the length of an attempt's prompt.
func promptTokens(submit notice.Submit) int64 { return int64(len(submit.Body()) / bytesPerToken) }

// deadlines is a heap of attempts, that with the earliest deadline on top.
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

// Push appends an attempt, as container/heap asks.
func (d *deadlineHeap) Push(item any) {
	a := item.(*attempt)
	a.heapIndex = len(*d)
	*d = append(*d, a)
}

// Pop removes the last attempt, as container/heap asks.
func (d *deadlineHeap) Pop() any {
	last := len(*d) - 1
	a := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	a.heapIndex = -1
	return a
}

// last returns the attempt with the latest deadline.
func (d deadlineHeap) latest() *attempt {
	return slices.MaxFunc(d, func(a, b *attempt) int {
		if byDeadline := a.deadline.Compare(b.deadline); byDeadline != 0 {
			return byDeadline
		}
		return int(a.sequence) - int(b.sequence)
	})
}
