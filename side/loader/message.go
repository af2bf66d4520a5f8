package loader

import (
	"encoding/json"
	"time"

	"sesamewell.example/commons/fleetstate"
)

// Message is what the core of the hall is fed with.
type Message interface{ loaderMessage() }

// Revised brings the state of the register.
type RevisionChanged struct {
	revision *fleetstate.Revision
}

// NewRevised returns the message.
func NewRevisionChanged(revision *fleetstate.Revision) RevisionChanged {
	return RevisionChanged{revision: revision}
}

// Listed brings the names of the instances on the platform's list. An empty
// list says nothing.
type InstancesListed struct {
	instances []string
}

// NewListed returns the message.
func NewInstancesListed(instances []string) InstancesListed {
	return InstancesListed{instances: instances}
}

// Reported brings the engine's own state.
type StateReported struct {
	requestedAt time.Time // before which the state was not taken
	state       EngineState
}

// NewReported returns the message.
func NewStateReported(asked time.Time, state EngineState) StateReported {
	return StateReported{requestedAt: asked, state: state}
}

// Withheld brings back an order that was not sent, because the state of the
// register that it was decided from was not proven to stand, or no longer.
type OrderWithheld struct {
	order Order
}

// NewWithheld returns the message.
func NewOrderWithheld(order Order) OrderWithheld { return OrderWithheld{order: order} }

func (OrderWithheld) loaderMessage()   {}
func (RevisionChanged) loaderMessage() {}
func (InstancesListed) loaderMessage() {}
func (StateReported) loaderMessage()   {}

// Phase is what an engine does with a model or an adapter.
type Phase string

// Phases of what an engine holds. Each of them takes memory.
const (
	Loading   Phase = "loading"
	Resident  Phase = "resident"
	Unloading Phase = "unloading"
)

// HoldingConfig holds the construction parameters of a Holding and is its JSON
// form.
type HoldingConfig struct {
	Name  string `json:"name"`
	Base  string `json:"model,omitempty"` // of an adapter
	Bytes int64  `json:"bytes"`
	Phase Phase  `json:"phase"`
}

// Holding is one model or adapter in an engine's memory.
type Holding struct {
	config HoldingConfig
}

// NewHolding returns a holding.
func NewHolding(config HoldingConfig) Holding { return Holding{config: config} }

// Name returns the name of the model or adapter.
func (h Holding) Name() string { return h.config.Name }

// Base returns the model of an adapter, or "".
func (h Holding) Base() string { return h.config.Base }

// Bytes returns the accelerator memory that it takes.
func (h Holding) Bytes() int64 { return h.config.Bytes }

// Phase returns what the engine does with it.
func (h Holding) Phase() Phase { return h.config.Phase }

// StateConfig holds the construction parameters of a State and is its JSON
// form.
type EngineStateConfig struct {
	Fence    int64           `json:"fence"` // highest fencing number that the engine has taken
	Holdings []HoldingConfig `json:"holdings"`
}

// State is what an engine reports about itself.
type EngineState struct {
	config EngineStateConfig
}

// NewState returns a state.
func NewEngineState(config EngineStateConfig) EngineState { return EngineState{config: config} }

// Fence returns the highest fencing number that the engine has taken.
func (s EngineState) Fence() int64 { return s.config.Fence }

// Holdings returns what takes memory.
func (s EngineState) Holdings() []Holding {
	holdings := make([]Holding, 0, len(s.config.Holdings))
	for _, config := range s.config.Holdings {
		holdings = append(holdings, NewHolding(config))
	}
	return holdings
}

// Verb is what an order asks an engine to do.
type Verb string

// Verbs of orders.
const (
	Load        Verb = "load"
	Unload      Verb = "unload"
	ConfirmRole Verb = "role" // confirms the engine's role, and so brings it a fencing number
)

// OrderConfig holds the construction parameters of an Order and is its JSON
// form.
type OrderConfig struct {
	Verb  Verb   `json:"verb"`
	Name  string `json:"name,omitempty"`  // of the model or adapter
	Base  string `json:"model,omitempty"` // of an adapter
	Bytes int64  `json:"bytes,omitempty"`
	Role  string `json:"role,omitempty"`
	Fence int64  `json:"fence"`

	StateOffset int64     `json:"-"` // of the register that the order was decided from
	Expiry      time.Time `json:"-"` // after which the order must not be sent
}

// Order is one order to the engine.
type Order struct {
	config OrderConfig
}

// Verb returns what the engine shall do.
func (o Order) Verb() Verb { return o.config.Verb }

// Name returns the model or adapter that the order is about.
func (o Order) Name() string { return o.config.Name }

// Base returns the model of an adapter, or "".
func (o Order) Base() string { return o.config.Base }

// Role returns the role that a Serve order confirms.
func (o Order) Role() string { return o.config.Role }

// Encode returns the order's JSON form.
func (o Order) Encode() ([]byte, error) { return json.Marshal(o.config) }

// Bytes returns the accelerator memory that a load will take.
func (o Order) Bytes() int64 { return o.config.Bytes }

// Fence returns the order's fencing number.
func (o Order) Fence() int64 { return o.config.Fence }

// State returns the state of the register that the order was decided from, by
// its offset.
func (o Order) StateOffset() int64 { return o.config.StateOffset }

// Expiry returns the time after which the order must not be sent.
func (o Order) Expiry() time.Time { return o.config.Expiry }

// Action is what the core asks its duty to do.
type Action interface{ loaderAction() }

// Look asks for the engine's state.
type PollState struct{}

// TakeClaim asks for a claim on the backend server.
type TakeClaim struct {
	epoch int64 // of the claim that it supersedes
}

// Epoch returns the epoch of the claim that is superseded, zero if none.
func (t TakeClaim) Epoch() int64 { return t.epoch }

func (PollState) loaderAction() {}
func (TakeClaim) loaderAction() {}
func (Order) loaderAction()     {}
