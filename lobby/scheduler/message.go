package scheduler

import (
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/visit"
)

// Message is what the core of the steward is fed with.
type Message interface{ schedulerMessage() }

// Arrived brings a whole request of a caller.
type Arrived struct {
	number  uint64
	request *visit.Visit
}

// NewArrived returns the message. The number is the caller connection's own
// name for the request.
func NewArrived(number uint64, v *visit.Visit) Arrived { return Arrived{number: number, request: v} }

// Number returns the caller connection's name for the request.
func (a Arrived) Number() uint64 { return a.number }

// Visit returns what the caller asks for.
func (a Arrived) Request() *visit.Visit { return a.request }

// Begun tells that the first event of a stream has reached the caller.
type StreamStarted struct{ number uint64 }

// NewBegun returns the message.
func NewStreamStarted(number uint64) StreamStarted { return StreamStarted{number: number} }

// Left tells that a caller has closed its connection before its answer ended.
type Disconnected struct {
	number       uint64
	longestPause time.Duration
}

// NewLeft returns the message.
func NewDisconnected(number uint64) Disconnected { return Disconnected{number: number} }

// WithPause returns the message with the longest pause between two events.
func (l Disconnected) WithLongestPause(pause time.Duration) Disconnected {
	l.longestPause = pause
	return l
}

// Result is how sending a request to a backend server ended.
type Result uint8

// Results.
const (
	Complete     Result = iota // the answer has gone to the caller
	Unsent                     // no byte reached the backend server
	Rejected                   // the backend server says that it did not run the request
	ModelMissing               // so it says, and that it lacks the model or adapter
	Replaced                   // another backend server has the address; it did not run the request
	Lost                       // no whole answer; the request may have run
	BackendError               // the answer is an error of the backend server's own; it is kept for Pass
	Abandoned                  // the caller has left
	Truncated                  // a stream ended early; some of it has gone to the caller
)

// String returns the result's name in the log.
func (r Result) String() string { return resultNames[r] }

var resultNames = map[Result]string{
	Complete: "complete", Unsent: "unsent", Rejected: "not_run", ModelMissing: "misplaced", Replaced: "replaced", Lost: "lost", BackendError: "own_error", Truncated: "severed", Abandoned: "caller_left",
}

// Ended brings the result of the send that was made last for a request.
type SendEnded struct {
	number       uint64
	result       Result
	status       int
	longestPause time.Duration
}

// NewEnded returns the message; status is that of the backend server's answer,
// zero without one.
func NewSendEnded(number uint64, result Result, status int) SendEnded {
	return SendEnded{number: number, result: result, status: status}
}

// WithPause returns the message with the longest pause between two events.
func (e SendEnded) WithLongestPause(pause time.Duration) SendEnded {
	e.longestPause = pause
	return e
}

// Number returns the caller connection's name for the request.
func (e SendEnded) Number() uint64 { return e.number }

// Result returns how the send ended.
func (e SendEnded) Result() Result { return e.result }

// Chartered brings the configuration in force.
type ConfigurationChanged struct{ configuration *charter.Charter }

// NewChartered returns the message.
func NewConfigurationChanged(c *charter.Charter) ConfigurationChanged {
	return ConfigurationChanged{configuration: c}
}

// Listed brings all backend servers that the platform lists.
type BackendsChanged struct{ backends []charter.Backend }

// NewListed returns the message.
func NewBackendsChanged(backends []charter.Backend) BackendsChanged {
	return BackendsChanged{backends: backends}
}

// Digested brings what another lobby says of itself.
type DigestReceived struct{ digest notice.Digest }

// NewDigested returns the message.
func NewDigestReceived(digest notice.Digest) DigestReceived { return DigestReceived{digest: digest} }

// Peopled tells how many lobbies there are, this one included.
type LobbyCountChanged struct{ lobbies int }

// NewPeopled returns the message.
func NewLobbyCountChanged(lobbies int) LobbyCountChanged { return LobbyCountChanged{lobbies: lobbies} }

// Planned brings the plan of this lobby: models by backend server.
type PlanChanged struct{ plan map[string][]string }

// NewPlanned returns the message.
func NewPlanChanged(plan map[string][]string) PlanChanged { return PlanChanged{plan: plan} }

// Fetched tells what became of a Fetch.
type FetchEnded struct {
	fetch Fetch
	kept  time.Duration
}

// NewFetched returns the message; kept is the time for which the adapter stays,
// zero if it is not there.
func NewFetchEnded(fetch Fetch, kept time.Duration) FetchEnded {
	return FetchEnded{fetch: fetch, kept: kept}
}

// Draining tells that the process is about to stop.
type Draining struct{}

// Closing tells that the process stops now: what is open is given up.
type Closing struct{}

func (Arrived) schedulerMessage()              {}
func (StreamStarted) schedulerMessage()        {}
func (Disconnected) schedulerMessage()         {}
func (SendEnded) schedulerMessage()            {}
func (ConfigurationChanged) schedulerMessage() {}
func (BackendsChanged) schedulerMessage()      {}
func (Draining) schedulerMessage()             {}
func (Closing) schedulerMessage()              {}
func (DigestReceived) schedulerMessage()       {}
func (PlanChanged) schedulerMessage()          {}
func (LobbyCountChanged) schedulerMessage()    {}
func (FetchEnded) schedulerMessage()           {}
