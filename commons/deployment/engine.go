package deployment

// EngineStateConfig holds the construction parameters of an EngineState.
type EngineStateConfig struct {
	Holdings        []HoldingConfig
	LoadingAdapters []string // adapters that are being loaded, as MODEL/NAME
	Busy            bool     // a model is being loaded or unloaded
	Orders          int64    // number of orders accepted since the engine's start
	StartTime       int64    // Unix milliseconds
}

// EngineState is the state that a model engine reports.
type EngineState struct{ config EngineStateConfig }

// NewEngineState returns an EngineState with the given parameters.
func NewEngineState(config EngineStateConfig) EngineState { return EngineState{config: config} }

// Holdings returns the loaded models.
func (s EngineState) Holdings() Holdings { return newHoldings(s.config.Holdings) }

// LoadingAdapters returns the adapters that are being loaded, as MODEL/NAME.
func (s EngineState) LoadingAdapters() []string { return s.config.LoadingAdapters }

// Busy reports whether a model is being loaded or unloaded.
func (s EngineState) Busy() bool { return s.config.Busy }

// Orders returns the number of orders accepted since the engine's start.
func (s EngineState) Orders() int64 { return s.config.Orders }

// StartTime returns the time of the engine's start in Unix milliseconds.
func (s EngineState) StartTime() int64 { return s.config.StartTime }

// OrderConfig holds the construction parameters of an Order.
type OrderConfig struct {
	Backend        string // ID of the backend server that the order is for
	Unload         bool
	Model          string
	Adapter        string // empty for the model itself
	ExpectedOrders int64  // number of orders accepted so far; the engine refuses the order if its own number differs
}

// Order is an instruction to an engine to load or unload a model or an adapter.
type Order struct{ config OrderConfig }

// NewOrder returns an Order with the given parameters.
func NewOrder(config OrderConfig) Order { return Order{config: config} }

// OrderResult is what is known of an order after it was sent.
type OrderResult uint8

// Results of orders.
const (
	OrderUnanswered OrderResult = iota // the engine may execute the order, even seconds later
	OrderRefused                       // the engine is busy, has restarted, or has accepted other orders before
	OrderStarted                       // the engine executes the order; its effect may come much later
	OrderUnneeded                      // the engine has the state that the order asks for, or is on the way to it
)

// String returns the result's name, for log lines and metrics.
func (r OrderResult) String() string {
	return [...]string{"unanswered", "refused", "started", "unneeded"}[r]
}

// Backend returns the ID of the backend server that the order is for.
func (o Order) Backend() string { return o.config.Backend }

// Unload reports whether the model or adapter is to be unloaded rather than loaded.
func (o Order) Unload() bool { return o.config.Unload }

// Model returns the model's name.
func (o Order) Model() string { return o.config.Model }

// Adapter returns the adapter's name, or "" if the order is for the model itself.
func (o Order) Adapter() string { return o.config.Adapter }

// ExpectedOrders returns the number of orders that the engine must have accepted
// before this one; the engine refuses the order if the number differs.
func (o Order) ExpectedOrders() int64 { return o.config.ExpectedOrders }
