package quarantine

import (
	"cmp"
	"slices"
	"time"

	"sesamewell.example/commons/httpmeta"
)

const (
	// eventGap is the time within which crashes count as one event: a failure
	// of several backend servers has one cause, and not their requests.
	eventGap = 250 * time.Millisecond

	timeTolerance = 25 * time.Millisecond // difference between the times of one crash that does not matter

	clearedLifetime = 15 * time.Second // time for which a cleared crash is remembered, so that all lobbies learn of it
	maxCrashes      = 16               // crashes that are remembered for one suspect
)

// start identifies one start of a backend server.
type start struct {
	backend string
	time    int64 // Unix milliseconds
}

// crash is the end of one start of a backend server.
type crash struct {
	from    start
	at      time.Time
	cleared bool // the suspect has been answered since, so it is not the cause
	alone   bool // the backend server ran nothing else
	copies  copies
}

func (c crash) compare(other crash) int {
	return cmp.Or(c.at.Compare(other.at), cmp.Compare(c.from.backend, other.from.backend), cmp.Compare(c.from.time, other.from.time))
}

// record holds the crashes of one suspect.
type record struct {
	suspect Suspect
	rank    int
	sound   bool      // it had been answered before one of its crashes
	crashes []crash   // in the order of their times
	own     bool      // this lobby has seen a crash or an answer of the suspect itself
	changed bool      // to be sent to the other lobbies at once
	repeat  bool      // it was new when it was last sent
	shared  time.Time // time at which it was last sent or, if it is not own, received
	trial   trial

	runner *httpmeta.Request // one that stands for the suspect and was last seen running
	search uint64            // number of the last search for such a one
	weight weight
	place  int // in the ranking
}

// trial is a request that may run in spite of the quarantine, to show whether the
// suspect still crashes backend servers.
type trial struct {
	request uint64 // the request's number; zero if there was none
	began   time.Time
}

// crashOf returns the crash of a start, nil if there is none.
func (r *record) crashOf(from start) *crash {
	for n := range r.crashes {
		if r.crashes[n].from == from {
			return &r.crashes[n]
		}
	}
	return nil
}

// add merges a crash without its copies and reports whether that changed the record. The
// merge is idempotent and commutative: of several reports of one crash the oldest time
// counts, since one that is delayed seems younger, and a cleared crash stays cleared.
func (r *record) add(c crash) bool {
	known := r.crashOf(c.from)
	switch {
	case known != nil && !known.learnsFrom(c):
		return false
	case known != nil:
		known.cleared, known.alone = known.cleared || c.cleared, known.alone || c.alone
		if c.at.Before(known.at) {
			known.at = c.at
		}
	case len(r.crashes) >= maxCrashes && !c.at.After(r.crashes[0].at):
		return false
	default:
		c.copies = nil
		r.crashes = append(r.crashes, c)
	}
	slices.SortFunc(r.crashes, crash.compare)
	r.crashes = r.crashes[max(len(r.crashes)-maxCrashes, 0):]
	return true
}

// learnsFrom reports whether another report of the crash says more.
func (c *crash) learnsFrom(other crash) bool {
	return other.cleared && !c.cleared || other.alone && !c.alone || other.at.Before(c.at)
}

// addCopies records that a lobby had at least n copies of the request at a crash.
func (r *record) addCopies(from start, counted copies) bool {
	known := r.crashOf(from)
	if known == nil {
		return false
	}
	merged, changed := known.copies.merge(counted)
	known.copies = merged
	return changed
}

// merge merges all that another record says, and reports whether any of it is new.
func (r *record) merge(other *record) bool {
	changed := other.sound && !r.sound
	r.sound = r.sound || other.sound
	for _, c := range other.crashes {
		changed = r.add(c) || changed
		changed = r.addCopies(c.from, c.copies) || changed
	}
	return changed
}

// covers reports whether the record says all that another one does.
func (r *record) covers(other *record) bool {
	for _, c := range other.crashes {
		known := r.crashOf(c.from)
		if known == nil || c.cleared && !known.cleared || known.at.Sub(c.at) > timeTolerance {
			return false
		}
	}
	return true
}

// clear clears the crashes before a time at which a backend server began to answer the
// suspect. It reports whether there were any.
func (r *record) clear(began time.Time) bool {
	cleared := false
	for n := range r.crashes {
		if c := &r.crashes[n]; !c.cleared && c.at.Before(began) {
			c.cleared, cleared = true, true
		}
	}
	return cleared
}

// cleared returns the number of cleared crashes.
func (r *record) cleared() int {
	n := 0
	for _, c := range r.crashes {
		if c.cleared {
			n++
		}
	}
	return n
}

// findings returns what the crashes show that are not cleared and that skip does not leave
// out.
func (r *record) findings(skip map[start]bool) Findings {
	var f Findings
	var began time.Time // of the last event
	for _, c := range r.crashes {
		if c.cleared || len(skip) > 0 && skip[c.from] {
			continue
		}
		if f.events == 0 || c.at.Sub(began) >= eventGap {
			f.events, began = f.events+1, c.at
		}
		f.crashes++
		f.copies += c.copies.count()
		if c.alone {
			f.alone++
		}
		f.last = c.at
	}
	return f
}

// newWeight returns the weight of the record as it is now.
func (r *record) newWeight(policy Policy) weight {
	f := r.findings(nil)
	if f.crashes == 0 {
		return weight{last: r.lastCrash()}
	}
	return weight{convicted: policy.Enough(f), events: f.events, last: f.last}
}

// lastCrash returns the time of the last crash, whether it is cleared or not.
func (r *record) lastCrash() time.Time { return r.crashes[len(r.crashes)-1].at }
