package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/protocol"
)

const (
	maxSent     = 32                     // suspects in one digest
	repeatDelay = 250 * time.Millisecond // time after which what is new is sent once more, as the digest may be lost
	// An unchanged suspect is sent again after a resendShare of the time since its last
	// crash, within the following limits: what is old is known everywhere.
	resendShare     = 30
	minResendPeriod = 2 * time.Second
	maxResendPeriod = time.Minute
	learnMargin     = 10 * time.Second // suspects that expire within it are not learnt from other lobbies
)

// Suspects drops what has expired and returns the suspects to send to the other
// lobbies: those of which this lobby has seen something new, and those that are due
// again. So a lost digest is made up for, and what a lobby knew outlives it. A suspect
// known from other lobbies is due only if none of them has sent it lately (the
// suppression of Trickle, RFC 6206), so that the volume hardly grows with the fleet.
func (c *Core) Suspects(now time.Time) []protocol.SuspectConfig {
	c.Expire(now)
	due := c.dueRecords(now)
	var sent []protocol.SuspectConfig
	for _, r := range due[:min(len(due), maxSent)] {
		r.changed, r.repeat, r.shared = false, r.changed, now
		sent = append(sent, encodeRecord(now, r))
	}
	return sent
}

// dueRecords returns the records that are due, first those that have changed, then those
// that were shared least recently.
func (c *Core) dueRecords(now time.Time) []*record {
	var due []*record
	for r := range c.records() {
		if idle := now.Sub(r.shared); r.changed || r.repeat && idle >= repeatDelay || idle >= r.resendPeriod(now) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *record) int { return cmp.Or(compareDue(a, b), cmp.Compare(a.suspect.id, b.suspect.id)) })
	return due
}

// resendPeriod returns the time after which the record is sent again if it has not changed.
func (r *record) resendPeriod(now time.Time) time.Duration {
	return min(max(now.Sub(r.lastCrash())/resendShare, minResendPeriod), maxResendPeriod)
}

func compareDue(a, b *record) int {
	switch {
	case a.changed == b.changed:
		return a.shared.Compare(b.shared)
	case a.changed:
		return -1
	default:
		return 1
	}
}

func encodeRecord(now time.Time, r *record) protocol.SuspectConfig {
	config := protocol.SuspectConfig{Kind: uint8(r.suspect.kind), ID: r.suspect.id, Rank: r.rank, Sound: r.sound}
	for _, c := range r.crashes {
		config.Crashes = append(config.Crashes, protocol.CrashConfig{Backend: c.from.backend, StartTime: c.from.time, Age: now.Sub(c.at), Cleared: c.cleared, Alone: c.alone, Copies: maps.Clone(c.copies)})
	}
	return config
}

// UpdatePeer merges what another lobby knows. Digests may be lost, doubled, late and
// in any order.
func (c *Core) UpdatePeer(now time.Time, digest protocol.Digest) {
	if known, ok := c.peers[digest.Sender()]; !ok || known.incarnation != digest.Incarnation() {
		c.resendAll()
	}
	c.peers[digest.Sender()] = peer{incarnation: digest.Incarnation(), heard: now}
	changed := false
	for _, config := range digest.Suspects() {
		changed = c.merge(now, config) || changed
	}
	if changed {
		c.judge()
	}
}

// resendAll makes all suspects due, for a lobby that is new or was silent.
func (c *Core) resendAll() {
	for r := range c.records() {
		r.changed = true
	}
}

// merge merges the crashes of one suspect and reports whether that changed anything.
// What is about to expire is not learnt: by the time that a digest takes it seems
// younger than it is, and lobbies could teach it to each other for ever.
func (c *Core) merge(now time.Time, config protocol.SuspectConfig) bool {
	incoming := decodeRecord(now, config)
	if len(incoming.crashes) == 0 || incoming.suspect.kind.String() == unknownKind {
		return false
	}
	m := c.memory(incoming.suspect.kind)
	r, known := m.get(incoming.suspect.id)
	if !known {
		incoming.shared = now
		return c.expiry(incoming).Sub(now) >= learnMargin && m.add(incoming)
	}
	cleared := r.cleared()
	changed := r.merge(incoming)
	if r.cleared() > cleared {
		c.unsaved.refute(r.suspect)
	}
	if !r.own && incoming.covers(r) {
		r.shared = now
	}
	m.update(r)
	return changed
}

func decodeRecord(now time.Time, config protocol.SuspectConfig) *record {
	r := &record{suspect: Suspect{kind: Kind(config.Kind), id: config.ID}, rank: config.Rank, sound: config.Sound}
	for _, crashed := range config.Crashes[:min(len(config.Crashes), maxCrashes)] {
		from := start{backend: crashed.Backend, time: crashed.StartTime}
		r.add(crash{from: from, at: now.Add(-max(crashed.Age, 0)), cleared: crashed.Cleared, alone: crashed.Alone})
		r.addCopies(from, crashed.Copies)
	}
	return r
}
