package placement

import (
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
)

// Message is what the core of the planner is fed with.
type Message interface{ placementMessage() }

// Revised brings the state of the register.
type RevisionChanged struct {
	revision *register.Revision
}

// NewRevised returns the message.
func NewRevisionChanged(revision *register.Revision) RevisionChanged {
	return RevisionChanged{revision: revision}
}

// Reported brings what a backend server holds.
type StockReported struct {
	backend string
	stock   notice.Stock
}

// NewReported returns the message.
func NewStockReported(backend string, stock notice.Stock) StockReported {
	return StockReported{backend: backend, stock: stock}
}

// Missed tells that a side did not answer.
type StockUnavailable struct {
	backend string
}

// NewMissed returns the message.
func NewStockUnavailable(backend string) StockUnavailable { return StockUnavailable{backend: backend} }

// Pulsed brings the answer of the planner's entry.
type PulseReceived struct {
	pulse notice.Pulse
}

// NewPulsed returns the message.
func NewPulseReceived(pulse notice.Pulse) PulseReceived { return PulseReceived{pulse: pulse} }

func (RevisionChanged) placementMessage()  {}
func (StockReported) placementMessage()    {}
func (StockUnavailable) placementMessage() {}
func (PulseReceived) placementMessage()    {}

// Action is what the core asks its duty to do.
type Action interface{ placementAction() }

// AskSide asks the side of a backend server for its stock.
type PollSide struct {
	backend string
	link    string
}

// Backend returns the backend server.
func (a PollSide) Backend() string { return a.backend }

// Link returns the IP:port of its side.
func (a PollSide) Link() string { return a.link }

// AskPlanner asks the planner's entry whether its planner is at work.
type PollPlanner struct {
	link string
}

// Link returns the IP:port of the entry.
func (a PollPlanner) Link() string { return a.link }

// TakeClaim asks for the planner's claim.
type TakeClaim struct {
	epoch int64 // of the claim that it supersedes
}

// Epoch returns the epoch of the claim that is superseded, zero if none.
func (t TakeClaim) Epoch() int64 { return t.epoch }

// Change asks for a change of the plan.
type ChangePlan struct {
	state   int64 // of the register that the change was decided from
	epoch   int64
	base    int64
	changes []register.PlanChange
}

// State returns the state of the register that the change was decided from.
func (c ChangePlan) State() int64 { return c.state }

// Epoch returns the epoch of the planner's claim.
func (c ChangePlan) Epoch() int64 { return c.epoch }

// Base returns the number of the plan that is changed.
func (c ChangePlan) Base() int64 { return c.base }

// Changes returns the changes.
func (c ChangePlan) Changes() []register.PlanChange { return c.changes }

func (PollSide) placementAction()    {}
func (PollPlanner) placementAction() {}
func (TakeClaim) placementAction()   {}
func (ChangePlan) placementAction()  {}
