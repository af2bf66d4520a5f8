package quarantine

import (
	"cmp"
	"slices"
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
	candidates := c.candidates()
	for len(candidates) > 0 {
		leading := candidates[0]
		candidates = candidates[1:]
		f := leading.record.findings(explained)
		switch {
		case !c.config.Policy.Enough(f):
		case f.events < leading.events:
			candidates = insertCandidate(candidates, candidate{record: leading.record, events: f.events})
		default:
			verdicts[leading.record.suspect] = verdict{events: f.events, last: f.last, until: f.last.Add(c.config.Policy.Quarantine(f, c.config.Lifetime))}
			leading.record.explain(explained)
		}
	}
	c.noteChanges(verdicts)
	c.verdicts = verdicts
}

// candidate is a suspect that may be quarantined.
type candidate struct {
	record *record
	events int // in crashes that may have been explained since
}

// candidates returns the suspects with enough evidence, those with the most first. What is
// explained later only takes some of it away.
func (c *Core) candidates() []candidate {
	var candidates []candidate
	for r := range c.records() {
		if r.weight.convicted {
			candidates = append(candidates, candidate{record: r, events: r.weight.events})
		}
	}
	slices.SortFunc(candidates, compareCandidates)
	return candidates
}

func insertCandidate(candidates []candidate, added candidate) []candidate {
	n, _ := slices.BinarySearchFunc(candidates, added, compareCandidates)
	return slices.Insert(candidates, n, added)
}

// compareCandidates orders suspects by their evidence, the most first. With as much, one that
// had never been answered before its crashes is more likely, then the more specific one.
func compareCandidates(a, b candidate) int {
	if n := cmp.Compare(b.events, a.events); n != 0 || a.record.sound == b.record.sound {
		return cmp.Or(n, cmp.Compare(b.record.rank, a.record.rank), cmp.Compare(b.record.suspect.id, a.record.suspect.id))
	}
	if b.record.sound {
		return -1
	}
	return 1
}

// explain adds the crashes of the record to those with a known cause.
func (r *record) explain(explained map[start]bool) {
	for _, c := range r.crashes {
		explained[c.from] = explained[c.from] || !c.cleared
	}
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
