package scheduler

import (
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/visit"
)

// host is responsible for what this process knows of one backend server.
type server struct {
	backend           charter.Backend
	listed            bool
	open              int           // requests of this process that it has
	prefill           time.Duration // of the prompts of those that have not begun
	unanswered        int           // requests of this process that it has had no sign of
	unansweredSince   time.Time     // since when requests have waited without a sign; zero if none does
	suspectUntil      time.Time     // until then it is used only if no other can be
	backoff           time.Duration
	replaced          bool                 // another one has its address
	missingUntil      map[string]time.Time // until then a model that it said it lacks is not asked for
	leases            map[string]time.Time // ends, by MODEL/ADAPTER
	renewing          map[string]bool
	fetchBlockedUntil time.Time     // until then no adapter can be loaded there
	peerOpen          int           // requests of other lobbies that it has
	peerSuspect       bool          // another lobby waits for a sign of it
	peerPrefill       time.Duration // of the prompts of those that have not begun
	cache             *prefixCache
}

func newServer(backend charter.Backend) *server {
	return &server{backend: backend, missingUntil: make(map[string]time.Time), leases: make(map[string]time.Time), renewing: make(map[string]bool), cache: newPrefixCache()}
}

// usable reports whether new requests may go there.
func (h *server) usable() bool { return h.listed && !h.replaced && !h.backend.Leaving() }

// lack notes that it says it has not loaded the model or adapter of a request.
func (h *server) markMissing(now time.Time, v *visit.Visit) {
	delete(h.leases, adapterKey(v.Model(), v.Adapter()))
	if v.Adapter() == "" {
		h.missingUntil[v.Model()] = now.Add(missingModelLifetime)
	}
}

// holds reports whether it has loaded a model.
func (h *server) hasModel(model string) bool { return h.backend.Holds(model, "") }

// takes reports whether it can run a request now: it has loaded the model, and
// the adapter or can load it.
func (h *server) canRun(now time.Time, call *openRequest) bool {
	v := call.request
	return h.hasSlot(call.rank()) && h.hasModel(v.Model()) && !now.Before(h.missingUntil[v.Model()]) && (!now.Before(h.fetchBlockedUntil) || h.adapterReady(now, v))
}

// room reports whether a slot is free for a request of that rank. A few are kept
// for more urgent ones, so that none has to wait in the engine.
func (h *server) hasSlot(rank int) bool {
	return h.open+h.peerOpen < h.backend.Slots()-reservedSlots*min(rank, maxReservedRanks)
}

// reads reports whether it can read the prompt of a request, which takes so long,
// without a pause in its streams that is too long for them.
func (h *server) canPrefill(call *openRequest, reading time.Duration) bool {
	busy := h.prefill + h.peerPrefill
	limit := time.Duration(float64(call.route.Gap()) * prefillShare)
	return busy == 0 || limit == 0 || busy+reading <= limit
}

// leased reports whether the adapter of a request, if it has one, is loaded and
// stays so.
func (h *server) adapterReady(now time.Time, v *visit.Visit) bool {
	return v.Adapter() == "" || now.Before(h.leases[adapterKey(v.Model(), v.Adapter())])
}

func adapterKey(model, adapter string) string { return model + "/" + adapter }

// load returns the time until a request would begin there, whose prompt takes so
// long to read.
func (h *server) startDelay(now time.Time, v *visit.Visit, engine bool, domain string, reading time.Duration) time.Duration {
	load := time.Duration(h.open+h.peerOpen) * plainRequestCost
	if engine {
		load = h.prefill + h.peerPrefill + reading + h.contention()
	}
	if !h.adapterReady(now, v) {
		load += adapterLoadCost
	}
	if h.backend.Domain() != domain {
		load += remoteDomainCost
	}
	return load
}

// await notes that a request has gone there.
func (h *server) requestSent(now time.Time) {
	if h.unanswered++; h.unanswered == 1 {
		h.unansweredSince = now
	}
}

// settle notes that a request is no longer awaited.
func (h *server) requestSettled() {
	if h.unanswered--; h.unanswered == 0 {
		h.unansweredSince = time.Time{}
	}
}

// crowd returns what the requests there cost another one: each makes the steps
// longer, and those near the number of slots and beyond it make it wait.
func (h *server) contention() time.Duration {
	n := h.open + h.peerOpen
	full := int(fullShare * float64(h.backend.Slots()))
	return time.Duration(n)*runningCost + time.Duration(max(n-full, 0))*overloadCost
}

// sign notes that it has answered or begun a request.
func (h *server) responded(now time.Time) {
	h.backoff, h.suspectUntil, h.unansweredSince = 0, time.Time{}, time.Time{}
	if h.unanswered > 0 {
		h.unansweredSince = now
	}
}

// silent reports whether requests have waited there for long without a sign.
func (h *server) silent(now time.Time) bool {
	return !h.unansweredSince.IsZero() && now.Sub(h.unansweredSince) > silenceLimit+h.prefill
}

// fail notes that a connection to it could not be made or broke.
func (h *server) markFailed(now time.Time) {
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.suspectUntil = now.Add(h.backoff)
}

// doubtful reports whether it is used only if no other can be.
func (h *server) suspected(now time.Time) bool {
	return now.Before(h.suspectUntil) || h.silent(now) || h.peerSuspect
}
