// Package booking runs each request that carries an Idempotency-Key at most
// once over all entries: an intent in the platform's log before the run, and
// the outcome after it. Only requests on routes that are not idempotent come
// here.
package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/wicket"
	"sesamewell.example/entry/usher"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Table         TableConfig
	MaxCallers    int           // callers that may wait
	AppendTimeout time.Duration // longest wait for an intent to appear in the log
	MaxWait       time.Duration // longest wait of a caller for the outcome of another's run
	MaxAnswer     int64         // bytes of an answer that is stored
}

// Core is responsible for deciding, at one entry, which request is run and
// what each caller gets. It does no input or output; its duty carries out the
// actions that Handle and Tick return.
type Core struct {
	config     CoreConfig
	table      *Table
	callers    map[string]*caller  // by the id of the request
	waiters    map[string][]string // ids of the callers by scope, oldest first
	runs       map[string]*run     // this entry's own, by id
	activeRuns map[string]*run     // this entry's runs that may yet give an answer
}

// caller is responsible for one request that waits for an answer.
type caller struct {
	request     usher.Ask
	scope       string
	fingerprint string
	waitUntil   time.Time // end of its wait for another's run
}

type phase uint8

const (
	intentPending  phase = iota // the intent is on its way to the log
	dispatched                  // at the usher
	outcomePending              // the outcome is on its way to the log
	cancelled                   // will not be run; the intent may yet appear in the log
)

// run is responsible for one intent of this entry.
type run struct {
	id         string
	origin     string // request that gets the answer as it comes
	request    usher.Ask
	intent     Intent
	phase      phase
	phaseStart time.Time // of the phase
	answer     []byte
	tooLarge   bool // the answer is too large to be stored
	outcome    Outcome
	retryDelay time.Duration // until the outcome is appended again
	retryAt    time.Time
}

// runPrefix marks the ids of runs among the requests that the usher knows.
const runPrefix = "run-"

// IsRun reports whether a request's id is that of a run.
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

// Table returns the fold of the log.
func (c *Core) Table() *Table { return c.table }

// Waiting returns the number of callers that wait.
func (c *Core) Waiting() int { return len(c.callers) }

// Open returns the number of runs whose outcome the log does not show yet.
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

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case Received:
		return c.receive(now, m.request)
	case CallerLeft:
		c.callerLeft(now, m.request)
	case BatchRead:
		return c.applyBatch(now, m)
	case Restored:
		if err := c.table.Restore(m.state); err == nil {
			return c.reconcile(now)
		}
	case NotAppended:
		return c.notAppended(m)
	case Delivered:
		return c.deliver(now, m.piece)
	case Failed:
		return c.fail(now, m.refusal)
	}
	return nil
}

// Tick ends the waits that are over and appends outcomes again that the log
// does not show.
func (c *Core) Tick(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.runs)) {
		actions = append(actions, c.tickRun(now, c.runs[id])...)
	}
	for _, id := range slices.Sorted(maps.Keys(c.callers)) {
		waiting := c.callers[id]
		if own := c.activeRuns[waiting.scope]; own != nil && own.origin == id {
			continue
		}
		if !now.Before(waiting.waitUntil) {
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

// ask answers a request from the table, has it wait, or announces a run.
func (c *Core) receive(now time.Time, ask usher.Ask) []Action {
	if len(c.callers) >= c.config.MaxCallers {
		return []Action{Refuse{refusal: usher.NewRefuse(ask.Request(), errOverloaded, retryAfter)}}
	}
	waiting := &caller{request: ask, scope: scopeOf(ask), fingerprint: fingerprintOf(ask), waitUntil: earlier(ask.Deadline(), now.Add(c.config.MaxWait))}
	c.callers[ask.Request()] = waiting
	c.waiters[waiting.scope] = append(c.waiters[waiting.scope], ask.Request())
	if own, ok := c.activeRuns[waiting.scope]; ok {
		return c.answerFromRun(ask.Request(), own)
	}
	if s, ok := c.table.states[waiting.scope]; ok {
		return c.answerFromTable(now, ask.Request(), s)
	}
	if c.table.Len() >= c.config.Table.Capacity {
		return []Action{c.refuse(ask.Request(), errKeysExhausted)}
	}
	r := c.addRun(now, waiting)
	return []Action{AppendIntent{intent: r.intent}}
}

func (c *Core) addRun(now time.Time, origin *caller) *run {
	id := runPrefix + origin.request.Request()
	r := &run{
		id:         id,
		origin:     origin.request.Request(),
		request:    origin.request.As(id),
		phaseStart: now,
		intent: NewIntent(IntentConfig{
			Scope: origin.scope, Run: id, Fingerprint: origin.fingerprint, At: now, Deadline: origin.request.Deadline(),
		}),
	}
	c.runs[id], c.activeRuns[origin.scope] = r, r
	return r
}

// answerFromOwn gives a caller the outcome of this entry's run, which the log
// may not show yet, or nothing as long as the run has not ended.
func (c *Core) answerFromRun(request string, own *run) []Action {
	if own.intent.Fingerprint() != c.callers[request].fingerprint {
		return []Action{c.refuse(request, errKeyReused)}
	}
	if own.phase == outcomePending {
		return []Action{c.answer(request, own.outcome)}
	}
	return nil
}

// answerFrom gives a caller what the table holds for its key, or nothing as
// long as the run has not ended.
func (c *Core) answerFromTable(now time.Time, request string, s *keyState) []Action {
	waiting := c.callers[request]
	switch {
	case s.intent.Fingerprint() != waiting.fingerprint:
		return []Action{c.refuse(request, errKeyReused)}
	case s.ended:
		return []Action{c.answer(request, s.outcome)}
	case c.activeRuns[waiting.scope] == nil && now.Sub(s.intent.config.Deadline) > outcomeGrace:
		return []Action{c.refuse(request, errOutcomeUnknown)}
	default:
		return nil
	}
}

// give ends a caller's request with an outcome.
func (c *Core) answer(request string, outcome Outcome) Action {
	switch outcome.Result() {
	case Answered:
		c.removeCaller(request)
		return Forward{piece: usher.NewDeliver(usher.DeliverConfig{
			Request:     request,
			Status:      outcome.config.Status,
			ContentType: outcome.config.ContentType,
			Data:        outcome.config.Body,
			Whole:       true,
		})}
	case NotKept:
		return c.refuse(request, errAnswerNotKept)
	case NotRun:
		return c.refuse(request, errNotRun)
	default:
		return c.refuse(request, errOutcomeUnknown)
	}
}

func (c *Core) refuse(request string, refusal *wicket.Refusal) Action {
	c.removeCaller(request)
	return Refuse{refusal: usher.NewRefuse(request, refusal, retryAfter)}
}

// leave forgets a caller. A run that is not dispatched yet and that nobody
// awaits is not run.
func (c *Core) callerLeft(now time.Time, request string) {
	gone, ok := c.callers[request]
	if !ok {
		return
	}
	c.removeCaller(request)
	own, ok := c.activeRuns[gone.scope]
	if ok && own.phase == intentPending && len(c.waiters[gone.scope]) == 0 {
		c.cancel(now, own, errLogUnavailable)
	}
}

// drop forgets a caller.
func (c *Core) removeCaller(request string) {
	gone, ok := c.callers[request]
	if !ok {
		return
	}
	delete(c.callers, request)
	rest := slices.DeleteFunc(slices.Clone(c.waiters[gone.scope]), func(id string) bool { return id == request })
	if len(rest) == 0 {
		delete(c.waiters, gone.scope)
		return
	}
	c.waiters[gone.scope] = rest
}

// cancel makes sure that a run that was not dispatched never will be.
func (c *Core) cancel(now time.Time, r *run, refusal *wicket.Refusal) []Action {
	r.phase, r.phaseStart = cancelled, now
	delete(c.activeRuns, r.intent.Scope())
	return c.refuseWaiters(r.intent.Scope(), refusal)
}

func (c *Core) refuseWaiters(scope string, refusal *wicket.Refusal) []Action {
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

// fold takes a record and acts on what it changed.
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

// settle ends a run whose outcome is in the log and answers its waiters.
func (c *Core) handleOutcome(outcome Outcome) []Action {
	if r, ok := c.runs[outcome.Run()]; ok && r.phase == outcomePending {
		c.removeRun(r)
	}
	s, stands := c.table.states[outcome.Scope()]
	if stands && s.ended {
		outcome = s.outcome
	}
	if (stands && !s.ended) || c.activeRuns[outcome.Scope()] != nil {
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

// judge acts on an intent of this entry: the one that stands is dispatched,
// any other is not run.
func (c *Core) handleIntent(now time.Time, intent Intent) []Action {
	r, ok := c.runs[intent.Run()]
	if !ok {
		return nil
	}
	s, stands := c.table.states[intent.Scope()]
	won := stands && s.intent.Run() == r.id && !s.ended
	switch {
	case r.phase == cancelled && won:
		return c.finish(now, r, NotRun, nil)
	case r.phase != intentPending:
		return nil
	case won && now.Before(r.request.Deadline()):
		r.phase, r.phaseStart = dispatched, now
		return []Action{Dispatch{request: r.request}}
	case won:
		actions := c.refuseWaiters(intent.Scope(), errDeadlineExceeded)
		return append(actions, c.finish(now, r, NotRun, nil)...)
	default:
		return c.abandon(now, r, s)
	}
}

// yield drops a run whose scope belongs to another one.
func (c *Core) abandon(now time.Time, r *run, s *keyState) []Action {
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

// review acts on a table that a snapshot replaced. An intent that neither
// stands there nor was rejected may yet appear in the log.
func (c *Core) reconcile(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.runs)) {
		r := c.runs[id]
		s, stands := c.table.states[r.intent.Scope()]
		switch {
		case r.phase == outcomePending && (!stands || s.ended):
			c.removeRun(r)
		case stands:
			actions = append(actions, c.handleIntent(now, r.intent)...)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.callers)) {
		waiting := c.callers[id]
		s, stands := c.table.states[waiting.scope]
		if stands && c.activeRuns[waiting.scope] == nil {
			actions = append(actions, c.answerFromTable(now, id, s)...)
		}
	}
	return actions
}

// deliver passes a piece of a run's answer on and keeps it for the outcome.
func (c *Core) deliver(now time.Time, piece usher.Deliver) []Action {
	r, ok := c.runs[piece.Request()]
	if !ok || r.phase != dispatched {
		return nil
	}
	r.buffer(piece.Data(), c.config.MaxAnswer)
	var actions []Action
	if _, waits := c.callers[r.origin]; waits {
		actions = append(actions, Forward{piece: piece.As(r.origin)})
	}
	if !piece.Whole() {
		return actions
	}
	c.removeCaller(r.origin)
	result := Answered
	if r.tooLarge {
		result = NotKept
	}
	actions = append(actions, c.finish(now, r, result, &piece)...)
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

// fail ends a run that gave no whole answer.
func (c *Core) fail(now time.Time, refuse usher.Refuse) []Action {
	r, ok := c.runs[refuse.Request()]
	if !ok || r.phase != dispatched {
		return nil
	}
	var actions []Action
	for _, id := range c.waiters[r.intent.Scope()] {
		c.removeCaller(id)
		actions = append(actions, Refuse{refusal: refuse.As(id)})
	}
	result := Unknown
	if refuse.Refusal().Outcome() == wicket.NotRun {
		result = NotRun
	}
	return append(actions, c.finish(now, r, result, nil)...)
}

// end notes a run's outcome and has it appended until the log shows it. A run
// that was not run makes room for the next one of its scope only then.
func (c *Core) finish(now time.Time, r *run, result Result, last *usher.Deliver) []Action {
	config := OutcomeConfig{Scope: r.intent.Scope(), Run: r.id, Result: result, At: now}
	if last != nil {
		config.Status, config.ContentType, config.Body = last.Status(), last.ContentType(), r.answer
	}
	r.phase, r.phaseStart, r.outcome, r.answer = outcomePending, now, NewOutcome(config), nil
	r.retryDelay = minRetryDelay
	return []Action{c.appendOutcome(now, r)}
}

// report has the outcome appended and waits longer each time.
func (c *Core) appendOutcome(now time.Time, r *run) Action {
	r.retryAt = now.Add(r.retryDelay)
	r.retryDelay = min(2*r.retryDelay, maxRetryDelay)
	return AppendOutcome{outcome: r.outcome}
}

func scopeOf(ask usher.Ask) string { return hashParts(ask.Tenant(), ask.Route(), ask.Key()) }

func fingerprintOf(ask usher.Ask) string {
	return hashParts(ask.Method(), ask.Path(), string(ask.Body()))
}

// digest returns a hash of parts, which may hold any bytes.
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
