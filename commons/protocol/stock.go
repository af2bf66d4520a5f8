package protocol

// Names in net/rpc of the services and methods that the placement planner calls.
const (
	LoaderService    = "Hall"
	StockMethod      = LoaderService + ".Stock"
	PlacementService = "Pitch"
	PulseMethod      = PlacementService + ".Pulse"
)

// StockAsk queries a side for the contents of its backend server.
type StockAsk struct{}

// MarshalBinary encodes the message.
func (StockAsk) MarshalBinary() ([]byte, error) { return []byte{0}, nil }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (*StockAsk) UnmarshalBinary([]byte) error { return nil }

// DemandConfig describes the demand for one model or adapter.
type DemandConfig struct {
	Name   string
	Tokens int64 // prompt and maximum output tokens requested since the side started
}

// StockConfig holds the construction parameters of a Stock.
type StockConfig struct {
	Resident []string // models and adapters that can serve requests
	Pending  []string // other models and adapters that take up memory
	Reserved int64    // bytes of memory accounted for
	Demand   []DemandConfig
}

// Stock describes the models that a backend server holds and the demand for each.
type Stock struct {
	config StockConfig
}

// NewStock returns a Stock message.
func NewStock(config StockConfig) Stock { return Stock{config: config} }

// Resident returns the models and adapters that can serve requests.
func (s Stock) Resident() []string { return s.config.Resident }

// Pending returns the other models and adapters that take up memory, such as those
// being loaded.
func (s Stock) Pending() []string { return s.config.Pending }

// Reserved returns the number of bytes of memory accounted for.
func (s Stock) Reserved() int64 { return s.config.Reserved }

// Demand returns the tokens requested of each model since the side started.
func (s Stock) Demand() []DemandConfig { return s.config.Demand }

// MarshalBinary encodes the message.
func (s Stock) MarshalBinary() ([]byte, error) { return encode("stock", &s.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (s *Stock) UnmarshalBinary(data []byte) error { return decode("stock", data, &s.config) }

// PulseConfig holds the construction parameters of a Pulse.
type PulseConfig struct {
	Planner string // incarnation of the planner in the answering process
}

// Pulse is a heartbeat: it shows that the planner of an entry is running.
type Pulse struct {
	config PulseConfig
}

// NewPulse returns a Pulse message.
func NewPulse(config PulseConfig) Pulse { return Pulse{config: config} }

// Planner returns the incarnation of the planner in the answering process.
func (p Pulse) Planner() string { return p.config.Planner }

// MarshalBinary encodes the message.
func (p Pulse) MarshalBinary() ([]byte, error) { return encode("pulse", &p.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (p *Pulse) UnmarshalBinary(data []byte) error { return decode("pulse", data, &p.config) }
