package dispatcher

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/protocol"
)

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
