package loader

import (
	"encoding/json"
	"time"

	"sesamewell.example/commons/fleetstate"
)

// Message is an input of the core.
type Message interface{ loaderMessage() }

// RevisionChanged carries a new revision of the fleet state.
type RevisionChanged struct {
	revision *fleetstate.Revision
}

// NewRevisionChanged returns a message with a new revision of the fleet state.
func NewRevisionChanged(revision *fleetstate.Revision) RevisionChanged {
	return RevisionChanged{revision: revision}
}

// InstancesListed carries the names of the instances on the platform's list. An
// empty list means that the live instances are unknown.
type InstancesListed struct {
	instances []string
}

// NewInstancesListed returns a message with the names of all listed instances.
func NewInstancesListed(instances []string) InstancesListed {
	return InstancesListed{instances: instances}
}

// StateReported carries the state that the engine reported.
type StateReported struct {
	requestedAt time.Time // time of the request; the state is not older
	state       EngineState
}

// NewStateReported returns a message with the state that the engine reported to a
// request made at requestedAt.
func NewStateReported(requestedAt time.Time, state EngineState) StateReported {
	return StateReported{requestedAt: requestedAt, state: state}
}

// OrderWithheld carries an order that was not sent, because it had expired or the
// fleet state that it is based on was not proven fresh.
type OrderWithheld struct {
	order Order
}

// NewOrderWithheld returns a message with an order that was not sent.
func NewOrderWithheld(order Order) OrderWithheld { return OrderWithheld{order: order} }

func (OrderWithheld) loaderMessage()   {}
func (RevisionChanged) loaderMessage() {}
func (InstancesListed) loaderMessage() {}
func (StateReported) loaderMessage()   {}

// Phase is the loading phase of a model or an adapter.
type Phase string

// Phases of a model or an adapter in an engine. It uses memory in each of them.
const (
	Loading   Phase = "loading"
	Resident  Phase = "resident"
	Unloading Phase = "unloading"
)

// HoldingConfig holds the construction parameters of a Holding and is its JSON
// encoding.
type HoldingConfig struct {
	Name  string `json:"name"`
	Base  string `json:"model,omitempty"` // model of an adapter
	Bytes int64  `json:"bytes"`
	Phase Phase  `json:"phase"`
}

// Holding is a model or adapter in an engine's memory.
type Holding struct {
	config HoldingConfig
}

// NewHolding returns a Holding with the given parameters.
func NewHolding(config HoldingConfig) Holding { return Holding{config: config} }

// Name returns the name of the model or adapter.
func (h Holding) Name() string { return h.config.Name }

// Base returns the model of an adapter, or "".
func (h Holding) Base() string { return h.config.Base }

// Bytes returns the accelerator memory that the item uses, in bytes.
func (h Holding) Bytes() int64 { return h.config.Bytes }

// Phase returns the item's loading phase.
func (h Holding) Phase() Phase { return h.config.Phase }

// EngineStateConfig holds the construction parameters of an EngineState and is its
// JSON encoding.
type EngineStateConfig struct {
	Fence    int64           `json:"fence"` // highest fencing number that the engine has accepted
	Holdings []HoldingConfig `json:"holdings"`
}

// EngineState is the state that an engine reports.
type EngineState struct {
	config EngineStateConfig
}

// NewEngineState returns an EngineState with the given parameters.
func NewEngineState(config EngineStateConfig) EngineState { return EngineState{config: config} }

// Fence returns the highest fencing number that the engine has accepted.
func (s EngineState) Fence() int64 { return s.config.Fence }

// Holdings returns the models and adapters in the engine's memory.
func (s EngineState) Holdings() []Holding {
	holdings := make([]Holding, 0, len(s.config.Holdings))
	for _, config := range s.config.Holdings {
		holdings = append(holdings, NewHolding(config))
	}
	return holdings
}

// Verb is the operation that an order requests.
type Verb string

// Verbs of orders.
const (
	Load        Verb = "load"
	Unload      Verb = "unload"
	ConfirmRole Verb = "role" // confirms the engine's role and thereby raises its fencing number
)

// OrderConfig holds the construction parameters of an Order and is its JSON
// encoding.
type OrderConfig struct {
	Verb  Verb   `json:"verb"`
	Name  string `json:"name,omitempty"`  // name of the model or adapter
	Base  string `json:"model,omitempty"` // model of an adapter
	Bytes int64  `json:"bytes,omitempty"`
	Role  string `json:"role,omitempty"`
	Fence int64  `json:"fence"`

	StateOffset int64     `json:"-"` // offset of the fleet state that the order is based on
	Expiry      time.Time `json:"-"` // time after which the order must not be sent
}

// Order is an instruction to the engine.
type Order struct {
	config OrderConfig
}

// Verb returns the requested operation.
func (o Order) Verb() Verb { return o.config.Verb }

// Name returns the name of the model or adapter to load or unload.
func (o Order) Name() string { return o.config.Name }

// Base returns the model of an adapter, or "".
func (o Order) Base() string { return o.config.Base }

// Role returns the role that a ConfirmRole order confirms.
func (o Order) Role() string { return o.config.Role }

// Encode returns the JSON encoding of the order.
func (o Order) Encode() ([]byte, error) { return json.Marshal(o.config) }

// Bytes returns the accelerator memory that a load will use, in bytes.
func (o Order) Bytes() int64 { return o.config.Bytes }

// Fence returns the order's fencing number.
func (o Order) Fence() int64 { return o.config.Fence }

// StateOffset returns the offset of the fleet state that the order is based on.
func (o Order) StateOffset() int64 { return o.config.StateOffset }

// Expiry returns the time after which the order must not be sent.
func (o Order) Expiry() time.Time { return o.config.Expiry }

// Action is an output of the core that the Loader executes.
type Action interface{ loaderAction() }

// PollState requests the engine's state.
type PollState struct{}

// TakeClaim requests a claim on the backend server.
type TakeClaim struct {
	epoch int64 // epoch of the claim to supersede
}

// Epoch returns the epoch of the claim to supersede, or zero if there is none.
func (t TakeClaim) Epoch() int64 { return t.epoch }

func (PollState) loaderAction() {}
func (TakeClaim) loaderAction() {}
func (Order) loaderAction()     {}
