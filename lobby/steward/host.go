package steward

import (
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/visit"
)

// host is responsible for what this process knows of one backend server.
type host struct {
	backend charter.Backend
	listed  bool
	open    int       // requests of this process that it has
	reading int64     // prompt tokens of those that have not begun
	suspect time.Time // until then it is used only if no other can be
	pause   time.Duration
	lacks   map[string]time.Time // models and adapters that it said it lacks, and when
	shelf   *shelf
}

func newHost(backend charter.Backend) *host {
	return &host{backend: backend, lacks: make(map[string]time.Time), shelf: newShelf()}
}

// usable reports whether new requests may go there.
func (h *host) usable() bool { return h.listed && !h.backend.Leaving() }

// holds reports whether it can run requests for a model and adapter.
func (h *host) holds(model, adapter string) bool { return h.backend.Holds(model, adapter) }

// load returns what waits there before a request would begin, with the
// request's own prompt, in tokens to be read.
func (h *host) load(v *visit.Visit, engine bool, domain string) int64 {
	load := int64(h.open) * plainWeight
	if engine {
		load = h.reading + h.shelf.missing(v) + int64(h.open)*runningWeight
	}
	if h.backend.Domain() != domain {
		load += distance
	}
	return load
}

// fail notes that a connection to it could not be made or broke.
func (h *host) fail(now time.Time) {
	h.pause = min(max(2*h.pause, suspectFirst), suspectMost)
	h.suspect = now.Add(h.pause)
}

// answer notes that it answered.
func (h *host) answer() { h.pause, h.suspect = 0, time.Time{} }
