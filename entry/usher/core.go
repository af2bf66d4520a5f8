// Package usher decides which side runs each request and what happens when an
// attempt fails: routing and retries.
package usher

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
	"sesamewell.example/commons/wicket"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Domain      string // failure domain of this entry
	MaxAttempts int    // attempts for one request in all
	Random      *rand.Rand
}

// Core is responsible for every routing decision of an entry. It does no input
// or output; its duty carries out the actions that Handle and Tick return.
type Core struct {
	config    CoreConfig
	inventory *register.Inventory
	sides     map[string]*side
	requests  map[string]*request
	attempts  map[string]*request // by the id of the current attempt
}

// side is responsible for what the entry knows of one side.
type side struct {
	name        string
	domain      string
	backend     register.Backend
	incarnation string
	leaving     bool
	queued      int // as last reported
	open        int // this entry's own attempts
	failedAt    time.Time
}

// request is responsible for one request's progress.
type request struct {
	ask      Ask
	attempt  string
	side     string
	accepted string // incarnation that gave the receipt
	count    int
	received int64
	started  bool // bytes have been delivered
	ran      bool // an earlier attempt may have been run
	tried    []string
}

// NewCore returns a core that knows no sides.
func NewCore(config CoreConfig) *Core {
	return &Core{
		config:    config,
		inventory: register.Empty(),
		sides:     make(map[string]*side),
		requests:  make(map[string]*request),
		attempts:  make(map[string]*request),
	}
}

// Open returns the number of requests without an end.
func (c *Core) Open() int { return len(c.requests) }

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case Ask:
		return c.ask(now, m)
	case Leave:
		return c.leave(m)
	case Receipted:
		return c.receipted(now, m)
	case Unsent:
		return c.unsent(now, m)
	case Read:
		return c.read(now, m)
	case Lost:
		return c.lost(now, m)
	case Revised:
		c.revise(m.inventory)
	}
	return nil
}

// Tick ends the requests whose time is over.
func (c *Core) Tick(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		r := c.requests[id]
		if now.Before(r.ask.config.Deadline) {
			continue
		}
		if r.attempt != "" {
			actions = append(actions, Cancel{side: r.side, attempt: r.attempt})
		}
		actions = append(actions, c.refuse(r, notice.CodeExpired, r.attempt != "", 0))
	}
	return actions
}

func (c *Core) ask(now time.Time, m Ask) []Action {
	r := &request{ask: m}
	c.requests[m.config.Request] = r
	return []Action{c.try(now, r, notice.CodeNoBackend, 0)}
}

// try sends the request to the best side that has not refused it yet.
func (c *Core) try(now time.Time, r *request, code string, retryAfter time.Duration) Action {
	if r.count >= c.config.MaxAttempts {
		return c.refuse(r, code, false, retryAfter)
	}
	best := c.choose(now, r)
	if best == nil {
		return c.refuse(r, code, false, retryAfter)
	}
	r.count++
	r.attempt = fmt.Sprintf("%s.%d", r.ask.config.Request, r.count)
	r.side, r.accepted, r.received = best.name, "", 0
	r.tried = append(r.tried, best.name)
	best.open++
	c.attempts[r.attempt] = r
	return Send{side: best.name, submit: r.submit(now)}
}

func (r *request) submit(now time.Time) notice.Submit {
	a := r.ask.config
	return notice.NewSubmit(notice.SubmitConfig{
		Attempt:     r.attempt,
		Request:     a.Request,
		Tenant:      a.Tenant,
		Grant:       a.Grant,
		State:       a.State,
		Model:       a.Model,
		Service:     a.Service,
		Method:      a.Method,
		Path:        a.Path,
		ContentType: a.ContentType,
		Trace:       a.Trace,
		Body:        a.Body,
		Stream:      a.Stream,
		Urgent:      a.Urgent,
		Idempotent:  a.Idempotent,
		Tokens:      a.Tokens,
		Remaining:   a.Deadline.Sub(now),
	})
}

// choose returns the side with the least load that may run the request.
func (c *Core) choose(now time.Time, r *request) *side {
	var best *side
	var bestLoad float64
	for _, name := range slices.Sorted(maps.Keys(c.sides)) {
		s := c.sides[name]
		if !s.serves(r.ask) || s.leaving || slices.Contains(r.tried, name) || now.Sub(s.failedAt) < failurePause {
			continue
		}
		load := s.load(c.config.Domain) + c.config.Random.Float64()*tieBreak
		if best == nil || load < bestLoad {
			best, bestLoad = s, load
		}
	}
	return best
}

func (s *side) serves(ask Ask) bool {
	if s.backend.Draining() {
		return false
	}
	if ask.config.Service != "" {
		return s.backend.Service() == ask.config.Service
	}
	return s.backend.Kind() == register.Engine
}

// load is the expected share of the backend server's slots in use, with a
// handicap for a side in another failure domain.
func (s *side) load(domain string) float64 {
	load := float64(s.open+s.queued) / float64(max(s.backend.Slots(), 1))
	if s.domain != domain {
		load += farHandicap
	}
	return load
}

func (c *Core) leave(m Leave) []Action {
	r, ok := c.requests[m.request]
	if !ok {
		return nil
	}
	action := Cancel{side: r.side, attempt: r.attempt}
	c.forget(r)
	return []Action{action}
}

func (c *Core) receipted(now time.Time, m Receipted) []Action {
	s, ok := c.sides[m.side]
	if !ok {
		return nil
	}
	actions := c.meet(now, s, m.receipts.Side())
	for _, receipt := range m.receipts.Receipts() {
		r, ok := c.attempts[receipt.Attempt()]
		if !ok {
			continue
		}
		if receipt.Accepted() {
			r.accepted = m.receipts.Side()
			continue
		}
		s.leaving = s.leaving || receipt.Code() == notice.CodeLeaving
		c.release(r)
		actions = append(actions, c.try(now, r, receipt.Code(), receipt.RetryAfter()))
	}
	return actions
}

func (c *Core) unsent(now time.Time, m Unsent) []Action {
	if s, ok := c.sides[m.side]; ok {
		s.failedAt = now
	}
	var actions []Action
	for _, id := range m.attempts {
		if r, ok := c.attempts[id]; ok {
			actions = append(actions, c.failed(now, r, notice.CodeLinkLost, m.ran, 0))
		}
	}
	return actions
}

func (c *Core) lost(now time.Time, m Lost) []Action {
	s, ok := c.sides[m.side]
	if !ok {
		return nil
	}
	s.failedAt = now
	return c.failAll(now, s, func(r *request) bool { return true })
}

// meet notes the incarnation of a side and fails the attempts that an earlier
// incarnation had taken.
func (c *Core) meet(now time.Time, s *side, incarnation string) []Action {
	if s.incarnation == incarnation {
		return nil
	}
	s.incarnation = incarnation
	s.leaving = false
	return c.failAll(now, s, func(r *request) bool { return r.accepted != "" && r.accepted != incarnation })
}

func (c *Core) failAll(now time.Time, s *side, lost func(r *request) bool) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.attempts)) {
		r := c.attempts[id]
		if r.side == s.name && lost(r) {
			actions = append(actions, c.failed(now, r, notice.CodeLinkLost, true, 0))
		}
	}
	return actions
}

func (c *Core) read(now time.Time, m Read) []Action {
	s, ok := c.sides[m.side]
	if !ok {
		return nil
	}
	actions := c.meet(now, s, m.pages.Side())
	s.leaving, s.queued = m.pages.Leaving(), m.pages.Queued()
	for _, page := range m.pages.Pages() {
		if r, ok := c.attempts[page.Attempt()]; ok {
			actions = append(actions, c.page(now, r, page)...)
		}
	}
	return actions
}

// page takes one piece of an answer. Bytes that were delivered already, because
// the side sent them again, are passed over.
func (c *Core) page(now time.Time, r *request, page notice.Page) []Action {
	overlap := r.received - page.Offset()
	if overlap < 0 {
		return []Action{c.failed(now, r, notice.CodeDropped, true, 0)}
	}
	data := page.Data()[min(overlap, int64(len(page.Data()))):]
	r.received += int64(len(data))
	if page.State() == notice.Failed {
		return []Action{c.failed(now, r, page.Code(), page.Ran(), page.RetryAfter())}
	}
	whole := page.State() == notice.Whole
	if len(data) == 0 && !whole {
		return nil
	}
	r.started = true
	if whole {
		c.forget(r)
	}
	return []Action{Deliver{
		request:     r.ask.config.Request,
		status:      page.Status(),
		contentType: page.ContentType(),
		data:        data,
		whole:       whole,
	}}
}

// failed ends an attempt and retries its request where that is allowed.
func (c *Core) failed(now time.Time, r *request, code string, ran bool, retryAfter time.Duration) Action {
	c.release(r)
	r.ran = r.ran || ran
	if r.started || code == notice.CodeWithdrawn || (ran && !r.ask.config.Idempotent) {
		return c.refuse(r, code, ran, retryAfter)
	}
	if ran && r.count >= c.config.MaxAttempts {
		return c.refuse(r, code, true, retryAfter)
	}
	return c.try(now, r, code, retryAfter)
}

func (c *Core) refuse(r *request, code string, ran bool, retryAfter time.Duration) Action {
	c.forget(r)
	return Refuse{request: r.ask.config.Request, refusal: refusalFor(code, ran || r.ran), retryAfter: max(retryAfter, minRetryAfter)}
}

// release frees the side's place that an attempt held.
func (c *Core) release(r *request) {
	if _, ok := c.attempts[r.attempt]; !ok {
		return
	}
	delete(c.attempts, r.attempt)
	if s, ok := c.sides[r.side]; ok {
		s.open--
	}
}

func (c *Core) forget(r *request) {
	c.release(r)
	delete(c.requests, r.ask.config.Request)
}

// revise takes over the sides of a new inventory and keeps what is known of
// those that stay.
func (c *Core) revise(inventory *register.Inventory) {
	c.inventory = inventory
	sides := make(map[string]*side)
	for _, instance := range inventory.Instances() {
		if instance.Role() != register.Side {
			continue
		}
		s, ok := c.sides[instance.Name()]
		if !ok {
			s = &side{name: instance.Name()}
		}
		s.domain = instance.Domain()
		s.backend, _ = inventory.Backend(instance.Backend())
		sides[s.name] = s
	}
	c.sides = sides
}

func refusalFor(code string, ran bool) *wicket.Refusal {
	outcome := wicket.NotRun
	if ran {
		outcome = wicket.MayHaveRun
	}
	status, message := explain(code)
	return wicket.NewRefusal(wicket.RefusalConfig{Status: status, Code: code, Message: message, Outcome: outcome})
}
