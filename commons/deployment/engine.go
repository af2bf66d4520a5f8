package deployment

// StateConfig holds the construction parameters of a State.
type EngineStateConfig struct {
	Holdings        []HoldingConfig
	LoadingAdapters []string // adapters on their way, as MODEL/NAME
	Busy            bool     // a model is being loaded or unloaded
	Orders          int64    // accepted since the engine's start
	StartTime       int64    // Unix milliseconds of its start
}

// State is what a model engine reports of itself.
type EngineState struct{ config EngineStateConfig }

// NewState returns a state.
func NewEngineState(config EngineStateConfig) EngineState { return EngineState{config: config} }

// Holdings returns the models that are loaded.
func (s EngineState) Holdings() Holdings { return newHoldings(s.config.Holdings) }

// Coming returns the adapters on their way, as MODEL/NAME.
func (s EngineState) LoadingAdapters() []string { return s.config.LoadingAdapters }

// Busy reports whether a model is being loaded or unloaded.
func (s EngineState) Busy() bool { return s.config.Busy }

// Orders returns the number of orders accepted since the engine's start.
func (s EngineState) Orders() int64 { return s.config.Orders }

// Born returns the Unix millisecond of the engine's start.
func (s EngineState) StartTime() int64 { return s.config.StartTime }

// OrderConfig holds the construction parameters of an Order.
type OrderConfig struct {
	Backend        string // id of the backend server that is meant
	Unload         bool
	Model          string
	Adapter        string // empty for the model itself
	ExpectedOrders int64  // orders that the engine has accepted before; otherwise it refuses
}

// Order asks an engine to load or unload a model or an adapter.
type Order struct{ config OrderConfig }

// NewOrder returns an order.
func NewOrder(config OrderConfig) Order { return Order{config: config} }

// Backend returns the id of the backend server that is meant.
func (o Order) Backend() string { return o.config.Backend }

// Unload reports whether what the order names leaves the memory.
func (o Order) Unload() bool { return o.config.Unload }

// Model returns the model's name.
func (o Order) Model() string { return o.config.Model }

// Adapter returns the adapter's name, empty for the model itself.
func (o Order) Adapter() string { return o.config.Adapter }

// Expect returns the number of orders that the engine has accepted before.
func (o Order) ExpectedOrders() int64 { return o.config.ExpectedOrders }
