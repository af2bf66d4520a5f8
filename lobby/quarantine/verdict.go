package quarantine

import "time"

// verdict is a quarantined suspect, as the crashes known now show it.
type verdict struct {
	events int
	last   time.Time // time of the last crash
}

// until returns the time until which no request of the suspect is sent.
func (v verdict) until() time.Time { return v.last.Add(quarantineLength(v.events)) }

// Change is a suspect that was quarantined or released.
type Change struct {
	suspect     Suspect
	quarantined bool
	events      int
	lastCrash   time.Time
	until       time.Time
}

// Suspect returns the suspect.
func (c Change) Suspect() Suspect { return c.suspect }

// Quarantined reports whether the suspect was quarantined, else it was released.
func (c Change) Quarantined() bool { return c.quarantined }

// Events returns the number of crashes that count, those within a short time as one.
func (c Change) Events() int { return c.events }

// LastCrash returns the time of the last crash that counts.
func (c Change) LastCrash() time.Time { return c.lastCrash }

// Until returns the end of the quarantine, after which single requests are tried.
func (c Change) Until() time.Time { return c.until }

// judge derives the verdicts from the records, and notes what changed.
func (c *Core) judge() {
	verdicts := make(map[Suspect]verdict)
	for suspect, r := range c.records {
		if len(r.crashes) < convictionEvents {
			continue
		}
		times := r.times(nil)
		if n := events(times); n >= convictionEvents {
			verdicts[suspect] = verdict{events: n, last: times[len(times)-1]}
		}
	}
	for suspect, v := range verdicts {
		if _, ok := c.verdicts[suspect]; !ok {
			c.changes = append(c.changes, Change{suspect: suspect, quarantined: true, events: v.events, lastCrash: v.last, until: v.until()})
		}
	}
	for suspect, v := range c.verdicts {
		if _, ok := verdicts[suspect]; !ok {
			c.changes = append(c.changes, Change{suspect: suspect, events: v.events, lastCrash: v.last, until: v.until()})
		}
	}
	c.verdicts = verdicts
}

// Changes returns the suspects that were quarantined or released since the last call.
func (c *Core) Changes() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}
