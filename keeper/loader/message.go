package loader

import (
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
)

// Message is an input of the core.
type Message interface{ loaderMessage() }

// PlanAssigned carries the models that the plan assigns to the backend server.
type PlanAssigned struct{ assign protocol.Assign }

// NewPlanAssigned returns the message.
func NewPlanAssigned(assign protocol.Assign) PlanAssigned { return PlanAssigned{assign: assign} }

// AdapterRequested carries a lobby's request for an adapter. The answer, a
// protocol.Fetched, is put into reply.
type AdapterRequested struct {
	fetch protocol.Fetch
	reply *ring.Ring
}

// NewAdapterRequested returns the message.
func NewAdapterRequested(fetch protocol.Fetch, reply *ring.Ring) AdapterRequested {
	return AdapterRequested{fetch: fetch, reply: reply}
}

// StateReported carries the engine's state and the time of the request for it.
type StateReported struct {
	requestedAt time.Time
	state       deployment.EngineState
}

// NewStateReported returns the message.
func NewStateReported(requestedAt time.Time, state deployment.EngineState) StateReported {
	return StateReported{requestedAt: requestedAt, state: state}
}

// StateUnavailable reports that a poll of the engine failed.
type StateUnavailable struct{}

// EnginePaused reports that the engine has refused a call and wants no others for a time.
type EnginePaused struct{ wait time.Duration }

// NewEnginePaused returns the message. The result of the call follows.
func NewEnginePaused(wait time.Duration) EnginePaused { return EnginePaused{wait: wait} }

// OrderAnswered carries the result of the last order.
type OrderAnswered struct {
	order  deployment.Order
	result deployment.OrderResult
}

// NewOrderAnswered returns the message.
func NewOrderAnswered(order deployment.Order, result deployment.OrderResult) OrderAnswered {
	return OrderAnswered{order: order, result: result}
}

func (PlanAssigned) loaderMessage()     {}
func (AdapterRequested) loaderMessage() {}
func (StateReported) loaderMessage()    {}
func (StateUnavailable) loaderMessage() {}
func (EnginePaused) loaderMessage()     {}
func (OrderAnswered) loaderMessage()    {}

// Action is an output of the core, to be executed by the Loader.
type Action interface{ loaderAction() }

// PollState requests the engine's state.
type PollState struct{}

// ExecuteOrder sends an order to the engine.
type ExecuteOrder struct{ order deployment.Order }

// Order returns the order.
func (e ExecuteOrder) Order() deployment.Order { return e.order }

// Reply answers a lobby's request for an adapter.
type Reply struct {
	to      *ring.Ring
	fetched protocol.Fetched
}

// Send sends the answer. It ignores errors: a full ring means that the caller has
// stopped waiting.
func (r Reply) Send() { _ = r.to.Put(r.fetched) }

// ReportStart logs a start of the engine that has not been seen before.
type ReportStart struct {
	state      deployment.EngineState
	lateOrders []int64 // numbers that orders without an answer expect
}

// State returns the first state that the engine has reported since its start.
func (r ReportStart) State() deployment.EngineState { return r.state }

// LateOrders returns the numbers of accepted orders at which the engine may execute orders
// that got no answer.
func (r ReportStart) LateOrders() []int64 { return r.lateOrders }

func (PollState) loaderAction()    {}
func (ExecuteOrder) loaderAction() {}
func (Reply) loaderAction()        {}
func (ReportStart) loaderAction()  {}
