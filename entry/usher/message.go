package usher

import (
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
	"sesamewell.example/commons/wicket"
)

// Message is what the usher's inbox carries.
type Message interface{ usherMessage() }

// AskConfig holds the construction parameters of an Ask.
type AskConfig struct {
	Request     string // unique id
	Tenant      string
	Grant       string // identifier of the key's permission; empty on an open route
	State       int64  // state of the register under which the request was admitted
	Route       string // name of the route
	Key         string // Idempotency-Key of a request that may run once, else empty
	Model       string // model that must be resident; empty for a plain service
	Service     string // plain service; empty for a model
	Method      string
	Path        string
	ContentType string
	Trace       string // W3C traceparent of the request's span
	Body        []byte
	Prompt      []byte // the part of the body that the model reads; empty for a plain service
	Stream      bool
	Urgent      bool
	Idempotent  bool
	Tokens      int64
	Deadline    time.Time
}

// Ask is one request that has passed the gate.
type Ask struct {
	config AskConfig
}

// NewAsk returns the message.
func NewAsk(config AskConfig) Ask { return Ask{config: config} }

// Request returns the request's id.
func (a Ask) Request() string { return a.config.Request }

// Tokens returns the upper bound on prompt and output tokens.
func (a Ask) Tokens() int64 { return a.config.Tokens }

// Leave reports that nobody awaits a request's answer any more.
type Leave struct {
	request string
}

// NewLeave returns the message.
func NewLeave(request string) Leave { return Leave{request: request} }

// Receipted carries a side's receipts.
type Receipted struct {
	side     string
	receipts notice.Receipts
}

// NewReceipted returns the message.
func NewReceipted(side string, receipts notice.Receipts) Receipted {
	return Receipted{side: side, receipts: receipts}
}

// Reported carries a side's answer to a probe.
type Reported struct {
	side   string
	report notice.Report
}

// NewReported returns the message.
func NewReported(side string, report notice.Report) Reported {
	return Reported{side: side, report: report}
}

// Unanswered reports that a side did not answer a probe.
type Unanswered struct {
	side string
}

// NewUnanswered returns the message.
func NewUnanswered(side string) Unanswered { return Unanswered{side: side} }

// Placed brings a new plan of which sides hold which models.
type Placed struct {
	copies map[string][]string
}

// NewPlaced returns the message; copies holds the sides of each model and is
// not changed afterwards. A model that it lacks is looked for at every side.
func NewPlaced(copies map[string][]string) Placed { return Placed{copies: copies} }

// Unsent reports that attempts got no receipt.
type Unsent struct {
	side     string
	attempts []string
	ran      bool
}

// NewUnsent returns the message; ran tells whether the side may have them.
func NewUnsent(side string, attempts []string, ran bool) Unsent {
	return Unsent{side: side, attempts: attempts, ran: ran}
}

// Read carries pieces of answers from a side.
type Read struct {
	side  string
	pages notice.Pages
}

// NewRead returns the message.
func NewRead(side string, pages notice.Pages) Read { return Read{side: side, pages: pages} }

// Lost reports that a side cannot be reached.
type Lost struct {
	side string
}

// NewLost returns the message.
func NewLost(side string) Lost { return Lost{side: side} }

// Revised brings a new revision of the register.
type Revised struct {
	inventory *register.Inventory
}

// NewRevised returns the message.
func NewRevised(inventory *register.Inventory) Revised { return Revised{inventory: inventory} }

func (Ask) usherMessage()        {}
func (Leave) usherMessage()      {}
func (Receipted) usherMessage()  {}
func (Reported) usherMessage()   {}
func (Unanswered) usherMessage() {}
func (Placed) usherMessage()     {}
func (Unsent) usherMessage()     {}
func (Read) usherMessage()       {}
func (Lost) usherMessage()       {}
func (Revised) usherMessage()    {}

// Action is what the core asks its duty to do.
type Action interface{ usherAction() }

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
	request     string
	status      int
	contentType string
	data        []byte
	whole       bool
}

// Request returns the request's id.
func (d Deliver) Request() string { return d.request }

// Status returns the answer's HTTP status.
func (d Deliver) Status() int { return d.status }

// ContentType returns the answer's media type.
func (d Deliver) ContentType() string { return d.contentType }

// Data returns the next bytes of the answer.
func (d Deliver) Data() []byte { return d.data }

// Whole reports whether the answer is complete with these bytes.
func (d Deliver) Whole() bool { return d.whole }

// Refuse ends a request without a whole answer.
type Refuse struct {
	request    string
	refusal    *wicket.Refusal
	retryAfter time.Duration
}

// Request returns the request's id.
func (r Refuse) Request() string { return r.request }

// Refusal returns the answer's status, cause and outcome.
func (r Refuse) Refusal() *wicket.Refusal { return r.refusal }

// RetryAfter returns the earliest useful time of a retry.
func (r Refuse) RetryAfter() time.Duration { return r.retryAfter }

func (Send) usherAction()    {}
func (Probe) usherAction()   {}
func (Cancel) usherAction()  {}
func (Deliver) usherAction() {}
func (Refuse) usherAction()  {}
