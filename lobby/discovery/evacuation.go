package discovery

import (
	"slices"
	"time"

	"sesamewell.example/commons/deployment"
)

// Sources of what is known of evacuations, as the log names them.
const (
	storeSource = "store"
	lobbySource = "lobby"
)

// EvacuationChange is a change of the failure domains that are to be evacuated.
type EvacuationChange struct {
	evacuations deployment.Evacuations
	begun       []string
	ended       []string
	source      string
	age         time.Duration
}

// Evacuations returns the evacuations in force after the change.
func (c EvacuationChange) Evacuations() deployment.Evacuations { return c.evacuations }

// Begun returns the failure domains that are to be evacuated from now on.
func (c EvacuationChange) Begun() []string { return c.begun }

// Ended returns the failure domains that have been returned to service, including those
// whose evacuation began and ended between two reads.
func (c EvacuationChange) Ended() []string { return c.ended }

// Source returns where this lobby has learnt of the change: "store" or "lobby".
func (c EvacuationChange) Source() string { return c.source }

// Age returns the time since this lobby last read the operator's records before it
// learnt of the change, which is the longest time for which the change may have stood in
// the store. It is zero before the first read.
func (c EvacuationChange) Age() time.Duration { return c.age }

// Evacuations returns the evacuations in force.
func (s *State) Evacuations() deployment.Evacuations {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations
}

// setEvacuations merges the evacuations of a read of all keys of the store.
func (s *State) setEvacuations(now time.Time, read deployment.Evacuations) {
	s.changing.Lock()
	defer s.changing.Unlock()
	s.changeEvacuations(now, s.mergeEvacuations(now, read), nil, storeSource)
	s.contact = now
	s.settleEvacuations(now)
}

// applyEvacuations applies records that were read from the store, up to a position.
func (s *State) applyEvacuations(now time.Time, records []deployment.EvacuationRecord, through deployment.Position) {
	s.changing.Lock()
	defer s.changing.Unlock()
	next, ended := s.Evacuations().Apply(records, through)
	s.changeEvacuations(now, next, ended, storeSource)
	s.contact = now
}

// SetPeerEvacuations merges the evacuations that another lobby knows. It is called from
// any thread.
func (s *State) SetPeerEvacuations(now time.Time, known deployment.Evacuations) {
	s.changing.Lock()
	defer s.changing.Unlock()
	s.changeEvacuations(now, s.mergeEvacuations(now, known), nil, lobbySource)
}

// changeEvacuations puts evacuations in force and notifies the listener of what begins
// and ends with them, together with the changes that it did not take before. ended names
// domains that ended besides those in force until now.
func (s *State) changeEvacuations(now time.Time, next deployment.Evacuations, ended []string, source string) {
	s.mu.Lock()
	s.evacuations = next
	s.mu.Unlock()
	begun := next.Without(s.notified)
	s.ended = slices.Concat(s.ended, ended, s.notified.Without(next))
	s.ended = slices.DeleteFunc(s.ended, next.Contains)
	slices.Sort(s.ended)
	s.ended = slices.Compact(s.ended)
	if len(begun) == 0 && len(s.ended) == 0 {
		s.notified = next
		return
	}
	change := EvacuationChange{evacuations: next, begun: begun, ended: s.ended, source: source}
	if !s.contact.IsZero() {
		change.age = now.Sub(s.contact)
	}
	if err := s.config.Listener.EvacuationsChanged(change); err != nil {
		s.config.Log.WithField("event", "evacuation").WithError(err).Error("evacuations not passed on; repeated with the next report")
		return
	}
	s.notified, s.ended = next, nil
}
