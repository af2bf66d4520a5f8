package scheduler

import (
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
)

// Message is an input of the Core.
type Message interface{ schedulerMessage() }

// Arrived reports that a request has been received completely.
type Arrived struct {
	number  uint64
	request *httpmeta.Request
}

// NewArrived returns the message. The proxy assigns the number, which
// identifies the request in all later messages and actions.
func NewArrived(number uint64, request *httpmeta.Request) Arrived {
	return Arrived{number: number, request: request}
}

// Number returns the request number that the proxy assigned.
func (a Arrived) Number() uint64 { return a.number }

// Request returns the caller's request.
func (a Arrived) Request() *httpmeta.Request { return a.request }

// StreamStarted reports that a send has brought the first event of a stream.
type StreamStarted struct{ number uint64 }

// NewStreamStarted returns the message.
func NewStreamStarted(number uint64) StreamStarted { return StreamStarted{number: number} }

// Origin identifies the start of a backend server that sent an answer. The request may
// have ended since.
type Origin struct {
	backend   string
	startTime int64
}

// NewOrigin returns the origin of an answer to a request that was sent to the start of a
// backend server that began at startTime, in Unix milliseconds.
func NewOrigin(backend string, startTime int64) Origin {
	return Origin{backend: backend, startTime: startTime}
}

// BackendLeaving reports that a backend server says in an answer that it leaves.
type BackendLeaving struct{ origin Origin }

// NewBackendLeaving returns the message.
func NewBackendLeaving(origin Origin) BackendLeaving { return BackendLeaving{origin: origin} }

// BackendDisconnected reports that a backend server has ended the last connection to it, which
// did not complete an answer, or accepts none: its process may end and start again.
type BackendDisconnected struct{ origin Origin }

// NewBackendDisconnected returns the message. origin is the start that is listed.
func NewBackendDisconnected(origin Origin) BackendDisconnected {
	return BackendDisconnected{origin: origin}
}

// BackendConnected reports that a backend server has accepted a connection while there was no
// other one.
type BackendConnected struct{ origin Origin }

// NewBackendConnected returns the message. origin is the start that is listed.
func NewBackendConnected(origin Origin) BackendConnected { return BackendConnected{origin: origin} }

// BackendUnconnected reports that no connection to a backend server is open any more, whoever has
// ended the last one.
type BackendUnconnected struct{ origin Origin }

// NewBackendUnconnected returns the message. origin is the start that is listed.
func NewBackendUnconnected(origin Origin) BackendUnconnected {
	return BackendUnconnected{origin: origin}
}

// BackendRefusing reports that a backend server has refused a request and states a time
// for which it wants no others. The rest of the answer may not have arrived.
type BackendRefusing struct {
	origin Origin
	wait   time.Duration
}

// NewBackendRefusing returns the message.
func NewBackendRefusing(origin Origin, wait time.Duration) BackendRefusing {
	return BackendRefusing{origin: origin, wait: wait}
}

// BackendLimit reports the rate that a backend server names in an answer.
type BackendLimit struct {
	origin Origin
	rate   float64
	sent   time.Time
}

// NewBackendLimit returns the message. rate is in requests per second, zero if the answer
// names none. sent is the time at which the request that is answered was sent.
func NewBackendLimit(origin Origin, rate float64, sent time.Time) BackendLimit {
	return BackendLimit{origin: origin, rate: rate, sent: sent}
}

// Abandoned reports that a caller closed its connection before its answer ended.
type Abandoned struct {
	number       uint64
	longestPause time.Duration
}

// NewAbandoned returns the message.
func NewAbandoned(number uint64) Abandoned { return Abandoned{number: number} }

// WithLongestPause returns the message with the longest pause between two
// events.
func (a Abandoned) WithLongestPause(pause time.Duration) Abandoned {
	a.longestPause = pause
	return a
}

// Result is the outcome of sending a request to a backend server.
type Result uint8

// Results of sends.
const (
	Complete     Result = iota // the whole answer was forwarded to the caller
	Unsent                     // no byte reached the backend server
	Deferred                   // it waited for a connection and was taken back, or for longer than it may; no byte was sent
	Rejected                   // the backend server reports that it did not run the request
	ModelMissing               // as Rejected, because the model or adapter is not loaded
	Replaced                   // another backend server has the address now; it did not run the request
	Lost                       // no complete answer; the request may have run
	BackendError               // server error of the backend server, kept for ForwardError
	Unconfirmed                // the status reads as not run, but the backend server does not state that it did not run the request
	CallerGone                 // the caller has disconnected
	Truncated                  // a stream ended early after a part of it was forwarded
)

// String returns the result's name in log and metrics.
func (r Result) String() string { return resultNames[r] }

var resultNames = map[Result]string{
	Complete: "complete", Unsent: "unsent", Deferred: "deferred", Rejected: "not_run", ModelMissing: "misplaced", Replaced: "replaced", Lost: "lost", BackendError: "own_error", Unconfirmed: "unconfirmed", Truncated: "severed", CallerGone: "caller_left",
}

// SendEnded reports the result of the last send of a request.
type SendEnded struct {
	number       uint64
	result       Result
	status       int
	longestPause time.Duration
	disconnected bool
	events       int
}

// NewSendEnded returns the message. status is the HTTP status of the answer,
// zero without one.
func NewSendEnded(number uint64, result Result, status int) SendEnded {
	return SendEnded{number: number, result: result, status: status}
}

// WithLongestPause returns the message with the longest pause between two
// events.
func (s SendEnded) WithLongestPause(pause time.Duration) SendEnded {
	s.longestPause = pause
	return s
}

// WithEvents returns the message with the number of events of the answer, if it is a
// stream.
func (s SendEnded) WithEvents(events int) SendEnded {
	s.events = events
	return s
}

// WithDisconnect returns the message with the information that the backend server
// closed the connection before its answer was complete.
func (s SendEnded) WithDisconnect() SendEnded {
	s.disconnected = true
	return s
}

// Disconnected reports whether the backend server closed the connection before its
// answer was complete.
func (s SendEnded) Disconnected() bool { return s.disconnected }

// Number returns the request number that the proxy assigned.
func (s SendEnded) Number() uint64 { return s.number }

// Result returns the outcome of the send.
func (s SendEnded) Result() Result { return s.result }

// ConfigurationChanged carries the configuration in force.
type ConfigurationChanged struct{ configuration *deployment.Configuration }

// NewConfigurationChanged returns the message.
func NewConfigurationChanged(c *deployment.Configuration) ConfigurationChanged {
	return ConfigurationChanged{configuration: c}
}

// BackendsChanged carries the platform's current list of backend servers.
type BackendsChanged struct {
	read     time.Time
	backends []deployment.Backend
}

// NewBackendsChanged returns the message. read is the time before the list was read from the
// platform, zero if another lobby has read it.
func NewBackendsChanged(read time.Time, backends []deployment.Backend) BackendsChanged {
	return BackendsChanged{read: read, backends: backends}
}

// DigestReceived carries the digest of another lobby.
type DigestReceived struct{ digest protocol.Digest }

// NewDigestReceived returns the message.
func NewDigestReceived(digest protocol.Digest) DigestReceived { return DigestReceived{digest: digest} }

// LobbyCountChanged carries the number of lobbies, including this one.
type LobbyCountChanged struct{ lobbies int }

// NewLobbyCountChanged returns the message.
func NewLobbyCountChanged(lobbies int) LobbyCountChanged { return LobbyCountChanged{lobbies: lobbies} }

// LobbiesListed carries the list of lobbies that was read from the store.
type LobbiesListed struct {
	read      time.Time
	announced time.Time
	addresses []string
}

// NewLobbiesListed returns the message. addresses are the RPC addresses of all lobbies
// that may be alive, as of a read that began at read. announced is the time at which this
// lobby's last successful announcement began.
func NewLobbiesListed(read, announced time.Time, addresses []string) LobbiesListed {
	return LobbiesListed{read: read, announced: announced, addresses: addresses}
}

// DirectoryRestored reports that the store's list of lobbies was restored to an older state.
type DirectoryRestored struct{}

// PlanChanged carries a plan made by this lobby: models by backend server.
type PlanChanged struct{ plan map[string][]string }

// NewPlanChanged returns the message.
func NewPlanChanged(plan map[string][]string) PlanChanged { return PlanChanged{plan: plan} }

// FetchEnded reports the result of a Fetch.
type FetchEnded struct {
	fetch Fetch
	lease time.Duration
}

// NewFetchEnded returns the message. lease is the time for which the adapter
// stays loaded, zero if it is not loaded.
func NewFetchEnded(fetch Fetch, lease time.Duration) FetchEnded {
	return FetchEnded{fetch: fetch, lease: lease}
}

// leasedUntil returns the time from which on the adapter may be unloaded, zero if it is not
// leased. The lease counts from the request for it: the answer may have waited, in a process
// that was stopped too.
func (m FetchEnded) leasedUntil() time.Time {
	if m.lease <= leaseMargin {
		return time.Time{}
	}
	return m.fetch.config.At.Add(m.lease - leaseMargin)
}

// Drain reports that the process drains: new requests are refused after a grace period.
type Drain struct{ start time.Time }

// NewDrain returns the message of a drain that began at start, from which its periods count
// whenever the message is handled.
func NewDrain(start time.Time) Drain { return Drain{start: start} }

// Closing reports that the process stops now. All open requests are refused.
type Closing struct{}

func (Arrived) schedulerMessage()              {}
func (StreamStarted) schedulerMessage()        {}
func (BackendLeaving) schedulerMessage()       {}
func (BackendDisconnected) schedulerMessage()  {}
func (BackendConnected) schedulerMessage()     {}
func (BackendRefusing) schedulerMessage()      {}
func (BackendLimit) schedulerMessage()         {}
func (Abandoned) schedulerMessage()            {}
func (SendEnded) schedulerMessage()            {}
func (ConfigurationChanged) schedulerMessage() {}
func (BackendsChanged) schedulerMessage()      {}
func (BackendUnconnected) schedulerMessage()   {}
func (Drain) schedulerMessage()                {}
func (Closing) schedulerMessage()              {}
func (DigestReceived) schedulerMessage()       {}
func (PlanChanged) schedulerMessage()          {}
func (LobbyCountChanged) schedulerMessage()    {}
func (LobbiesListed) schedulerMessage()        {}
func (DirectoryRestored) schedulerMessage()    {}
func (FetchEnded) schedulerMessage()           {}
