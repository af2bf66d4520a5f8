// Package dispatcher admits and queues the attempts for one backend server, hands
// them to runners, and buffers each answer until its entry has received it.
package dispatcher

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/protocol"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Incarnation  string        // ID of this start of the side
	Concurrency  int           // maximum number of attempts that the backend server runs at once
	QueueLimit   int           // maximum number of queued attempts
	PrefixBlocks int           // number of prompt blocks in one generation of the prefix index
	Residency    Residency     // nil if every model is always resident
	MaxBuffered  int64         // maximum number of unconfirmed bytes of one answer
	MaxBodies    int64         // maximum number of bytes of the requests that are queued or run; zero for no limit
	MaxAnswers   int64         // maximum number of unconfirmed bytes of all answers; zero for no limit
	FlushDelay   time.Duration // time for which chunks are collected before a read is answered
}

// Residency reports which models the backend server has loaded. It is called from
// the dispatcher's thread.
type Residency interface {
	// Resident reports whether the backend server can run requests for the model.
	Resident(model string) bool
}

// Core decides on admission, the order of runs, and replies. It does no I/O itself;
// the Dispatcher executes the actions that Handle and Tick return.
type Core struct {
	config           CoreConfig
	attempts         map[string]*attempt
	queue            *queue
	latency          latencyEstimator
	prefixes         *prefixIndex
	admitted         uint64 // number of attempts admitted so far
	bodies           int64  // bytes of the requests of all attempts
	buffered         int64  // unconfirmed bytes of all answers
	running          int
	waitingExclusive []*attempt // at most one attempt, which runs next once no other runs
	runningExclusive bool       // the running attempt has to run alone
	limit            limit
	limitAlarm       time.Time // time of the turn that queued attempts wait for; zero if they wait for none
	readers          map[string]*entryReader
	readerOrder      []*entryReader       // in order of arrival, so that the order of actions is deterministic
	tombstones       map[string]tombstone // ended and refused attempts, so that a delayed copy is not run
	draining         bool
	drainReported    bool

	revision *fleetstate.Revision
	stale    bool // the revision is not proven fresh
}

// tombstone records an attempt that has ended or was refused.
type tombstone struct {
	endedAt time.Time
	code    string // cause of the refusal, or ""
}

// entryReader holds the state of one entry's reads.
type entryReader struct {
	entry        string
	attempts     map[string]*attempt
	reply        ReplySink // recipient of the open read's reply; nil if no read is open
	deadline     time.Time // time by which the open read is answered
	pendingSince time.Time // time since which there is something to send; zero if there is nothing
	lastReadAt   time.Time
	lastRead     uint64 // number of the last read
	drainSent    bool   // the last reply stated that the side is draining
}

// NewCore returns a core without attempts.
func NewCore(config CoreConfig) *Core {
	return &Core{
		config:     config,
		queue:      newQueue(config.Concurrency),
		prefixes:   newPrefixIndex(config.PrefixBlocks),
		revision:   fleetstate.InitialRevision(),
		attempts:   make(map[string]*attempt),
		readers:    make(map[string]*entryReader),
		tombstones: make(map[string]tombstone),
	}
}

// Queued returns the number of queued attempts.
func (c *Core) Queued() int { return c.queue.Len() + len(c.waitingExclusive) }

// Running returns the number of attempts that run at the backend server.
func (c *Core) Running() int { return c.running }

// Draining reports whether new attempts are refused because the side is draining.
func (c *Core) Draining() bool { return c.draining }

// Handle processes one message and returns the actions to execute.
func (c *Core) Handle(now time.Time, message Message) []Action {
	var actions []Action
	switch m := message.(type) {
	case BatchReceived:
		actions = c.handleBatch(now, m)
	case ReadRequested:
		actions = c.handleRead(now, m)
	case ProbeRequested:
		actions = append(actions, c.answerProbe(now, m))
	case HeaderReceived:
		actions = c.handleHeader(now, m)
	case ChunkReceived:
		actions = c.appendChunk(now, m)
	case AttemptEnded:
		c.handleEnded(now, m)
	case RevisionChanged:
		c.revision = m.revision
		actions = c.endWithdrawn(now)
	case FreshnessChanged:
		c.stale = !m.fresh
		c.refuseQueued(now)
	case Drain:
		c.draining = true
		c.wakeReaders(now)
	}
	return c.emitDue(now, actions)
}

// Tick drops expired state and lost entries, and returns the actions that are due
// at now.
func (c *Core) Tick(now time.Time) []Action {
	for id, t := range c.tombstones {
		if now.Sub(t.endedAt) > tombstoneTTL {
			delete(c.tombstones, id)
		}
	}
	var actions []Action
	c.queue.prune()
	for _, reader := range slices.Clone(c.readerOrder) {
		if now.Sub(reader.lastReadAt) > entryTimeout {
			actions = append(actions, c.dropEntry(now, reader)...)
		}
	}
	return c.emitDue(now, actions)
}

// Alarm returns the time at which the next open read must be answered or the next turn
// comes, or the zero time if nothing waits for either.
func (c *Core) Alarm() time.Time {
	alarm := c.limitAlarm
	for _, reader := range c.readerOrder {
		if reader.reply == nil {
			continue
		}
		due := reader.deadline
		if !reader.pendingSince.IsZero() && reader.pendingSince.Add(c.config.FlushDelay).Before(due) {
			due = reader.pendingSince.Add(c.config.FlushDelay)
		}
		if alarm.IsZero() || due.Before(alarm) {
			alarm = due
		}
	}
	return alarm
}

func (c *Core) handleBatch(now time.Time, m BatchReceived) []Action {
	var actions []Action
	for _, id := range m.batch.Cancels() {
		actions = append(actions, c.cancel(now, id)...)
	}
	current := m.batch.Side() == "" || m.batch.Side() == c.config.Incarnation
	receipts := make([]protocol.Receipt, 0, len(m.batch.Submits()))
	for _, submit := range m.batch.Submits() {
		code := protocol.CodeRestarted
		if current {
			code = c.admitOnce(now, m.batch.Entry(), submit)
		}
		config := protocol.ReceiptConfig{Attempt: submit.Attempt(), Accepted: code == "", Code: code}
		if code == protocol.CodeQueueFull || code == protocol.CodeWouldExpire {
			config.RetryAfter = c.estimateWait(now, submit.Tenant(), submit.Urgent())
		}
		receipts = append(receipts, protocol.NewReceipt(config))
	}
	answer := protocol.NewReceipts(protocol.ReceiptsConfig{Side: c.config.Incarnation, Receipts: receipts})
	return append(actions, AnswerBatch{reply: m.reply, receipts: answer})
}

// admitOnce admits an attempt, or returns the cause of its refusal. A copy of an
// attempt gets the same result as the attempt: a copy of an admitted attempt is not
// run again, and a copy of a refused attempt is never run.
func (c *Core) admitOnce(now time.Time, entry string, submit protocol.Submit) string {
	id := submit.Attempt()
	if _, ok := c.attempts[id]; ok {
		return ""
	}
	if earlier, ok := c.tombstones[id]; ok {
		return earlier.code
	}
	code := c.admit(now, entry, submit)
	if code != "" {
		c.tombstones[id] = tombstone{endedAt: now, code: code}
	}
	return code
}

// admit queues an attempt or returns the cause of its refusal.
func (c *Core) admit(now time.Time, entry string, submit protocol.Submit) string {
	if c.draining {
		return protocol.CodeDraining
	}
	if c.stale {
		return protocol.CodeNotCurrent
	}
	if !c.keyValid(submit) {
		return protocol.CodeKeyWithdrawn
	}
	if !c.resident(submit.Model()) {
		return protocol.CodeNotResident
	}
	if c.estimateWait(now, submit.Tenant(), submit.Urgent()) > submit.Remaining() {
		return protocol.CodeWouldExpire
	}
	if exceeds(c.bodies+int64(len(submit.Body())), c.config.MaxBodies) || c.full() && !c.makeRoom(now, submit) {
		return protocol.CodeQueueFull
	}
	c.admitted++
	c.bodies += int64(len(submit.Body()))
	a := &attempt{submit: submit, entry: entry, sequence: c.admitted, arrivedAt: now, deadline: now.Add(submit.Remaining())}
	c.attempts[submit.Attempt()] = a
	c.readerFor(now, entry).attempts[submit.Attempt()] = a
	c.queue.push(a)
	return ""
}

func (c *Core) resident(model string) bool {
	return model == "" || c.config.Residency == nil || c.config.Residency.Resident(model)
}

func (c *Core) full() bool {
	return c.running+c.Queued() >= c.config.Concurrency+c.config.QueueLimit
}

// exceeds reports whether there are more bytes than a limit allows. Zero is no limit.
func exceeds(bytes, limit int64) bool { return limit > 0 && bytes > limit }

// makeRoom evicts a queued attempt in favour of a new one. It returns false if no
// queued attempt has to give way.
func (c *Core) makeRoom(now time.Time, newcomer protocol.Submit) bool {
	victim := c.queue.evictionCandidate(newcomer)
	if victim == nil {
		return false
	}
	c.queue.remove(victim)
	victim.retryAfter = c.estimateWait(now, victim.submit.Tenant(), victim.submit.Urgent())
	c.drop(now, victim, protocol.CodeQueueFull)
	return true
}

// drop fails an attempt that was removed from the queue without being run.
func (c *Core) drop(now time.Time, a *attempt, code string) {
	a.fail(code, false)
	c.markPending(now, a)
}

// estimateWait estimates how long a new attempt would wait for a slot and a turn.
func (c *Core) estimateWait(now time.Time, tenant string, urgent bool) time.Duration {
	turn := c.limit.wait(now, c.Queued())
	if c.running < c.config.Concurrency && c.Queued() == 0 {
		return turn
	}
	return max(c.latency.wait(c.queue.countAhead(tenant, urgent), c.config.Concurrency), turn)
}

// answerProbe returns the reply to a probe: the load of the side and an estimate
// for each request.
func (c *Core) answerProbe(now time.Time, m ProbeRequested) Action {
	estimates := make([]protocol.Estimate, 0, len(m.probe.Queries()))
	for _, query := range m.probe.Queries() {
		estimates = append(estimates, protocol.NewEstimate(protocol.EstimateConfig{
			Request:       query.Request(),
			Resident:      c.resident(query.Model()),
			MatchedBlocks: c.prefixes.match(query.PrefixHashes()),
			FirstToken:    c.estimateWait(now, query.Tenant(), query.Urgent()) + c.latency.firstByte.value,
		}))
	}
	return AnswerProbe{reply: m.reply, report: protocol.NewReport(protocol.ReportConfig{
		Side:      c.config.Incarnation,
		Draining:  c.draining,
		Queued:    c.Queued(),
		InFlight:  c.running,
		Slots:     c.config.Concurrency,
		Estimates: estimates,
	})}
}

// handleRead holds a read open until there is something to send. A read that
// arrives after a later one of the same entry, or is still open when a later one
// arrives, fails with ErrSuperseded: its caller has given up, so that pages sent to
// it would be lost.
func (c *Core) handleRead(now time.Time, m ReadRequested) []Action {
	reader := c.readerFor(now, m.read.Entry())
	if m.read.Number() <= reader.lastRead {
		return []Action{AnswerRead{reply: m.reply, err: ErrSuperseded}}
	}
	reader.lastRead = m.read.Number()
	reader.lastReadAt = now
	for _, position := range m.read.Positions() {
		c.confirm(now, position)
	}
	if m.read.Resume() {
		for _, a := range reader.attempts {
			a.rewind()
		}
	}
	var actions []Action
	if reader.reply != nil {
		actions = append(actions, AnswerRead{reply: reader.reply, err: ErrSuperseded})
	}
	reader.reply = m.reply
	reader.deadline = now.Add(min(m.read.Wait(), maxReadWait))
	reader.pendingSince = time.Time{}
	if (c.draining && !reader.drainSent) || anyPending(reader) {
		reader.pendingSince = now
	}
	return actions
}

func (c *Core) confirm(now time.Time, position protocol.Position) {
	a, ok := c.attempts[position.Attempt()]
	if !ok {
		return
	}
	c.buffered -= a.confirm(position.Offset())
	if position.Ended() && a.phase == phaseEnded {
		c.remove(now, a)
	}
}

func (c *Core) handleHeader(now time.Time, m HeaderReceived) []Action {
	a, ok := c.attempts[m.attempt]
	if !ok {
		return nil
	}
	a.status, a.contentType = m.status, m.contentType
	before := c.limit.rate
	if !c.limit.hear(now, m.limit, a.startedAt) {
		return nil
	}
	return []Action{RecordLimit{rate: m.limit, before: before}}
}

func (c *Core) appendChunk(now time.Time, m ChunkReceived) []Action {
	a, ok := c.attempts[m.attempt]
	if !ok || a.phase != phaseRunning || a.cancelled || a.keyWithdrawn {
		return nil
	}
	if int64(len(a.buffer)+len(m.data)) > c.config.MaxBuffered {
		return c.cutAnswer(now, a)
	}
	c.chargeTokens(now, a, m.data)
	a.buffer = append(a.buffer, m.data...)
	c.buffered += int64(len(m.data))
	c.markPending(now, a)
	if exceeds(c.buffered, c.config.MaxAnswers) {
		return c.shed(now)
	}
	return nil
}

// cutAnswer ends the answer of a running attempt that has become too large.
func (c *Core) cutAnswer(now time.Time, a *attempt) []Action {
	c.releaseSlot(now, a)
	a.fail(protocol.CodeAnswerTooLarge, true)
	c.markPending(now, a)
	return []Action{Stop{attempt: a.submit.Attempt()}}
}

// shed drops the answer of which most bytes have not been sent, and ends it.
func (c *Core) shed(now time.Time) []Action {
	var largest *attempt
	for _, id := range slices.Sorted(maps.Keys(c.attempts)) {
		if a := c.attempts[id]; largest == nil || a.unsent() > largest.unsent() {
			largest = a
		}
	}
	c.buffered -= largest.dropUnsent()
	switch {
	case largest.phase == phaseEnded:
		largest.fail(protocol.CodeAnswerTooLarge, true)
		c.markPending(now, largest)
	case !largest.cancelled && !largest.keyWithdrawn:
		return c.cutAnswer(now, largest)
	}
	return nil
}

// chargeTokens charges the tokens of a chunk to the tenant and records the time to
// the first byte.
func (c *Core) chargeTokens(now time.Time, a *attempt, data []byte) {
	if !a.responseStarted {
		a.responseStarted = true
		c.latency.firstByte.add(now.Sub(a.startedAt))
	}
	tokens := len(data) / bytesPerToken
	if a.submit.Stream() {
		tokens = bytes.Count(data, eventDelimiter)
	}
	c.queue.charge(a, int64(tokens))
}

func (c *Core) handleEnded(now time.Time, m AttemptEnded) {
	a, ok := c.attempts[m.attempt]
	if !ok || a.phase != phaseRunning {
		return
	}
	c.releaseSlot(now, a)
	if a.keyWithdrawn && !a.cancelled {
		c.failWithdrawn(now, a)
		return
	}
	if m.code == "" {
		a.phase = phaseEnded
		a.state = protocol.AnswerComplete
	} else {
		a.fail(m.code, m.mayHaveRun)
	}
	if a.cancelled {
		c.remove(now, a)
		return
	}
	c.markPending(now, a)
}

// cancel ends an attempt whose answer is no longer needed. A running attempt that
// is not idempotent is left to finish without delivering its answer, because its
// effect is still wanted.
func (c *Core) cancel(now time.Time, id string) []Action {
	a, ok := c.attempts[id]
	if !ok {
		c.tombstones[id] = tombstone{endedAt: now}
		return nil
	}
	switch a.phase {
	case phaseQueued:
		c.dequeue(a)
		c.remove(now, a)
	case phaseRunning:
		a.cancelled = true
		if a.submit.Idempotent() {
			return []Action{Stop{attempt: id}}
		}
	case phaseEnded:
		c.remove(now, a)
	}
	return nil
}

// dropEntry cancels the attempts of an entry that has stopped reading.
func (c *Core) dropEntry(now time.Time, reader *entryReader) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(reader.attempts)) {
		actions = append(actions, c.cancel(now, id)...)
	}
	if reader.reply == nil && len(reader.attempts) == 0 {
		delete(c.readers, reader.entry)
		c.readerOrder = slices.DeleteFunc(c.readerOrder, func(other *entryReader) bool { return other == reader })
	}
	return actions
}

func (c *Core) remove(now time.Time, a *attempt) {
	id := a.submit.Attempt()
	delete(c.attempts, id)
	c.bodies -= int64(len(a.submit.Body()))
	c.buffered -= int64(len(a.buffer))
	c.tombstones[id] = tombstone{endedAt: now}
	if reader, ok := c.readers[a.entry]; ok {
		delete(reader.attempts, id)
	}
}

// emitDue appends the actions that are due: it starts attempts, answers reads, and
// reports the end of a drain.
func (c *Core) emitDue(now time.Time, actions []Action) []Action {
	actions = c.dispatch(now, actions)
	for _, reader := range c.readerOrder {
		if reader.reply != nil && c.replyDue(now, reader) {
			actions = append(actions, c.sendPages(reader))
		}
	}
	if c.draining && !c.drainReported && len(c.attempts) == 0 {
		c.drainReported = true
		actions = append(actions, Drained{})
	}
	return actions
}

// dispatch hands attempts to the runners while there are free slots, and drops
// those that have expired or whose model is no longer resident.
func (c *Core) dispatch(now time.Time, actions []Action) []Action {
	c.limitAlarm = time.Time{}
	if c.queue.Len() == 0 && len(c.waitingExclusive) == 0 {
		return actions
	}
	for _, a := range c.queue.popExpired(now) {
		c.drop(now, a, protocol.CodeDeadlineExceeded)
	}
	for c.running < c.config.Concurrency && !c.runningExclusive {
		if !c.limit.admits(now) {
			c.limitAlarm = c.limit.next
			break
		}
		a := c.next(now)
		if a == nil {
			break
		}
		if now.After(a.deadline) {
			c.queue.release(a)
			c.drop(now, a, protocol.CodeDeadlineExceeded)
			continue
		}
		if !c.resident(a.submit.Model()) {
			c.queue.release(a)
			c.drop(now, a, protocol.CodeNotResident)
			continue
		}
		if a.submit.Exclusive() && c.running > 0 {
			c.waitingExclusive = append(c.waitingExclusive, a)
			break
		}
		c.runningExclusive = a.submit.Exclusive()
		a.phase, a.startedAt = phaseRunning, now
		c.running++
		c.limit.started(now)
		c.prefixes.add(a.submit.PrefixHashes())
		actions = append(actions, Run{submit: a.submit, queued: now.Sub(a.arrivedAt)})
	}
	return actions
}

// next removes and returns the attempt that runs next, or nil if there is none. An
// attempt that waits to run alone precedes the queue, so that it does not starve.
func (c *Core) next(now time.Time) *attempt {
	if len(c.waitingExclusive) == 0 {
		return c.queue.pop(now)
	}
	a := c.waitingExclusive[0]
	c.waitingExclusive = nil
	return a
}

// dequeue removes a queued attempt that will not run.
func (c *Core) dequeue(a *attempt) {
	if len(c.waitingExclusive) > 0 && c.waitingExclusive[0] == a {
		c.waitingExclusive = nil
		c.queue.release(a)
		return
	}
	c.queue.remove(a)
}

// releaseSlot releases the slot of an attempt that has stopped running.
func (c *Core) releaseSlot(now time.Time, a *attempt) {
	c.running--
	if a.submit.Exclusive() {
		c.runningExclusive = false
	}
	c.queue.release(a)
	c.latency.service.add(now.Sub(a.startedAt))
}

func (c *Core) replyDue(now time.Time, reader *entryReader) bool {
	if !now.Before(reader.deadline) {
		return true
	}
	return !reader.pendingSince.IsZero() && now.Sub(reader.pendingSince) >= c.config.FlushDelay
}

// sendPages answers the open read with all unsent pages, up to maxReplyBytes.
func (c *Core) sendPages(reader *entryReader) Action {
	var pages []protocol.Page
	room := maxReplyBytes
	for _, id := range slices.Sorted(maps.Keys(reader.attempts)) {
		a := reader.attempts[id]
		if room <= 0 {
			break
		}
		if a.hasUnsent() {
			page := a.nextPage(room)
			room -= len(page.Data()) + pageOverhead
			pages = append(pages, page)
		}
	}
	reply := reader.reply
	reader.reply = nil
	reader.drainSent = c.draining
	return AnswerRead{reply: reply, pages: protocol.NewPages(protocol.PagesConfig{
		Side:     c.config.Incarnation,
		Draining: c.draining,
		Queued:   c.Queued(),
		InFlight: c.running,
		Pages:    pages,
	})}
}

// markPending records that an attempt has something to send.
func (c *Core) markPending(now time.Time, a *attempt) {
	if reader, ok := c.readers[a.entry]; ok && reader.pendingSince.IsZero() {
		reader.pendingSince = now
	}
}

func (c *Core) wakeReaders(now time.Time) {
	for _, reader := range c.readerOrder {
		if reader.pendingSince.IsZero() {
			reader.pendingSince = now
		}
	}
}

func (c *Core) readerFor(now time.Time, entry string) *entryReader {
	reader, ok := c.readers[entry]
	if !ok {
		reader = &entryReader{entry: entry, attempts: make(map[string]*attempt), lastReadAt: now}
		c.readers[entry] = reader
		c.readerOrder = append(c.readerOrder, reader)
	}
	return reader
}

func anyPending(reader *entryReader) bool {
	for _, a := range reader.attempts {
		if a.hasUnsent() {
			return true
		}
	}
	return false
}
