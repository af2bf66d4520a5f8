package scheduler

import (
	"time"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/quarantine"
)

// RecordSendConfig holds the construction parameters of a RecordSend.
type RecordSendConfig struct {
	Request      *httpmeta.Request
	Backend      string
	Result       Result
	Status       int           // HTTP status of the answer; zero without one
	Waited       time.Duration // time from the request's arrival until it was sent
	FirstEvent   time.Duration // time from the arrival to the first event; zero without one
	Took         time.Duration // time from the arrival to the end
	LongestPause time.Duration // longest pause between two events
	Disconnected bool          // the backend server closed the connection before its answer was complete
	Crashes      int           // crashes known under the request and its copies, if disconnected
	Estimate     StartEstimate // of the time from the send to the first event
}

// StartEstimateConfig holds the construction parameters of a StartEstimate.
type StartEstimateConfig struct {
	Cached    int64         // prompt tokens that were assumed to be cached
	CacheAge  time.Duration // age of the oldest evidence for that
	Predicted time.Duration // estimated time from the send to the first event
	Observed  time.Duration // the time that it took
}

// StartEstimate compares the estimated time from a send to its first event with the time
// that it took. The zero value means that there was no estimate.
type StartEstimate struct{ config StartEstimateConfig }

// NewStartEstimate returns a StartEstimate.
func NewStartEstimate(config StartEstimateConfig) StartEstimate { return StartEstimate{config: config} }

// Known reports whether there was an estimate and a first event.
func (e StartEstimate) Known() bool { return e.config.Predicted > 0 }

// Cached returns the number of prompt tokens that were assumed to be cached.
func (e StartEstimate) Cached() int64 { return e.config.Cached }

// CacheAge returns the age that the oldest evidence for the cached tokens had.
func (e StartEstimate) CacheAge() time.Duration { return e.config.CacheAge }

// Predicted returns the estimated time from the send to the first event.
func (e StartEstimate) Predicted() time.Duration { return e.config.Predicted }

// Observed returns the time from the send to the first event.
func (e StartEstimate) Observed() time.Duration { return e.config.Observed }

// RecordSend records in log and metrics how a send ended.
type RecordSend struct{ config RecordSendConfig }

// NewRecordSend returns a RecordSend.
func NewRecordSend(config RecordSendConfig) RecordSend { return RecordSend{config: config} }

// Request returns the caller's request.
func (r RecordSend) Request() *httpmeta.Request { return r.config.Request }

// Backend returns the ID of the backend server.
func (r RecordSend) Backend() string { return r.config.Backend }

// Result returns how the send ended.
func (r RecordSend) Result() Result { return r.config.Result }

// Status returns the HTTP status of the answer, zero without one.
func (r RecordSend) Status() int { return r.config.Status }

// Waited returns the time from the request's arrival until it was sent.
func (r RecordSend) Waited() time.Duration { return r.config.Waited }

// FirstEvent returns the time from the arrival to the first event, zero without
// one.
func (r RecordSend) FirstEvent() time.Duration { return r.config.FirstEvent }

// LongestPause returns the longest pause between two events.
func (r RecordSend) LongestPause() time.Duration { return r.config.LongestPause }

// Estimate returns the estimate of the time from the send to the first event.
func (r RecordSend) Estimate() StartEstimate { return r.config.Estimate }

// Disconnected reports whether the backend server closed the connection before its
// answer was complete.
func (r RecordSend) Disconnected() bool { return r.config.Disconnected }

// Took returns the time from the arrival to the end.
func (r RecordSend) Took() time.Duration { return r.config.Took }

// Crashes returns the number of crashes known under the request and its copies, with the
// one that ended the send.
func (r RecordSend) Crashes() int { return r.config.Crashes }

// RecordQuarantine records in log and metrics that a suspect of crashes was
// quarantined, tried or released.
type RecordQuarantine struct{ change quarantine.Change }

// Change returns what changed.
func (r RecordQuarantine) Change() quarantine.Change { return r.change }

// leavingSource says how a lobby has learnt that a backend server leaves.
type leavingSource string

const (
	leavingInAnswer leavingSource = "answer" // the backend server said so
	leavingInDigest leavingSource = "digest" // another lobby was told
)

// RecordLeaving records in the log that a backend server leaves.
type RecordLeaving struct {
	origin  Origin
	source  leavingSource
	peer    string        // lobby that was told; empty if the backend server said so to this one
	listAge time.Duration // age of the list of backend servers, which does not say so
}

// RecordHold records in the log that a backend server is held, or that its hold ends.
type RecordHold struct {
	backend string
	asked   time.Duration // time that the backend server stated
	until   time.Time
	age     time.Duration // time since the refusal
	listAge time.Duration // age of the list of backend servers
	lobbies int           // lobbies over which the ends of their holds are spread
	ended   bool
}

// RecordShare records in the log that requests to a service without an engine wait, since
// this lobby has used its share of the slots.
type RecordShare struct {
	load    ShareLoad
	waiting int
}

func (RecordSend) schedulerAction()       {}
func (RecordShare) schedulerAction()      {}
func (RecordQuarantine) schedulerAction() {}
func (RecordHold) schedulerAction()       {}
func (RecordLeaving) schedulerAction()    {}
