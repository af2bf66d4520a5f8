// Package foyer decides for one backend server which attempts run and when, and
// keeps each answer until its entry has it: the request scheduler of a side.
package foyer

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/notice"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Incarnation string        // unique to this start of the side
	Concurrency int           // attempts that the backend server runs at once
	Queue       int           // attempts that may wait
	Prefixes    int           // blocks of prompts that are remembered
	Residency   Residency     // nil when every model is always resident
	MaxBuffered int64         // bytes of one answer that its entry has not confirmed
	Linger      time.Duration // time for which pieces are gathered before they are sent
}

// Residency tells which models the backend server holds. It is asked from the
// foyer's thread.
type Residency interface {
	// Resident reports whether the model can run without being loaded first.
	Resident(model string) bool
}

// Core is responsible for every decision of the foyer. It does no input or
// output; its duty carries out the actions that Handle and Tick return.
type Core struct {
	config   CoreConfig
	attempts map[string]*attempt
	queue    *queue
	pace     pace
	prefixes *prefixIndex
	number   uint64 // attempts admitted so far
	running  int
	held     []*attempt // at most one: the next to run, which waits to run alone
	apart    bool       // the attempt that runs is to run alone
	readers  map[string]*entryReader
	order    []*entryReader       // as they came, so that actions have a fixed order
	ended    map[string]tombstone // attempts that are done, so that a late copy is not run
	leaving  bool
	drained  bool

	revision *fleetstate.Revision
	lapsed   bool // the revision may be out of date
}

// tombstone is what is kept of an attempt that has ended or was refused.
type tombstone struct {
	at   time.Time
	code string // cause of the refusal, or ""
}

// entryReader is responsible for one entry's reads.
type entryReader struct {
	entry    string
	attempts map[string]*attempt
	reply    Answerer // of the read that waits, or nil
	deadline time.Time
	ready    time.Time // time since which there is something to send
	seen     time.Time
	number   uint64 // of the last read
	told     bool   // an answer has said that the side is leaving
}

// NewCore returns a core without attempts.
func NewCore(config CoreConfig) *Core {
	return &Core{
		config:   config,
		queue:    newQueue(config.Concurrency),
		prefixes: newPrefixIndex(config.Prefixes),
		revision: fleetstate.InitialRevision(),
		attempts: make(map[string]*attempt),
		readers:  make(map[string]*entryReader),
		ended:    make(map[string]tombstone),
	}
}

// Queued returns the number of attempts that wait.
func (c *Core) Queued() int { return c.queue.Len() + len(c.held) }

// Running returns the number of attempts at the backend server.
func (c *Core) Running() int { return c.running }

// Leaving reports whether new work is refused.
func (c *Core) Leaving() bool { return c.leaving }

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	var actions []Action
	switch m := message.(type) {
	case BatchArrived:
		actions = c.takeBatch(now, m)
	case ReadArrived:
		actions = c.takeRead(now, m)
	case ProbeArrived:
		actions = append(actions, c.report(m))
	case Began:
		c.begin(m)
	case Piece:
		actions = c.append(now, m)
	case Ended:
		c.end(now, m)
	case Revised:
		c.revision = m.revision
		actions = c.withdraw(now)
	case Proved:
		c.lapsed = !m.fresh
		c.refuseQueue(now)
	case Drain:
		c.leaving = true
		c.wakeReaders(now)
	}
	return c.settle(now, actions)
}

// Tick does what is due by time alone.
func (c *Core) Tick(now time.Time) []Action {
	for id, t := range c.ended {
		if now.Sub(t.at) > tombstoneLife {
			delete(c.ended, id)
		}
	}
	var actions []Action
	c.queue.prune()
	for _, reader := range slices.Clone(c.order) {
		if now.Sub(reader.seen) > entrySilence {
			actions = append(actions, c.abandon(now, reader)...)
		}
	}
	return c.settle(now, actions)
}

// Alarm returns the time at which Tick is due next, or the zero time.
func (c *Core) Alarm() time.Time {
	var alarm time.Time
	for _, reader := range c.order {
		if reader.reply == nil {
			continue
		}
		due := reader.deadline
		if !reader.ready.IsZero() && reader.ready.Add(c.config.Linger).Before(due) {
			due = reader.ready.Add(c.config.Linger)
		}
		if alarm.IsZero() || due.Before(alarm) {
			alarm = due
		}
	}
	return alarm
}

func (c *Core) takeBatch(now time.Time, m BatchArrived) []Action {
	var actions []Action
	for _, id := range m.batch.Cancels() {
		actions = append(actions, c.cancel(now, id)...)
	}
	current := m.batch.Side() == "" || m.batch.Side() == c.config.Incarnation
	receipts := make([]notice.Receipt, 0, len(m.batch.Submits()))
	for _, submit := range m.batch.Submits() {
		code := notice.CodeRestarted
		if current {
			code = c.admitOnce(now, m.batch.Entry(), submit)
		}
		config := notice.ReceiptConfig{Attempt: submit.Attempt(), Accepted: code == "", Code: code}
		if code == notice.CodeQueueFull || code == notice.CodeOverloaded {
			config.RetryAfter = c.wait(submit.Tenant(), submit.Urgent())
		}
		receipts = append(receipts, notice.NewReceipt(config))
	}
	answer := notice.NewReceipts(notice.ReceiptsConfig{Side: c.config.Incarnation, Receipts: receipts})
	return append(actions, AnswerBatch{reply: m.reply, receipts: answer})
}

// admitOnce gives a copy of an attempt the same answer as the attempt got: one
// that was taken is not run again, and one that was refused is never run.
func (c *Core) admitOnce(now time.Time, entry string, submit notice.Submit) string {
	id := submit.Attempt()
	if _, ok := c.attempts[id]; ok {
		return ""
	}
	if earlier, ok := c.ended[id]; ok {
		return earlier.code
	}
	code := c.admit(now, entry, submit)
	if code != "" {
		c.ended[id] = tombstone{at: now, code: code}
	}
	return code
}

// admit takes an attempt or returns the cause of its refusal.
func (c *Core) admit(now time.Time, entry string, submit notice.Submit) string {
	if c.leaving {
		return notice.CodeLeaving
	}
	if c.lapsed {
		return notice.CodeNotCurrent
	}
	if !c.granted(submit) {
		return notice.CodeWithdrawn
	}
	if !c.resident(submit.Model()) {
		return notice.CodeNotResident
	}
	if c.wait(submit.Tenant(), submit.Urgent()) > submit.Remaining() {
		return notice.CodeOverloaded
	}
	if c.full() && !c.makeRoom(now, submit) {
		return notice.CodeQueueFull
	}
	c.number++
	a := &attempt{submit: submit, entry: entry, number: c.number, arrived: now, expires: now.Add(submit.Remaining())}
	c.attempts[submit.Attempt()] = a
	c.reader(now, entry).attempts[submit.Attempt()] = a
	c.queue.push(a)
	return ""
}

func (c *Core) resident(model string) bool {
	return model == "" || c.config.Residency == nil || c.config.Residency.Resident(model)
}

func (c *Core) full() bool {
	return c.running+c.Queued() >= c.config.Concurrency+c.config.Queue
}

// makeRoom drops a waiting attempt whose claim is weaker than the newcomer's.
func (c *Core) makeRoom(now time.Time, newcomer notice.Submit) bool {
	victim := c.queue.victim(newcomer)
	if victim == nil {
		return false
	}
	c.queue.remove(victim)
	victim.retryAfter = c.wait(victim.submit.Tenant(), victim.submit.Urgent())
	c.drop(now, victim, notice.CodeQueueFull)
	return true
}

// drop ends an attempt that has left the queue without being run.
func (c *Core) drop(now time.Time, a *attempt, code string) {
	a.fail(code, false)
	c.touch(now, a)
}

// wait estimates how long a new attempt would wait for a slot.
func (c *Core) wait(tenant string, urgent bool) time.Duration {
	if c.running < c.config.Concurrency && c.Queued() == 0 {
		return 0
	}
	return c.pace.wait(c.queue.ahead(tenant, urgent), c.config.Concurrency)
}

// report tells how new requests would fare.
func (c *Core) report(m ProbeArrived) Action {
	estimates := make([]notice.Estimate, 0, len(m.probe.Queries()))
	for _, query := range m.probe.Queries() {
		estimates = append(estimates, notice.NewEstimate(notice.EstimateConfig{
			Request:    query.Request(),
			Resident:   c.resident(query.Model()),
			Matched:    c.prefixes.match(query.Prefix()),
			FirstToken: c.wait(query.Tenant(), query.Urgent()) + c.pace.first.value,
		}))
	}
	return AnswerProbe{reply: m.reply, report: notice.NewReport(notice.ReportConfig{
		Side:      c.config.Incarnation,
		Leaving:   c.leaving,
		Queued:    c.Queued(),
		InFlight:  c.running,
		Slots:     c.config.Concurrency,
		Estimates: estimates,
	})}
}

// takeRead parks a read until there is something to send. A read that comes
// after a later one of the same entry, and one that a later one replaces, get
// an error: their caller has given up, and what they took along would be lost.
func (c *Core) takeRead(now time.Time, m ReadArrived) []Action {
	reader := c.reader(now, m.read.Entry())
	if m.read.Number() <= reader.number {
		return []Action{AnswerRead{reply: m.reply, err: ErrSuperseded}}
	}
	reader.number = m.read.Number()
	reader.seen = now
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
	reader.ready = time.Time{}
	if (c.leaving && !reader.told) || anyPending(reader) {
		reader.ready = now
	}
	return actions
}

func (c *Core) confirm(now time.Time, position notice.Position) {
	a, ok := c.attempts[position.Attempt()]
	if !ok {
		return
	}
	a.confirm(position.Offset())
	if position.Ended() && a.phase == over {
		c.forget(now, a)
	}
}

func (c *Core) begin(m Began) {
	if a, ok := c.attempts[m.attempt]; ok {
		a.status, a.contentType = m.status, m.contentType
	}
}

func (c *Core) append(now time.Time, m Piece) []Action {
	a, ok := c.attempts[m.attempt]
	if !ok || a.phase != running || a.abandoned || a.withdrawn {
		return nil
	}
	if int64(len(a.buffer)+len(m.data)) > c.config.MaxBuffered {
		c.vacate(now, a)
		a.fail(notice.CodeTooLarge, true)
		c.touch(now, a)
		return []Action{Stop{attempt: m.attempt}}
	}
	c.measure(now, a, m.data)
	a.buffer = append(a.buffer, m.data...)
	c.touch(now, a)
	return nil
}

// measure counts the tokens of a piece and notes when the first one came.
func (c *Core) measure(now time.Time, a *attempt, data []byte) {
	if !a.begun {
		a.begun = true
		c.pace.first.add(now.Sub(a.started))
	}
	tokens := len(data) / bytesPerToken
	if a.submit.Stream() {
		tokens = bytes.Count(data, eventEnd)
	}
	c.queue.charge(a, int64(tokens))
}

func (c *Core) end(now time.Time, m Ended) {
	a, ok := c.attempts[m.attempt]
	if !ok || a.phase != running {
		return
	}
	c.vacate(now, a)
	if a.withdrawn && !a.abandoned {
		c.endWithdrawn(now, a)
		return
	}
	if m.code == "" {
		a.phase = over
		a.state = notice.Whole
	} else {
		a.fail(m.code, m.ran)
	}
	if a.abandoned {
		c.forget(now, a)
		return
	}
	c.touch(now, a)
}

// cancel ends an attempt that nobody awaits. One that may not be repeated is
// left to finish, since its effect is wanted though its answer is not.
func (c *Core) cancel(now time.Time, id string) []Action {
	a, ok := c.attempts[id]
	if !ok {
		c.ended[id] = tombstone{at: now}
		return nil
	}
	switch a.phase {
	case waiting:
		c.unqueue(a)
		c.forget(now, a)
	case running:
		a.abandoned = true
		if a.submit.Idempotent() {
			return []Action{Stop{attempt: id}}
		}
	case over:
		c.forget(now, a)
	}
	return nil
}

// abandon drops an entry that has stopped reading.
func (c *Core) abandon(now time.Time, reader *entryReader) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(reader.attempts)) {
		actions = append(actions, c.cancel(now, id)...)
	}
	if reader.reply == nil && len(reader.attempts) == 0 {
		delete(c.readers, reader.entry)
		c.order = slices.DeleteFunc(c.order, func(other *entryReader) bool { return other == reader })
	}
	return actions
}

func (c *Core) forget(now time.Time, a *attempt) {
	id := a.submit.Attempt()
	delete(c.attempts, id)
	c.ended[id] = tombstone{at: now}
	if reader, ok := c.readers[a.entry]; ok {
		delete(reader.attempts, id)
	}
}

// settle starts what can run, answers the reads that are due and reports the
// end of a drain.
func (c *Core) settle(now time.Time, actions []Action) []Action {
	actions = c.dispatch(now, actions)
	for _, reader := range c.order {
		if reader.reply != nil && c.due(now, reader) {
			actions = append(actions, c.answer(reader))
		}
	}
	if c.leaving && !c.drained && len(c.attempts) == 0 {
		c.drained = true
		actions = append(actions, Drained{})
	}
	return actions
}

// dispatch hands attempts to the runners while there are free slots.
func (c *Core) dispatch(now time.Time, actions []Action) []Action {
	if c.queue.Len() == 0 && len(c.held) == 0 {
		return actions
	}
	for _, a := range c.queue.expired(now) {
		c.drop(now, a, notice.CodeExpired)
	}
	for c.running < c.config.Concurrency && !c.apart {
		a := c.next(now)
		if a == nil {
			break
		}
		if now.After(a.expires) {
			c.queue.end(a)
			c.drop(now, a, notice.CodeExpired)
			continue
		}
		if !c.resident(a.submit.Model()) {
			c.queue.end(a)
			c.drop(now, a, notice.CodeNotResident)
			continue
		}
		if a.submit.Alone() && c.running > 0 {
			c.held = append(c.held, a)
			break
		}
		c.apart = a.submit.Alone()
		a.phase, a.started = running, now
		c.running++
		c.prefixes.add(a.submit.Prefix())
		actions = append(actions, Run{submit: a.submit, queued: now.Sub(a.arrived)})
	}
	return actions
}

// next takes out the attempt that runs next: the one that waits to run alone
// goes before the queue, so that it does not wait for ever.
func (c *Core) next(now time.Time) *attempt {
	if len(c.held) == 0 {
		return c.queue.pop(now)
	}
	a := c.held[0]
	c.held = nil
	return a
}

// unqueue takes out a waiting attempt that will not run.
func (c *Core) unqueue(a *attempt) {
	if len(c.held) > 0 && c.held[0] == a {
		c.held = nil
		c.queue.end(a)
		return
	}
	c.queue.remove(a)
}

// vacate frees the slot of an attempt that the backend server runs no more.
func (c *Core) vacate(now time.Time, a *attempt) {
	c.running--
	if a.submit.Alone() {
		c.apart = false
	}
	c.queue.end(a)
	c.pace.service.add(now.Sub(a.started))
}

func (c *Core) due(now time.Time, reader *entryReader) bool {
	if !now.Before(reader.deadline) {
		return true
	}
	return !reader.ready.IsZero() && now.Sub(reader.ready) >= c.config.Linger
}

// answer sends all that is pending, up to the limit of one answer.
func (c *Core) answer(reader *entryReader) Action {
	var pages []notice.Page
	room := maxPagesBytes
	for _, id := range slices.Sorted(maps.Keys(reader.attempts)) {
		a := reader.attempts[id]
		if room <= 0 {
			break
		}
		if a.pending() {
			page := a.page(room)
			room -= len(page.Data()) + pageOverhead
			pages = append(pages, page)
		}
	}
	reply := reader.reply
	reader.reply = nil
	reader.told = c.leaving
	return AnswerRead{reply: reply, pages: notice.NewPages(notice.PagesConfig{
		Side:     c.config.Incarnation,
		Leaving:  c.leaving,
		Queued:   c.Queued(),
		InFlight: c.running,
		Pages:    pages,
	})}
}

// touch notes that an attempt has something to send.
func (c *Core) touch(now time.Time, a *attempt) {
	if reader, ok := c.readers[a.entry]; ok && reader.ready.IsZero() {
		reader.ready = now
	}
}

func (c *Core) wakeReaders(now time.Time) {
	for _, reader := range c.order {
		if reader.ready.IsZero() {
			reader.ready = now
		}
	}
}

func (c *Core) reader(now time.Time, entry string) *entryReader {
	reader, ok := c.readers[entry]
	if !ok {
		reader = &entryReader{entry: entry, attempts: make(map[string]*attempt), seen: now}
		c.readers[entry] = reader
		c.order = append(c.order, reader)
	}
	return reader
}

func anyPending(reader *entryReader) bool {
	for _, a := range reader.attempts {
		if a.pending() {
			return true
		}
	}
	return false
}
