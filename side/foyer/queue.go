package foyer

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
	slots   int // attempts that run at once
	tenants map[string]*backlog
	depth   int
	running int
	floor   int64 // counter of the tenant that was served last
}

// backlog is responsible for one tenant's waiting attempts and its counter.
type backlog struct {
	tenant  string
	counter int64 // tokens served, lifted so that an idle tenant saves up nothing
	running int
	seen    time.Time // of the last arrival
	urgent  deadlines
	patient deadlines
}

func newQueue(slots int) *queue { return &queue{slots: slots, tenants: make(map[string]*backlog)} }

// Len returns the number of waiting attempts.
func (q *queue) Len() int { return q.depth }

// push adds an attempt. The counter of a tenant that had nothing waiting is
// lifted to the smallest counter among those that have.
func (q *queue) push(a *attempt) {
	b, ok := q.tenants[a.submit.Tenant()]
	if !ok {
		b = &backlog{tenant: a.submit.Tenant()}
		q.tenants[b.tenant] = b
	}
	if b.waiting() == 0 {
		b.counter = max(b.counter, q.least())
	}
	b.seen = a.arrived
	heap.Push(b.class(a), a)
	q.depth++
}

// least returns the smallest counter of a tenant that waits, or of the one
// served last when nobody waits.
func (q *queue) least() int64 {
	least, found := q.floor, false
	for _, b := range q.tenants {
		if b.waiting() > 0 && (!found || b.counter < least) {
			least, found = b.counter, true
		}
	}
	return least
}

// remove takes an attempt out that will not run.
func (q *queue) remove(a *attempt) {
	b, ok := q.tenants[a.submit.Tenant()]
	if !ok || a.index < 0 {
		return
	}
	heap.Remove(b.class(a), a.index)
	q.depth--
}

// pop takes out the attempt that runs next, or none when the last free slots
// are kept. A patient attempt without slack counts as urgent.
func (q *queue) pop(now time.Time) *attempt {
	promoted := now.Add(promoteSlack)
	share := q.share(now)
	eligible := func(b *backlog) bool {
		return b.waiting() > 0 && (b.running < share || q.slots-q.running > q.slots/keptSlots)
	}
	best := q.first(eligible)
	if best == nil {
		return nil
	}
	if urgent := q.first(func(b *backlog) bool { return eligible(b) && b.pressing(promoted) }); urgent != nil && urgent.counter == best.counter {
		best = urgent
	}
	a := best.head(promoted)
	q.remove(a)
	best.running++
	q.running++
	best.counter += max(promptTokens(a.submit), 1)
	q.floor = best.counter
	return a
}

// share returns the slots that a tenant may take before some are kept from it:
// twice an equal part for each active tenant, three quarters at most.
func (q *queue) share(now time.Time) int {
	active := 0
	for _, b := range q.tenants {
		if now.Sub(b.seen) < activeFor {
			active++
		}
	}
	if active < 2 {
		return q.slots
	}
	return min(2*q.slots/active, q.slots*3/4)
}

// first returns the eligible tenant with the smallest counter.
func (q *queue) first(eligible func(b *backlog) bool) *backlog {
	var best *backlog
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
func (q *queue) end(a *attempt) {
	if b, ok := q.tenants[a.submit.Tenant()]; ok {
		b.running--
		q.running--
	}
}

// expired takes out the attempts whose deadline is over, in the order of tenants.
func (q *queue) expired(now time.Time) []*attempt {
	var over []*attempt
	for _, tenant := range slices.Sorted(maps.Keys(q.tenants)) {
		b := q.tenants[tenant]
		for _, class := range []*deadlines{&b.urgent, &b.patient} {
			for len(*class) > 0 && now.After((*class)[0].expires) {
				over = append(over, heap.Pop(class).(*attempt))
				q.depth--
			}
		}
	}
	return over
}

// victim returns the attempt that gives way to a newcomer of a full queue, or
// nil when the newcomer has the weakest claim: the last of the tenant with the
// longest backlog, patient ones first.
func (q *queue) victim(newcomer notice.Submit) *attempt {
	longest := q.first(func(b *backlog) bool { return b.waiting() > 0 })
	for _, tenant := range slices.Sorted(maps.Keys(q.tenants)) {
		if b := q.tenants[tenant]; longest != nil && b.waiting() > longest.waiting() {
			longest = b
		}
	}
	if longest == nil {
		return nil
	}
	own, ok := q.tenants[newcomer.Tenant()]
	outranked := newcomer.Urgent() && len(longest.patient) > 0
	if ok && own.waiting()+1 >= longest.waiting() && !outranked {
		return nil
	}
	if len(longest.patient) > 0 {
		return longest.patient.last()
	}
	return longest.urgent.last()
}

// ahead returns how many waiting attempts run before a newcomer, taking one of
// each tenant in turn.
func (q *queue) ahead(tenant string, urgent bool) int {
	own := 0
	if b, ok := q.tenants[tenant]; ok {
		own = b.rank(urgent)
	}
	ahead := own
	for name, b := range q.tenants {
		if name != tenant {
			ahead += min(b.rank(urgent), own+1)
		}
	}
	return ahead
}

// prune forgets the tenants whose counters say nothing any more.
func (q *queue) prune() {
	floor := q.least()
	maps.DeleteFunc(q.tenants, func(_ string, b *backlog) bool {
		return b.waiting() == 0 && b.running == 0 && b.counter <= floor
	})
}

func (b *backlog) waiting() int { return len(b.urgent) + len(b.patient) }

// rank returns the number of attempts that go before a newcomer of a class.
func (b *backlog) rank(urgent bool) int {
	if urgent {
		return len(b.urgent)
	}
	return b.waiting()
}

func (b *backlog) class(a *attempt) *deadlines {
	if a.submit.Urgent() {
		return &b.urgent
	}
	return &b.patient
}

func (b *backlog) pressing(promoted time.Time) bool {
	return len(b.urgent) > 0 || (len(b.patient) > 0 && b.patient[0].expires.Before(promoted))
}

func (b *backlog) head(promoted time.Time) *attempt {
	if len(b.urgent) == 0 {
		return b.patient[0]
	}
	if len(b.patient) > 0 && b.patient[0].expires.Before(promoted) && b.patient[0].expires.Before(b.urgent[0].expires) {
		return b.patient[0]
	}
	return b.urgent[0]
}

// promptTokens estimates the length of an attempt's prompt.
func promptTokens(submit notice.Submit) int64 { return int64(len(submit.Body()) / bytesPerToken) }

// deadlines is a heap of attempts, that with the earliest deadline on top.
type deadlines []*attempt

func (d deadlines) Len() int { return len(d) }

func (d deadlines) Less(i, j int) bool {
	if !d[i].expires.Equal(d[j].expires) {
		return d[i].expires.Before(d[j].expires)
	}
	return d[i].number < d[j].number
}

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push appends an attempt, as container/heap asks.
func (d *deadlines) Push(item any) {
	a := item.(*attempt)
	a.index = len(*d)
	*d = append(*d, a)
}

// Pop removes the last attempt, as container/heap asks.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	a := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	a.index = -1
	return a
}

// last returns the attempt with the latest deadline.
func (d deadlines) last() *attempt {
	return slices.MaxFunc(d, func(a, b *attempt) int {
		if byDeadline := a.expires.Compare(b.expires); byDeadline != 0 {
			return byDeadline
		}
		return int(a.number) - int(b.number)
	})
}
