package roster

import "sesamewell.example/commons/register"

// State is the state of an instance in the platform's list.
type State string

// States of instances.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Message is what the roster's inbox carries.
type Message interface{ rosterMessage() }

// Revised brings a new revision of the register.
type Revised struct {
	inventory *register.Inventory
}

// NewRevised returns the message.
func NewRevised(inventory *register.Inventory) Revised { return Revised{inventory: inventory} }

// Listed brings the platform's list as it was read now.
type Listed struct {
	states map[string]State // by instance
}

// NewListed returns the message.
func NewListed(states map[string]State) Listed { return Listed{states: states} }

// Answered reports that a side answered.
type Answered struct {
	side        string
	incarnation string
	leaving     bool
}

// NewAnswered returns the message; leaving tells whether the side announced its
// end.
func NewAnswered(side, incarnation string, leaving bool) Answered {
	return Answered{side: side, incarnation: incarnation, leaving: leaving}
}

// Silent reports that a side did not answer.
type Silent struct {
	side string
}

// NewSilent returns the message.
func NewSilent(side string) Silent { return Silent{side: side} }

func (Revised) rosterMessage()  {}
func (Listed) rosterMessage()   {}
func (Answered) rosterMessage() {}
func (Silent) rosterMessage()   {}

// Action is what the core asks its duty to do.
type Action interface{ rosterAction() }

// Close names all sides that get no new work; it comes when they change.
type Close struct {
	sides []string
}

// Sides returns the sides' names in order.
func (c Close) Sides() []string { return c.sides }

// Probe asks a side for a sign of life.
type Probe struct {
	side    string
	address string
}

// Side returns the side's name.
func (p Probe) Side() string { return p.side }

func (Close) rosterAction() {}
func (Probe) rosterAction() {}
