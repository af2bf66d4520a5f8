package loader

import (
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
)

// Message is what the core of the warden is fed with.
type Message interface{ loaderMessage() }

// Assigned brings what the backend server shall hold.
type PlanAssigned struct{ assign notice.Assign }

// NewAssigned returns the message.
func NewPlanAssigned(assign notice.Assign) PlanAssigned { return PlanAssigned{assign: assign} }

// Wanted brings a lobby's request for an adapter. The answer goes to reply.
type AdapterRequested struct {
	fetch notice.Fetch
	reply *ring.Ring
}

// NewWanted returns the message.
func NewAdapterRequested(fetch notice.Fetch, reply *ring.Ring) AdapterRequested {
	return AdapterRequested{fetch: fetch, reply: reply}
}

// Reported brings the engine's state, asked for at a time.
type StateReported struct {
	requestedAt time.Time
	state       charter.State
}

// NewReported returns the message.
func NewStateReported(asked time.Time, state charter.State) StateReported {
	return StateReported{requestedAt: asked, state: state}
}

// Silent tells that the engine did not report.
type StateUnavailable struct{}

// Answered brings the engine's answer to the order that was given last.
type OrderAnswered struct {
	order    charter.Order
	taken    bool // it is carried out, or holds already
	answered bool // the engine did answer
}

// NewAnswered returns the message.
func NewOrderAnswered(order charter.Order, taken, known bool) OrderAnswered {
	return OrderAnswered{order: order, taken: taken, answered: known}
}

func (PlanAssigned) loaderMessage()     {}
func (AdapterRequested) loaderMessage() {}
func (StateReported) loaderMessage()    {}
func (StateUnavailable) loaderMessage() {}
func (OrderAnswered) loaderMessage()    {}

// Action is what the core asks its duty to do.
type Action interface{ loaderAction() }

// Look asks for the engine's state.
type PollState struct{}

// Give gives the engine an order.
type ExecuteOrder struct{ order charter.Order }

// Order returns the order.
func (g ExecuteOrder) Order() charter.Order { return g.order }

// Reply answers a lobby.
type Reply struct {
	to      *ring.Ring
	fetched notice.Fetched
}

// Send hands the answer over. A caller that no longer waits has no use for it.
func (r Reply) Send() { _ = r.to.Put(r.fetched) }

func (PollState) loaderAction()    {}
func (ExecuteOrder) loaderAction() {}
func (Reply) loaderAction()        {}
