package dispatcher

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/notice"
)

// granted reports whether the key of an attempt still stands. An entry that is
// ahead of this side is believed until the side has caught up.
func (c *Core) keyValid(submit notice.Submit) bool {
	return submit.State() > c.revision.StateOffset() || c.revision.Inventory().HasGrant(submit.Grant())
}

// withdraw ends the attempts whose keys no longer stand. Those that wait are
// not run. One that runs and may not be repeated is left to finish without its
// answer, as after a cancellation.
func (c *Core) endWithdrawn(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.attempts)) {
		a := c.attempts[id]
		if a.phase == phaseEnded || a.abandoned || a.keyWithdrawn || c.keyValid(a.submit) {
			continue
		}
		if a.phase == phaseQueued {
			c.dequeue(a)
			c.drop(now, a, notice.CodeWithdrawn)
		} else {
			a.keyWithdrawn = true
			a.buffer = a.buffer[:a.sent-a.confirmed]
			if a.submit.Idempotent() {
				actions = append(actions, Stop{attempt: id})
			}
		}
	}
	return actions
}

// endWithdrawn ends the answer of an attempt that ran when its key was
// withdrawn.
func (c *Core) failWithdrawn(now time.Time, a *attempt) {
	a.fail(notice.CodeWithdrawn, true)
	c.markPending(now, a)
}

// refuseQueue refuses all that waits while the side may not know which keys
// stand.
func (c *Core) refuseQueued(now time.Time) {
	if !c.stale {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.attempts)) {
		if a := c.attempts[id]; a.phase == phaseQueued {
			c.dequeue(a)
			c.drop(now, a, notice.CodeNotCurrent)
		}
	}
}
