// Package booking runs each request that carries an Idempotency-Key at most
// once over all entries: an intent in the platform's log before the run, and
// the outcome after it. Only requests on routes that are not idempotent come
// here.
package booking

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
	Table       TableConfig
	Pending     int           // callers that may wait
	AppendLimit time.Duration // longest wait for an intent to appear in the log
	Wait        time.Duration // longest wait of a caller for the outcome of another's run
	MaxOutcome  int64         // bytes of an answer that is stored
}

// Core is responsible for deciding, at one entry, which request is run and
// what each caller gets. It does no input or output; its duty carries out the
// actions that Handle and Tick return.
type Core struct {
	config  CoreConfig
	table   *Table
	callers map[string]*caller  // by the id of the request
	waiters map[string][]string // ids of the callers by scope, oldest first
	runs    map[string]*run     // this entry's own, by id
	scopes  map[string]*run     // this entry's runs that may yet give an answer
}

// caller is responsible for one request that waits for an answer.
type caller struct {
	ask         usher.Ask
	scope       string
	fingerprint string
	until       time.Time // end of its wait for another's run
}

type phase uint8

const (
	announced  phase = iota // the intent is on its way to the log
	dispatched              // at the usher
	ended                   // the outcome is on its way to the log
	cancelled               // will not be run; the intent may yet appear in the log
)

// run is responsible for one intent of this entry.
type run struct {
	id      string
	origin  string // request that gets the answer as it comes
	ask     usher.Ask
	intent  Intent
	phase   phase
	since   time.Time // of the phase
	answer  []byte
	dropped bool // the answer is too large to be stored
	outcome Outcome
	pause   time.Duration // until the outcome is appended again
	due     time.Time
}

// runPrefix marks the ids of runs among the requests that the usher knows.
const runPrefix = "run-"

// IsRun reports whether a request's id is that of a run.
func IsRun(request string) bool { return strings.HasPrefix(request, runPrefix) }

// NewCore returns a core with an empty table.
func NewCore(config CoreConfig) *Core {
	return &Core{
		config:  config,
		table:   NewTable(config.Table),
		callers: make(map[string]*caller),
		waiters: make(map[string][]string),
		runs:    make(map[string]*run),
		scopes:  make(map[string]*run),
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
		if r.phase == announced || r.phase == dispatched {
			running++
		}
	}
	return running
}

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case Asked:
		return c.ask(now, m.ask)
	case Left:
		c.leave(now, m.request)
	case Folded:
		return c.fold(now, m)
	case Restored:
		if err := c.table.Restore(m.state); err == nil {
			return c.review(now)
		}
	case NotAppended:
		return c.notAppended(m)
	case Delivered:
		return c.deliver(now, m.piece)
	case Failed:
		return c.fail(now, m.refuse)
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
		if own := c.scopes[waiting.scope]; own != nil && own.origin == id {
			continue
		}
		if !now.Before(waiting.until) {
			actions = append(actions, c.refuse(id, errInProgress))
		}
	}
	return actions
}

func (c *Core) tickRun(now time.Time, r *run) []Action {
	switch r.phase {
	case announced:
		if now.Sub(r.since) >= c.config.AppendLimit {
			return c.cancel(now, r, errNoLog)
		}
	case ended:
		if !now.Before(r.due) {
			return []Action{c.report(now, r)}
		}
	case cancelled:
		if now.Sub(r.since) >= cancelledLife {
			delete(c.runs, r.id)
		}
	case dispatched:
	}
	return nil
}

// ask answers a request from the table, has it wait, or announces a run.
func (c *Core) ask(now time.Time, ask usher.Ask) []Action {
	if len(c.callers) >= c.config.Pending {
		return []Action{Refuse{refuse: usher.NewRefuse(ask.Request(), errTooMany, retryAfter)}}
	}
	waiting := &caller{ask: ask, scope: scopeOf(ask), fingerprint: fingerprintOf(ask), until: earlier(ask.Deadline(), now.Add(c.config.Wait))}
	c.callers[ask.Request()] = waiting
	c.waiters[waiting.scope] = append(c.waiters[waiting.scope], ask.Request())
	if own, ok := c.scopes[waiting.scope]; ok {
		return c.answerFromOwn(ask.Request(), own)
	}
	if s, ok := c.table.standing[waiting.scope]; ok {
		return c.answerFrom(now, ask.Request(), s)
	}
	if c.table.Len() >= c.config.Table.Capacity {
		return []Action{c.refuse(ask.Request(), errTableFull)}
	}
	r := c.announce(now, waiting)
	return []Action{Announce{intent: r.intent}}
}

func (c *Core) announce(now time.Time, origin *caller) *run {
	id := runPrefix + origin.ask.Request()
	r := &run{
		id:     id,
		origin: origin.ask.Request(),
		ask:    origin.ask.As(id),
		since:  now,
		intent: NewIntent(IntentConfig{
			Scope: origin.scope, Run: id, Fingerprint: origin.fingerprint, At: now, Deadline: origin.ask.Deadline(),
		}),
	}
	c.runs[id], c.scopes[origin.scope] = r, r
	return r
}

// answerFromOwn gives a caller the outcome of this entry's run, which the log
// may not show yet, or nothing as long as the run has not ended.
func (c *Core) answerFromOwn(request string, own *run) []Action {
	if own.intent.Fingerprint() != c.callers[request].fingerprint {
		return []Action{c.refuse(request, errOtherRequest)}
	}
	if own.phase == ended {
		return []Action{c.give(request, own.outcome)}
	}
	return nil
}

// answerFrom gives a caller what the table holds for its key, or nothing as
// long as the run has not ended.
func (c *Core) answerFrom(now time.Time, request string, s *standing) []Action {
	waiting := c.callers[request]
	switch {
	case s.intent.Fingerprint() != waiting.fingerprint:
		return []Action{c.refuse(request, errOtherRequest)}
	case s.ended:
		return []Action{c.give(request, s.outcome)}
	case c.scopes[waiting.scope] == nil && now.Sub(s.intent.config.Deadline) > lateAfter:
		return []Action{c.refuse(request, errUnknown)}
	default:
		return nil
	}
}

// give ends a caller's request with an outcome.
func (c *Core) give(request string, outcome Outcome) Action {
	switch outcome.Result() {
	case Answered:
		c.drop(request)
		return Pass{piece: usher.NewDeliver(usher.DeliverConfig{
			Request:     request,
			Status:      outcome.config.Status,
			ContentType: outcome.config.ContentType,
			Data:        outcome.config.Body,
			Whole:       true,
		})}
	case NotKept:
		return c.refuse(request, errNotKept)
	case NotRun:
		return c.refuse(request, errReleased)
	default:
		return c.refuse(request, errUnknown)
	}
}

func (c *Core) refuse(request string, refusal *wicket.Refusal) Action {
	c.drop(request)
	return Refuse{refuse: usher.NewRefuse(request, refusal, retryAfter)}
}

// leave forgets a caller. A run that is not dispatched yet and that nobody
// awaits is not run.
func (c *Core) leave(now time.Time, request string) {
	gone, ok := c.callers[request]
	if !ok {
		return
	}
	c.drop(request)
	own, ok := c.scopes[gone.scope]
	if ok && own.phase == announced && len(c.waiters[gone.scope]) == 0 {
		c.cancel(now, own, errNoLog)
	}
}

// drop forgets a caller.
func (c *Core) drop(request string) {
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
	r.phase, r.since = cancelled, now
	delete(c.scopes, r.intent.Scope())
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
		if !ok || r.phase != announced {
			continue
		}
		delete(c.runs, id)
		delete(c.scopes, r.intent.Scope())
		actions = append(actions, c.refuseWaiters(r.intent.Scope(), errNoLog)...)
	}
	return actions
}

// fold takes a record and acts on what it changed.
func (c *Core) fold(now time.Time, m Folded) []Action {
	if m.offset < c.table.next {
		return nil
	}
	c.table.Fold(m.offset, m.batch)
	var actions []Action
	for _, outcome := range m.batch.Outcomes() {
		actions = append(actions, c.settle(outcome)...)
	}
	for _, intent := range m.batch.Intents() {
		actions = append(actions, c.judge(now, intent)...)
	}
	return actions
}

// settle ends a run whose outcome is in the log and answers its waiters.
func (c *Core) settle(outcome Outcome) []Action {
	if r, ok := c.runs[outcome.Run()]; ok && r.phase == ended {
		c.forget(r)
	}
	s, stands := c.table.standing[outcome.Scope()]
	if stands && s.ended {
		outcome = s.outcome
	}
	if (stands && !s.ended) || c.scopes[outcome.Scope()] != nil {
		return nil
	}
	var actions []Action
	for _, id := range c.waiters[outcome.Scope()] {
		actions = append(actions, c.give(id, outcome))
	}
	return actions
}

func (c *Core) forget(r *run) {
	delete(c.runs, r.id)
	if c.scopes[r.intent.Scope()] == r {
		delete(c.scopes, r.intent.Scope())
	}
}

// judge acts on an intent of this entry: the one that stands is dispatched,
// any other is not run.
func (c *Core) judge(now time.Time, intent Intent) []Action {
	r, ok := c.runs[intent.Run()]
	if !ok {
		return nil
	}
	s, stands := c.table.standing[intent.Scope()]
	won := stands && s.intent.Run() == r.id && !s.ended
	switch {
	case r.phase == cancelled && won:
		return c.end(now, r, NotRun, nil)
	case r.phase != announced:
		return nil
	case won && now.Before(r.ask.Deadline()):
		r.phase, r.since = dispatched, now
		return []Action{Dispatch{ask: r.ask}}
	case won:
		actions := c.refuseWaiters(intent.Scope(), errExpired)
		return append(actions, c.end(now, r, NotRun, nil)...)
	default:
		return c.yield(now, r, s)
	}
}

// yield drops a run whose scope belongs to another one.
func (c *Core) yield(now time.Time, r *run, s *standing) []Action {
	delete(c.runs, r.id)
	delete(c.scopes, r.intent.Scope())
	if s == nil {
		return c.refuseWaiters(r.intent.Scope(), errTableFull)
	}
	var actions []Action
	for _, id := range c.waiters[r.intent.Scope()] {
		actions = append(actions, c.answerFrom(now, id, s)...)
	}
	return actions
}

// review acts on a table that a snapshot replaced. An intent that neither
// stands there nor was rejected may yet appear in the log.
func (c *Core) review(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.runs)) {
		r := c.runs[id]
		s, stands := c.table.standing[r.intent.Scope()]
		switch {
		case r.phase == ended && (!stands || s.ended):
			c.forget(r)
		case stands:
			actions = append(actions, c.judge(now, r.intent)...)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.callers)) {
		waiting := c.callers[id]
		s, stands := c.table.standing[waiting.scope]
		if stands && c.scopes[waiting.scope] == nil {
			actions = append(actions, c.answerFrom(now, id, s)...)
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
	r.keep(piece.Data(), c.config.MaxOutcome)
	var actions []Action
	if _, waits := c.callers[r.origin]; waits {
		actions = append(actions, Pass{piece: piece.As(r.origin)})
	}
	if !piece.Whole() {
		return actions
	}
	c.drop(r.origin)
	result := Answered
	if r.dropped {
		result = NotKept
	}
	actions = append(actions, c.end(now, r, result, &piece)...)
	for _, id := range c.waiters[r.intent.Scope()] {
		actions = append(actions, c.give(id, r.outcome))
	}
	return actions
}

func (r *run) keep(data []byte, limit int64) {
	if r.dropped || int64(len(r.answer)+len(data)) > limit {
		r.dropped, r.answer = true, nil
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
		c.drop(id)
		actions = append(actions, Refuse{refuse: refuse.As(id)})
	}
	result := Unknown
	if refuse.Refusal().Outcome() == wicket.NotRun {
		result = NotRun
	}
	return append(actions, c.end(now, r, result, nil)...)
}

// end notes a run's outcome and has it appended until the log shows it. A run
// that was not run makes room for the next one of its scope only then.
func (c *Core) end(now time.Time, r *run, result Result, last *usher.Deliver) []Action {
	config := OutcomeConfig{Scope: r.intent.Scope(), Run: r.id, Result: result, At: now}
	if last != nil {
		config.Status, config.ContentType, config.Body = last.Status(), last.ContentType(), r.answer
	}
	r.phase, r.since, r.outcome, r.answer = ended, now, NewOutcome(config), nil
	r.pause = firstPause
	return []Action{c.report(now, r)}
}

// report has the outcome appended and waits longer each time.
func (c *Core) report(now time.Time, r *run) Action {
	r.due = now.Add(r.pause)
	r.pause = min(2*r.pause, longestPause)
	return Report{outcome: r.outcome}
}

func scopeOf(ask usher.Ask) string { return digest(ask.Tenant(), ask.Route(), ask.Key()) }

func fingerprintOf(ask usher.Ask) string {
	return digest(ask.Method(), ask.Path(), string(ask.Body()))
}

// digest returns a hash of parts, which may hold any bytes.
func digest(parts ...string) string {
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
