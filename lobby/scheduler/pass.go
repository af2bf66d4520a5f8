package scheduler

import (
	"time"

	"sesamewell.example/commons/fairqueue"
)

// placeQueued tries to place the queued requests in the order of the queue. It refuses
// late ones that so much work precedes that they would not start in time.
func (c *Core) placeQueued(now time.Time) {
	if len(c.queued) == 0 {
		return
	}
	queues := make([]*fairqueue.Queue, 0, len(c.waiting))
	for _, q := range c.waiting {
		queues = append(queues, q)
	}
	p := newPass(c)
	for _, e := range fairqueue.Ordered(now, queues...) {
		late, work := e.Late(), e.Work()
		req := c.queued[e.Number()]
		p.place(now, req)
		if _, waits := c.queued[req.number]; !waits {
			continue
		}
		if delay := p.delay(now, req, late, work); now.Add(delay).After(req.queueDeadline()) {
			c.refuseUnserved(now, req, noBackend, delay)
			continue
		}
		p.add(req.queueKey(), late, work)
	}
}

// pass is a pass over all queued requests. It remembers what is the same for many of
// them: with 1,000 queued requests and 50 backend servers a check of each pair would
// take most of a small machine's time.
type pass struct {
	core  *Core
	waits map[string]shareWait       // by service without an engine, unless a request was sent meanwhile
	turns map[queueKey]turns         // turns at backend servers with limited rates, unless a request was sent meanwhile
	full  map[queueKey]int           // most urgent priority for which no slot was free
	holds map[queueKey]time.Duration // time for which the backend servers are held
	ahead map[queueKey]*workAhead    // work of the requests that stay in the queue
}

func newPass(core *Core) *pass {
	return &pass{
		core:  core,
		waits: make(map[string]shareWait),
		turns: make(map[queueKey]turns),
		full:  make(map[queueKey]int),
		holds: make(map[queueKey]time.Duration),
		ahead: make(map[queueKey]*workAhead),
	}
}

// workAhead is the work of the requests of a key that a pass has left in the queue.
type workAhead struct {
	inTime, late float64
	requests     int
}

// place tries to place a queued request, unless no slot can be free for it.
func (p *pass) place(now time.Time, req *openRequest) {
	key, priority := req.queueKey(), req.priority()
	if full, ok := p.full[key]; (!ok || priority < full) && !p.shareUsed(now, req) {
		if p.core.anySlot(now, key, priority) {
			p.core.place(now, req)
			delete(p.waits, req.service)
			clear(p.turns)
			return
		}
		p.full[key] = priority
	}
	if wait, ok := p.core.config.Quarantine.Admit(now, req.number, req.request); !ok {
		p.core.refuseNotRun(now, req, quarantined, wait)
		return
	}
	p.core.enqueue(now, req)
}

// shareUsed reports whether a queued request to a service without an engine goes on
// waiting for this lobby's share.
func (p *pass) shareUsed(now time.Time, req *openRequest) bool {
	wait, ok := p.waits[req.service]
	if !ok {
		service, _ := p.core.configuration.Service(req.service)
		if _, engine := service.Engine(); !engine {
			wait = p.core.shareWait(now, req.service)
		}
		p.waits[req.service] = wait
	}
	return wait.applies(req, p.core.startBy(req).Before(now))
}

// delay returns the estimated time until a queued request starts: that for which its
// backend servers are held or, as their rates are limited, have no turn for it, and for a late one
// that for the work ahead of it.
func (p *pass) delay(now time.Time, req *openRequest, late bool, work float64) time.Duration {
	var ahead workAhead
	if a, ok := p.ahead[req.queueKey()]; ok {
		ahead = *a
	}
	delay := max(p.holdDelay(now, req), p.turnDelay(now, req, ahead.requests))
	if !late || req.resuming() {
		return delay
	}
	before := ahead.late + min(ahead.inTime, (ahead.late+work)*(1-lateShare)/lateShare)
	return max(delay, p.core.forecast.startDelay(now, req.queueKey(), before))
}

// holdDelay returns the time for which the backend servers that could run a request are
// held. It is the same for all requests of a key that have not been tried anywhere.
func (p *pass) holdDelay(now time.Time, req *openRequest) time.Duration {
	if len(req.tried) > 0 {
		return p.core.holdDelay(now, req, req.tried)
	}
	key := req.queueKey()
	delay, ok := p.holds[key]
	if !ok {
		delay = p.core.holdDelay(now, req, nil)
		p.holds[key] = delay
	}
	return delay
}

// turnDelay returns the time until the backend servers with limited rates that could run a
// request have a turn for it. Their turns are the same for all requests of a key that have not been
// tried anywhere.
func (p *pass) turnDelay(now time.Time, req *openRequest, ahead int) time.Duration {
	if len(req.tried) > 0 {
		return p.core.turnDelay(now, req, req.tried, ahead)
	}
	key := req.queueKey()
	t, ok := p.turns[key]
	if !ok {
		t = p.core.turnsFor(now, key, nil)
		p.turns[key] = t
	}
	return t.delay(now, ahead)
}

// add records that a request stays in the queue.
func (p *pass) add(key queueKey, late bool, work float64) {
	a, ok := p.ahead[key]
	if !ok {
		a = &workAhead{}
		p.ahead[key] = a
	}
	a.requests++
	if late {
		a.late += work
	} else {
		a.inTime += work
	}
}

// anySlot reports whether a backend server may have a slot for requests of a key with a
// given priority, whatever else they need.
func (c *Core) anySlot(now time.Time, key queueKey, priority int) bool {
	service, _ := c.configuration.Service(key.service)
	_, engine := service.Engine()
	for _, s := range c.byService[key.service] {
		if s.admits(now) && c.eligible(key, s) && (!engine || s.hasSlot(priority) && s.serves(now, key.model)) {
			return true
		}
	}
	return false
}
