// Package quarantine holds back requests that crash backend servers. When a backend
// server ends, the requests that it ran become suspects at every process that had sent
// some there, and so do the parts of the prompts that it had not begun to answer. The
// lobbies exchange what they know with their digests. A suspect that was there at
// several crashes, and was never answered in between, is quarantined; a suspect that
// was answered is cleared. After the quarantine one lobby at a time tries a single
// request.
package quarantine

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"sesamewell.example/commons/httpmeta"
)

const (
	maxNewParts  = 32               // parts of one prompt that become suspects at one crash, so that others have room
	peerLifetime = time.Second      // time after its last digest for which another lobby takes turns
	trialTurn    = 2 * time.Second  // length of a lobby's turn; a trial may begin in its first half
	doubtTurn    = time.Second      // the same for a request without a verdict, whose caller waits
	expiryPeriod = time.Second      // time between two checks for expired suspects
	trialTimeout = 10 * time.Second // time after which a trial without a result no longer counts

	defaultLifetime = 24 * time.Hour // work on a schedule comes again within it
)

// Config holds the construction parameters of a Core.
type Config struct {
	Self     string        // RPC address of this lobby
	Lifetime time.Duration // time after its last crash for which a suspect is remembered; zero for defaultLifetime
	Capacity int           // suspects of one kind that are remembered; zero for maxRecords
	Policy   Policy        // nil for SharedEvidence
}

// Core makes the decisions of the quarantine. It does no I/O and is not safe for
// concurrent use.
type Core struct {
	config   Config
	requests *memory
	parts    *memory
	first    *firstCrashes
	search   uint64 // number of the last search for running requests
	verdicts map[Suspect]verdict
	changes  []Change
	history  *history
	peers    map[string]peer // by RPC address
	expired  time.Time       // time of the last check for expired suspects
	unsaved  unsaved
	recalled bool // what lobbies had saved before this one's start is known
}

// peer is another lobby.
type peer struct {
	incarnation uint64
	heard       time.Time // time of its last digest
}

// New returns a core without suspects.
func New(config Config) *Core {
	config.Lifetime, config.Capacity = cmp.Or(config.Lifetime, defaultLifetime), cmp.Or(config.Capacity, maxRecords)
	if config.Policy == nil {
		config.Policy = SharedEvidence{}
	}
	return &Core{config: config, requests: newMemory(config), parts: newMemory(config), first: newFirstCrashes(), verdicts: make(map[Suspect]verdict), history: newHistory(), peers: make(map[string]peer), unsaved: unsaved{saved: make(map[Suspect]struct{})}}
}

// CrashConfig holds the parameters of Crashed.
type CrashConfig struct {
	Request   *httpmeta.Request
	Backend   string
	StartTime int64 // start of the backend server in Unix milliseconds
	Answering bool  // it had been writing the answer for a while, so the prompt is not the cause
}

// Crashed records that a backend server closed the connection before its answer to a
// request was complete.
func (c *Core) Crashed(now time.Time, config CrashConfig) {
	from := start{backend: config.Backend, time: config.StartTime}
	changed := c.addRequestCrash(requestSuspect(config.Request), crash{from: from, at: now})
	if !config.Answering {
		changed = c.addPartCrashes(now, config.Request, from) || changed
	}
	if changed {
		c.judge()
	}
}

// addRequestCrash adds a crash that this lobby has seen to the record of a request.
func (c *Core) addRequestCrash(suspect Suspect, seen crash) bool {
	r, known := c.find(suspect)
	if !known {
		r = &record{suspect: suspect, rank: requestRank}
	}
	changed := r.add(seen)
	if at := r.crashOf(seen.from); at != nil {
		changed = r.addCopies(seen.from, copies{c.config.Self: at.copies[c.config.Self] + 1}) || changed
	}
	return changed && c.keep(r, known)
}

// addPartCrashes adds a crash that this lobby has seen to the records of the parts of a
// prompt. At most maxNewParts get a record by their first crash; the others of a long prompt
// get one by their second.
func (c *Core) addPartCrashes(now time.Time, request *httpmeta.Request, from start) bool {
	changed, added := false, 0
	for place, part := range leadingParts(request) {
		r, known := c.parts.get(part.ID())
		switch {
		case known:
		case added < maxNewParts:
			added++
			r = &record{suspect: partSuspect(part), rank: place}
		default:
			earlier, ok := c.firstCrash(part.ID(), crash{from: from, at: now})
			if !ok {
				continue
			}
			r = &record{suspect: partSuspect(part), rank: place, crashes: []crash{earlier}}
		}
		changed = r.add(crash{from: from, at: now}) && c.keep(r, known) || changed
	}
	return changed
}

// firstCrash returns the earlier crash of a part without a record, if it is known. Else it
// remembers this one, unless the part was answered before.
func (c *Core) firstCrash(part string, now crash) (crash, bool) {
	if c.history.contains(part) {
		return crash{}, false
	}
	earlier, ok := c.first.note(part, now)
	return earlier, ok && now.at.Sub(earlier.at) < c.config.Lifetime
}

// keep keeps a record to which this lobby has added a crash. It returns false if it is a new
// one for which there is no room.
func (c *Core) keep(r *record, known bool) bool {
	m := c.memory(r.suspect.kind)
	if known {
		m.update(r)
	} else if !m.add(r) {
		return false
	}
	r.own, r.changed, r.trial = true, true, trial{}
	r.sound = r.sound || r.suspect.kind == PartKind && c.history.contains(r.suspect.id)
	c.unsaved.learnt = c.unsaved.learnt || mayBeSaved(r)
	return true
}

// Completed records that a backend server has answered a request, and was writing the
// answer at a given time. The request is not the cause of earlier crashes.
func (c *Core) Completed(request *httpmeta.Request, answering time.Time) {
	cleared := c.clearParts(request, answering)
	if r, ok := c.find(requestSuspect(request)); ok {
		cleared = c.clear(r, answering) || cleared
	}
	if cleared {
		c.judge()
	}
}

// Answering records that a backend server has been writing an answer for a while, from
// a given time on. The parts of the prompt are not the cause of earlier crashes.
func (c *Core) Answering(request *httpmeta.Request, from time.Time) {
	if c.clearParts(request, from) {
		c.judge()
	}
}

// clearParts clears the parts of a prompt that was answered, and remembers them.
func (c *Core) clearParts(request *httpmeta.Request, answered time.Time) bool {
	cleared := false
	for _, part := range leadingParts(request) {
		c.history.add(part.ID())
		c.first.forget(part.ID())
		if r, ok := c.parts.get(part.ID()); ok {
			cleared = c.clear(r, answered) || cleared
		}
	}
	return cleared
}

// clear clears the crashes of a suspect before a time at which it was answered.
func (c *Core) clear(r *record, answered time.Time) bool {
	if !r.clear(answered) {
		return false
	}
	c.unsaved.refute(r.suspect)
	r.own, r.changed = true, true
	c.memory(r.suspect.kind).update(r)
	return true
}

// Admit reports whether a request may be sent to a backend server. If not, it returns
// the time after which the caller may try again. number identifies the request.
func (c *Core) Admit(now time.Time, number uint64, request *httpmeta.Request) (time.Duration, bool) {
	if len(c.verdicts) == 0 {
		return 0, true
	}
	var tried []*record
	for suspect := range suspectsOf(request) {
		v, ok := c.verdicts[suspect]
		if !ok {
			continue
		}
		r, ok := c.find(suspect)
		if !ok {
			continue
		}
		if !c.mayTry(now, number, r, v) {
			return max(v.until.Sub(now), trialTurn), false
		}
		tried = append(tried, r)
	}
	for _, r := range tried {
		if r.trial.request != number {
			r.trial = trial{request: number, began: now}
			c.noteChange(r.suspect, Tried, c.verdicts[r.suspect])
		}
	}
	return 0, true
}

// Crashes returns the number of crashes known under a request and its copies, without
// those that an answer has cleared.
func (c *Core) Crashes(request *httpmeta.Request) int {
	r, ok := c.find(requestSuspect(request))
	if !ok {
		return 0
	}
	return r.findings(nil).crashes
}

// mayTry reports whether a request of a quarantined suspect may run as a trial.
func (c *Core) mayTry(now time.Time, number uint64, r *record, v verdict) bool {
	if r.trial.request == number {
		return true
	}
	running := r.trial.request != 0 && now.Sub(r.trial.began) < trialTimeout
	return !running && !now.Before(v.until) && c.hasTurn(now, v.until, trialTurn)
}

// hasTurn reports whether this lobby may send a request of a suspect now. The live lobbies
// take turns of the given length from a time on, in the order of their addresses. In the
// second half of a turn none begins, so that its result is known to the next lobby.
func (c *Core) hasTurn(now, from time.Time, length time.Duration) bool {
	live, place := 1, 0
	for address, p := range c.peers {
		if now.Sub(p.heard) > peerLifetime {
			continue
		}
		live++
		if address < c.config.Self {
			place++
		}
	}
	turn, within := now.Sub(from)/length, now.Sub(from)%length
	return int(turn)%live == place && within < length/2
}

// memory returns the memory of a kind of suspects.
func (c *Core) memory(kind Kind) *memory {
	if kind == RequestKind {
		return c.requests
	}
	return c.parts
}

// find returns the record of a suspect.
func (c *Core) find(suspect Suspect) (*record, bool) { return c.memory(suspect.kind).get(suspect.id) }

// records returns all records.
func (c *Core) records() iter.Seq[*record] {
	return func(yield func(*record) bool) {
		for _, m := range []*memory{c.requests, c.parts} {
			for n := len(m.ranking) - 1; n >= 0; n-- {
				if !yield(m.ranking[n]) {
					return
				}
			}
		}
	}
}

// expiry returns the time at which a record is dropped.
func (c *Core) expiry(r *record) time.Time {
	f := r.findings(nil)
	if f.crashes == 0 {
		return r.lastCrash().Add(clearedLifetime)
	}
	lifetime := c.config.Lifetime
	if c.config.Policy.Enough(f) {
		lifetime = max(lifetime, c.config.Policy.Quarantine(f, lifetime))
	}
	return f.last.Add(lifetime)
}

// Expire drops the records and peers whose time is over, at most every expiryPeriod.
func (c *Core) Expire(now time.Time) {
	if now.Sub(c.expired) < expiryPeriod {
		return
	}
	c.expired = now
	dropped := false
	for _, r := range slices.Collect(c.records()) {
		if !now.Before(c.expiry(r)) {
			c.memory(r.suspect.kind).remove(r)
			c.unsaved.refute(r.suspect)
			dropped = true
		}
	}
	for address, p := range c.peers {
		if now.Sub(p.heard) > peerLifetime {
			delete(c.peers, address)
		}
	}
	if dropped {
		c.judge()
	}
}
