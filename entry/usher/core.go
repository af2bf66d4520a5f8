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
	Domain      string  // failure domain of this entry
	MaxAttempts int     // attempts for one request in all
	Probes      int     // sides that are asked for one request
	RetryShare  float64 // retries for one request, on average over recent ones
	Random      *rand.Rand
}

// Core is responsible for every routing decision of an entry. It does no input
// or output; its duty carries out the actions that Handle and Tick return.
type Core struct {
	config    CoreConfig
	inventory *register.Inventory
	sides     map[string]*side
	ordered   []*side             // by name
	copies    map[string][]string // sides that hold a model, by the plan
	closed    Closed
	requests  map[string]*request
	attempts  map[string]*request // by the id of the current attempt
	probing   []*request          // oldest first; may hold some that are placed
	affinity  *affinity
	budget    *budget
	checked   time.Time // when deadlines were checked last
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

	prefix     []uint64
	candidates []*candidate
	excluded   []string // sides that had an attempt or cannot take one
	rounds     int
	probeBy    time.Time

	code       string // cause of the last failure
	ran        bool   // an attempt may have run
	retryAfter time.Duration
}

// NewCore returns a core that knows no sides.
func NewCore(config CoreConfig) *Core {
	return &Core{
		config:    config,
		inventory: register.Empty(),
		sides:     make(map[string]*side),
		requests:  make(map[string]*request),
		attempts:  make(map[string]*request),
		affinity:  newAffinity(),
		budget:    newBudget(config.RetryShare),
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
	case Reported:
		return c.reported(now, m)
	case Unanswered:
		return c.unanswered(now, m)
	case Placed:
		c.copies = m.copies
	case Receipted:
		return c.receipted(now, m)
	case Unsent:
		return c.unsent(now, m)
	case Read:
		return c.read(now, m)
	case Lost:
		return c.lost(now, m)
	case Closed:
		c.closed = m
	case Revised:
		c.revise(m.inventory)
	}
	return nil
}

// Tick places the requests whose probes were not answered in time and ends
// those whose time is over.
func (c *Core) Tick(now time.Time) []Action {
	actions := c.placeDue(now)
	if now.Sub(c.checked) < tickPeriod {
		return actions
	}
	c.checked = now
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		r := c.requests[id]
		if now.Before(r.ask.config.Deadline) {
			continue
		}
		if r.attempt != "" {
			actions = append(actions, Cancel{side: r.side, attempt: r.attempt})
		}
		r.note(notice.CodeExpired, r.attempt != "", 0)
		actions = append(actions, c.refuse(r))
	}
	return actions
}

// Alarm returns the time at which Tick is due next, or the zero time.
func (c *Core) Alarm() time.Time {
	if len(c.probing) == 0 {
		return time.Time{}
	}
	return c.probing[0].probeBy
}

func (c *Core) ask(now time.Time, m Ask) []Action {
	r := &request{ask: m, code: notice.CodeNoBackend, prefix: hashPrefix(m.config.Model, m.config.Prompt)}
	c.requests[m.config.Request] = r
	c.budget.earn()
	return c.seek(now, r)
}

// send makes the next attempt, at the given side.
func (c *Core) send(now time.Time, r *request, to *side) []Action {
	r.count++
	r.attempt = fmt.Sprintf("%s.%d", r.ask.config.Request, r.count)
	r.side, r.accepted, r.received = to.name, "", 0
	r.excluded = append(r.excluded, to.name)
	to.sent++
	to.uses++
	c.attempts[r.attempt] = r
	c.affinity.note(r.prefix, to.name)
	return []Action{Send{side: to.name, submit: r.submit(now)}}
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
		Prefix:      r.prefix,
		Stream:      a.Stream,
		Urgent:      a.Urgent,
		Idempotent:  a.Idempotent,
		Tokens:      a.Tokens,
		Remaining:   a.Deadline.Sub(now),
	})
}

func (c *Core) leave(m Leave) []Action {
	r, ok := c.requests[m.request]
	if !ok {
		return nil
	}
	var actions []Action
	if r.attempt != "" {
		actions = append(actions, Cancel{side: r.side, attempt: r.attempt})
	}
	c.forget(r)
	return actions
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
		actions = append(actions, c.failed(now, r, receipt.Code(), false, receipt.RetryAfter())...)
	}
	return actions
}

func (c *Core) unsent(now time.Time, m Unsent) []Action {
	if s, ok := c.sides[m.side]; ok {
		s.failedAt = now
	}
	var actions []Action
	for _, id := range m.attempts {
		r, ok := c.attempts[id]
		switch {
		case !ok:
		case m.ran:
			actions = append(actions, c.giveUp(now, r, notice.CodeLinkLost)...)
		default:
			actions = append(actions, c.failed(now, r, notice.CodeLinkLost, false, 0)...)
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
	var actions []Action
	for _, r := range c.openAt(s) {
		actions = append(actions, c.giveUp(now, r, notice.CodeLinkLost)...)
	}
	return actions
}

// meet notes the incarnation of a side and fails the attempts that an earlier
// incarnation had taken.
func (c *Core) meet(now time.Time, s *side, incarnation string) []Action {
	if s.incarnation == incarnation {
		return nil
	}
	s.incarnation = incarnation
	s.leaving, s.reportedAt = false, time.Time{}
	var actions []Action
	for _, r := range c.openAt(s) {
		if r.accepted != "" && r.accepted != incarnation {
			actions = append(actions, c.failed(now, r, notice.CodeLinkLost, true, 0)...)
		}
	}
	return actions
}

// openAt returns the requests whose current attempt is at the side.
func (c *Core) openAt(s *side) []*request {
	var open []*request
	for _, id := range slices.Sorted(maps.Keys(c.attempts)) {
		if r := c.attempts[id]; r.side == s.name {
			open = append(open, r)
		}
	}
	return open
}

func (c *Core) read(now time.Time, m Read) []Action {
	s, ok := c.sides[m.side]
	if !ok {
		return nil
	}
	actions := c.meet(now, s, m.pages.Side())
	s.leaving, s.queued, s.inFlight = m.pages.Leaving(), m.pages.Queued(), m.pages.InFlight()
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
		return c.giveUp(now, r, notice.CodeDropped)
	}
	data := page.Data()[min(overlap, int64(len(page.Data()))):]
	r.received += int64(len(data))
	if page.State() == notice.Failed {
		return c.failed(now, r, page.Code(), page.Ran(), page.RetryAfter())
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

// failed ends an attempt and retries its request where that is allowed: an
// attempt that may have run only if the request is idempotent and nothing of
// an answer was delivered.
func (c *Core) failed(now time.Time, r *request, code string, ran bool, retryAfter time.Duration) []Action {
	c.release(r)
	r.note(code, ran, retryAfter)
	if r.started || code == notice.CodeWithdrawn || (ran && !r.ask.config.Idempotent) || !c.mayRetry(code) {
		return []Action{c.refuse(r)}
	}
	return c.seek(now, r)
}

// giveUp fails an attempt that the side may still have, and ends it there when
// its effect is not wanted without its answer.
func (c *Core) giveUp(now time.Time, r *request, code string) []Action {
	var actions []Action
	if r.ask.config.Idempotent {
		actions = append(actions, Cancel{side: r.side, attempt: r.attempt})
	}
	return append(actions, c.failed(now, r, code, true, 0)...)
}

// mayRetry asks the retry budget, save for the causes that cost a side nothing.
func (c *Core) mayRetry(code string) bool {
	switch code {
	case notice.CodeLeaving, notice.CodeRestarted, notice.CodeNotResident:
		return true
	default:
		return c.budget.spend()
	}
}

// note keeps the cause of the last failure, whether any attempt may have run,
// and the earliest useful time of a retry.
func (r *request) note(code string, ran bool, retryAfter time.Duration) {
	r.code = code
	r.ran = r.ran || ran
	if r.retryAfter == 0 || (retryAfter > 0 && retryAfter < r.retryAfter) {
		r.retryAfter = retryAfter
	}
}

func (c *Core) refuse(r *request) Action {
	c.forget(r)
	return Refuse{request: r.ask.config.Request, refusal: refusalFor(r.code, r.ran), retryAfter: max(r.retryAfter, minRetryAfter)}
}

// release ends the current attempt.
func (c *Core) release(r *request) {
	delete(c.attempts, r.attempt)
	r.attempt = ""
}

func (c *Core) forget(r *request) {
	c.release(r)
	r.candidates = nil
	delete(c.requests, r.ask.config.Request)
}

// revise takes over the sides of a new inventory and keeps what is known of
// those that stay.
func (c *Core) revise(inventory *register.Inventory) {
	c.inventory = inventory
	sides := make(map[string]*side)
	c.ordered = nil
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
		c.ordered = append(c.ordered, s)
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
