package steward

import (
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/visit"
)

// Message is what the core of the steward is fed with.
type Message interface{ stewardMessage() }

// Arrived brings a whole request of a caller.
type Arrived struct {
	number uint64
	visit  *visit.Visit
}

// NewArrived returns the message. The number is the caller connection's own
// name for the request.
func NewArrived(number uint64, v *visit.Visit) Arrived { return Arrived{number: number, visit: v} }

// Number returns the caller connection's name for the request.
func (a Arrived) Number() uint64 { return a.number }

// Visit returns what the caller asks for.
func (a Arrived) Visit() *visit.Visit { return a.visit }

// Begun tells that the first event of a stream has reached the caller.
type Begun struct{ number uint64 }

// NewBegun returns the message.
func NewBegun(number uint64) Begun { return Begun{number: number} }

// Left tells that a caller has closed its connection before its answer ended.
type Left struct {
	number uint64
	pause  time.Duration
}

// NewLeft returns the message.
func NewLeft(number uint64) Left { return Left{number: number} }

// WithPause returns the message with the longest pause between two events.
func (l Left) WithPause(pause time.Duration) Left {
	l.pause = pause
	return l
}

// Result is how sending a request to a backend server ended.
type Result uint8

// Results.
const (
	Complete  Result = iota // the answer has gone to the caller
	Unsent                  // no byte reached the backend server
	Rejected                // the backend server says that it did not run the request
	Misplaced               // so it says, and that it lacks the model or adapter
	Replaced                // another backend server has the address; it did not run the request
	Lost                    // no whole answer; the request may have run
	Spoiled                 // the answer is an error of the backend server's own; it is kept for Pass
	Abandoned               // the caller has left
	Severed                 // a stream ended early; some of it has gone to the caller
)

// String returns the result's name in the log.
func (r Result) String() string { return resultNames[r] }

var resultNames = map[Result]string{
	Complete: "complete", Unsent: "unsent", Rejected: "not_run", Misplaced: "misplaced", Replaced: "replaced", Lost: "lost", Spoiled: "own_error", Severed: "severed", Abandoned: "caller_left",
}

// Ended brings the result of the send that was made last for a request.
type Ended struct {
	number uint64
	result Result
	status int
	pause  time.Duration
}

// NewEnded returns the message; status is that of the backend server's answer,
// zero without one.
func NewEnded(number uint64, result Result, status int) Ended {
	return Ended{number: number, result: result, status: status}
}

// WithPause returns the message with the longest pause between two events.
func (e Ended) WithPause(pause time.Duration) Ended {
	e.pause = pause
	return e
}

// Number returns the caller connection's name for the request.
func (e Ended) Number() uint64 { return e.number }

// Result returns how the send ended.
func (e Ended) Result() Result { return e.result }

// Chartered brings the configuration in force.
type Chartered struct{ charter *charter.Charter }

// NewChartered returns the message.
func NewChartered(c *charter.Charter) Chartered { return Chartered{charter: c} }

// Listed brings all backend servers that the platform lists.
type Listed struct{ backends []charter.Backend }

// NewListed returns the message.
func NewListed(backends []charter.Backend) Listed { return Listed{backends: backends} }

// Digested brings what another lobby says of itself.
type Digested struct{ digest notice.Digest }

// NewDigested returns the message.
func NewDigested(digest notice.Digest) Digested { return Digested{digest: digest} }

// Peopled tells how many lobbies there are, this one included.
type Peopled struct{ lobbies int }

// NewPeopled returns the message.
func NewPeopled(lobbies int) Peopled { return Peopled{lobbies: lobbies} }

// Planned brings the plan of this lobby: models by backend server.
type Planned struct{ plan map[string][]string }

// NewPlanned returns the message.
func NewPlanned(plan map[string][]string) Planned { return Planned{plan: plan} }

// Fetched tells what became of a Fetch.
type Fetched struct {
	fetch Fetch
	kept  time.Duration
}

// NewFetched returns the message; kept is the time for which the adapter stays,
// zero if it is not there.
func NewFetched(fetch Fetch, kept time.Duration) Fetched { return Fetched{fetch: fetch, kept: kept} }

// Draining tells that the process is about to stop.
type Draining struct{}

// Closing tells that the process stops now: what is open is given up.
type Closing struct{}

func (Arrived) stewardMessage()   {}
func (Begun) stewardMessage()     {}
func (Left) stewardMessage()      {}
func (Ended) stewardMessage()     {}
func (Chartered) stewardMessage() {}
func (Listed) stewardMessage()    {}
func (Draining) stewardMessage()  {}
func (Closing) stewardMessage()   {}
func (Digested) stewardMessage()  {}
func (Planned) stewardMessage()   {}
func (Peopled) stewardMessage()   {}
func (Fetched) stewardMessage()   {}
