// Package idempotency runs each request that carries an Idempotency-Key at most
// once across all entries. An entry appends an intent to the platform's log
// before the run, and the outcome after it. The front end ignores the header on
// idempotent routes, so their requests have no key here.
package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/entry/router"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Table         TableConfig
	MaxCallers    int           // largest number of callers that wait for an answer
	AppendTimeout time.Duration // longest wait for an intent to appear in the log
	MaxWait       time.Duration // longest wait of a caller for a run that another request started
	MaxAnswer     int64         // largest answer that is stored, in bytes
}

// Core decides, for one entry, which requests run and how each caller is
// answered. It does no I/O: the coordinator executes the actions that Handle and
// Tick return.
type Core struct {
	config     CoreConfig
	table      *Table
	callers    map[string]*caller  // by request ID
	waiters    map[string][]string // request IDs of the callers of each scope, oldest first
	runs       map[string]*run     // runs of this entry, by run ID
	activeRuns map[string]*run     // runs of this entry that can still give an answer, by scope
}

// caller is a request that waits for an answer.
type caller struct {
	request     router.Request
	scope       string
	fingerprint string
	waitUntil   time.Time // time at which its wait for another request's run ends
}

type phase uint8

const (
	intentPending  phase = iota // the intent is not in the log yet
	dispatched                  // the request was passed to the router
	outcomePending              // the run has ended; its outcome is not in the log yet
	cancelled                   // the request will not run; its intent may still appear in the log
)

// run is one intent of this entry and the progress of its run.
type run struct {
	id         string
	origin     string         // ID of the request that started the run; its caller gets the answer as it arrives
	request    router.Request // empty once it is not to be dispatched any more
	intent     Intent
	phase      phase
	phaseStart time.Time // time at which the phase began
	answer     []byte
	tooLarge   bool // the answer exceeds MaxAnswer and is not stored
	outcome    Outcome
	retryDelay time.Duration // delay before the outcome is appended again
	retryAt    time.Time
}

// runPrefix distinguishes the IDs of runs from those of other requests at the
// router.
const runPrefix = "run-"

// IsRun reports whether a request ID belongs to a run.
func IsRun(request string) bool { return strings.HasPrefix(request, runPrefix) }

// NewCore returns a core with an empty table.
func NewCore(config CoreConfig) *Core {
	return &Core{
		config:     config,
		table:      NewTable(config.Table),
		callers:    make(map[string]*caller),
		waiters:    make(map[string][]string),
		runs:       make(map[string]*run),
		activeRuns: make(map[string]*run),
	}
}

// Table returns the table built from the log.
func (c *Core) Table() *Table { return c.table }

// Waiting returns the number of callers that wait for an answer.
func (c *Core) Waiting() int { return len(c.callers) }

// Open returns the number of runs, except cancelled ones, whose outcome is not
// in the log yet.
func (c *Core) Open() int {
	open := 0
	for _, r := range c.runs {
		if r.phase != cancelled {
			open++
		}
	}
	return open
}

// Running returns the number of runs that have no outcome yet.
func (c *Core) Running() int {
	running := 0
	for _, r := range c.runs {
		if r.phase == intentPending || r.phase == dispatched {
			running++
		}
	}
	return running
}

// Handle processes one message and returns the actions to execute.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case Received:
		return c.receive(now, m.request)
	case Abandoned:
		c.handleAbandoned(now, m.request)
	case BatchRead:
		return c.applyBatch(now, m)
	case Restored:
		if err := c.table.Restore(m.state); err == nil {
			return c.reconcile(now)
		}
	case NotAppended:
		return c.notAppended(m)
	case Delivered:
		return c.deliver(now, m.part)
	case Failed:
		return c.fail(now, m.refusal)
	}
	return nil
}

// Tick ends waits that have timed out and retries the append of outcomes that
// are not in the log.
func (c *Core) Tick(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.runs)) {
		actions = append(actions, c.tickRun(now, c.runs[id])...)
	}
	for _, id := range slices.Sorted(maps.Keys(c.callers)) {
		waiter := c.callers[id]
		if active := c.activeRuns[waiter.scope]; active != nil && active.origin == id {
			continue
		}
		if !now.Before(waiter.waitUntil) {
			actions = append(actions, c.refuse(id, errInProgress))
		}
	}
	return actions
}

func (c *Core) tickRun(now time.Time, r *run) []Action {
	switch r.phase {
	case intentPending:
		if now.Sub(r.phaseStart) >= c.config.AppendTimeout {
			return c.cancel(now, r, errLogUnavailable)
		}
	case outcomePending:
		if !now.Before(r.retryAt) {
			return []Action{c.appendOutcome(now, r)}
		}
	case cancelled:
		if now.Sub(r.phaseStart) >= cancelledRetention {
			delete(c.runs, r.id)
		}
	case dispatched:
	}
	return nil
}

// receive answers a request from its scope's run or from the table, keeps it
// waiting until that run ends, or starts a run if the scope has none.
func (c *Core) receive(now time.Time, request router.Request) []Action {
	if len(c.callers) >= c.config.MaxCallers {
		return []Action{Refuse{refusal: router.NewRefuse(request.ID(), errOverloaded, retryAfter)}}
	}
	waiter := &caller{request: request, scope: scopeOf(request), fingerprint: fingerprintOf(request), waitUntil: earlier(request.Deadline(), now.Add(c.config.MaxWait))}
	c.callers[request.ID()] = waiter
	c.waiters[waiter.scope] = append(c.waiters[waiter.scope], request.ID())
	if active, ok := c.activeRuns[waiter.scope]; ok {
		return c.answerFromRun(request.ID(), active)
	}
	if s, ok := c.table.states[waiter.scope]; ok {
		return c.answerFromTable(now, request.ID(), s)
	}
	if c.table.Len() >= c.config.Table.Capacity {
		return []Action{c.refuse(request.ID(), errKeysExhausted)}
	}
	if len(c.runs) >= c.config.MaxCallers+maxCancelled {
		return []Action{c.refuse(request.ID(), errLogUnavailable)}
	}
	r := c.addRun(now, waiter)
	return []Action{AppendIntent{intent: r.intent}}
}

func (c *Core) addRun(now time.Time, origin *caller) *run {
	id := runPrefix + origin.request.ID()
	r := &run{
		id:         id,
		origin:     origin.request.ID(),
		request:    origin.request.WithID(id),
		phaseStart: now,
		intent: NewIntent(IntentConfig{
			Scope: origin.scope, Run: id, Fingerprint: origin.fingerprint, At: now, Deadline: origin.request.Deadline(),
		}),
	}
	c.runs[id], c.activeRuns[origin.scope] = r, r
	return r
}

// answerFromRun answers a caller with the outcome of this entry's run, which may
// not be in the log yet. It returns nothing while the run has not ended.
func (c *Core) answerFromRun(request string, active *run) []Action {
	if active.intent.Fingerprint() != c.callers[request].fingerprint {
		return []Action{c.refuse(request, errKeyReused)}
	}
	if active.phase == outcomePending {
		return []Action{c.answer(request, active.outcome)}
	}
	return nil
}

// answerFromTable answers a caller with the outcome in the table. It returns
// nothing while the run has not ended and may still be in progress.
func (c *Core) answerFromTable(now time.Time, request string, s *keyState) []Action {
	waiter := c.callers[request]
	switch {
	case s.intent.Fingerprint() != waiter.fingerprint:
		return []Action{c.refuse(request, errKeyReused)}
	case s.ended:
		return []Action{c.answer(request, s.outcome)}
	case c.activeRuns[waiter.scope] == nil && now.Sub(s.intent.config.Deadline) > outcomeGrace:
		return []Action{c.refuse(request, errOutcomeUnknown)}
	default:
		return nil
	}
}

// answer ends a caller's request with the outcome of the run.
func (c *Core) answer(request string, outcome Outcome) Action {
	switch outcome.Result() {
	case Answered:
		c.removeCaller(request)
		return Forward{part: router.NewDeliver(router.DeliverConfig{
			RequestID:   request,
			Status:      outcome.config.Status,
			ContentType: outcome.config.ContentType,
			Data:        outcome.config.Body,
			Complete:    true,
		})}
	case NotKept:
		return c.refuse(request, errAnswerNotKept)
	case NotRun:
		return c.refuse(request, errNotRun)
	default:
		return c.refuse(request, errOutcomeUnknown)
	}
}

func (c *Core) refuse(request string, refusal *httpserver.Refusal) Action {
	c.removeCaller(request)
	return Refuse{refusal: router.NewRefuse(request, refusal, retryAfter)}
}

// handleAbandoned removes the caller of an abandoned request. It cancels the
// scope's run if that is not dispatched yet and no other caller waits for it.
func (c *Core) handleAbandoned(now time.Time, request string) {
	waiter, ok := c.callers[request]
	if !ok {
		return
	}
	c.removeCaller(request)
	active, ok := c.activeRuns[waiter.scope]
	if ok && active.phase == intentPending && len(c.waiters[waiter.scope]) == 0 {
		c.cancel(now, active, errLogUnavailable)
	}
}

// removeCaller removes a request from the callers and from the waiters of its
// scope.
func (c *Core) removeCaller(request string) {
	waiter, ok := c.callers[request]
	if !ok {
		return
	}
	delete(c.callers, request)
	remaining := slices.DeleteFunc(slices.Clone(c.waiters[waiter.scope]), func(id string) bool { return id == request })
	if len(remaining) == 0 {
		delete(c.waiters, waiter.scope)
		return
	}
	c.waiters[waiter.scope] = remaining
}

// cancel ensures that a run that was not dispatched never is, and refuses its
// waiters. The run is kept, since its intent may still appear in the log.
func (c *Core) cancel(now time.Time, r *run, refusal *httpserver.Refusal) []Action {
	r.phase, r.phaseStart = cancelled, now
	r.request = router.Request{}
	delete(c.activeRuns, r.intent.Scope())
	return c.refuseWaiters(r.intent.Scope(), refusal)
}

func (c *Core) refuseWaiters(scope string, refusal *httpserver.Refusal) []Action {
	var actions []Action
	for _, id := range c.waiters[scope] {
		actions = append(actions, c.refuse(id, refusal))
	}
	return actions
}

func (c *Core) notAppended(m NotAppended) []Action {
	var actions []Action
	for _, id := range m.runs {
		r, ok := c.runs[id]
		if !ok || r.phase != intentPending {
			continue
		}
		delete(c.runs, id)
		delete(c.activeRuns, r.intent.Scope())
		actions = append(actions, c.refuseWaiters(r.intent.Scope(), errLogUnavailable)...)
	}
	return actions
}

// applyBatch applies a record to the table and handles its outcomes and intents.
func (c *Core) applyBatch(now time.Time, m BatchRead) []Action {
	if m.offset < c.table.nextOffset {
		return nil
	}
	c.table.Apply(m.offset, m.batch)
	var actions []Action
	for _, outcome := range m.batch.Outcomes() {
		actions = append(actions, c.handleOutcome(outcome)...)
	}
	for _, intent := range m.batch.Intents() {
		actions = append(actions, c.handleIntent(now, intent)...)
	}
	return actions
}

// handleOutcome removes a run whose outcome has reached the log and answers the
// callers that wait for it.
func (c *Core) handleOutcome(outcome Outcome) []Action {
	if r, ok := c.runs[outcome.Run()]; ok && r.phase == outcomePending {
		c.removeRun(r)
	}
	s, found := c.table.states[outcome.Scope()]
	if found && s.ended {
		outcome = s.outcome
	}
	if (found && !s.ended) || c.activeRuns[outcome.Scope()] != nil {
		return nil
	}
	var actions []Action
	for _, id := range c.waiters[outcome.Scope()] {
		actions = append(actions, c.answer(id, outcome))
	}
	return actions
}

func (c *Core) removeRun(r *run) {
	delete(c.runs, r.id)
	if c.activeRuns[r.intent.Scope()] == r {
		delete(c.activeRuns, r.intent.Scope())
	}
}

// handleIntent handles an intent of this entry that has reached the log. If the
// table accepted the intent, the run is dispatched, or ends with the result
// NotRun if it was cancelled or its deadline has passed. Otherwise the run is
// dropped.
func (c *Core) handleIntent(now time.Time, intent Intent) []Action {
	r, ok := c.runs[intent.Run()]
	if !ok {
		return nil
	}
	s, found := c.table.states[intent.Scope()]
	accepted := found && s.intent.Run() == r.id && !s.ended
	switch {
	case r.phase == cancelled && accepted:
		return c.finish(now, r, NotRun, nil)
	case r.phase != intentPending:
		return nil
	case accepted && now.Before(r.request.Deadline()):
		r.phase, r.phaseStart = dispatched, now
		return []Action{Dispatch{request: r.request}}
	case accepted:
		actions := c.refuseWaiters(intent.Scope(), errDeadlineExceeded)
		return append(actions, c.finish(now, r, NotRun, nil)...)
	default:
		return c.dropRun(now, r, s)
	}
}

// dropRun removes a run whose intent was not accepted, and answers its waiters
// from the state of the scope. s is nil if the table was full.
func (c *Core) dropRun(now time.Time, r *run, s *keyState) []Action {
	delete(c.runs, r.id)
	delete(c.activeRuns, r.intent.Scope())
	if s == nil {
		return c.refuseWaiters(r.intent.Scope(), errKeysExhausted)
	}
	var actions []Action
	for _, id := range c.waiters[r.intent.Scope()] {
		actions = append(actions, c.answerFromTable(now, id, s)...)
	}
	return actions
}

// reconcile updates runs and callers after a snapshot replaced the table. Runs
// whose scope is not in that table are kept: their intents may still appear in
// the log.
func (c *Core) reconcile(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.runs)) {
		r := c.runs[id]
		s, found := c.table.states[r.intent.Scope()]
		switch {
		case r.phase == outcomePending && (!found || s.ended):
			c.removeRun(r)
		case found:
			actions = append(actions, c.handleIntent(now, r.intent)...)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.callers)) {
		waiter := c.callers[id]
		s, found := c.table.states[waiter.scope]
		if found && c.activeRuns[waiter.scope] == nil {
			actions = append(actions, c.answerFromTable(now, id, s)...)
		}
	}
	return actions
}

// deliver forwards a part of a run's answer to the caller that started the run
// and buffers it for the outcome.
func (c *Core) deliver(now time.Time, part router.Deliver) []Action {
	r, ok := c.runs[part.RequestID()]
	if !ok || r.phase != dispatched {
		return nil
	}
	r.buffer(part.Data(), c.config.MaxAnswer)
	var actions []Action
	if _, waits := c.callers[r.origin]; waits {
		actions = append(actions, Forward{part: part.WithRequestID(r.origin)})
	}
	if !part.Complete() {
		return actions
	}
	c.removeCaller(r.origin)
	result := Answered
	if r.tooLarge {
		result = NotKept
	}
	actions = append(actions, c.finish(now, r, result, &part)...)
	for _, id := range c.waiters[r.intent.Scope()] {
		actions = append(actions, c.answer(id, r.outcome))
	}
	return actions
}

func (r *run) buffer(data []byte, limit int64) {
	if r.tooLarge || int64(len(r.answer)+len(data)) > limit {
		r.tooLarge, r.answer = true, nil
		return
	}
	r.answer = append(r.answer, data...)
}

// fail ends a run that gave no complete answer, and refuses its waiters.
func (c *Core) fail(now time.Time, refusal router.Refuse) []Action {
	r, ok := c.runs[refusal.RequestID()]
	if !ok || r.phase != dispatched {
		return nil
	}
	var actions []Action
	for _, id := range c.waiters[r.intent.Scope()] {
		c.removeCaller(id)
		actions = append(actions, Refuse{refusal: refusal.WithRequestID(id)})
	}
	result := Unknown
	if refusal.Refusal().Outcome() == httpserver.NotRun {
		result = NotRun
	}
	return append(actions, c.finish(now, r, result, nil)...)
}

// finish sets a run's outcome, whose append is retried until the outcome is in
// the log. Until then the run blocks its scope, even if the result is NotRun.
// last is the final part of a complete answer, else nil.
func (c *Core) finish(now time.Time, r *run, result Result, last *router.Deliver) []Action {
	config := OutcomeConfig{Scope: r.intent.Scope(), Run: r.id, Result: result, At: now}
	if last != nil {
		config.Status, config.ContentType, config.Body = last.Status(), last.ContentType(), r.answer
	}
	r.phase, r.phaseStart, r.outcome, r.answer = outcomePending, now, NewOutcome(config), nil
	r.request = router.Request{}
	r.retryDelay = minRetryDelay
	return []Action{c.appendOutcome(now, r)}
}

// appendOutcome appends the outcome and doubles the delay before the next retry,
// up to maxRetryDelay.
func (c *Core) appendOutcome(now time.Time, r *run) Action {
	r.retryAt = now.Add(r.retryDelay)
	r.retryDelay = min(2*r.retryDelay, maxRetryDelay)
	return AppendOutcome{outcome: r.outcome}
}

func scopeOf(request router.Request) string {
	return hashParts(request.Tenant(), request.Route(), request.IdempotencyKey())
}

func fingerprintOf(request router.Request) string {
	return hashParts(request.Method(), request.Path(), string(request.Body()))
}

// hashParts returns a hash of the parts. Each part is hashed on its own first,
// so that parts may hold any bytes and their boundaries count.
func hashParts(parts ...string) string {
	hash := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256([]byte(part))
		hash.Write(sum[:])
	}
	return hex.EncodeToString(hash.Sum(nil))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
