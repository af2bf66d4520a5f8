package membership

import "sesamewell.example/commons/register"

// State is the state of an instance in the platform's list.
type State string

// States of instances.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Message is what the roster's inbox carries.
type Message interface{ membershipMessage() }

// Revised brings a new revision of the register.
type InventoryChanged struct {
	inventory *register.Inventory
}

// NewRevised returns the message.
func NewInventoryChanged(inventory *register.Inventory) InventoryChanged {
	return InventoryChanged{inventory: inventory}
}

// Listed brings the platform's list as it was read now.
type ListUpdated struct {
	states map[string]State // by instance
}

// NewListed returns the message.
func NewListUpdated(states map[string]State) ListUpdated { return ListUpdated{states: states} }

// Answered reports that a side answered.
type SideAnswered struct {
	side        string
	incarnation string
	leaving     bool
}

// NewAnswered returns the message; leaving tells whether the side announced its
// end.
func NewSideAnswered(side, incarnation string, leaving bool) SideAnswered {
	return SideAnswered{side: side, incarnation: incarnation, leaving: leaving}
}

// Silent reports that a side did not answer.
type SideUnreachable struct {
	side string
}

// NewSilent returns the message.
func NewSideUnreachable(side string) SideUnreachable { return SideUnreachable{side: side} }

func (InventoryChanged) membershipMessage() {}
func (ListUpdated) membershipMessage()      {}
func (SideAnswered) membershipMessage()     {}
func (SideUnreachable) membershipMessage()  {}

// Action is what the core asks its duty to do.
type Action interface{ membershipAction() }

// Close names all sides that get no new work; it comes when they change.
type CloseSides struct {
	sides []string
}

// Sides returns the sides' names in order.
func (c CloseSides) Sides() []string { return c.sides }

// Probe asks a side for a sign of life.
type Probe struct {
	side    string
	address string
}

// Side returns the side's name.
func (p Probe) Side() string { return p.side }

func (CloseSides) membershipAction() {}
func (Probe) membershipAction()      {}
