// Package visit holds what decisions see of one request: what its caller asks
// for, what is added on the way to a backend server, and what the head of the
// backend server's answer says.
package visit

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
type Config struct {
	ID       string // given by the caller to this attempt
	Host     string
	Path     string
	Key      string // API key, empty without
	Model    string
	Adapter  string // of the model, empty without
	Prompt   int64  // tokens
	Output   int64  // largest number of tokens
	Parts    []Part
	Patience time.Duration // for which the caller waits; zero if it does not say
	Arrived  time.Time
}

// Visit is responsible for what a caller asks for. It is immutable.
type Visit struct {
	config Config
}

// New returns a visit.
func New(config Config) *Visit { return &Visit{config: config} }

// ID returns the caller's id of this attempt.
func (v *Visit) ID() string { return v.config.ID }

// Host returns the host that the request names.
func (v *Visit) Host() string { return v.config.Host }

// Path returns the path without the query.
func (v *Visit) Path() string { return v.config.Path }

// Key returns the API key, or "".
func (v *Visit) Key() string { return v.config.Key }

// Model returns the model's name, or "".
func (v *Visit) Model() string { return v.config.Model }

// Adapter returns the name of the model's adapter, or "".
func (v *Visit) Adapter() string { return v.config.Adapter }

// Prompt returns the tokens of the prompt.
func (v *Visit) Prompt() int64 { return v.config.Prompt }

// Output returns the largest number of tokens to be generated.
func (v *Visit) Output() int64 { return v.config.Output }

// Parts returns the pieces of the prompt in their order.
func (v *Visit) Parts() []Part { return v.config.Parts }

// Patience returns the time for which the caller waits, zero if it is unknown.
func (v *Visit) Patience() time.Duration { return v.config.Patience }

// Arrived returns the time at which the request was complete.
func (v *Visit) Arrived() time.Time { return v.config.Arrived }

// SheetConfig holds the construction parameters of a Sheet.
type SheetConfig struct {
	Backend  string    // id that must serve it
	Tenant   string    // empty without
	Until    time.Time // end of the caller's patience and of the route's time
	Priority int       // zero is the most urgent
	Ranked   bool      // Priority is to be passed on
	After    string    // id of the last event that the caller has; empty to begin as the caller asks
}

// Sheet is what is added to a request on its way to a backend server.
type Sheet struct{ config SheetConfig }

// NewSheet returns a sheet.
func NewSheet(config SheetConfig) Sheet { return Sheet{config: config} }

// Backend returns the id of the backend server that must serve it.
func (s Sheet) Backend() string { return s.config.Backend }

// Tenant returns the tenant's name, empty without one.
func (s Sheet) Tenant() string { return s.config.Tenant }

// Until returns the end of the caller's patience and of the route's time.
func (s Sheet) Until() time.Time { return s.config.Until }

// Priority returns the rank, zero being the most urgent.
func (s Sheet) Priority() int { return s.config.Priority }

// Ranked reports whether Priority is passed on.
func (s Sheet) Ranked() bool { return s.config.Ranked }

// After returns the id of the last event that the caller has, empty to begin as
// the caller asks.
func (s Sheet) After() string { return s.config.After }

// GoingOn returns the sheet for a stream of which the caller has the events up
// to one.
func (s Sheet) GoingOn(after string) Sheet {
	s.config.After = after
	return s
}

// AnswerConfig holds the construction parameters of an Answer.
type AnswerConfig struct {
	ID        string // of the request that is answered; empty if it does not say
	NotRun    bool   // the request was not run
	Elsewhere bool   // another backend server has the address, or it lacks the model
	Backend   string // id of the backend server that answers, if it says so
	Close     bool   // the connection ends with this answer
	Idle      time.Duration
	Signed    bool // it carries the backend server's signature
}

// Answer is what the head of a backend server's answer says.
type Answer struct{ config AnswerConfig }

// NewAnswer returns an answer.
func NewAnswer(config AnswerConfig) Answer { return Answer{config: config} }

// ID returns the id of the request that is answered, empty if it does not say.
func (a Answer) ID() string { return a.config.ID }

// NotRun reports whether the request was not run.
func (a Answer) NotRun() bool { return a.config.NotRun }

// Elsewhere reports whether another backend server has the address, or it lacks the model.
func (a Answer) Elsewhere() bool { return a.config.Elsewhere }

// Backend returns the id of the backend server that answers, empty if it does not say.
func (a Answer) Backend() string { return a.config.Backend }

// Close reports whether the connection ends with this answer.
func (a Answer) Close() bool { return a.config.Close }

// Idle returns the time for which an idle connection is kept, zero if it does not say.
func (a Answer) Idle() time.Duration { return a.config.Idle }

// Signed reports whether it carries the backend server's signature.
func (a Answer) Signed() bool { return a.config.Signed }
