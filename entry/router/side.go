package router

import (
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
)

// side is responsible for what the entry knows of one side.
type side struct {
	name            string
	domain          string
	backend         register.Backend
	incarnation     string
	leaving         bool
	queued          int // as last reported
	inFlight        int // as last reported
	slots           int // as last reported, else as registered
	sentSinceReport int // attempts that this entry sent since the last report
	firstToken      time.Duration
	reportedAt      time.Time // of the last answer to a probe
	reportUses      int       // requests that were placed by that answer
	probedAt        time.Time // of the oldest probe without an answer
	roundTrip       time.Duration
	failedAt        time.Time
}

func (s *side) serves(ask Request) bool {
	if s.backend.Draining() {
		return false
	}
	if ask.config.Service != "" {
		return s.backend.Service() == ask.config.Service
	}
	return s.backend.Kind() == register.Engine
}

// suspect reports whether the side failed of late or has left a probe
// unanswered for long.
func (s *side) suspect(now time.Time) bool {
	silent := !s.probedAt.IsZero() && now.Sub(s.probedAt) > suspectAfter
	return silent || now.Sub(s.failedAt) < failureBackoff
}

// reusable reports whether the last answer to a probe still tells the load. When
// no slot is free, the wait depends on the request's tenant, so it is asked anew.
func (s *side) reportReusable(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < reportMaxAge && s.reportUses < reportMaxUses && s.utilization() < 1
}

// share returns the expected attempts for each slot of the backend server.
func (s *side) utilization() float64 {
	return float64(s.queued+s.inFlight+s.sentSinceReport) / float64(max(s.slots, s.backend.Slots(), 1))
}

func (s *side) markProbed(now time.Time) {
	if s.probedAt.IsZero() {
		s.probedAt = now
	}
}

// report takes over the load that the side told.
func (s *side) applyReport(now time.Time, report notice.Report) {
	if !s.probedAt.IsZero() {
		s.roundTrip = now.Sub(s.probedAt)
	}
	s.leaving = report.Leaving()
	s.queued, s.inFlight, s.slots = report.Queued(), report.InFlight(), report.Slots()
	s.sentSinceReport, s.reportUses = 0, 0
	s.reportedAt, s.probedAt, s.failedAt = now, time.Time{}, time.Time{}
	for _, estimate := range report.Estimates() {
		s.firstToken = estimate.FirstToken()
	}
}
