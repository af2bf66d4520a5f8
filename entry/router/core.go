// Package router selects the side that runs each request, balances load between
// the sides and retries failed attempts. A side is the process that runs beside a
// backend server and queues the attempts for it.
package router

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/protocol"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Domain        string     // failure domain of this entry
	MaxAttempts   int        // maximum number of attempts for one request
	Probes        int        // number of sides that are probed for one request
	RetryShare    float64    // retries allowed per request, on average over recent requests
	Random        *rand.Rand // source for shuffling candidates
	ReportCrashes bool       // emit a CrashReport for each attempt that a crash may have ended
}

// Core makes the routing decisions of an entry. It does no I/O: its caller
// executes the actions that Handle and Tick return. It is not safe for
// concurrent use.
type Core struct {
	config             CoreConfig
	inventory          *fleetstate.Inventory
	sides              map[string]*side
	ordered            []*side             // sorted by name
	placement          map[string][]string // by model; sides that hold it according to the plan
	closed             ClosedSides
	requests           map[string]*requestState
	attempts           map[string]*requestState // by ID of the current attempt
	probing            []*requestState          // requests that await probe replies or were sent meanwhile, oldest first
	affinity           *affinity
	retryBudget        *retryBudget
	deadlinesCheckedAt time.Time // time of the last check of deadlines
}

// requestState is the progress of one open request.
type requestState struct {
	request         Request
	attempt         string // ID of the current attempt, or empty
	side            string // name of the side that has the current attempt
	acceptedBy      string // incarnation of the side that accepted the current attempt
	attemptCount    int    // number of attempts so far
	receivedBytes   int64  // bytes of the answer received from the current attempt
	responseStarted bool   // a part of the answer has been delivered

	prefix        []uint64     // hashes of the prompt's leading blocks
	candidates    []*candidate // sides that were probed; empty unless a selection is under way
	excluded      []string     // names of the sides that had an attempt or cannot take one
	selections    int          // number of times that candidates were selected
	probeDeadline time.Time    // when to send without the missing probe replies

	code       string        // code of the last failure
	mayHaveRun bool          // a backend server may have run an attempt
	retryAfter time.Duration // shortest Retry-After of the failed attempts; 0 if none had one
}

// NewCore returns a core without sides.
func NewCore(config CoreConfig) *Core {
	return &Core{
		config:      config,
		inventory:   fleetstate.EmptyInventory(),
		sides:       make(map[string]*side),
		requests:    make(map[string]*requestState),
		attempts:    make(map[string]*requestState),
		affinity:    newAffinity(),
		retryBudget: newRetryBudget(config.RetryShare),
	}
}

// Open returns the number of requests that have not ended.
func (c *Core) Open() int { return len(c.requests) }

// Handle processes one message and returns the actions to execute.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case Request:
		return c.addRequest(now, m)
	case Abandoned:
		return c.handleAbandoned(m)
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

// Tick sends the requests whose wait for probe replies is over and refuses those
// whose deadline has passed. It returns the actions to execute.
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
		r.recordFailure(protocol.CodeDeadlineExceeded, r.attempt != "", 0)
		actions = append(actions, c.refuse(r))
	}
	return actions
}

// Alarm returns the time at which the oldest wait for probe replies ends, or the
// zero time if no request waits.
func (c *Core) Alarm() time.Time {
	if len(c.probing) == 0 {
		return time.Time{}
	}
	return c.probing[0].probeDeadline
}

func (c *Core) addRequest(now time.Time, m Request) []Action {
	r := &requestState{request: m, attemptCount: m.config.PriorAttempts, mayHaveRun: m.config.PriorAttempts > 0, code: protocol.CodeNoBackend, prefix: hashPrefix(m.config.Model, m.config.Prompt)}
	c.requests[m.config.ID] = r
	c.retryBudget.deposit()
	return c.selectSide(now, r)
}

// send starts the next attempt of a request at the given side.
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

func (r *requestState) submit(now time.Time) protocol.Submit {
	config := r.request.config
	return protocol.NewSubmit(protocol.SubmitConfig{
		Attempt:      r.attempt,
		Request:      config.ID,
		Tenant:       config.Tenant,
		Grant:        config.Grant,
		StateOffset:  config.StateOffset,
		Model:        config.Model,
		Service:      config.Service,
		Method:       config.Method,
		Path:         config.Path,
		ContentType:  config.ContentType,
		Trace:        config.Trace,
		Body:         config.Body,
		PrefixHashes: r.prefix,
		Stream:       config.Stream,
		Urgent:       config.Urgent,
		Idempotent:   config.Idempotent,
		Tokens:       config.Tokens,
		Exclusive:    config.Exclusive,
		Remaining:    config.Deadline.Sub(now),
	})
}

// handleAbandoned removes a request whose answer is no longer wanted.
func (c *Core) handleAbandoned(m Abandoned) []Action {
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
		s.draining = s.draining || receipt.Code() == protocol.CodeDraining
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
			actions = append(actions, c.failUnknownOutcome(now, r, protocol.CodeSideUnreachable)...)
		default:
			actions = append(actions, c.failAttempt(now, r, protocol.CodeSideUnreachable, false, 0)...)
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
		actions = append(actions, c.failUnknownOutcome(now, r, protocol.CodeSideUnreachable)...)
	}
	return actions
}

// updateIncarnation stores the incarnation of a side. If it is new, the side has
// restarted: the attempts that an earlier incarnation accepted fail.
func (c *Core) updateIncarnation(now time.Time, s *side, incarnation string) []Action {
	if s.incarnation == incarnation {
		return nil
	}
	s.incarnation = incarnation
	s.draining, s.reportedAt = false, time.Time{}
	var actions []Action
	for _, r := range c.requestsAt(s) {
		if r.acceptedBy != "" && r.acceptedBy != incarnation {
			actions = append(actions, c.failAttempt(now, r, protocol.CodeSideUnreachable, true, 0)...)
		}
	}
	return actions
}

// requestsAt returns the requests whose current attempt is at the side.
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
	s.draining, s.queued, s.inFlight = m.pages.Draining(), m.pages.Queued(), m.pages.InFlight()
	for _, page := range m.pages.Pages() {
		if r, ok := c.attempts[page.Attempt()]; ok {
			actions = append(actions, c.handlePage(now, r, page)...)
		}
	}
	return actions
}

// handlePage processes one part of an answer. It skips bytes that were already
// delivered, which the side may send again. A gap fails the attempt.
func (c *Core) handlePage(now time.Time, r *requestState, page protocol.Page) []Action {
	overlap := r.receivedBytes - page.Offset()
	if overlap < 0 {
		return c.failUnknownOutcome(now, r, protocol.CodeOutOfOrder)
	}
	data := page.Data()[min(overlap, int64(len(page.Data()))):]
	r.receivedBytes += int64(len(data))
	if page.State() == protocol.AnswerFailed {
		return c.failAttempt(now, r, page.Code(), page.MayHaveRun(), page.RetryAfter())
	}
	complete := page.State() == protocol.AnswerComplete
	if len(data) == 0 && !complete {
		return nil
	}
	r.responseStarted = true
	if complete {
		c.removeRequest(r)
	}
	return []Action{Deliver{
		requestID:   r.request.config.ID,
		status:      page.Status(),
		contentType: page.ContentType(),
		data:        data,
		complete:    complete,
	}}
}

// failAttempt ends the current attempt and retries the request where that is
// allowed. After an attempt that may have run, it retries only if the request is
// idempotent. It never retries once a part of the answer was delivered.
func (c *Core) failAttempt(now time.Time, r *requestState, code string, mayHaveRun bool, retryAfter time.Duration) []Action {
	c.releaseAttempt(r)
	r.recordFailure(code, mayHaveRun, retryAfter)
	var actions []Action
	if c.config.ReportCrashes && mayHaveRun && (code == protocol.CodeAnswerCut || code == protocol.CodeBackendUnreachable) {
		if !r.responseStarted && r.request.config.Idempotent && r.attemptCount < c.config.MaxAttempts && c.allowRetry(code) {
			c.removeRequest(r)
			return []Action{r.crashReport(true)}
		}
		actions = append(actions, r.crashReport(false))
	}
	if r.responseStarted || code == protocol.CodeKeyWithdrawn || (mayHaveRun && !r.request.config.Idempotent) || !c.allowRetry(code) {
		return append(actions, c.refuse(r))
	}
	return append(actions, c.selectSide(now, r)...)
}

// crashReport returns a report of the request with the number of its attempts.
func (r *requestState) crashReport(retry bool) CrashReport {
	request := r.request
	request.config.PriorAttempts = r.attemptCount
	return NewCrashReport(request, retry)
}

// failUnknownOutcome fails an attempt that the side may still hold. It cancels the
// attempt if the request is idempotent. Otherwise the attempt may go on, since
// its effect can be wanted even without the answer.
func (c *Core) failUnknownOutcome(now time.Time, r *requestState, code string) []Action {
	var actions []Action
	if r.request.config.Idempotent {
		actions = append(actions, Cancel{side: r.side, attempt: r.attempt})
	}
	return append(actions, c.failAttempt(now, r, code, true, 0)...)
}

// allowRetry reports whether a retry is allowed. It charges the retry budget,
// except for refusals that cost a side no work.
func (c *Core) allowRetry(code string) bool {
	switch code {
	case protocol.CodeDraining, protocol.CodeRestarted, protocol.CodeNotResident:
		return true
	default:
		return c.retryBudget.withdraw()
	}
}

// recordFailure stores the code of the last failure, whether any attempt may have
// run, and the shortest time after which a retry can succeed.
func (r *requestState) recordFailure(code string, mayHaveRun bool, retryAfter time.Duration) {
	r.code = code
	r.mayHaveRun = r.mayHaveRun || mayHaveRun
	if r.retryAfter == 0 || (retryAfter > 0 && retryAfter < r.retryAfter) {
		r.retryAfter = retryAfter
	}
}

// refuse ends a request with the code of its last failure.
func (c *Core) refuse(r *requestState) Action {
	c.removeRequest(r)
	return Refuse{requestID: r.request.config.ID, refusal: refusalFor(r.code, r.mayHaveRun), retryAfter: max(r.retryAfter, minRetryAfter)}
}

// releaseAttempt removes the current attempt of a request.
func (c *Core) releaseAttempt(r *requestState) {
	delete(c.attempts, r.attempt)
	r.attempt = ""
}

func (c *Core) removeRequest(r *requestState) {
	c.releaseAttempt(r)
	r.candidates = nil
	delete(c.requests, r.request.config.ID)
}

// updateSides replaces the sides by those of a new inventory. Sides that are in
// both keep their state.
func (c *Core) updateSides(inventory *fleetstate.Inventory) {
	c.inventory = inventory
	sides := make(map[string]*side)
	c.ordered = nil
	for _, instance := range inventory.Instances() {
		if instance.Role() != fleetstate.RoleSide {
			continue
		}
		s, ok := c.sides[instance.Name()]
		if !ok {
			s = &side{name: instance.Name()}
		}
		s.domain, s.evacuated = instance.Domain(), inventory.Evacuated(instance.Domain())
		s.backend, _ = inventory.Backend(instance.Backend())
		sides[s.name] = s
		c.ordered = append(c.ordered, s)
	}
	c.sides = sides
}

func refusalFor(code string, mayHaveRun bool) *httpserver.Refusal {
	outcome := httpserver.NotRun
	if mayHaveRun {
		outcome = httpserver.MayHaveRun
	}
	status, message := describe(code)
	return httpserver.NewRefusal(httpserver.RefusalConfig{Status: status, Code: code, Message: message, Outcome: outcome})
}
