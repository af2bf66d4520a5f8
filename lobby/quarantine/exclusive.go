package quarantine

import (
	"iter"
	"slices"
	"time"

	"sesamewell.example/commons/httpmeta"
)

// copiesInDoubt is the number of copies of a request that ended with backend servers from
// which on the lobbies take turns: a sound request has one copy, and its caller sends the
// next after a while.
const copiesInDoubt = 2

// MustWait reports whether a request has to wait before it is sent. Once a backend server
// has ended under a suspect, its requests run one at a time at each lobby until one of them
// is answered, so that a further crash costs one request. Once that has happened to several
// copies of a request, the lobbies take turns. running are the requests of this lobby that
// have been sent and have no result yet.
func (c *Core) MustWait(now time.Time, request *httpmeta.Request, running iter.Seq[*httpmeta.Request]) bool {
	for _, suspect := range c.doubtful(request) {
		if _, judged := c.verdicts[suspect]; !judged && suspect.kind == RequestKind && !c.mayRun(now, c.records[suspect]) {
			return true
		}
		for other := range running {
			if slices.Contains(suspectsOf(other), suspect) {
				return true
			}
		}
	}
	return false
}

// doubtful returns the suspects that a request stands for, that have crashes and have not
// been answered before or since.
func (c *Core) doubtful(request *httpmeta.Request) []Suspect {
	if len(c.records) == 0 {
		return nil
	}
	return slices.DeleteFunc(suspectsOf(request), func(suspect Suspect) bool {
		r, ok := c.records[suspect]
		return !ok || r.sound || suspect.kind == PartKind && c.history.contains(suspect.id) || len(r.times(nil)) == 0
	})
}

// mayRun reports whether a copy of a request without a verdict may run at this lobby now.
// One that ends its backend server within eventGap of the last crash would show nothing.
func (c *Core) mayRun(now time.Time, r *record) bool {
	if r.copies.count(r.crashes, nil) < copiesInDoubt {
		return true
	}
	times := r.times(nil)
	from := times[len(times)-1].Add(eventGap)
	return !now.Before(from) && c.hasTurn(now, from, doubtTurn)
}
