package scheduler

import (
	"time"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
)

// Action is an output of the Core, to be executed by the Scheduler.
type Action interface{ schedulerAction() }

// SendConfig holds the construction parameters of a Send.
type SendConfig struct {
	Number           uint64
	Request          *httpmeta.Request
	Address          string    // IP:port of the backend server
	StartTime        int64     // start of the backend server, Unix milliseconds
	Connections      int       // number of connections that this process may have to the backend server
	FreshConnection  bool      // the connection must not have been idle for long
	SendBefore       time.Time // time after which the request is not sent any more; zero for no limit
	Forwarding       httpmeta.Forwarding
	FirstByteTimeout time.Duration // longest time until the first byte of the answer; zero for no limit
	IdleTimeout      time.Duration // longest time without a byte once the answer has started; zero for no limit
	Stream           bool          // a successful answer is forwarded event by event
	Resumable        bool          // the stream may be resumed at another backend server, so only whole events are forwarded
	KeepError        bool          // a server error of the backend server is kept for ForwardError
	Limited          bool          // the backend server has named a rate, so an answer without one is reported too
	Resumption       bool          // the send goes on with a stream that another one or an earlier attempt began
	Version          string        // of the backend server's software
}

// Send sends a request to a backend server.
type Send struct{ config SendConfig }

// NewSend returns a Send.
func NewSend(config SendConfig) Send { return Send{config: config} }

// Number returns the request number that the proxy assigned.
func (s Send) Number() uint64 { return s.config.Number }

// Request returns the caller's request.
func (s Send) Request() *httpmeta.Request { return s.config.Request }

// Address returns the backend server's IP and port.
func (s Send) Address() string { return s.config.Address }

// Origin returns the start of the backend server that is to answer.
func (s Send) Origin() Origin { return NewOrigin(s.config.Forwarding.Backend(), s.config.StartTime) }

// Connections returns the number of connections that this process may have to
// the backend server.
func (s Send) Connections() int { return s.config.Connections }

// FreshConnection reports whether the connection must not have been idle for
// long.
func (s Send) FreshConnection() bool { return s.config.FreshConnection }

// SendBefore returns the time after which the request is not sent any more, zero for no
// limit. The send then ends as deferred.
func (s Send) SendBefore() time.Time { return s.config.SendBefore }

// Forwarding returns what is added to the request before it is sent.
func (s Send) Forwarding() httpmeta.Forwarding { return s.config.Forwarding }

// FirstByteTimeout returns the longest time until the first byte of the answer.
// The send is aborted after it. Zero means no limit.
func (s Send) FirstByteTimeout() time.Duration { return s.config.FirstByteTimeout }

// IdleTimeout returns the longest time without a byte once the answer has
// started. The send is aborted after it. Zero means no limit.
func (s Send) IdleTimeout() time.Duration { return s.config.IdleTimeout }

// Stream reports whether a successful answer is forwarded event by event.
func (s Send) Stream() bool { return s.config.Stream }

// Resumable reports whether the stream may be resumed at another backend
// server, so that only whole events are forwarded.
func (s Send) Resumable() bool { return s.config.Resumable }

// KeepError reports whether a server error of the backend server is kept for
// ForwardError.
func (s Send) KeepError() bool { return s.config.KeepError }

// Limited reports whether the backend server has named a rate in its answers, so that an
// answer that names none is reported too.
func (s Send) Limited() bool { return s.config.Limited }

// Resumption reports whether the send goes on with a stream that another send or an earlier
// attempt of the caller began.
func (s Send) Resumption() bool { return s.config.Resumption }

// Version returns the version of the backend server's software.
func (s Send) Version() string { return s.config.Version }

// ForwardErrorConfig holds the construction parameters of a ForwardError.
type ForwardErrorConfig struct {
	Number uint64
}

// ForwardError forwards the kept server error of a backend server to the
// caller.
type ForwardError struct{ config ForwardErrorConfig }

// NewForwardError returns a ForwardError.
func NewForwardError(config ForwardErrorConfig) ForwardError { return ForwardError{config: config} }

// Number returns the request number that the proxy assigned.
func (f ForwardError) Number() uint64 { return f.config.Number }

// RefuseConfig holds the construction parameters of a Refuse.
type RefuseConfig struct {
	Number     uint64
	Request    *httpmeta.Request
	Cause      Cause
	Status     int
	RetryAfter time.Duration
	Forecast   time.Duration // time after which capacity is expected, before returning callers are spread
	Waited     time.Duration // time since the request arrived
	Holders    int           // number of usable backend servers that hold the model
	Queued     int           // number of queued requests in this process
	ListAge    time.Duration // age of the list of backend servers
}

// Refuse ends a request without an answer of a backend server. If a part of a
// stream has been forwarded, it ends the stream early. A send in progress is
// aborted.
type Refuse struct{ config RefuseConfig }

// NewRefuse returns a Refuse.
func NewRefuse(config RefuseConfig) Refuse { return Refuse{config: config} }

// Number returns the request number that the proxy assigned.
func (r Refuse) Number() uint64 { return r.config.Number }

// Request returns the caller's request.
func (r Refuse) Request() *httpmeta.Request { return r.config.Request }

// Cause returns the reason for the refusal.
func (r Refuse) Cause() Cause { return r.config.Cause }

// Status returns the HTTP status of the refusal.
func (r Refuse) Status() int { return r.config.Status }

// RetryAfter returns the retry delay for the caller, zero if the refusal states
// none.
func (r Refuse) RetryAfter() time.Duration { return r.config.RetryAfter }

// Forecast returns the time after which capacity is expected, zero if the refusal is not for
// want of it.
func (r Refuse) Forecast() time.Duration { return r.config.Forecast }

// Waited returns the time since the request arrived.
func (r Refuse) Waited() time.Duration { return r.config.Waited }

// Holders returns the number of usable backend servers that hold the model.
func (r Refuse) Holders() int { return r.config.Holders }

// Queued returns the number of queued requests in this process.
func (r Refuse) Queued() int { return r.config.Queued }

// ListAge returns the age of the list of backend servers.
func (r Refuse) ListAge() time.Duration { return r.config.ListAge }

// FetchConfig holds the construction parameters of a Fetch.
type FetchConfig struct {
	Number  uint64 // request that waits for the adapter; zero if none does
	Backend string
	Address string // IP:port of the backend server
	Model   string
	Adapter string
	// StartTime is that of the backend server in Unix milliseconds: the lease is of that start.
	StartTime int64
	At        time.Time // time of the request, from which a lease counts
}

// Fetch requests that a backend server load an adapter, or renews its lease.
type Fetch struct{ config FetchConfig }

// NewFetch returns a Fetch.
func NewFetch(config FetchConfig) Fetch { return Fetch{config: config} }

// Number returns the number of the request that waits for the adapter, zero if
// none does.
func (f Fetch) Number() uint64 { return f.config.Number }

// Backend returns the ID of the backend server.
func (f Fetch) Backend() string { return f.config.Backend }

// Address returns the backend server's IP and port.
func (f Fetch) Address() string { return f.config.Address }

// Model returns the model that the adapter belongs to.
func (f Fetch) Model() string { return f.config.Model }

// Adapter returns the adapter's name.
func (f Fetch) Adapter() string { return f.config.Adapter }

// origin returns the start of the backend server.
func (f Fetch) origin() Origin { return NewOrigin(f.config.Backend, f.config.StartTime) }

// BroadcastConfig holds the construction parameters of a Broadcast.
type BroadcastConfig struct {
	Draining    bool                        // this lobby is draining
	Spent       map[string]float64          // quota taken by this process, by tenant
	Demand      map[string]float64          // engines kept busy, by model
	HomeDemand  []protocol.HomeDemandConfig // of requests with home regions; with Demand
	Loads       []protocol.BackendLoadConfig
	Plan        map[string][]string
	Replaced    map[string]int64         // start times, by ID, of the listed backend servers that are gone
	Leaving     map[string]int64         // start times, by ID, of the listed backend servers that have said that they leave
	Limits      []protocol.LimitConfig   // rates that backend servers have named in answers lately, and those that have ended
	Capacities  []BackendCapacity        // of the backend servers that name a rate
	Joining     bool                     // the other lobbies may not all know this one yet
	AwaitsLoad  bool                     // queued requests wait until a model is loaded
	AwaitsProof bool                     // queued streams wait until a doubt ends
	AwaitsList  bool                     // a list that is read later may end a doubt
	Suspects    []protocol.SuspectConfig // suspects of crashes to tell the other lobbies of
	Hot         []protocol.HotPartsConfig
	Streams     []protocol.StreamsConfig // that began here, where their services have several software versions
}

// Broadcast sends this lobby's digest to the other lobbies, and tells the watcher of
// the list of backend servers whether requests wait for a load.
type Broadcast struct{ config BroadcastConfig }

// NewBroadcast returns a Broadcast.
func NewBroadcast(config BroadcastConfig) Broadcast { return Broadcast{config: config} }

// Draining reports whether this lobby is draining.
func (b Broadcast) Draining() bool { return b.config.Draining }

// Spent returns the quota taken by this process, by tenant.
func (b Broadcast) Spent() map[string]float64 { return b.config.Spent }

// Demand returns the number of engines kept busy, by model.
func (b Broadcast) Demand() map[string]float64 { return b.config.Demand }

// HomeDemand returns the part of the demand that is due to requests with home regions.
func (b Broadcast) HomeDemand() []protocol.HomeDemandConfig { return b.config.HomeDemand }

// Replaced returns the start times, by ID, of the listed backend servers that are gone.
func (b Broadcast) Replaced() map[string]int64 { return b.config.Replaced }

// Suspects returns the suspects of crashes to tell the other lobbies of.
func (b Broadcast) Suspects() []protocol.SuspectConfig { return b.config.Suspects }

// Hot returns the prompt parts that this process has sent repeatedly, nil if they are not
// due.
func (b Broadcast) Hot() []protocol.HotPartsConfig { return b.config.Hot }

// Streams returns streams that began here lately, where their services have several software
// versions.
func (b Broadcast) Streams() []protocol.StreamsConfig { return b.config.Streams }

// Leaving returns the start times, by ID, of the listed backend servers that have said
// in an answer that they leave.
func (b Broadcast) Leaving() map[string]int64 { return b.config.Leaving }

// Limits returns the rates that backend servers have named in answers to this lobby lately,
// and those that have ended.
func (b Broadcast) Limits() []protocol.LimitConfig { return b.config.Limits }

// Capacities returns what the backend servers run that name a rate, for this lobby's planner.
func (b Broadcast) Capacities() []BackendCapacity { return b.config.Capacities }

// Joining reports whether the other lobbies may not all know this one yet, so that the
// list of lobbies is to be read often.
func (b Broadcast) Joining() bool { return b.config.Joining }

// AwaitsProof reports whether queued streams wait until a doubt ends.
func (b Broadcast) AwaitsProof() bool { return b.config.AwaitsProof }

// AwaitsList reports whether a list that is read later may end a doubt, if it is as before.
func (b Broadcast) AwaitsList() bool { return b.config.AwaitsList }

// AwaitsLoad reports whether queued requests wait until a model is loaded.
func (b Broadcast) AwaitsLoad() bool { return b.config.AwaitsLoad }

// Loads returns the load of this process at each backend server.
func (b Broadcast) Loads() []protocol.BackendLoadConfig { return b.config.Loads }

// Plan returns the plan in force if this lobby made it, else nil.
func (b Broadcast) Plan() map[string][]string { return b.config.Plan }

// ReturnWaiting takes back the requests that wait for a connection to a backend server:
// their sends end as deferred.
type ReturnWaiting struct{ backend string }

// Backend returns the ID of the backend server.
func (r ReturnWaiting) Backend() string { return r.backend }

// CloseIdleConfig holds the construction parameters of a CloseIdle.
type CloseIdleConfig struct {
	Backend string
}

// CloseIdle closes the idle connections to a backend server.
type CloseIdle struct{ config CloseIdleConfig }

// NewCloseIdle returns a CloseIdle.
func NewCloseIdle(config CloseIdleConfig) CloseIdle { return CloseIdle{config: config} }

// Backend returns the ID of the backend server.
func (c CloseIdle) Backend() string { return c.config.Backend }

func (Send) schedulerAction()          {}
func (ForwardError) schedulerAction()  {}
func (Refuse) schedulerAction()        {}
func (CloseIdle) schedulerAction()     {}
func (ReturnWaiting) schedulerAction() {}
func (Fetch) schedulerAction()         {}
func (Broadcast) schedulerAction()     {}
