// Package dispatcher admits and queues the attempts for one backend server, hands
// them to runners, and buffers each answer until its entry has received it.
package dispatcher

import (
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
