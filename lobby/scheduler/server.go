package scheduler

import (
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
)

// server is this process's state of one backend server.
type server struct {
	backend           deployment.Backend
	listed            bool
	firstSeen         time.Time           // time of the list that it was first on
	unlistedAt        time.Time           // time at which its entry left the list; zero before
	open              int                 // open requests of this process
	prefill           time.Duration       // pending prefill of this process
	unanswered        int                 // requests of this process without an answer
	unansweredSince   time.Time           // start of the wait for an answer; zero if none is awaited
	failure           backoff             // used only as a last resort during the pause
	rejections        map[string]*backoff // by model whose requests it rejects, "" without models
	replaced          bool                // another backend server has taken over its address
	hold              hold
	doubt             doubt
	leaving           bool                 // it has said in an answer that it leaves
	evacuated         bool                 // its failure domain is to be evacuated
	missingUntil      map[string]time.Time // by model reported missing: no requests until then
	leases            map[string]time.Time // ends of adapter leases, by MODEL/ADAPTER
	renewing          map[string]bool      // leases that are being renewed, by MODEL/ADAPTER
	fetchBlockedUntil time.Time            // no adapter is fetched until then
	renewBlockedUntil time.Time            // no lease of an adapter in use is renewed until then
	peerOpen          int                  // open requests of other lobbies
	peerSuspect       bool                 // another lobby reports it silent
	peerPrefill       time.Duration        // pending prefill of other lobbies
	cache             *prefixCache
	cold              *coldGate  // nil if it is never cold
	gates             rateGates  // that limit the rate of its requests
	report            coldReport // last report of its cold time
	reportSeen        bool       // there was one
	coldRecorded      bool       // its cold time has been recorded
	limit             *limitGate // nil if it has named no rate in its answers

	cacheTokens int64     // tokens that running requests and cached parts share; zero if not known
	footprint   footprint // of the requests of this process
	model       backendModel

	reservedFor   uint64    // number of the request that it is reserved for; zero if there is none
	reservedUntil time.Time // end of the reservation
	peerAverage   float64   // average of peerOpen over the last time
	averaged      bool      // peerAverage has a first value
}

func newServer(backend deployment.Backend) *server {
	return &server{backend: backend, doubt: doubt{raised: true}, rejections: make(map[string]*backoff), missingUntil: make(map[string]time.Time), leases: make(map[string]time.Time), renewing: make(map[string]bool), cache: newPrefixCache()}
}

// setCold sets the gate for cold times, nil for none.
func (s *server) setCold(gate *coldGate) {
	s.cold = gate
	s.collectGates()
}

// setLimit sets the gate for the rate that the backend server names.
func (s *server) setLimit(gate *limitGate) {
	s.limit = gate
	s.collectGates()
}

func (s *server) collectGates() {
	s.gates = nil
	if s.cold != nil {
		s.gates = append(s.gates, s.cold)
	}
	if s.limit != nil {
		s.gates = append(s.gates, s.limit)
	}
}

// usable reports whether the backend server may get new requests.
func (s *server) usable() bool {
	return s.listed && !s.replaced && !s.leaving && !s.evacuated && !s.backend.Leaving()
}

// admits reports whether the backend server may get a request now: it is usable, and
// neither its hold nor the limit of its rate keeps the request back.
func (s *server) admits(now time.Time) bool {
	return s.usable() && s.hold.admits(now) && s.gates.admits(now)
}

// closed reports whether the backend server gets no requests now, new or waiting.
func (s *server) closed(now time.Time) bool { return !s.usable() || s.hold.active(now) }

// markMissing records that the backend server has reported the model or adapter
// of a request as not loaded.
func (s *server) markMissing(now time.Time, request *httpmeta.Request) {
	delete(s.leases, adapterKey(request.Model(), request.Adapter()))
	if request.Adapter() == "" {
		s.missingUntil[request.Model()] = now.Add(missingModelLifetime)
		s.cache.forgetModel(request.Model())
	}
}

// markRejected records that the backend server has rejected a request unread. While
// it unloads a model it rejects all requests for it at once, and would attract all
// that wait, since it has few open. The first pause is given.
func (s *server) markRejected(now time.Time, request *httpmeta.Request, pause time.Duration) {
	b, ok := s.rejections[request.Model()]
	if !ok {
		b = &backoff{}
		s.rejections[request.Model()] = b
	}
	b.fail(now, pause, maxRejectionPause)
}

// rejecting reports whether the backend server has lately rejected a request for
// the model.
func (s *server) rejecting(now time.Time, model string) bool {
	b, ok := s.rejections[model]
	return ok && b.active(now)
}

// hasModel reports whether a model is loaded.
func (s *server) hasModel(model string) bool { return s.backend.Holds(model, "") }

// canRun reports whether a request can run now: a slot is free, the model is
// loaded, and the adapter is loaded or can be.
func (s *server) canRun(now time.Time, req *openRequest) bool {
	return s.hasSlot(req.priority()) && s.serves(now, req.request.Model()) && (!now.Before(s.fetchBlockedUntil) || s.adapterReady(now, req.request))
}

// serves reports whether requests for a model can run, apart from the load.
func (s *server) serves(now time.Time, model string) bool {
	return s.hasModel(model) && !now.Before(s.missingUntil[model]) && !s.rejecting(now, model)
}

// hasSlot reports whether a slot is free for a request with the given
// priority. Some slots are reserved for more urgent requests, so that those do
// not queue in the engine.
func (s *server) hasSlot(priority int) bool {
	return s.open+s.peerOpen < s.backend.Slots()-reservedSlots*min(priority, maxReservedLevels)
}

// canPrefill reports whether the prefill of a request fits without pausing
// running streams for longer than the route allows. An engine without pending
// prefill accepts any prompt.
func (s *server) canPrefill(req *openRequest, prefill time.Duration) bool {
	busy := s.prefill + s.peerPrefill
	limit := time.Duration(float64(req.route.GapObjective()) * prefillShare)
	return busy == 0 || limit == 0 || busy+prefill <= limit
}

// adapterReady reports whether the request needs no adapter or the adapter is
// leased.
func (s *server) adapterReady(now time.Time, request *httpmeta.Request) bool {
	return request.Adapter() == "" || now.Before(s.leases[adapterKey(request.Model(), request.Adapter())])
}

func adapterKey(model, adapter string) string { return model + "/" + adapter }

// requestSent records that a request was sent and awaits an answer.
func (s *server) requestSent(now time.Time) {
	s.gates.sent(now)
	if s.unanswered++; s.unanswered == 1 {
		s.unansweredSince = now
	}
}

// requestSettled records that a request no longer awaits an answer.
func (s *server) requestSettled() {
	if s.unanswered--; s.unanswered == 0 {
		s.unansweredSince = time.Time{}
	}
}

// responded records that the backend server has answered a request or started a
// stream.
func (s *server) responded(now time.Time) {
	s.failure, s.unansweredSince = backoff{}, time.Time{}
	if s.unanswered > 0 {
		s.unansweredSince = now
	}
}

// silent reports whether requests have been without an answer for longer than
// the pending prefill explains.
func (s *server) silent(now time.Time) bool {
	return !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) > silenceLimit+s.prefill
}

// markFailed records a failed or broken connection. The backend server stays
// suspected for a time that doubles with each failure.
func (s *server) markFailed(now time.Time) {
	s.failure.fail(now, minBackoff, maxBackoff)
}

// suspected reports whether the backend server is used only as a last resort.
func (s *server) suspected(now time.Time) bool {
	return s.failure.active(now) || s.silent(now) || s.peerSuspect
}
