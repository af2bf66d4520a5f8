package placement

import (
	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/protocol"
)

// Message is an input of Core.
type Message interface{ placementMessage() }

// RevisionChanged carries a new revision of the fleet state.
type RevisionChanged struct {
	revision *fleetstate.Revision
}

// NewRevisionChanged returns a RevisionChanged message.
func NewRevisionChanged(revision *fleetstate.Revision) RevisionChanged {
	return RevisionChanged{revision: revision}
}

// StockReported carries the models that a backend server holds and the demand
// for them.
type StockReported struct {
	backend string
	stock   protocol.Stock
}

// NewStockReported returns a StockReported message.
func NewStockReported(backend string, stock protocol.Stock) StockReported {
	return StockReported{backend: backend, stock: stock}
}

// StockUnavailable reports that the side of a backend server did not answer a
// poll.
type StockUnavailable struct {
	backend string
}

// NewStockUnavailable returns a StockUnavailable message.
func NewStockUnavailable(backend string) StockUnavailable { return StockUnavailable{backend: backend} }

// PulseReceived carries the answer of the entry that holds the planner's claim.
type PulseReceived struct {
	pulse protocol.Pulse
}

// NewPulseReceived returns a PulseReceived message.
func NewPulseReceived(pulse protocol.Pulse) PulseReceived { return PulseReceived{pulse: pulse} }

func (RevisionChanged) placementMessage()  {}
func (StockReported) placementMessage()    {}
func (StockUnavailable) placementMessage() {}
func (PulseReceived) placementMessage()    {}

// Action is an output of Core that Planner executes.
type Action interface{ placementAction() }

// PollSide requests from its side the models that a backend server holds and the
// demand for them.
type PollSide struct {
	backend string
	address string
}

// Backend returns the name of the backend server.
func (a PollSide) Backend() string { return a.backend }

// Address returns the IP:port of the side.
func (a PollSide) Address() string { return a.address }

// PollPlanner queries the entry that holds the planner's claim for the incarnation
// of the planner that it runs.
type PollPlanner struct {
	address string
}

// Address returns the IP:port of the entry.
func (a PollPlanner) Address() string { return a.address }

// TakeClaim requests the planner's claim for this entry.
type TakeClaim struct {
	epoch int64 // epoch of the claim to supersede
}

// Epoch returns the epoch of the claim to supersede, or zero if there is none.
func (t TakeClaim) Epoch() int64 { return t.epoch }

// ChangePlan requests a change of the plan.
type ChangePlan struct {
	stateOffset int64 // offset of the fleet state that the change is based on
	epoch       int64
	base        int64
	changes     []fleetstate.PlanChange
}

// StateOffset returns the offset of the fleet state that the change is based on.
func (c ChangePlan) StateOffset() int64 { return c.stateOffset }

// Epoch returns the epoch of the planner's claim.
func (c ChangePlan) Epoch() int64 { return c.epoch }

// Base returns the number of the plan that is changed.
func (c ChangePlan) Base() int64 { return c.base }

// Changes returns the changes, sorted by name of the backend server.
func (c ChangePlan) Changes() []fleetstate.PlanChange { return c.changes }

func (PollSide) placementAction()    {}
func (PollPlanner) placementAction() {}
func (TakeClaim) placementAction()   {}
func (ChangePlan) placementAction()  {}
