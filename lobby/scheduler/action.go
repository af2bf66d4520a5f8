package scheduler

import (
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/visit"
)

// Action is what the core asks of the callers' connections.
type Action interface{ schedulerAction() }

// SendConfig holds the construction parameters of a Send.
type SendConfig struct {
	Number           uint64
	Request          *visit.Visit
	Address          string // IP:port
	Connections      int    // connections to it that this process may have
	FreshConnection  bool   // on a connection that has not been idle for long
	Sheet            visit.Sheet
	FirstByteTimeout time.Duration // without a byte, after which the send is given up; zero for none
	IdleTimeout      time.Duration // the same, once the answer has begun
	Stream           bool          // a success is passed on event by event
	Resumable        bool          // it may go on at another backend server, so that only whole events are passed on
	KeepError        bool          // an error of the backend server's own is kept for Pass
}

// Send sends a request to a backend server.
type Send struct{ config SendConfig }

// NewSend returns the action.
func NewSend(config SendConfig) Send { return Send{config: config} }

// Number returns the caller connection's name for the request.
func (s Send) Number() uint64 { return s.config.Number }

// Visit returns what the caller asks for.
func (s Send) Request() *visit.Visit { return s.config.Request }

// Address returns IP and port of the backend server.
func (s Send) Address() string { return s.config.Address }

// Links returns the number of connections to it that this process may have.
func (s Send) Connections() int { return s.config.Connections }

// Fresh reports whether the connection must not have been idle for long.
func (s Send) FreshConnection() bool { return s.config.FreshConnection }

// Sheet returns what is added to the request on its way.
func (s Send) Sheet() visit.Sheet { return s.config.Sheet }

// First returns the time without a byte after which the send is given up, zero for none.
func (s Send) FirstByteTimeout() time.Duration { return s.config.FirstByteTimeout }

// Gap returns the same, once the answer has begun.
func (s Send) IdleTimeout() time.Duration { return s.config.IdleTimeout }

// Stream reports whether a success is passed on event by event.
func (s Send) Stream() bool { return s.config.Stream }

// Resume reports whether a stream may go on at another backend server, so that
// only whole events of it are passed on.
func (s Send) Resumable() bool { return s.config.Resumable }

// Keep reports whether an error of the backend server's own is kept for Pass.
func (s Send) KeepError() bool { return s.config.KeepError }

// PassConfig holds the construction parameters of a Pass.
type ForwardErrorConfig struct {
	Number uint64
}

// Pass gives the caller the error that was kept.
type ForwardError struct{ config ForwardErrorConfig }

// NewPass returns the action.
func NewForwardError(config ForwardErrorConfig) ForwardError { return ForwardError{config: config} }

// Number returns the caller connection's name for the request.
func (p ForwardError) Number() uint64 { return p.config.Number }

// RefuseConfig holds the construction parameters of a Refuse.
type RefuseConfig struct {
	Number     uint64
	Request    *visit.Visit
	Cause      Cause
	Status     int
	RetryAfter time.Duration
	Waited     time.Duration // since the request arrived
	Holders    int           // backend servers that could have it by the list
	Queued     int           // requests that wait in this process
	ListAge    time.Duration // of the list of backend servers
}

// Refuse ends a request without an answer of a backend server, or ends a stream
// early if some of it has gone to the caller. A send that is under way is given
// up.
type Refuse struct{ config RefuseConfig }

// NewRefuse returns the action.
func NewRefuse(config RefuseConfig) Refuse { return Refuse{config: config} }

// Number returns the caller connection's name for the request.
func (r Refuse) Number() uint64 { return r.config.Number }

// Visit returns what the caller asked for.
func (r Refuse) Request() *visit.Visit { return r.config.Request }

// Cause returns why the request ends.
func (r Refuse) Cause() Cause { return r.config.Cause }

// Status returns the HTTP status of the refusal.
func (r Refuse) Status() int { return r.config.Status }

// RetryAfter returns when the caller is told to come back, zero for not at all.
func (r Refuse) RetryAfter() time.Duration { return r.config.RetryAfter }

// Waited returns the time since the request arrived.
func (r Refuse) Waited() time.Duration { return r.config.Waited }

// Holders returns the number of backend servers that could have it by the list.
func (r Refuse) Holders() int { return r.config.Holders }

// Waiting returns the number of requests that wait in this process.
func (r Refuse) Queued() int { return r.config.Queued }

// ListAge returns the age of the list of backend servers.
func (r Refuse) ListAge() time.Duration { return r.config.ListAge }

// FetchConfig holds the construction parameters of a Fetch.
type FetchConfig struct {
	Number  uint64 // zero if no request waits for it
	Backend string
	Address string // IP:port of the backend server
	Model   string
	Adapter string
}

// Fetch asks for an adapter at a backend server.
type Fetch struct{ config FetchConfig }

// NewFetch returns the action.
func NewFetch(config FetchConfig) Fetch { return Fetch{config: config} }

// Number returns the request that waits for the adapter, zero if none does.
func (f Fetch) Number() uint64 { return f.config.Number }

// Backend returns the id of the backend server.
func (f Fetch) Backend() string { return f.config.Backend }

// Address returns its IP and port.
func (f Fetch) Address() string { return f.config.Address }

// Model returns the model that the adapter belongs to.
func (f Fetch) Model() string { return f.config.Model }

// Adapter returns the adapter's name.
func (f Fetch) Adapter() string { return f.config.Adapter }

// TellConfig holds the construction parameters of a Tell.
type BroadcastConfig struct {
	Leaving bool               // this lobby is about to stop
	Spent   map[string]float64 // by tenant
	Demand  map[string]float64 // engines kept busy, by model
	Loads   []notice.LoadConfig
	Plan    map[string][]string
}

// Tell tells the other lobbies of this one.
type Broadcast struct{ config BroadcastConfig }

// NewTell returns the action.
func NewBroadcast(config BroadcastConfig) Broadcast { return Broadcast{config: config} }

// Leaving reports whether this lobby is about to stop.
func (t Broadcast) Leaving() bool { return t.config.Leaving }

// Spent returns what was taken of the quotas, by tenant.
func (t Broadcast) Spent() map[string]float64 { return t.config.Spent }

// Asked returns the engines kept busy, by model.
func (t Broadcast) Demand() map[string]float64 { return t.config.Demand }

// Loads returns what this process has at each backend server.
func (t Broadcast) Loads() []notice.LoadConfig { return t.config.Loads }

// Plan returns the plan in force if this process made it, else nil.
func (t Broadcast) Plan() map[string][]string { return t.config.Plan }

// NoteConfig holds the construction parameters of a Note.
type RecordSendConfig struct {
	Request      *visit.Visit
	Backend      string
	Result       Result
	Status       int           // of the backend server's answer, zero without one
	Waited       time.Duration // from the request's arrival until it was sent
	FirstEvent   time.Duration // from its arrival to its first event; zero without one
	Took         time.Duration // from its arrival to the end
	LongestPause time.Duration // longest one between two events
}

// Note tells the log how a send ended.
type RecordSend struct{ config RecordSendConfig }

// NewNote returns the action.
func NewRecordSend(config RecordSendConfig) RecordSend { return RecordSend{config: config} }

// Visit returns what the caller asked for.
func (n RecordSend) Request() *visit.Visit { return n.config.Request }

// Backend returns the id of the backend server.
func (n RecordSend) Backend() string { return n.config.Backend }

// Result returns how the send ended.
func (n RecordSend) Result() Result { return n.config.Result }

// Status returns that of the backend server's answer, zero without one.
func (n RecordSend) Status() int { return n.config.Status }

// Waited returns the time from the request's arrival until it was sent.
func (n RecordSend) Waited() time.Duration { return n.config.Waited }

// First returns the time from its arrival to its first event, zero without one.
func (n RecordSend) FirstEvent() time.Duration { return n.config.FirstEvent }

// Pause returns the longest pause between two events.
func (n RecordSend) LongestPause() time.Duration { return n.config.LongestPause }

// Took returns the time from its arrival to the end.
func (n RecordSend) Took() time.Duration { return n.config.Took }

// RetireConfig holds the construction parameters of a Retire.
type CloseIdleConfig struct {
	Backend string
}

// Retire closes the idle connections to a backend server.
type CloseIdle struct{ config CloseIdleConfig }

// NewRetire returns the action.
func NewCloseIdle(config CloseIdleConfig) CloseIdle { return CloseIdle{config: config} }

// Backend returns the id of the backend server.
func (r CloseIdle) Backend() string { return r.config.Backend }

func (Send) schedulerAction()         {}
func (ForwardError) schedulerAction() {}
func (Refuse) schedulerAction()       {}
func (CloseIdle) schedulerAction()    {}
func (RecordSend) schedulerAction()   {}
func (Fetch) schedulerAction()        {}
func (Broadcast) schedulerAction()    {}
