package router

import (
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/protocol"
)

// side is the state that this entry holds for one side.
type side struct {
	name            string
	domain          string
	evacuated       bool // the failure domain is to be evacuated
	backend         fleetstate.Backend
	incarnation     string        // ID of the side's process, new after each restart
	draining        bool          // the side takes no new attempts because it is draining
	queued          int           // attempts in the side's queue, as last reported
	inFlight        int           // attempts that the backend server runs, as last reported
	slots           int           // concurrent attempts of the backend server, as last reported; 0 before that
	sentSinceReport int           // attempts that this entry sent since the last report
	firstToken      time.Duration // expected time to the first token, as last reported
	reportedAt      time.Time     // time of the last probe reply
	reportUses      int           // requests sent to the side since that reply
	probedAt        time.Time     // time of the oldest probe without a reply
	roundTrip       time.Duration // round-trip time of the last probe
	failedAt        time.Time     // time of the last failure
}

// serves reports whether the side's backend server can run the request.
func (s *side) serves(request Request) bool {
	if s.backend.Draining() {
		return false
	}
	if request.config.Service != "" {
		return s.backend.Service() == request.config.Service
	}
	return s.backend.Kind() == fleetstate.Engine
}

// suspect reports whether the side failed within the last failureBackoff or has
// not replied to a probe for longer than suspectAfter.
func (s *side) suspect(now time.Time) bool {
	silent := !s.probedAt.IsZero() && now.Sub(s.probedAt) > suspectAfter
	return silent || now.Sub(s.failedAt) < failureBackoff
}

// reportReusable reports whether the last probe reply is recent enough to be
// used for another request. When no slot is free, the wait depends on the
// request's tenant, so the side is probed again.
func (s *side) reportReusable(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < reportMaxAge && s.reportUses < reportMaxUses && s.utilization() < 1
}

// utilization returns the number of queued and running attempts for each slot
// of the backend server.
func (s *side) utilization() float64 {
	return float64(s.queued+s.inFlight+s.sentSinceReport) / float64(max(s.slots, s.backend.Slots(), 1))
}

// markProbed starts the wait for a reply unless a probe is already outstanding.
func (s *side) markProbed(now time.Time) {
	if s.probedAt.IsZero() {
		s.probedAt = now
	}
}

// applyReport stores the load that the side reported.
func (s *side) applyReport(now time.Time, report protocol.Report) {
	if !s.probedAt.IsZero() {
		s.roundTrip = now.Sub(s.probedAt)
	}
	s.draining = report.Draining()
	s.queued, s.inFlight, s.slots = report.Queued(), report.InFlight(), report.Slots()
	s.sentSinceReport, s.reportUses = 0, 0
	s.reportedAt, s.probedAt, s.failedAt = now, time.Time{}, time.Time{}
	for _, estimate := range report.Estimates() {
		s.firstToken = estimate.FirstToken()
	}
}
