package frontend

import (
	"time"

	"sesamewell.example/commons/fleetstate"
)

// checkRevision returns nil while there is a revision of the fleet state and it is
// proven fresh, else the refusal of new requests.
func (f *Frontend) checkRevision(now time.Time) error {
	if f.revision.Load() == 0 {
		return errNoRevision
	}
	if !f.config.Proof.Fresh(now, f.stateOffset.Load()) {
		return errNotCurrent
	}
	return nil
}

// failIfStale fails all open calls if the revision is no longer proven fresh, since
// their keys may have been withdrawn.
func (f *Frontend) failIfStale(now time.Time) {
	if len(f.calls) == 0 || f.checkRevision(now) == nil {
		return
	}
	for _, o := range f.calls {
		f.abandon(o)
		f.fail(now, o, errFreshnessExpired, 0)
	}
}

// applyRevision adopts a new revision and marks the calls whose keys it withdraws.
// A stream that has begun fails at once. Any other call stays open for up to
// withdrawnTimeout, so that the side can report whether it was run.
func (f *Frontend) applyRevision(now time.Time, revision *fleetstate.Revision) {
	f.inventory = revision.Inventory()
	f.revision.Store(revision.Number())
	f.stateOffset.Store(revision.StateOffset())
	for _, o := range f.calls {
		if o.principal.Valid(f.inventory) || !o.withdrawnAt.IsZero() {
			continue
		}
		o.withdrawnAt = now
		if o.headerSent {
			f.abandon(o)
			f.fail(now, o, errWithdrawn, 0)
		}
	}
}
