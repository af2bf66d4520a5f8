package fairqueue

import "slices"

// flow holds the requests of one customer on one level.
type flow struct {
	level   *level
	tag     float64  // virtual start time of the next request
	work    float64  // sum over entries
	weight  float64  // of the newest entry
	entries []*Entry // sorted by compareStart
}

// add inserts an entry. A flow that was idle continues at the virtual time of its level,
// so that it has no claim on capacity that it did not ask for.
func (f *flow) add(e *Entry) {
	if len(f.entries) == 0 {
		f.tag = max(f.tag, f.level.virtual)
	}
	e.flow, f.weight = f, e.weight()
	at, _ := slices.BinarySearchFunc(f.entries, e, compareStart)
	f.entries = slices.Insert(f.entries, at, e)
	f.work += e.config.Work
	f.level.work += e.config.Work
	f.level.length++
}

// remove removes an entry without a charge.
func (f *flow) remove(e *Entry) {
	at, ok := slices.BinarySearchFunc(f.entries, e, compareStart)
	if !ok {
		return
	}
	f.entries = slices.Delete(f.entries, at, at+1)
	f.work -= e.config.Work
	f.level.work -= e.config.Work
	f.level.length--
	f.level.forgetIfIdle()
}

// charge advances the flow by work that is being served.
func (f *flow) charge(work, weight float64) {
	if len(f.entries) == 0 {
		f.tag = max(f.tag, f.level.virtual)
	}
	f.tag += work / weight
}

// after returns the first entry that follows e, or the first one if e is nil.
func (f *flow) after(e *Entry) *Entry {
	at := 0
	if e != nil {
		var found bool
		if at, found = slices.BinarySearchFunc(f.entries, e, compareStart); found {
			at++
		}
	}
	if at >= len(f.entries) {
		return nil
	}
	return f.entries[at]
}

// level holds the flows among which capacity is divided by virtual time: those of one
// priority, or all late ones.
type level struct {
	priority int
	late     bool
	virtual  float64 // start tag of the last request that was served
	work     float64 // sum over flows
	length   int     // requests of all flows
	flows    map[string]*flow
}

func newLevel(priority int, late bool) *level {
	return &level{priority: priority, late: late, flows: make(map[string]*flow)}
}

// flowOf returns the flow of a customer, a new one if there is none.
func (l *level) flowOf(customer string) *flow {
	f, ok := l.flows[customer]
	if !ok {
		f = &flow{level: l, tag: l.virtual, weight: 1}
		l.flows[customer] = f
	}
	return f
}

// empty reports whether no request waits on the level.
func (l *level) empty() bool { return l.length == 0 }

// forgetIfIdle ends the busy period if no request waits: virtual time starts again.
func (l *level) forgetIfIdle() {
	if !l.empty() {
		return
	}
	l.virtual, l.work = 0, 0
	clear(l.flows)
}

// dropIdle drops flows whose past use no longer matters.
func (l *level) dropIdle() {
	for customer, f := range l.flows {
		if len(f.entries) == 0 && f.tag <= l.virtual {
			delete(l.flows, customer)
		}
	}
}
