package dispatcher

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/protocol"
)

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

// releaseSlot releases the slot of an attempt that has stopped running.
func (c *Core) releaseSlot(now time.Time, a *attempt) {
	c.running--
	if a.submit.Exclusive() {
		c.runningExclusive = false
	}
	c.queue.release(a)
	c.latency.service.add(now.Sub(a.startedAt))
}
