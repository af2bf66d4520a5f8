package frontend

import (
	"time"

	"sesamewell.example/commons/fleetstate"
)

// current returns nil while the gate may act on the revision that it has.
func (g *Frontend) checkRevision(now time.Time) error {
	if g.revision.Load() == 0 {
		return errNoRevision
	}
	if !g.config.Proof.Fresh(now, g.stateOffset.Load()) {
		return errNotCurrent
	}
	return nil
}

// checkFreshness ends all open calls when the gate may no longer act on the
// revision that it has: the keys may have been withdrawn.
func (g *Frontend) failIfStale(now time.Time) {
	if len(g.calls) == 0 || g.checkRevision(now) == nil {
		return
	}
	for _, o := range g.calls {
		g.abandon(o)
		g.fail(now, o, errLapsed, 0)
	}
}

// revise takes over a new revision and bars the calls whose keys it withdraws.
// A stream ends at once. Of a call without an answer so far, the side says
// whether it was run; its answer is awaited for a moment.
func (g *Frontend) applyRevision(now time.Time, revision *fleetstate.Revision) {
	g.inventory = revision.Inventory()
	g.revision.Store(revision.Number())
	g.stateOffset.Store(revision.StateOffset())
	for _, o := range g.calls {
		if o.principal.Valid(g.inventory) || !o.withdrawnAt.IsZero() {
			continue
		}
		o.withdrawnAt = now
		if o.headerSent {
			g.abandon(o)
			g.fail(now, o, errWithdrawn, 0)
		}
	}
}
