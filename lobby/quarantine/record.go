package quarantine

import (
	"slices"
	"time"
)

const (
	// eventGap is the time within which crashes count as one event: a failure
	// of several backend servers has one cause, and not their requests.
	eventGap = 250 * time.Millisecond

	timeTolerance = 25 * time.Millisecond // difference between the times of one crash that does not matter

	convictionEvents = 3 // events after which a suspect is quarantined
	manyCrashes      = 5 // crashes after which fewestEvents events are enough
	fewestEvents     = 2
	firstQuarantine  = 20 * time.Second // length of the quarantine after convictionEvents events
	quarantineGrowth = 4                // factor by which each further event lengthens it: each costs another backend server
	maxTrials        = 2                // trials that may fail; the platform allows three repeats, and one may be under way at the verdict
	clearedLifetime  = 15 * time.Second // time for which a cleared crash is remembered, so that all lobbies learn of it
	maxCrashes       = 16               // crashes that are remembered for one suspect
)

// start identifies one start of a backend server.
type start struct {
	backend string
	time    int64 // Unix milliseconds
}

// crash is the end of one start of a backend server.
type crash struct {
	at      time.Time
	cleared bool // the suspect has been answered since, so it is not the cause
}

// record holds the crashes of one suspect.
type record struct {
	rank    int
	sound   bool // it had been answered before one of its crashes
	crashes map[start]crash
	copies  copies
	own     bool      // this lobby has seen a crash or an answer of the suspect itself
	changed bool      // to be sent to the other lobbies at once
	repeat  bool      // it was new when it was last sent
	shared  time.Time // time at which it was last sent or, if it is not own, received
	trial   trial
}

// trial is a request that may run in spite of the quarantine, to show whether the
// suspect still crashes backend servers.
type trial struct {
	request uint64 // the request's number; zero if there was none
	began   time.Time
}

func newRecord(rank int) *record {
	return &record{rank: rank, crashes: make(map[start]crash), copies: make(copies)}
}

// add merges a crash and reports whether that changed the record. The merge is
// idempotent and commutative: of several reports of one crash the oldest time counts,
// since one that is delayed seems younger, and a cleared crash stays cleared.
func (r *record) add(from start, c crash) bool {
	known, ok := r.crashes[from]
	if ok {
		c.cleared = c.cleared || known.cleared
		if known.at.Before(c.at) {
			c.at = known.at
		}
	}
	if ok && c == known {
		return false
	}
	r.crashes[from] = c
	if len(r.crashes) > maxCrashes {
		oldest := r.oldest()
		delete(r.crashes, oldest)
		r.copies.forget(oldest)
	}
	return true
}

// merge merges all that another record says, and reports whether any of it is new.
func (r *record) merge(other *record) bool {
	changed := other.sound && !r.sound
	r.sound = r.sound || other.sound
	for from, c := range other.crashes {
		changed = r.add(from, c) || changed
		if _, kept := r.crashes[from]; kept {
			changed = r.copies.merge(from, other.copies[from]) || changed
		}
	}
	return changed
}

// oldest returns the start whose crash is the oldest.
func (r *record) oldest() start {
	var oldest start
	for from, c := range r.crashes {
		if oldest == (start{}) || c.at.Before(r.crashes[oldest].at) {
			oldest = from
		}
	}
	return oldest
}

// covers reports whether the record says all that another one does.
func (r *record) covers(other *record) bool {
	for from, c := range other.crashes {
		known, ok := r.crashes[from]
		if !ok || c.cleared && !known.cleared || known.at.Sub(c.at) > timeTolerance {
			return false
		}
	}
	return true
}

// clear clears the crashes before a time at which a backend server began to answer the
// suspect. It reports whether there were any.
func (r *record) clear(began time.Time) bool {
	cleared := false
	for from, c := range r.crashes {
		if !c.cleared && c.at.Before(began) {
			c.cleared = true
			r.crashes[from], cleared = c, true
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

// times returns the times of the crashes that are not cleared and that skip does not
// leave out, in order.
func (r *record) times(skip map[start]bool) []time.Time {
	var times []time.Time
	for from, c := range r.crashes {
		if !c.cleared && !skip[from] {
			times = append(times, c.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// events counts events among ordered times: an event starts with the first crash that
// is eventGap or more later than the start of the one before.
func events(times []time.Time) int {
	n := 0
	var began time.Time
	for _, at := range times {
		if n == 0 || at.Sub(began) >= eventGap {
			n, began = n+1, at
		}
	}
	return n
}

// isEnough reports whether ordered times of crashes are enough for a quarantine. copies is the
// number of copies of a request that ended with them. Fewer events are enough if several copies
// ended with one backend server: a sound request seldom has two there, and is answered soon.
func isEnough(times []time.Time, copies int) bool {
	n := events(times)
	return n >= convictionEvents || n >= fewestEvents && (len(times) >= manyCrashes || copies > len(times))
}

// quarantineLength returns the length of the quarantine after a number of events, for a
// suspect that is remembered for lifetime after its last crash. Once maxTrials trials have
// failed, that is as long as it is remembered.
func quarantineLength(events int, lifetime time.Duration) time.Duration {
	failed := max(events-convictionEvents, 0)
	if failed >= maxTrials {
		return lifetime
	}
	length := firstQuarantine
	for range failed {
		length *= quarantineGrowth
	}
	return min(length, lifetime)
}

// expiry returns the time at which the record is dropped, if a suspect is remembered for
// lifetime after its last crash.
func (r *record) expiry(lifetime time.Duration) time.Time {
	if times := r.times(nil); len(times) > 0 {
		return times[len(times)-1].Add(lifetime)
	}
	return r.lastCrash().Add(clearedLifetime)
}

// lastCrash returns the time of the last crash, whether it is cleared or not.
func (r *record) lastCrash() time.Time {
	var last time.Time
	for _, c := range r.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}
