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

// maxCompared is the number of parts of a running prompt that are compared with doubtful ones.
const maxCompared = 128

// MustWait reports whether a request has to wait before it is sent. Once a backend server
// has ended under a suspect, its requests run one at a time at each lobby until one of them
// is answered, so that a further crash costs one request. Once that has happened to several
// copies of a request, the lobbies take turns. running are the requests of this lobby that
// have been sent and have no result yet.
func (c *Core) MustWait(now time.Time, request *httpmeta.Request, running iter.Seq[*httpmeta.Request]) bool {
	doubtful := c.doubtful(request)
	for _, r := range doubtful {
		if _, judged := c.verdicts[r.suspect]; !judged && r.suspect.kind == RequestKind && !c.mayRun(now, r) {
			return true
		}
	}
	return c.runs(request, doubtful, running)
}

// doubtful returns the records of the suspects that a request stands for, that have crashes
// and have not been answered before or since.
func (c *Core) doubtful(request *httpmeta.Request) []*record {
	if len(c.requests.ranking) == 0 && len(c.parts.ranking) == 0 {
		return nil
	}
	var doubtful []*record
	for suspect := range suspectsOf(request) {
		r, ok := c.find(suspect)
		if ok && !r.sound && r.weight.events > 0 && (suspect.kind == RequestKind || !c.history.contains(suspect.id)) {
			doubtful = append(doubtful, r)
		}
	}
	return doubtful
}

// runs reports whether a running request is a copy of one that is doubtful, or shares a
// doubtful part with it. The prompts of all that run are read only once the one that was
// found last has ended.
func (c *Core) runs(request *httpmeta.Request, doubtful []*record, running iter.Seq[*httpmeta.Request]) bool {
	if len(doubtful) == 0 {
		return false
	}
	parts := slices.DeleteFunc(doubtful, func(r *record) bool { return r.suspect.kind != PartKind })
	copied := len(parts) < len(doubtful)
	for other := range running {
		if copied && other.Fingerprint() == request.Fingerprint() || slices.ContainsFunc(parts, func(r *record) bool { return r.runner == other }) {
			return true
		}
	}
	return len(parts) > 0 && c.findRunner(parts, running)
}

// findRunner looks for a running request that shares one of the parts, and remembers it.
func (c *Core) findRunner(parts []*record, running iter.Seq[*httpmeta.Request]) bool {
	c.search++
	for _, r := range parts {
		r.runner, r.search = nil, c.search
	}
	for other := range running {
		leading := leadingParts(other)
		for _, part := range leading[:min(len(leading), maxCompared)] {
			if r, ok := c.parts.get(part.ID()); ok && r.search == c.search {
				r.runner = other
				return true
			}
		}
	}
	return false
}

// mayRun reports whether a copy of a request without a verdict may run at this lobby now.
// One that ends its backend server within eventGap of the last crash would show nothing.
func (c *Core) mayRun(now time.Time, r *record) bool {
	f := r.findings(nil)
	if f.copies < copiesInDoubt {
		return true
	}
	from := f.last.Add(eventGap)
	return !now.Before(from) && c.hasTurn(now, from, doubtTurn)
}
