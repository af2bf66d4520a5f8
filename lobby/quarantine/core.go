// Package quarantine holds back requests that crash backend servers. When a backend
// server ends, the requests that it ran become suspects at every lobby that had sent
// some there, and so do the parts of the prompts that it had not begun to answer. The
// lobbies exchange what they know with their digests. A suspect that was there at
// several crashes, and was never answered in between, is quarantined; a suspect that
// was answered is cleared. After the quarantine one lobby at a time tries a single
// request.
package quarantine

import (
	"cmp"
	"time"

	"sesamewell.example/commons/httpmeta"
)

const (
	maxRecords   = 512              // suspects that are remembered
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
}

// Core makes the decisions of the quarantine. It does no I/O and is not safe for
// concurrent use.
type Core struct {
	config   Config
	records  map[Suspect]*record
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
	config.Lifetime = cmp.Or(config.Lifetime, defaultLifetime)
	return &Core{config: config, records: make(map[Suspect]*record), verdicts: make(map[Suspect]verdict), history: newHistory(), peers: make(map[string]peer), unsaved: unsaved{saved: make(map[Suspect]struct{})}}
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
	changed := c.addCrash(now, requestSuspect(config.Request), requestRank, from)
	if !config.Answering {
		for place, suspect := range partSuspects(config.Request) {
			changed = c.addCrash(now, suspect, place, from) || changed
		}
	}
	if changed {
		c.judge()
	}
}

// addCrash adds a crash that this lobby has seen to the record of a suspect.
func (c *Core) addCrash(now time.Time, suspect Suspect, rank int, from start) bool {
	r := c.record(suspect, rank)
	changed := r.add(from, crash{at: now})
	if suspect.kind == RequestKind {
		changed = r.copies.add(from, c.config.Self, r.copies[from][c.config.Self]+1) || changed
	}
	if !changed {
		return false
	}
	r.own, r.changed, r.trial = true, true, trial{}
	r.sound = r.sound || suspect.kind == PartKind && c.history.contains(suspect.id)
	c.unsaved.learnt = c.unsaved.learnt || mayBeSaved(suspect, r)
	return true
}

// Completed records that a backend server has answered a request, and was writing the
// answer at a given time. The request is not the cause of earlier crashes.
func (c *Core) Completed(request *httpmeta.Request, answering time.Time) {
	c.clear(suspectsOf(request), answering)
}

// Answering records that a backend server has been writing an answer for a while, from
// a given time on. The parts of the prompt are not the cause of earlier crashes.
func (c *Core) Answering(request *httpmeta.Request, from time.Time) {
	c.clear(partSuspects(request), from)
}

// clear clears the crashes of suspects before a time at which they were answered.
func (c *Core) clear(suspects []Suspect, answered time.Time) {
	changed := false
	for _, suspect := range suspects {
		if suspect.kind == PartKind {
			c.history.add(suspect.id)
		}
		if r, ok := c.records[suspect]; ok && r.clear(answered) {
			c.unsaved.refute(suspect)
			r.own, r.changed, changed = true, true, true
		}
	}
	if changed {
		c.judge()
	}
}

// Admit reports whether a request may be sent to a backend server. If not, it returns
// the time after which the caller may try again. number identifies the request.
func (c *Core) Admit(now time.Time, number uint64, request *httpmeta.Request) (time.Duration, bool) {
	if len(c.verdicts) == 0 {
		return 0, true
	}
	var tried []Suspect
	for _, suspect := range suspectsOf(request) {
		v, ok := c.verdicts[suspect]
		if !ok {
			continue
		}
		r := c.records[suspect]
		if !c.mayTry(now, number, r, v) {
			return max(v.until.Sub(now), trialTurn), false
		}
		tried = append(tried, suspect)
	}
	for _, suspect := range tried {
		if r := c.records[suspect]; r.trial.request != number {
			r.trial = trial{request: number, began: now}
			c.noteChange(suspect, Tried, c.verdicts[suspect])
		}
	}
	return 0, true
}

// Crashes returns the number of crashes known under a request and its copies, without
// those that an answer has cleared.
func (c *Core) Crashes(request *httpmeta.Request) int {
	r, ok := c.records[requestSuspect(request)]
	if !ok {
		return 0
	}
	return len(r.times(nil))
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

// record returns the record of a suspect, a new one if it has none.
func (c *Core) record(suspect Suspect, rank int) *record {
	r, ok := c.records[suspect]
	if !ok {
		c.makeRoom()
		r = newRecord(rank)
		c.records[suspect] = r
	}
	return r
}

// makeRoom drops the record with the fewest events, of these the one that expires
// first, if there is no room for another.
func (c *Core) makeRoom() {
	if len(c.records) < maxRecords {
		return
	}
	var victim Suspect
	var fewest *record
	for suspect, r := range c.records {
		if fewest == nil || c.compareWeight(r, fewest) < 0 {
			victim, fewest = suspect, r
		}
	}
	delete(c.records, victim)
}

func (c *Core) compareWeight(a, b *record) int {
	return cmp.Or(cmp.Compare(events(a.times(nil)), events(b.times(nil))), a.expiry(c.config.Lifetime).Compare(b.expiry(c.config.Lifetime)))
}

// expire drops the records and peers whose time is over, at most every expiryPeriod.
func (c *Core) expire(now time.Time) {
	if now.Sub(c.expired) < expiryPeriod {
		return
	}
	c.expired = now
	dropped := false
	for suspect, r := range c.records {
		if !now.Before(r.expiry(c.config.Lifetime)) {
			delete(c.records, suspect)
			c.unsaved.refute(suspect)
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
