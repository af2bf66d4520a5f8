package router

import (
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
	"sesamewell.example/commons/wicket"
)

// Message is what the usher's inbox carries.
type Message interface{ routerMessage() }

// AskConfig holds the construction parameters of an Ask.
type RequestConfig struct {
	ID             string // unique id
	Tenant         string
	Grant          string // identifier of the key's permission; empty on an open route
	State          int64  // state of the register under which the request was admitted
	Route          string // name of the route
	IdempotencyKey string // Idempotency-Key of a request that may run once, else empty
	Model          string // model that must be resident; empty for a plain service
	Service        string // plain service; empty for a model
	Method         string
	Path           string
	ContentType    string
	Trace          string // W3C traceparent of the request's span
	Body           []byte
	Prompt         []byte // the part of the body that the model reads; empty for a plain service
	Stream         bool
	Urgent         bool
	Idempotent     bool
	Tokens         int64
	Deadline       time.Time
	PriorAttempts  int  // attempts made before
	Alone          bool // the backend server runs no other request meanwhile
}

// Ask is one request that has passed the gate.
type Request struct {
	config RequestConfig
}

// NewAsk returns the message.
func NewRequest(config RequestConfig) Request { return Request{config: config} }

// Request returns the request's id.
func (a Request) ID() string { return a.config.ID }

// Tokens returns the upper bound on prompt and output tokens.
func (a Request) Tokens() int64 { return a.config.Tokens }

// Tried returns the number of attempts that were made before.
func (a Request) PriorAttempts() int { return a.config.PriorAttempts }

// Apart returns the request to be run while its backend server runs no other.
func (a Request) WithAlone() Request {
	a.config.Alone = true
	return a
}

// Alone reports whether the request is to run while its backend server runs no
// other.
func (a Request) Alone() bool { return a.config.Alone }

// Leave reports that nobody awaits a request's answer any more.
type Abandoned struct {
	requestID string
}

// NewLeave returns the message.
func NewAbandoned(request string) Abandoned { return Abandoned{requestID: request} }

// Receipted carries a side's receipts.
type SubmitReply struct {
	side     string
	receipts notice.Receipts
}

// NewReceipted returns the message.
func NewSubmitReply(side string, receipts notice.Receipts) SubmitReply {
	return SubmitReply{side: side, receipts: receipts}
}

// Reported carries a side's answer to a probe.
type ProbeReply struct {
	side   string
	report notice.Report
}

// NewReported returns the message.
func NewProbeReply(side string, report notice.Report) ProbeReply {
	return ProbeReply{side: side, report: report}
}

// Unanswered reports that a side did not answer a probe.
type ProbeFailed struct {
	side string
}

// NewUnanswered returns the message.
func NewProbeFailed(side string) ProbeFailed { return ProbeFailed{side: side} }

// Placed brings a new plan of which sides hold which models.
type PlacementChanged struct {
	copies map[string][]string
}

// NewPlaced returns the message; copies holds the sides of each model and is
// not changed afterwards. A model that it lacks is looked for at every side.
func NewPlacementChanged(copies map[string][]string) PlacementChanged {
	return PlacementChanged{copies: copies}
}

// Unsent reports that attempts got no receipt.
type SubmitFailed struct {
	side       string
	attempts   []string
	mayHaveRun bool
}

// NewUnsent returns the message; ran tells whether the side may have them.
func NewSubmitFailed(side string, attempts []string, ran bool) SubmitFailed {
	return SubmitFailed{side: side, attempts: attempts, mayHaveRun: ran}
}

// Read carries pieces of answers from a side.
type ReadReply struct {
	side  string
	pages notice.Pages
}

// NewRead returns the message.
func NewReadReply(side string, pages notice.Pages) ReadReply {
	return ReadReply{side: side, pages: pages}
}

// Lost reports that a side cannot be reached.
type SideUnreachable struct {
	side string
}

// NewLost returns the message.
func NewSideUnreachable(side string) SideUnreachable { return SideUnreachable{side: side} }

// Revised brings a new revision of the register.
type InventoryChanged struct {
	inventory *register.Inventory
}

// NewRevised returns the message.
func NewInventoryChanged(inventory *register.Inventory) InventoryChanged {
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

// Action is what the core asks its duty to do.
type Action interface{ routerAction() }

// Send hands an attempt to the line of a side.
type Send struct {
	side   string
	submit notice.Submit
}

// Side returns the side that gets the attempt.
func (s Send) Side() string { return s.side }

// Submit returns the attempt.
func (s Send) Submit() notice.Submit { return s.submit }

// Probe asks a side how it would serve a request.
type Probe struct {
	side  string
	query notice.Query
}

// Side returns the side to ask.
func (p Probe) Side() string { return p.side }

// Query returns the question.
func (p Probe) Query() notice.Query { return p.query }

// Cancel ends an attempt at a side.
type Cancel struct {
	side    string
	attempt string
}

// Side returns the side that has the attempt.
func (c Cancel) Side() string { return c.side }

// Attempt returns the id of the attempt to end.
func (c Cancel) Attempt() string { return c.attempt }

// Deliver passes a piece of an answer to the gate.
type Deliver struct {
	requestID   string
	status      int
	contentType string
	data        []byte
	complete    bool
}

// Request returns the request's id.
func (d Deliver) RequestID() string { return d.requestID }

// Status returns the answer's HTTP status.
func (d Deliver) Status() int { return d.status }

// ContentType returns the answer's media type.
func (d Deliver) ContentType() string { return d.contentType }

// Data returns the next bytes of the answer.
func (d Deliver) Data() []byte { return d.data }

// Whole reports whether the answer is complete with these bytes.
func (d Deliver) Complete() bool { return d.complete }

// Refuse ends a request without a whole answer.
type Refuse struct {
	requestID  string
	refusal    *wicket.Refusal
	retryAfter time.Duration
}

// Request returns the request's id.
func (r Refuse) RequestID() string { return r.requestID }

// Refusal returns the answer's status, cause and outcome.
func (r Refuse) Refusal() *wicket.Refusal { return r.refusal }

// RetryAfter returns the earliest useful time of a retry.
func (r Refuse) RetryAfter() time.Duration { return r.retryAfter }

// Crashed hands over a request that was in flight when its backend server's
// answer was cut off.
type CrashReport struct {
	request Request
	retry   bool
}

// NewCrashed returns the action.
func NewCrashReport(ask Request, retry bool) CrashReport {
	return CrashReport{request: ask, retry: retry}
}

// Ask returns the request, with the number of its attempts.
func (c CrashReport) Request() Request { return c.request }

// Retry reports whether the request may be run again; the usher has forgotten
// it then. Otherwise the usher refuses it.
func (c CrashReport) Retry() bool { return c.retry }

func (CrashReport) routerAction() {}
func (Send) routerAction()        {}
func (Probe) routerAction()       {}
func (Cancel) routerAction()      {}
func (Deliver) routerAction()     {}
func (Refuse) routerAction()      {}
