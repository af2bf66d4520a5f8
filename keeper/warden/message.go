package warden

import (
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
)

// Message is what the core of the warden is fed with.
type Message interface{ wardenMessage() }

// Assigned brings what the backend server shall hold.
type Assigned struct{ assign notice.Assign }

// NewAssigned returns the message.
func NewAssigned(assign notice.Assign) Assigned { return Assigned{assign: assign} }

// Wanted brings a lobby's request for an adapter. The answer goes to reply.
type Wanted struct {
	fetch notice.Fetch
	reply *ring.Ring
}

// NewWanted returns the message.
func NewWanted(fetch notice.Fetch, reply *ring.Ring) Wanted {
	return Wanted{fetch: fetch, reply: reply}
}

// Reported brings the engine's state, asked for at a time.
type Reported struct {
	asked time.Time
	state charter.State
}

// NewReported returns the message.
func NewReported(asked time.Time, state charter.State) Reported {
	return Reported{asked: asked, state: state}
}

// Silent tells that the engine did not report.
type Silent struct{}

// Answered brings the engine's answer to the order that was given last.
type Answered struct {
	order charter.Order
	taken bool // it is carried out, or holds already
	known bool // the engine did answer
}

// NewAnswered returns the message.
func NewAnswered(order charter.Order, taken, known bool) Answered {
	return Answered{order: order, taken: taken, known: known}
}

func (Assigned) wardenMessage() {}
func (Wanted) wardenMessage()   {}
func (Reported) wardenMessage() {}
func (Silent) wardenMessage()   {}
func (Answered) wardenMessage() {}

// Action is what the core asks its duty to do.
type Action interface{ wardenAction() }

// Look asks for the engine's state.
type Look struct{}

// Give gives the engine an order.
type Give struct{ order charter.Order }

// Order returns the order.
func (g Give) Order() charter.Order { return g.order }

// Reply answers a lobby.
type Reply struct {
	to      *ring.Ring
	fetched notice.Fetched
}

// Send hands the answer over. A caller that no longer waits has no use for it.
func (r Reply) Send() { _ = r.to.Put(r.fetched) }

func (Look) wardenAction()  {}
func (Give) wardenAction()  {}
func (Reply) wardenAction() {}
