// Package visit holds what decisions see of one request: what its caller asks
// for, what is added on the way to a backend server, and what the head of the
// backend server's answer says.
package httpmeta

import "time"

// PartConfig holds the construction parameters of a Part.
type PartConfig struct {
	ID     string
	Tokens int64
}

// Part is one piece of a prompt, which other requests may begin with too.
type Part struct{ config PartConfig }

// NewPart returns a part.
func NewPart(config PartConfig) Part { return Part{config: config} }

// ID returns the part's name.
func (p Part) ID() string { return p.config.ID }

// Tokens returns its length.
func (p Part) Tokens() int64 { return p.config.Tokens }

// Config holds the construction parameters of a Visit.
type RequestConfig struct {
	ID              string // given by the caller to this attempt
	Host            string
	Path            string
	APIKey          string // API key, empty without
	Model           string
	Adapter         string // of the model, empty without
	PromptTokens    int64  // tokens
	MaxOutputTokens int64  // largest number of tokens
	Parts           []Part
	Timeout         time.Duration // for which the caller waits; zero if it does not say
	Arrived         time.Time
}

// Visit is responsible for what a caller asks for. It is immutable.
type Request struct {
	config RequestConfig
}

// New returns a visit.
func NewRequest(config RequestConfig) *Request { return &Request{config: config} }

// ID returns the caller's id of this attempt.
func (v *Request) ID() string { return v.config.ID }

// Host returns the host that the request names.
func (v *Request) Host() string { return v.config.Host }

// Path returns the path without the query.
func (v *Request) Path() string { return v.config.Path }

// Key returns the API key, or "".
func (v *Request) APIKey() string { return v.config.APIKey }

// Model returns the model's name, or "".
func (v *Request) Model() string { return v.config.Model }

// Adapter returns the name of the model's adapter, or "".
func (v *Request) Adapter() string { return v.config.Adapter }

// Prompt returns the tokens of the prompt.
func (v *Request) PromptTokens() int64 { return v.config.PromptTokens }

// Output returns the largest number of tokens to be generated.
func (v *Request) MaxOutputTokens() int64 { return v.config.MaxOutputTokens }

// Parts returns the pieces of the prompt in their order.
func (v *Request) Parts() []Part { return v.config.Parts }

// Patience returns the time for which the caller waits, zero if it is unknown.
func (v *Request) Timeout() time.Duration { return v.config.Timeout }

// Arrived returns the time at which the request was complete.
func (v *Request) Arrived() time.Time { return v.config.Arrived }

// SheetConfig holds the construction parameters of a Sheet.
type ForwardingConfig struct {
	Backend     string    // id that must serve it
	Tenant      string    // empty without
	Deadline    time.Time // end of the caller's patience and of the route's time
	Priority    int       // zero is the most urgent
	HasPriority bool      // Priority is to be passed on
	LastEventID string    // id of the last event that the caller has; empty to begin as the caller asks
}

// Sheet is what is added to a request on its way to a backend server.
type Forwarding struct{ config ForwardingConfig }

// NewSheet returns a sheet.
func NewForwarding(config ForwardingConfig) Forwarding { return Forwarding{config: config} }

// Backend returns the id of the backend server that must serve it.
func (s Forwarding) Backend() string { return s.config.Backend }

// Tenant returns the tenant's name, empty without one.
func (s Forwarding) Tenant() string { return s.config.Tenant }

// Until returns the end of the caller's patience and of the route's time.
func (s Forwarding) Deadline() time.Time { return s.config.Deadline }

// Priority returns the rank, zero being the most urgent.
func (s Forwarding) Priority() int { return s.config.Priority }

// Ranked reports whether Priority is passed on.
func (s Forwarding) HasPriority() bool { return s.config.HasPriority }

// After returns the id of the last event that the caller has, empty to begin as
// the caller asks.
func (s Forwarding) LastEventID() string { return s.config.LastEventID }

// GoingOn returns the sheet for a stream of which the caller has the events up
// to one.
func (s Forwarding) WithLastEventID(after string) Forwarding {
	s.config.LastEventID = after
	return s
}

// AnswerConfig holds the construction parameters of an Answer.
type AnswerConfig struct {
	RequestID   string // of the request that is answered; empty if it does not say
	NotRun      bool   // the request was not run
	Misdirected bool   // another backend server has the address, or it lacks the model
	Backend     string // id of the backend server that answers, if it says so
	Close       bool   // the connection ends with this answer
	IdleTimeout time.Duration
	Signed      bool // it carries the backend server's signature
}

// Answer is what the head of a backend server's answer says.
type Answer struct{ config AnswerConfig }

// NewAnswer returns an answer.
func NewAnswer(config AnswerConfig) Answer { return Answer{config: config} }

// ID returns the id of the request that is answered, empty if it does not say.
func (a Answer) RequestID() string { return a.config.RequestID }

// NotRun reports whether the request was not run.
func (a Answer) NotRun() bool { return a.config.NotRun }

// Elsewhere reports whether another backend server has the address, or it lacks the model.
func (a Answer) Misdirected() bool { return a.config.Misdirected }

// Backend returns the id of the backend server that answers, empty if it does not say.
func (a Answer) Backend() string { return a.config.Backend }

// Close reports whether the connection ends with this answer.
func (a Answer) Close() bool { return a.config.Close }

// Idle returns the time for which an idle connection is kept, zero if it does not say.
func (a Answer) IdleTimeout() time.Duration { return a.config.IdleTimeout }

// Signed reports whether it carries the backend server's signature.
func (a Answer) Signed() bool { return a.config.Signed }
