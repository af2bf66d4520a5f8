package quarantine

import (
	"cmp"
	"time"
)

// verdict is a quarantined suspect, as the crashes known now show it.
type verdict struct {
	events int
	last   time.Time // time of the last crash
	until  time.Time // time until which no request of the suspect is sent
}

// State says what has become of a suspect.
type State string

// States of a suspect.
const (
	Quarantined State = "quarantined"
	Released    State = "released"
	Tried       State = "tried" // a single request of it may run in spite of the quarantine
)

// Change is a suspect that was quarantined, tried or released.
type Change struct {
	suspect   Suspect
	state     State
	events    int
	lastCrash time.Time
	until     time.Time
}

// Suspect returns the suspect.
func (c Change) Suspect() Suspect { return c.suspect }

// State returns what has become of the suspect.
func (c Change) State() State { return c.state }

// Events returns the number of crashes that count, those within a short time as one.
func (c Change) Events() int { return c.events }

// LastCrash returns the time of the last crash that counts.
func (c Change) LastCrash() time.Time { return c.lastCrash }

// Until returns the end of the quarantine, after which single requests are tried.
func (c Change) Until() time.Time { return c.until }

// judge derives the verdicts from the records, and notes what changed. Each crash has
// one cause: the crashes of the suspect with the most evidence count for no other, so
// that what only occurs together with it is not quarantined.
func (c *Core) judge() {
	verdicts := make(map[Suspect]verdict)
	explained := make(map[start]bool)
	for {
		leader, v := c.leading(explained, verdicts)
		if leader == nil {
			break
		}
		verdicts[leader.suspect] = v
		for _, crashed := range leader.crashes {
			explained[crashed.from] = explained[crashed.from] || !crashed.cleared
		}
	}
	c.noteChanges(verdicts)
	c.verdicts = verdicts
}

// leading returns the suspect with the most evidence in the crashes that are not
// explained, nil if none has enough for a quarantine.
func (c *Core) leading(explained map[start]bool, verdicts map[Suspect]verdict) (*record, verdict) {
	var leader *record
	var most findings
	for r := range c.records() {
		if len(r.crashes) < fewestEvents {
			continue
		}
		if _, judged := verdicts[r.suspect]; judged {
			continue
		}
		f := r.findings(explained)
		if !f.enough() || f.events < most.events {
			continue
		}
		if f.events > most.events || moreLikely(r, leader) {
			leader, most = r, f
		}
	}
	return leader, c.verdict(most.events, most.last)
}

// verdict returns the verdict on a suspect after a number of events, the last at a given time.
func (c *Core) verdict(events int, last time.Time) verdict {
	return verdict{events: events, last: last, until: last.Add(quarantineLength(events, c.config.Lifetime))}
}

// moreLikely decides between suspects with equal evidence: one that had never been
// answered before its crashes is more likely, then the more specific one.
func moreLikely(a, b *record) bool {
	if a.sound != b.sound {
		return b.sound
	}
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.suspect.id, b.suspect.id)) > 0
}

// noteChanges notes the suspects that are quarantined or released by new verdicts.
func (c *Core) noteChanges(verdicts map[Suspect]verdict) {
	for suspect, v := range verdicts {
		if _, ok := c.verdicts[suspect]; !ok {
			c.noteChange(suspect, Quarantined, v)
		}
	}
	for suspect, v := range c.verdicts {
		if _, ok := verdicts[suspect]; !ok {
			c.noteChange(suspect, Released, v)
		}
	}
}

func (c *Core) noteChange(suspect Suspect, state State, v verdict) {
	c.changes = append(c.changes, Change{suspect: suspect, state: state, events: v.events, lastCrash: v.last, until: v.until})
}

// Changes returns the suspects that were quarantined, tried or released since the last call.
func (c *Core) Changes() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}
