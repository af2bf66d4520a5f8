package dispatcher

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/protocol"
)

// keyValid reports whether the key of an attempt is still valid. The decision of an
// entry with a newer fleet state is trusted until this side has caught up.
func (c *Core) keyValid(submit protocol.Submit) bool {
	return submit.StateOffset() > c.revision.StateOffset() || c.revision.Inventory().HasGrant(submit.Grant())
}

// endWithdrawn ends the attempts whose keys are no longer valid. Queued attempts
// are not run. A running attempt that is not idempotent is left to finish without
// delivering the rest of its answer, as after a cancellation.
func (c *Core) endWithdrawn(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.attempts)) {
		a := c.attempts[id]
		if a.phase == phaseEnded || a.cancelled || a.keyWithdrawn || c.keyValid(a.submit) {
			continue
		}
		if a.phase == phaseQueued {
			c.dequeue(a)
			c.drop(now, a, protocol.CodeKeyWithdrawn)
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

// failWithdrawn fails an attempt whose key was withdrawn while it ran.
func (c *Core) failWithdrawn(now time.Time, a *attempt) {
	a.fail(protocol.CodeKeyWithdrawn, true)
	c.markPending(now, a)
}

// refuseQueued fails all queued attempts while the fleet state is not proven
// fresh, because their keys may have been withdrawn.
func (c *Core) refuseQueued(now time.Time) {
	if !c.stale {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.attempts)) {
		if a := c.attempts[id]; a.phase == phaseQueued {
			c.dequeue(a)
			c.drop(now, a, protocol.CodeNotCurrent)
		}
	}
}
