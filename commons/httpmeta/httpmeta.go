// Package httpmeta defines the metadata of HTTP messages on which the scheduling
// of requests is based: the parameters of a caller's request, the values that are
// set when it is forwarded to a backend server, and the head of the answer.
package httpmeta

import "time"

// PartConfig holds the construction parameters of a Part.
type PartConfig struct {
	ID     string
	Tokens int64 // length of the part
}

// Part is a part of a prompt's prefix, which other prompts may share.
type Part struct{ config PartConfig }

// NewPart returns a Part with the given parameters.
func NewPart(config PartConfig) Part { return Part{config: config} }

// ID returns the part's identifier. Prompts that share the part state the same one.
func (p Part) ID() string { return p.config.ID }

// Tokens returns the part's length in tokens.
func (p Part) Tokens() int64 { return p.config.Tokens }

// RequestConfig holds the construction parameters of a Request.
type RequestConfig struct {
	ID              string        // given by the caller to this attempt
	Host            string        // without the port
	Path            string        // without the query
	APIKey          string        // empty if there is none
	Model           string        // empty if the request names none
	Adapter         string        // adapter of the model; empty if the request names none
	PromptTokens    int64         // zero if the caller does not state it
	MaxOutputTokens int64         // zero if the caller does not state it
	Parts           []Part        // parts of the prompt, in their order
	Fingerprint     Fingerprint   // identifies the request's content
	Timeout         time.Duration // time for which the caller waits; zero if unknown
	Arrived         time.Time     // time at which the request was complete
	Resumes         string        // ID of the attempt that brought the first event of the stream that the request takes up; empty if it states none
	LastEventID     string        // ID of the last event that the caller has; empty if it takes no stream up
}

// Request holds the parameters of a caller's request. It is immutable.
type Request struct {
	config RequestConfig
}

// maxTokens is the largest number of tokens that is believed. Callers may state any, and
// what is computed from it, such as costs and prefill times, must stay within its type.
const maxTokens = 1 << 24

// NewRequest returns a Request with the given parameters. Its numbers of tokens are
// limited to maxTokens.
func NewRequest(config RequestConfig) *Request {
	config.PromptTokens = min(max(config.PromptTokens, 0), maxTokens)
	config.MaxOutputTokens = min(max(config.MaxOutputTokens, 0), maxTokens)
	return &Request{config: config}
}

// UnknownModel is the name of all models that nobody knows. No backend server has it.
const UnknownModel = "(unknown)"

// WithUnknownModel returns the request with UnknownModel as its model and without an adapter,
// so that nothing is kept by the names that callers make up.
func (r *Request) WithUnknownModel() *Request {
	config := r.config
	config.Model, config.Adapter = UnknownModel, ""
	return NewRequest(config)
}

// WithoutModel returns the request without a model and an adapter, for a service where
// they mean nothing.
func (r *Request) WithoutModel() *Request {
	if r.config.Model == "" && r.config.Adapter == "" {
		return r
	}
	config := r.config
	config.Model, config.Adapter = "", ""
	return NewRequest(config)
}

// TakesUp reports whether the request takes up a stream that an earlier attempt began.
func (r *Request) TakesUp() bool { return r.config.Resumes != "" || r.config.LastEventID != "" }

// Resumes returns the ID of the attempt that brought the first event of the stream that the
// request takes up, or "" if it states none.
func (r *Request) Resumes() string { return r.config.Resumes }

// ID returns the identifier that the caller gave this attempt.
func (r *Request) ID() string { return r.config.ID }

// Host returns the host that the request names, without the port.
func (r *Request) Host() string { return r.config.Host }

// Path returns the path without the query.
func (r *Request) Path() string { return r.config.Path }

// APIKey returns the API key, or "" if there is none.
func (r *Request) APIKey() string { return r.config.APIKey }

// Model returns the model's name, or "" if the request names none.
func (r *Request) Model() string { return r.config.Model }

// Adapter returns the name of the model's adapter, or "" if the request names none.
func (r *Request) Adapter() string { return r.config.Adapter }

// PromptTokens returns the number of tokens of the prompt.
func (r *Request) PromptTokens() int64 { return r.config.PromptTokens }

// MaxOutputTokens returns the maximum number of tokens to generate.
func (r *Request) MaxOutputTokens() int64 { return r.config.MaxOutputTokens }

// Parts returns the parts of the prompt in their order.
func (r *Request) Parts() []Part { return r.config.Parts }

// Fingerprint returns the fingerprint of the request's content.
func (r *Request) Fingerprint() Fingerprint { return r.config.Fingerprint }

// Timeout returns the time for which the caller waits, zero if it is unknown.
func (r *Request) Timeout() time.Duration { return r.config.Timeout }

// Arrived returns the time at which the request was complete.
func (r *Request) Arrived() time.Time { return r.config.Arrived }

// ForwardingConfig holds the construction parameters of a Forwarding.
type ForwardingConfig struct {
	Backend     string    // ID of the backend server that must serve the request
	Tenant      string    // empty if there is none
	Deadline    time.Time // end of the caller's or the route's timeout, whichever is earlier
	Priority    int       // zero is the most urgent
	HasPriority bool      // the priority is sent to the backend server
	LastEventID string    // ID of the last event that the caller has received; empty to start where the caller's request states
}

// Forwarding holds the values that are set in a request when it is forwarded to a
// backend server.
type Forwarding struct{ config ForwardingConfig }

// NewForwarding returns a Forwarding with the given parameters.
func NewForwarding(config ForwardingConfig) Forwarding { return Forwarding{config: config} }

// Backend returns the ID of the backend server that must serve the request.
func (f Forwarding) Backend() string { return f.config.Backend }

// Tenant returns the tenant's name, or "" if there is none.
func (f Forwarding) Tenant() string { return f.config.Tenant }

// Deadline returns the time at which the caller's or the route's timeout ends,
// whichever is earlier.
func (f Forwarding) Deadline() time.Time { return f.config.Deadline }

// Priority returns the priority; zero is the most urgent.
func (f Forwarding) Priority() int { return f.config.Priority }

// HasPriority reports whether the priority is sent to the backend server.
func (f Forwarding) HasPriority() bool { return f.config.HasPriority }

// LastEventID returns the ID of the last event that the caller has received, or ""
// to start the stream where the caller's request states.
func (f Forwarding) LastEventID() string { return f.config.LastEventID }

// WithLastEventID returns a copy that resumes the stream after the event with the
// given ID.
func (f Forwarding) WithLastEventID(id string) Forwarding {
	f.config.LastEventID = id
	return f
}

// AnswerConfig holds the construction parameters of an Answer.
type AnswerConfig struct {
	RequestID   string        // ID of the request that is answered; empty if the answer does not state it
	NotRun      bool          // the request was not run
	Misdirected bool          // another backend server now has the address, or this one does not have the model
	Backend     string        // ID of the backend server that answers; empty if the answer does not state it
	Close       bool          // the connection is closed after this answer
	IdleTimeout time.Duration // time for which the backend server keeps an idle connection; zero if not stated, UnreadableRate if stated otherwise
	Signed      bool          // the answer has the backend server's signature
	Leaving     bool          // the backend server leaves and is to get no new requests
	RetryAfter  time.Duration // time for which the backend server, which refused the request, wants no others; zero if not stated
	Limit       float64       // requests per second that the backend server takes from all instances together; zero if not stated
}

// Answer is the metadata in the head of a backend server's answer.
type Answer struct{ config AnswerConfig }

// NewAnswer returns an Answer with the given parameters.
func NewAnswer(config AnswerConfig) Answer { return Answer{config: config} }

// RequestID returns the ID of the request that is answered, or "" if the answer
// does not state it.
func (a Answer) RequestID() string { return a.config.RequestID }

// NotRun reports whether the request was not run.
func (a Answer) NotRun() bool { return a.config.NotRun }

// Misdirected reports whether another backend server now has the address, or the
// backend server does not have the model.
func (a Answer) Misdirected() bool { return a.config.Misdirected }

// Backend returns the ID of the backend server that answers, or "" if the answer
// does not state it.
func (a Answer) Backend() string { return a.config.Backend }

// Close reports whether the connection is closed after this answer.
func (a Answer) Close() bool { return a.config.Close }

// IdleTimeout returns the time for which the backend server keeps an idle
// connection, zero if the answer does not state it.
func (a Answer) IdleTimeout() time.Duration { return a.config.IdleTimeout }

// Signed reports whether the answer has the backend server's signature.
func (a Answer) Signed() bool { return a.config.Signed }

// Leaving reports whether the backend server leaves and is to get no new requests.
func (a Answer) Leaving() bool { return a.config.Leaving }

// RetryAfter returns the time for which the backend server, which refused the request,
// wants no others from this process. It is zero if the answer states none.
func (a Answer) RetryAfter() time.Duration { return a.config.RetryAfter }

// Limit returns the requests per second that the backend server takes from all instances
// together, zero if the answer does not state it.
func (a Answer) Limit() float64 { return a.config.Limit }
