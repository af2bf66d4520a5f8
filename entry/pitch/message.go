package pitch

import (
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
)

// Message is what the core of the planner is fed with.
type Message interface{ pitchMessage() }

// Revised brings the state of the register.
type Revised struct {
	revision *register.Revision
}

// NewRevised returns the message.
func NewRevised(revision *register.Revision) Revised { return Revised{revision: revision} }

// Reported brings what a backend server holds.
type Reported struct {
	backend string
	stock   notice.Stock
}

// NewReported returns the message.
func NewReported(backend string, stock notice.Stock) Reported {
	return Reported{backend: backend, stock: stock}
}

// Missed tells that a side did not answer.
type Missed struct {
	backend string
}

// NewMissed returns the message.
func NewMissed(backend string) Missed { return Missed{backend: backend} }

// Pulsed brings the answer of the planner's entry.
type Pulsed struct {
	pulse notice.Pulse
}

// NewPulsed returns the message.
func NewPulsed(pulse notice.Pulse) Pulsed { return Pulsed{pulse: pulse} }

func (Revised) pitchMessage()  {}
func (Reported) pitchMessage() {}
func (Missed) pitchMessage()   {}
func (Pulsed) pitchMessage()   {}

// Action is what the core asks its duty to do.
type Action interface{ pitchAction() }

// AskSide asks the side of a backend server for its stock.
type AskSide struct {
	backend string
	link    string
}

// Backend returns the backend server.
func (a AskSide) Backend() string { return a.backend }

// Link returns the IP:port of its side.
func (a AskSide) Link() string { return a.link }

// AskPlanner asks the planner's entry whether its planner is at work.
type AskPlanner struct {
	link string
}

// Link returns the IP:port of the entry.
func (a AskPlanner) Link() string { return a.link }

// TakeClaim asks for the planner's claim.
type TakeClaim struct {
	epoch int64 // of the claim that it supersedes
}

// Epoch returns the epoch of the claim that is superseded, zero if none.
func (t TakeClaim) Epoch() int64 { return t.epoch }

// Change asks for a change of the plan.
type Change struct {
	state   int64 // of the register that the change was decided from
	epoch   int64
	base    int64
	changes []register.PlanChange
}

// State returns the state of the register that the change was decided from.
func (c Change) State() int64 { return c.state }

// Epoch returns the epoch of the planner's claim.
func (c Change) Epoch() int64 { return c.epoch }

// Base returns the number of the plan that is changed.
func (c Change) Base() int64 { return c.base }

// Changes returns the changes.
func (c Change) Changes() []register.PlanChange { return c.changes }

func (AskSide) pitchAction()    {}
func (AskPlanner) pitchAction() {}
func (TakeClaim) pitchAction()  {}
func (Change) pitchAction()     {}
