// Package foyer decides for one backend server which attempts run and when, and
// keeps each answer until its entry has it: the request scheduler of a side.
package foyer

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Incarnation string        // unique to this start of the side
	Concurrency int           // attempts that the backend server runs at once
	Queue       int           // attempts that may wait
	MaxBuffered int64         // bytes of one answer that its entry has not confirmed
	Linger      time.Duration // time for which pieces are gathered before they are sent
}

// Core is responsible for every decision of the foyer. It does no input or
// output; its duty carries out the actions that Handle and Tick return.
type Core struct {
	config   CoreConfig
	attempts map[string]*attempt
	queue    []*attempt
	running  int
	readers  map[string]*entryReader
	ended    map[string]time.Time // attempts that are done, so that a late copy is not run
	leaving  bool
	drained  bool

	revision *register.Revision
	lapsed   bool // the revision may be out of date
}

// entryReader is responsible for one entry's reads.
type entryReader struct {
	attempts map[string]*attempt
	reply    Answerer // of the read that waits, or nil
	deadline time.Time
	ready    time.Time // time since which there is something to send
	seen     time.Time
	told     bool // an answer has said that the side is leaving
}

// NewCore returns a core without attempts.
func NewCore(config CoreConfig) *Core {
	return &Core{
		config:   config,
		revision: register.Initial(),
		attempts: make(map[string]*attempt),
		readers:  make(map[string]*entryReader),
		ended:    make(map[string]time.Time),
	}
}

// Queued returns the number of attempts that wait.
func (c *Core) Queued() int { return len(c.queue) }

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
	for id, at := range c.ended {
		if now.Sub(at) > tombstoneLife {
			delete(c.ended, id)
		}
	}
	var actions []Action
	for _, a := range slices.Clone(c.queue) {
		if now.After(a.expires) {
			c.unqueue(a)
			a.fail(notice.CodeExpired, false)
			c.touch(now, a)
		}
	}
	for name, reader := range c.readers {
		if now.Sub(reader.seen) > entrySilence {
			actions = append(actions, c.abandon(now, name)...)
		}
	}
	return c.settle(now, actions)
}

// Alarm returns the time at which Tick is due next, or the zero time.
func (c *Core) Alarm() time.Time {
	var alarm time.Time
	for _, reader := range c.readers {
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
			code = c.admit(now, m.batch.Entry(), submit)
		}
		receipts = append(receipts, notice.NewReceipt(notice.ReceiptConfig{
			Attempt:  submit.Attempt(),
			Accepted: code == "",
			Code:     code,
		}))
	}
	answer := notice.NewReceipts(notice.ReceiptsConfig{Side: c.config.Incarnation, Receipts: receipts})
	return append(actions, AnswerBatch{reply: m.reply, receipts: answer})
}

// admit takes an attempt or returns the cause of its refusal. A copy of an
// attempt that was taken already is taken again without being run again.
func (c *Core) admit(now time.Time, entry string, submit notice.Submit) string {
	id := submit.Attempt()
	if _, ok := c.attempts[id]; ok {
		return ""
	}
	if _, ok := c.ended[id]; ok {
		return ""
	}
	if c.leaving {
		return notice.CodeLeaving
	}
	if c.lapsed {
		return notice.CodeNotCurrent
	}
	if !c.granted(submit) {
		return notice.CodeWithdrawn
	}
	if c.running+len(c.queue) >= c.config.Concurrency+c.config.Queue {
		return notice.CodeQueueFull
	}
	a := &attempt{submit: submit, entry: entry, arrived: now, expires: now.Add(submit.Remaining())}
	c.attempts[id] = a
	c.reader(now, entry).attempts[id] = a
	c.enqueue(a)
	return ""
}

// enqueue puts urgent attempts before those that can wait.
func (c *Core) enqueue(a *attempt) {
	at := len(c.queue)
	if a.submit.Urgent() {
		at = slices.IndexFunc(c.queue, func(other *attempt) bool { return !other.submit.Urgent() })
		if at < 0 {
			at = len(c.queue)
		}
	}
	c.queue = slices.Insert(c.queue, at, a)
}

func (c *Core) unqueue(a *attempt) {
	if at := slices.Index(c.queue, a); at >= 0 {
		c.queue = slices.Delete(c.queue, at, at+1)
	}
}

func (c *Core) takeRead(now time.Time, m ReadArrived) []Action {
	reader := c.reader(now, m.read.Entry())
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
		actions = append(actions, c.answer(reader))
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
		c.running--
		a.fail(notice.CodeTooLarge, true)
		c.touch(now, a)
		return []Action{Stop{attempt: m.attempt}}
	}
	a.buffer = append(a.buffer, m.data...)
	c.touch(now, a)
	return nil
}

func (c *Core) end(now time.Time, m Ended) {
	a, ok := c.attempts[m.attempt]
	if !ok || a.phase != running {
		return
	}
	c.running--
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
		c.ended[id] = now
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
func (c *Core) abandon(now time.Time, name string) []Action {
	var actions []Action
	reader := c.readers[name]
	for _, id := range slices.Sorted(maps.Keys(reader.attempts)) {
		actions = append(actions, c.cancel(now, id)...)
	}
	if reader.reply == nil && len(reader.attempts) == 0 {
		delete(c.readers, name)
	}
	return actions
}

func (c *Core) forget(now time.Time, a *attempt) {
	id := a.submit.Attempt()
	delete(c.attempts, id)
	c.ended[id] = now
	if reader, ok := c.readers[a.entry]; ok {
		delete(reader.attempts, id)
	}
}

// settle starts what can run, answers the reads that are due and reports the
// end of a drain.
func (c *Core) settle(now time.Time, actions []Action) []Action {
	for c.running < c.config.Concurrency && len(c.queue) > 0 {
		a := c.queue[0]
		c.queue = slices.Delete(c.queue, 0, 1)
		a.phase = running
		c.running++
		actions = append(actions, Run{submit: a.submit, queued: now.Sub(a.arrived)})
	}
	for _, reader := range c.readers {
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
		Queued:   len(c.queue),
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
	for _, reader := range c.readers {
		if reader.ready.IsZero() {
			reader.ready = now
		}
	}
}

func (c *Core) reader(now time.Time, entry string) *entryReader {
	reader, ok := c.readers[entry]
	if !ok {
		reader = &entryReader{attempts: make(map[string]*attempt), seen: now}
		c.readers[entry] = reader
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
