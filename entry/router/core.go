// Package usher decides which side runs each request and what happens when an
// attempt fails: routing and retries.
package router

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
	Domain        string  // failure domain of this entry
	MaxAttempts   int     // attempts for one request in all
	Probes        int     // sides that are asked for one request
	RetryShare    float64 // retries for one request, on average over recent ones
	Random        *rand.Rand
	ReportCrashes bool // hand the requests of a crash over as Crashed
}

// Core is responsible for every routing decision of an entry. It does no input
// or output; its duty carries out the actions that Handle and Tick return.
type Core struct {
	config             CoreConfig
	inventory          *register.Inventory
	sides              map[string]*side
	ordered            []*side             // by name
	placement          map[string][]string // sides that hold a model, by the plan
	closed             ClosedSides
	requests           map[string]*requestState
	attempts           map[string]*requestState // by the id of the current attempt
	probing            []*requestState          // oldest first; may hold some that are placed
	affinity           *affinity
	retryBudget        *retryBudget
	deadlinesCheckedAt time.Time // when deadlines were checked last
}

// request is responsible for one request's progress.
type requestState struct {
	request         Request
	attempt         string
	side            string
	acceptedBy      string // incarnation that gave the receipt
	attemptCount    int
	receivedBytes   int64
	responseStarted bool // bytes have been delivered

	prefix        []uint64
	candidates    []*candidate
	excluded      []string // sides that had an attempt or cannot take one
	selections    int
	probeDeadline time.Time

	code       string // cause of the last failure
	mayHaveRun bool   // an attempt may have run
	retryAfter time.Duration
}

// NewCore returns a core that knows no sides.
func NewCore(config CoreConfig) *Core {
	return &Core{
		config:      config,
		inventory:   register.Empty(),
		sides:       make(map[string]*side),
		requests:    make(map[string]*requestState),
		attempts:    make(map[string]*requestState),
		affinity:    newAffinity(),
		retryBudget: newRetryBudget(config.RetryShare),
	}
}

// Open returns the number of requests without an end.
func (c *Core) Open() int { return len(c.requests) }

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case Request:
		return c.addRequest(now, m)
	case Abandoned:
		return c.abandon(m)
	case ProbeReply:
		return c.handleProbeReply(now, m)
	case ProbeFailed:
		return c.handleProbeFailed(now, m)
	case PlacementChanged:
		c.placement = m.copies
	case SubmitReply:
		return c.handleSubmitReply(now, m)
	case SubmitFailed:
		return c.handleSubmitFailed(now, m)
	case ReadReply:
		return c.handleReadReply(now, m)
	case SideUnreachable:
		return c.handleUnreachable(now, m)
	case ClosedSides:
		c.closed = m
	case InventoryChanged:
		c.updateSides(m.inventory)
	}
	return nil
}

// Tick places the requests whose probes were not answered in time and ends
// those whose time is over.
func (c *Core) Tick(now time.Time) []Action {
	actions := c.sendOverdue(now)
	if now.Sub(c.deadlinesCheckedAt) < tickPeriod {
		return actions
	}
	c.deadlinesCheckedAt = now
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		r := c.requests[id]
		if now.Before(r.request.config.Deadline) {
			continue
		}
		if r.attempt != "" {
			actions = append(actions, Cancel{side: r.side, attempt: r.attempt})
		}
		r.recordFailure(notice.CodeExpired, r.attempt != "", 0)
		actions = append(actions, c.refuse(r))
	}
	return actions
}

// Alarm returns the time at which Tick is due next, or the zero time.
func (c *Core) Alarm() time.Time {
	if len(c.probing) == 0 {
		return time.Time{}
	}
	return c.probing[0].probeDeadline
}

func (c *Core) addRequest(now time.Time, m Request) []Action {
	r := &requestState{request: m, attemptCount: m.config.PriorAttempts, mayHaveRun: m.config.PriorAttempts > 0, code: notice.CodeNoBackend, prefix: hashPrefix(m.config.Model, m.config.Prompt)}
	c.requests[m.config.ID] = r
	c.retryBudget.deposit()
	return c.selectSide(now, r)
}

// send makes the next attempt, at the given side.
func (c *Core) send(now time.Time, r *requestState, to *side) []Action {
	r.attemptCount++
	r.attempt = fmt.Sprintf("%s.%d", r.request.config.ID, r.attemptCount)
	r.side, r.acceptedBy, r.receivedBytes = to.name, "", 0
	r.excluded = append(r.excluded, to.name)
	to.sentSinceReport++
	to.reportUses++
	c.attempts[r.attempt] = r
	c.affinity.record(r.prefix, to.name)
	return []Action{Send{side: to.name, submit: r.submit(now)}}
}

func (r *requestState) submit(now time.Time) notice.Submit {
	a := r.request.config
	return notice.NewSubmit(notice.SubmitConfig{
		Attempt:     r.attempt,
		Request:     a.ID,
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
		Alone:       a.Alone,
		Remaining:   a.Deadline.Sub(now),
	})
}

func (c *Core) abandon(m Abandoned) []Action {
	r, ok := c.requests[m.requestID]
	if !ok {
		return nil
	}
	var actions []Action
	if r.attempt != "" {
		actions = append(actions, Cancel{side: r.side, attempt: r.attempt})
	}
	c.removeRequest(r)
	return actions
}

func (c *Core) handleSubmitReply(now time.Time, m SubmitReply) []Action {
	s, ok := c.sides[m.side]
	if !ok {
		return nil
	}
	actions := c.updateIncarnation(now, s, m.receipts.Side())
	for _, receipt := range m.receipts.Receipts() {
		r, ok := c.attempts[receipt.Attempt()]
		if !ok {
			continue
		}
		if receipt.Accepted() {
			r.acceptedBy = m.receipts.Side()
			continue
		}
		s.leaving = s.leaving || receipt.Code() == notice.CodeLeaving
		actions = append(actions, c.failAttempt(now, r, receipt.Code(), false, receipt.RetryAfter())...)
	}
	return actions
}

func (c *Core) handleSubmitFailed(now time.Time, m SubmitFailed) []Action {
	if s, ok := c.sides[m.side]; ok {
		s.failedAt = now
	}
	var actions []Action
	for _, id := range m.attempts {
		r, ok := c.attempts[id]
		switch {
		case !ok:
		case m.mayHaveRun:
			actions = append(actions, c.failUnknownOutcome(now, r, notice.CodeLinkLost)...)
		default:
			actions = append(actions, c.failAttempt(now, r, notice.CodeLinkLost, false, 0)...)
		}
	}
	return actions
}

func (c *Core) handleUnreachable(now time.Time, m SideUnreachable) []Action {
	s, ok := c.sides[m.side]
	if !ok {
		return nil
	}
	s.failedAt = now
	var actions []Action
	for _, r := range c.requestsAt(s) {
		actions = append(actions, c.failUnknownOutcome(now, r, notice.CodeLinkLost)...)
	}
	return actions
}

// meet notes the incarnation of a side and fails the attempts that an earlier
// incarnation had taken.
func (c *Core) updateIncarnation(now time.Time, s *side, incarnation string) []Action {
	if s.incarnation == incarnation {
		return nil
	}
	s.incarnation = incarnation
	s.leaving, s.reportedAt = false, time.Time{}
	var actions []Action
	for _, r := range c.requestsAt(s) {
		if r.acceptedBy != "" && r.acceptedBy != incarnation {
			actions = append(actions, c.failAttempt(now, r, notice.CodeLinkLost, true, 0)...)
		}
	}
	return actions
}

// openAt returns the requests whose current attempt is at the side.
func (c *Core) requestsAt(s *side) []*requestState {
	var open []*requestState
	for _, id := range slices.Sorted(maps.Keys(c.attempts)) {
		if r := c.attempts[id]; r.side == s.name {
			open = append(open, r)
		}
	}
	return open
}

func (c *Core) handleReadReply(now time.Time, m ReadReply) []Action {
	s, ok := c.sides[m.side]
	if !ok {
		return nil
	}
	actions := c.updateIncarnation(now, s, m.pages.Side())
	s.leaving, s.queued, s.inFlight = m.pages.Leaving(), m.pages.Queued(), m.pages.InFlight()
	for _, page := range m.pages.Pages() {
		if r, ok := c.attempts[page.Attempt()]; ok {
			actions = append(actions, c.handlePage(now, r, page)...)
		}
	}
	return actions
}

// page takes one piece of an answer. Bytes that were delivered already, because
// the side sent them again, are passed over.
func (c *Core) handlePage(now time.Time, r *requestState, page notice.Page) []Action {
	overlap := r.receivedBytes - page.Offset()
	if overlap < 0 {
		return c.failUnknownOutcome(now, r, notice.CodeDropped)
	}
	data := page.Data()[min(overlap, int64(len(page.Data()))):]
	r.receivedBytes += int64(len(data))
	if page.State() == notice.Failed {
		return c.failAttempt(now, r, page.Code(), page.Ran(), page.RetryAfter())
	}
	whole := page.State() == notice.Whole
	if len(data) == 0 && !whole {
		return nil
	}
	r.responseStarted = true
	if whole {
		c.removeRequest(r)
	}
	return []Action{Deliver{
		requestID:   r.request.config.ID,
		status:      page.Status(),
		contentType: page.ContentType(),
		data:        data,
		complete:    whole,
	}}
}

// failed ends an attempt and retries its request where that is allowed: an
// attempt that may have run only if the request is idempotent and nothing of
// an answer was delivered.
func (c *Core) failAttempt(now time.Time, r *requestState, code string, ran bool, retryAfter time.Duration) []Action {
	c.releaseAttempt(r)
	r.recordFailure(code, ran, retryAfter)
	var actions []Action
	if c.config.ReportCrashes && ran && (code == notice.CodeCut || code == notice.CodeUnreachable) {
		if !r.responseStarted && r.request.config.Idempotent && r.attemptCount < c.config.MaxAttempts && c.allowRetry(code) {
			c.removeRequest(r)
			return []Action{r.crashReport(true)}
		}
		actions = append(actions, r.crashReport(false))
	}
	if r.responseStarted || code == notice.CodeWithdrawn || (ran && !r.request.config.Idempotent) || !c.allowRetry(code) {
		return append(actions, c.refuse(r))
	}
	return append(actions, c.selectSide(now, r)...)
}

// crashed hands the request over with the number of its attempts.
func (r *requestState) crashReport(retry bool) CrashReport {
	ask := r.request
	ask.config.PriorAttempts = r.attemptCount
	return NewCrashReport(ask, retry)
}

// giveUp fails an attempt that the side may still have, and ends it there when
// its effect is not wanted without its answer.
func (c *Core) failUnknownOutcome(now time.Time, r *requestState, code string) []Action {
	var actions []Action
	if r.request.config.Idempotent {
		actions = append(actions, Cancel{side: r.side, attempt: r.attempt})
	}
	return append(actions, c.failAttempt(now, r, code, true, 0)...)
}

// mayRetry asks the retry budget, save for the causes that cost a side nothing.
func (c *Core) allowRetry(code string) bool {
	switch code {
	case notice.CodeLeaving, notice.CodeRestarted, notice.CodeNotResident:
		return true
	default:
		return c.retryBudget.withdraw()
	}
}

// note keeps the cause of the last failure, whether any attempt may have run,
// and the earliest useful time of a retry.
func (r *requestState) recordFailure(code string, ran bool, retryAfter time.Duration) {
	r.code = code
	r.mayHaveRun = r.mayHaveRun || ran
	if r.retryAfter == 0 || (retryAfter > 0 && retryAfter < r.retryAfter) {
		r.retryAfter = retryAfter
	}
}

func (c *Core) refuse(r *requestState) Action {
	c.removeRequest(r)
	return Refuse{requestID: r.request.config.ID, refusal: refusalFor(r.code, r.mayHaveRun), retryAfter: max(r.retryAfter, minRetryAfter)}
}

// release ends the current attempt.
func (c *Core) releaseAttempt(r *requestState) {
	delete(c.attempts, r.attempt)
	r.attempt = ""
}

func (c *Core) removeRequest(r *requestState) {
	c.releaseAttempt(r)
	r.candidates = nil
	delete(c.requests, r.request.config.ID)
}

// revise takes over the sides of a new inventory and keeps what is known of
// those that stay.
func (c *Core) updateSides(inventory *register.Inventory) {
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
	status, message := describe(code)
	return wicket.NewRefusal(wicket.RefusalConfig{Status: status, Code: code, Message: message, Outcome: outcome})
}
