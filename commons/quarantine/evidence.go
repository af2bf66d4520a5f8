package quarantine

import (
	"cmp"
	"slices"
	"time"

	"sesamewell.example/commons/protocol"
)

const (
	maxSaved   = 128             // suspects that are saved
	maxSavedID = 256             // bytes of a suspect's ID; one with a longer ID is not saved
	savePeriod = time.Second     // shortest time between two saves
	tidyPeriod = 5 * time.Second // the same if saved evidence was only refuted or has expired
)

// unsaved says what has changed since the evidence of this lobby was last saved.
type unsaved struct {
	learnt  bool                 // a crash was added
	refuted bool                 // a saved suspect was answered, or its record has expired
	savedAt time.Time            // time of the last save
	saved   map[Suspect]struct{} // suspects that were in it
}

// due reports whether the evidence is to be saved.
func (u *unsaved) due(now time.Time) bool {
	since := now.Sub(u.savedAt)
	return u.learnt && since >= savePeriod || u.refuted && since >= tidyPeriod
}

// refute notes that a suspect was answered or that its record has expired.
func (u *unsaved) refute(suspect Suspect) {
	if _, ok := u.saved[suspect]; ok {
		u.refuted = true
	}
}

// Unsaved returns what this lobby itself knows against suspects, for its record in the
// store, if that has changed and a save is due. It counts as saved then. The crashes that
// only other lobbies have seen are in their records. Nothing is saved before Recall, since
// it would take the place of what this lobby had saved before its start.
func (c *Core) Unsaved(now time.Time) ([]protocol.SuspectConfig, bool) {
	if !c.recalled || !c.unsaved.due(now) {
		return nil, false
	}
	c.unsaved = unsaved{savedAt: now, saved: make(map[Suspect]struct{})}
	var saved []protocol.SuspectConfig
	for _, r := range c.ownEvidence() {
		c.unsaved.saved[r.suspect] = struct{}{}
		config := encodeRecord(now, r)
		config.Crashes = slices.DeleteFunc(config.Crashes, func(crashed protocol.CrashConfig) bool { return crashed.Cleared })
		saved = append(saved, config)
	}
	return saved, true
}

// ownEvidence returns the records to be saved, those with the most evidence first. With as
// much, requests go before parts, as a crash has many more of these.
func (c *Core) ownEvidence() []*record {
	var own []*record
	for r := range c.records() {
		if r.own && r.weight.events > 0 && mayBeSaved(r) {
			own = append(own, r)
		}
	}
	slices.SortFunc(own, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.weight.events, a.weight.events), cmp.Compare(a.suspect.kind, b.suspect.kind), b.weight.last.Compare(a.weight.last), cmp.Compare(a.suspect.id, b.suspect.id))
	})
	return own[:min(len(own), maxSaved)]
}

// mayBeSaved reports whether a suspect may take a place in the store. A part that had been
// answered before its crash is hardly the cause, and common to many requests.
func mayBeSaved(r *record) bool { return !r.sound && len(r.suspect.id) <= maxSavedID }

// Recall merges what lobbies had saved as of a given time, by their RPC addresses.
func (c *Core) Recall(at time.Time, saved map[string][]protocol.SuspectConfig) {
	c.recalled = true
	for lobby, suspects := range saved {
		for _, config := range suspects {
			c.recallSuspect(at, config, lobby == c.config.Self)
		}
	}
	c.judge()
}

// recallSuspect merges what a lobby had saved of a suspect. What this one had saved stays
// in its record in the store until it has expired.
func (c *Core) recallSuspect(at time.Time, config protocol.SuspectConfig, own bool) {
	c.merge(at, config)
	suspect := Suspect{kind: Kind(config.Kind), id: config.ID}
	if !own {
		return
	}
	if r, ok := c.find(suspect); ok {
		r.own = true
		c.unsaved.saved[suspect] = struct{}{}
		return
	}
	c.unsaved.refuted = true
}
