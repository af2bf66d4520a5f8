package foyer

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/notice"
)

// granted reports whether the key of an attempt still stands. An entry that is
// ahead of this side is believed until the side has caught up.
func (c *Core) granted(submit notice.Submit) bool {
	return submit.State() > c.revision.StateOffset() || c.revision.Inventory().HasGrant(submit.Grant())
}

// withdraw ends the attempts whose keys no longer stand. Those that wait are
// not run. One that runs and may not be repeated is left to finish without its
// answer, as after a cancellation.
func (c *Core) withdraw(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.attempts)) {
		a := c.attempts[id]
		if a.phase == over || a.abandoned || a.withdrawn || c.granted(a.submit) {
			continue
		}
		if a.phase == waiting {
			c.unqueue(a)
			c.drop(now, a, notice.CodeWithdrawn)
		} else {
			a.withdrawn = true
			a.buffer = a.buffer[:a.sent-a.base]
			if a.submit.Idempotent() {
				actions = append(actions, Stop{attempt: id})
			}
		}
	}
	return actions
}

// endWithdrawn ends the answer of an attempt that ran when its key was
// withdrawn.
func (c *Core) endWithdrawn(now time.Time, a *attempt) {
	a.fail(notice.CodeWithdrawn, true)
	c.touch(now, a)
}

// refuseQueue refuses all that waits while the side may not know which keys
// stand.
func (c *Core) refuseQueue(now time.Time) {
	if !c.lapsed {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.attempts)) {
		if a := c.attempts[id]; a.phase == waiting {
			c.unqueue(a)
			c.drop(now, a, notice.CodeNotCurrent)
		}
	}
}
