package membership

import "sesamewell.example/commons/fleetstate"

// State is the state of an instance in the platform's list.
type State string

// States of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Message is an input of Core.
type Message interface{ membershipMessage() }

// InventoryChanged carries the inventory of a new revision of the fleet state.
type InventoryChanged struct {
	inventory *fleetstate.Inventory
}

// NewInventoryChanged returns an InventoryChanged message.
func NewInventoryChanged(inventory *fleetstate.Inventory) InventoryChanged {
	return InventoryChanged{inventory: inventory}
}

// ListUpdated carries the platform's list of instances, just read.
type ListUpdated struct {
	states map[string]State // by instance name
}

// NewListUpdated returns a ListUpdated message; states is keyed by instance
// name.
func NewListUpdated(states map[string]State) ListUpdated { return ListUpdated{states: states} }

// SideAnswered reports that a side answered a call.
type SideAnswered struct {
	side        string
	incarnation string
	draining    bool
}

// NewSideAnswered returns a SideAnswered message; draining is true if the side
// announced that it is draining.
func NewSideAnswered(side, incarnation string, draining bool) SideAnswered {
	return SideAnswered{side: side, incarnation: incarnation, draining: draining}
}

// SideUnreachable reports that a call to a side failed.
type SideUnreachable struct {
	side string
}

// NewSideUnreachable returns a SideUnreachable message.
func NewSideUnreachable(side string) SideUnreachable { return SideUnreachable{side: side} }

func (InventoryChanged) membershipMessage() {}
func (ListUpdated) membershipMessage()      {}
func (SideAnswered) membershipMessage()     {}
func (SideUnreachable) membershipMessage()  {}

// Action is an output of Core that Tracker executes.
type Action interface{ membershipAction() }

// CloseSides carries the full set of sides that get no new requests. It is
// issued whenever that set changes.
type CloseSides struct {
	sides []string
}

// Sides returns the sorted names of the sides.
func (c CloseSides) Sides() []string { return c.sides }

// Probe requests a call to a side to check whether it answers.
type Probe struct {
	side    string
	address string
}

// Side returns the side's name.
func (p Probe) Side() string { return p.side }

func (CloseSides) membershipAction() {}
func (Probe) membershipAction()      {}
