package router

import (
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/protocol"
)

// Message is an input of Core.
type Message interface{ routerMessage() }

// RequestConfig holds the construction parameters of a Request.
type RequestConfig struct {
	ID             string // unique ID
	Tenant         string
	Grant          string // ID of the API key's permission; empty on an open route
	StateOffset    int64  // offset of the fleet state under which the request was admitted
	Route          string // name of the route that the request matched
	IdempotencyKey string // Idempotency-Key of a request that may run only once, else empty
	Model          string // model that must be resident on the backend server; empty for a plain service
	Service        string // name of the plain service; empty for a model
	Method         string
	Path           string
	ContentType    string
	Trace          string // W3C traceparent of the request's span
	Body           []byte
	Prompt         []byte    // part of the body that the model reads; empty for a plain service
	Stream         bool      // the answer is a stream of events
	Urgent         bool      // the request precedes those that are not urgent
	Idempotent     bool      // the request may be run more than once
	Tokens         int64     // upper bound on prompt and output tokens
	Deadline       time.Time // time at which the request expires
	PriorAttempts  int       // number of attempts that were made before
	Exclusive      bool      // the backend server must run no other request at the same time
}

// Request is the message for a new request that was admitted.
type Request struct {
	config RequestConfig
}

// NewRequest returns the message.
func NewRequest(config RequestConfig) Request { return Request{config: config} }

// ID returns the request's ID.
func (r Request) ID() string { return r.config.ID }

// Tokens returns the upper bound on prompt and output tokens.
func (r Request) Tokens() int64 { return r.config.Tokens }

// PriorAttempts returns the number of attempts that were made before.
func (r Request) PriorAttempts() int { return r.config.PriorAttempts }

// WithExclusive returns a copy of the request for which Exclusive reports true.
func (r Request) WithExclusive() Request {
	r.config.Exclusive = true
	return r
}

// Exclusive reports whether the backend server must run no other request at the same
// time.
func (r Request) Exclusive() bool { return r.config.Exclusive }

// Abandoned reports that the answer to a request is no longer wanted, for example
// because the caller disconnected.
type Abandoned struct {
	requestID string
}

// NewAbandoned returns the message.
func NewAbandoned(requestID string) Abandoned { return Abandoned{requestID: requestID} }

// SubmitReply carries a side's receipts: for each attempt sent to it, whether it
// was accepted or refused.
type SubmitReply struct {
	side     string
	receipts protocol.Receipts
}

// NewSubmitReply returns the message.
func NewSubmitReply(side string, receipts protocol.Receipts) SubmitReply {
	return SubmitReply{side: side, receipts: receipts}
}

// ProbeReply carries a side's reply to a probe.
type ProbeReply struct {
	side   string
	report protocol.Report
}

// NewProbeReply returns the message.
func NewProbeReply(side string, report protocol.Report) ProbeReply {
	return ProbeReply{side: side, report: report}
}

// ProbeFailed reports that a side did not reply to a probe.
type ProbeFailed struct {
	side string
}

// NewProbeFailed returns the message.
func NewProbeFailed(side string) ProbeFailed { return ProbeFailed{side: side} }

// PlacementChanged carries the new plan of which sides hold which models.
type PlacementChanged struct {
	copies map[string][]string
}

// NewPlacementChanged returns the message. copies maps each model to the names of
// the sides that hold it and must not be modified afterwards. Requests for a
// model that is not in copies may go to any side.
func NewPlacementChanged(copies map[string][]string) PlacementChanged {
	return PlacementChanged{copies: copies}
}

// SubmitFailed reports that a side returned no receipts for attempts.
type SubmitFailed struct {
	side       string
	attempts   []string
	mayHaveRun bool
}

// NewSubmitFailed returns the message. mayHaveRun is true if the attempts may have
// reached the side.
func NewSubmitFailed(side string, attempts []string, mayHaveRun bool) SubmitFailed {
	return SubmitFailed{side: side, attempts: attempts, mayHaveRun: mayHaveRun}
}

// ReadReply carries parts of answers from a side.
type ReadReply struct {
	side  string
	pages protocol.Pages
}

// NewReadReply returns the message.
func NewReadReply(side string, pages protocol.Pages) ReadReply {
	return ReadReply{side: side, pages: pages}
}

// SideUnreachable reports that a side cannot be reached.
type SideUnreachable struct {
	side string
}

// NewSideUnreachable returns the message.
func NewSideUnreachable(side string) SideUnreachable { return SideUnreachable{side: side} }

// InventoryChanged carries the inventory of a new revision of the fleet state.
type InventoryChanged struct {
	inventory *fleetstate.Inventory
}

// NewInventoryChanged returns the message.
func NewInventoryChanged(inventory *fleetstate.Inventory) InventoryChanged {
	return InventoryChanged{inventory: inventory}
}

func (Request) routerMessage()          {}
func (Abandoned) routerMessage()        {}
func (SubmitReply) routerMessage()      {}
func (ProbeReply) routerMessage()       {}
func (ProbeFailed) routerMessage()      {}
func (PlacementChanged) routerMessage() {}
func (SubmitFailed) routerMessage()     {}
func (ReadReply) routerMessage()        {}
func (SideUnreachable) routerMessage()  {}
func (InventoryChanged) routerMessage() {}

// Action is an output of Core that Router executes.
type Action interface{ routerAction() }

// Send submits an attempt to a side.
type Send struct {
	side   string
	submit protocol.Submit
}

// Side returns the name of the side that gets the attempt.
func (s Send) Side() string { return s.side }

// Submit returns the attempt.
func (s Send) Submit() protocol.Submit { return s.submit }

// Probe queries a side for its load and for an estimate of how it would serve a
// request.
type Probe struct {
	side  string
	query protocol.Query
}

// Side returns the name of the side to probe.
func (p Probe) Side() string { return p.side }

// Query returns the query to send.
func (p Probe) Query() protocol.Query { return p.query }

// Cancel cancels an attempt at a side.
type Cancel struct {
	side    string
	attempt string
}

// Side returns the name of the side that has the attempt.
func (c Cancel) Side() string { return c.side }

// Attempt returns the ID of the attempt to cancel.
func (c Cancel) Attempt() string { return c.attempt }

// Deliver passes a part of an answer to the responder.
type Deliver struct {
	requestID   string
	status      int
	contentType string
	data        []byte
	complete    bool
}

// RequestID returns the request's ID.
func (d Deliver) RequestID() string { return d.requestID }

// Status returns the answer's HTTP status.
func (d Deliver) Status() int { return d.status }

// ContentType returns the answer's media type.
func (d Deliver) ContentType() string { return d.contentType }

// Data returns the next bytes of the answer.
func (d Deliver) Data() []byte { return d.data }

// Complete reports whether the answer ends with these bytes.
func (d Deliver) Complete() bool { return d.complete }

// Refuse ends a request without a complete answer.
type Refuse struct {
	requestID  string
	refusal    *httpserver.Refusal
	retryAfter time.Duration
}

// RequestID returns the request's ID.
func (r Refuse) RequestID() string { return r.requestID }

// Refusal returns the status, cause and outcome of the refusal.
func (r Refuse) Refusal() *httpserver.Refusal { return r.refusal }

// RetryAfter returns how long the caller should wait before a retry.
func (r Refuse) RetryAfter() time.Duration { return r.retryAfter }

// CrashReport reports a request whose attempt ended because its backend server
// cut the answer off or became unreachable, which suggests a crash.
type CrashReport struct {
	request Request
	retry   bool
}

// NewCrashReport returns the action.
func NewCrashReport(request Request, retry bool) CrashReport {
	return CrashReport{request: request, retry: retry}
}

// Request returns the request, with the number of its attempts so far.
func (c CrashReport) Request() Request { return c.request }

// Retry reports whether the receiver has to decide on a retry: the router no
// longer holds the request. If false, the router refuses the request itself.
func (c CrashReport) Retry() bool { return c.retry }

func (CrashReport) routerAction() {}
func (Send) routerAction()        {}
func (Probe) routerAction()       {}
func (Cancel) routerAction()      {}
func (Deliver) routerAction()     {}
func (Refuse) routerAction()      {}
