package quarantine

import (
	"time"

	"sesamewell.example/commons/protocol"
)

// RequestSuspect returns the suspect that stands for a request and its copies, by an
// identifier of their content.
func RequestSuspect(id string) Suspect { return Suspect{kind: RequestKind, id: id} }

// ContainedCrash is the end of a backend server under a request that may have run alone.
type ContainedCrash struct {
	Suspect Suspect
	Number  int64 // differs from those of other crashes
	Alone   bool  // the backend server ran nothing else
}

// RecordContained records a crash.
func (c *Core) RecordContained(now time.Time, crashed ContainedCrash) {
	if c.addRequestCrash(crashed.Suspect, crash{from: start{time: crashed.Number}, at: now, alone: crashed.Alone}) {
		c.judge()
	}
}

// Learn merges what is known elsewhere of a suspect.
func (c *Core) Learn(now time.Time, config protocol.SuspectConfig) {
	if c.merge(now, config) {
		c.judge()
	}
}

// Exonerate clears all crashes of a suspect that ran alone and was answered, unless it is
// quarantined.
func (c *Core) Exonerate(suspect Suspect) {
	r, ok := c.find(suspect)
	if _, judged := c.verdicts[suspect]; ok && !judged {
		c.clear(r, r.lastCrash().Add(1))
	}
}

// Suspected reports whether a backend server has ended under a suspect that was not answered
// since.
func (c *Core) Suspected(suspect Suspect) bool {
	r, ok := c.find(suspect)
	return ok && r.weight.events > 0
}

// QuarantinedAt reports whether no request of a suspect may run at a time.
func (c *Core) QuarantinedAt(now time.Time, suspect Suspect) bool {
	v, ok := c.verdicts[suspect]
	return ok && now.Before(v.until)
}

// SuspectedRequests returns the identifiers of the requests that are suspected or quarantined.
func (c *Core) SuspectedRequests() map[string]struct{} {
	ids := make(map[string]struct{})
	for _, r := range c.requests.ranking {
		if r.weight.events > 0 {
			ids[r.suspect.id] = struct{}{}
		}
	}
	return ids
}
