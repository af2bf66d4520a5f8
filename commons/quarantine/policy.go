package quarantine

import "time"

// Findings sum up what speaks against a suspect.
type Findings struct {
	crashes int
	events  int
	copies  int
	alone   int
	last    time.Time
}

// Crashes returns the number of crashes at which the suspect was and that no answer to it
// has cleared.
func (f Findings) Crashes() int { return f.crashes }

// Events returns the number of events. Crashes within a short time count as one: a failure
// of several backend servers has one cause, and not their requests.
func (f Findings) Events() int { return f.events }

// Copies returns the number of copies of a request that ended with the crashes.
func (f Findings) Copies() int { return f.copies }

// Alone returns the number of crashes at which the suspect ran alone.
func (f Findings) Alone() int { return f.alone }

// Policy decides what follows from the findings on a suspect.
type Policy interface {
	// Enough reports whether they are enough for a quarantine. If they are not, what is left
	// of them without some crashes is not either.
	Enough(f Findings) bool
	// Quarantine returns the length of the quarantine after the last crash, for a suspect
	// that is remembered for lifetime.
	Quarantine(f Findings, lifetime time.Duration) time.Duration
}

const (
	convictionEvents = 3 // events after which a suspect is quarantined
	manyCrashes      = 5 // crashes after which fewestEvents events are enough
	fewestEvents     = 2
	firstQuarantine  = 20 * time.Second // length of the quarantine after convictionEvents events
	quarantineGrowth = 4                // factor by which each further event lengthens it: each costs another backend server
	maxTrials        = 2                // trials that may fail; the platform allows three repeats, and one may be under way at the verdict
)

// SharedEvidence is the policy of processes that can't keep others from a backend server, so
// that a suspect never runs alone.
type SharedEvidence struct{}

// Enough reports whether there were three events. Fewer are enough if there were many crashes,
// or if several copies ended with one backend server: a sound request seldom has two there, and
// is answered soon.
func (SharedEvidence) Enough(f Findings) bool {
	return f.events >= convictionEvents || f.events >= fewestEvents && (f.crashes >= manyCrashes || f.copies > f.crashes)
}

// Quarantine returns a length that grows with the events. Once maxTrials trials have failed,
// that is as long as the suspect is remembered.
func (SharedEvidence) Quarantine(f Findings, lifetime time.Duration) time.Duration {
	failed := max(f.events-convictionEvents, 0)
	if failed >= maxTrials {
		return lifetime
	}
	length := firstQuarantine
	for range failed {
		length *= quarantineGrowth
	}
	return min(length, lifetime)
}

// RunAlone is the policy of processes that run a suspect alone on its backend server: one
// that ends then had no other cause.
type RunAlone struct {
	Ban time.Duration // length of the quarantine
}

// Enough reports whether the suspect has crashed a backend server while it ran alone.
func (RunAlone) Enough(f Findings) bool { return f.alone > 0 }

// Quarantine returns the length of the ban.
func (p RunAlone) Quarantine(Findings, time.Duration) time.Duration { return p.Ban }
