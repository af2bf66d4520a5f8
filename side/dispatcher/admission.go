package dispatcher

import (
	"time"

	"sesamewell.example/commons/protocol"
)

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
