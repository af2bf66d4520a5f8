// Package visit holds what decisions see of one request: what its caller asks
// for, what is added on the way to a backend server, and what the head of the
// backend server's answer says.
package visit

import "time"

// Part is one piece of a prompt, which other requests may begin with too.
type Part struct {
	ID     string
	Tokens int64
}

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

// Sheet is what is added to a request on its way to a backend server.
type Sheet struct {
	Backend  string    // id that must serve it
	Tenant   string    // empty without
	Until    time.Time // end of the caller's patience and of the route's time
	Priority int       // zero is the most urgent
	Ranked   bool      // Priority is to be passed on
}

// Answer is what the head of a backend server's answer says.
type Answer struct {
	ID        string // of the request that is answered; empty if it does not say
	NotRun    bool   // the request was not run
	Elsewhere bool   // another backend server has the address, or it lacks the model
	Backend   string // id of the backend server that answers, if it says so
	Close     bool   // the connection ends with this answer
	Idle      time.Duration
	Signed    bool // it carries the backend server's signature
}
