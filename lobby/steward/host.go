package steward

import (
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/visit"
)

// host is responsible for what this process knows of one backend server.
type host struct {
	backend       charter.Backend
	listed        bool
	open          int           // requests of this process that it has
	reading       time.Duration // of the prompts of those that have not begun
	unbegun       int           // requests of this process that it has had no sign of
	waits         time.Time     // since when requests have waited without a sign; zero if none does
	suspect       time.Time     // until then it is used only if no other can be
	pause         time.Duration
	replaced      bool                 // another one has its address
	lacks         map[string]time.Time // until then a model that it said it lacks is not asked for
	leases        map[string]time.Time // ends, by MODEL/ADAPTER
	renewing      map[string]bool
	closed        time.Time     // until then no adapter can be loaded there
	others        int           // requests of other lobbies that it has
	othersDoubt   bool          // another lobby waits for a sign of it
	othersReading time.Duration // of the prompts of those that have not begun
	shelf         *shelf
}

func newHost(backend charter.Backend) *host {
	return &host{backend: backend, lacks: make(map[string]time.Time), leases: make(map[string]time.Time), renewing: make(map[string]bool), shelf: newShelf()}
}

// usable reports whether new requests may go there.
func (h *host) usable() bool { return h.listed && !h.replaced && !h.backend.Leaving() }

// lack notes that it says it has not loaded the model or adapter of a request.
func (h *host) lack(now time.Time, v *visit.Visit) {
	delete(h.leases, adapterKey(v.Model(), v.Adapter()))
	if v.Adapter() == "" {
		h.lacks[v.Model()] = now.Add(lackLife)
	}
}

// holds reports whether it has loaded a model.
func (h *host) holds(model string) bool { return h.backend.Holds(model, "") }

// takes reports whether it can run a request now: it has loaded the model, and
// the adapter or can load it.
func (h *host) takes(now time.Time, call *call) bool {
	v := call.visit
	return h.room(call.rank()) && h.holds(v.Model()) && !now.Before(h.lacks[v.Model()]) && (!now.Before(h.closed) || h.leased(now, v))
}

// room reports whether a slot is free for a request of that rank. A few are kept
// for more urgent ones, so that none has to wait in the engine.
func (h *host) room(rank int) bool {
	return h.open+h.others < h.backend.Slots()-reserved*min(rank, maxReserved)
}

// reads reports whether it can read the prompt of a request, which takes so long,
// without a pause in its streams that is too long for them.
func (h *host) reads(call *call, reading time.Duration) bool {
	busy := h.reading + h.othersReading
	limit := time.Duration(float64(call.route.Gap()) * readLimit)
	return busy == 0 || limit == 0 || busy+reading <= limit
}

// leased reports whether the adapter of a request, if it has one, is loaded and
// stays so.
func (h *host) leased(now time.Time, v *visit.Visit) bool {
	return v.Adapter() == "" || now.Before(h.leases[adapterKey(v.Model(), v.Adapter())])
}

func adapterKey(model, adapter string) string { return model + "/" + adapter }

// load returns the time until a request would begin there, whose prompt takes so
// long to read.
func (h *host) load(now time.Time, v *visit.Visit, engine bool, domain string, reading time.Duration) time.Duration {
	load := time.Duration(h.open+h.others) * plainWeight
	if engine {
		load = h.reading + h.othersReading + reading + h.crowd()
	}
	if !h.leased(now, v) {
		load += absent
	}
	if h.backend.Domain() != domain {
		load += distance
	}
	return load
}

// await notes that a request has gone there.
func (h *host) await(now time.Time) {
	if h.unbegun++; h.unbegun == 1 {
		h.waits = now
	}
}

// settle notes that a request is no longer awaited.
func (h *host) settle() {
	if h.unbegun--; h.unbegun == 0 {
		h.waits = time.Time{}
	}
}

// crowd returns what the requests there cost another one: each makes the steps
// longer, and those near the number of slots and beyond it make it wait.
func (h *host) crowd() time.Duration {
	n := h.open + h.others
	full := int(fullShare * float64(h.backend.Slots()))
	return time.Duration(n)*runningWeight + time.Duration(max(n-full, 0))*waitingWeight
}

// sign notes that it has answered or begun a request.
func (h *host) sign(now time.Time) {
	h.pause, h.suspect, h.waits = 0, time.Time{}, time.Time{}
	if h.unbegun > 0 {
		h.waits = now
	}
}

// silent reports whether requests have waited there for long without a sign.
func (h *host) silent(now time.Time) bool {
	return !h.waits.IsZero() && now.Sub(h.waits) > silenceLimit+h.reading
}

// fail notes that a connection to it could not be made or broke.
func (h *host) fail(now time.Time) {
	h.pause = min(max(2*h.pause, suspectFirst), suspectMost)
	h.suspect = now.Add(h.pause)
}

// doubtful reports whether it is used only if no other can be.
func (h *host) doubtful(now time.Time) bool {
	return now.Before(h.suspect) || h.silent(now) || h.othersDoubt
}
