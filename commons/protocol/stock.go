package protocol

// Names of the planner's calls in net/rpc.
const (
	LoaderService    = "Hall"
	StockMethod      = LoaderService + ".Stock"
	PlacementService = "Pitch"
	PulseMethod      = PlacementService + ".Pulse"
)

// StockAsk asks a side what its backend server holds.
type StockAsk struct{}

// MarshalBinary encodes the message.
func (StockAsk) MarshalBinary() ([]byte, error) { return []byte{0}, nil }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (*StockAsk) UnmarshalBinary([]byte) error { return nil }

// DemandConfig is the demand for one model or adapter.
type DemandConfig struct {
	Name   string
	Tokens int64 // prompt and maximum output of what was asked since the start of the side
}

// StockConfig holds the construction parameters of a Stock.
type StockConfig struct {
	Resident []string
	Pending  []string
	Reserved int64 // bytes
	Demand   []DemandConfig
}

// Stock tells what a backend server holds and what was asked of it.
type Stock struct {
	config StockConfig
}

// NewStock returns the message.
func NewStock(config StockConfig) Stock { return Stock{config: config} }

// Resident returns the models and adapters that requests can be run for.
func (s Stock) Resident() []string { return s.config.Resident }

// Pending returns what else takes memory.
func (s Stock) Pending() []string { return s.config.Pending }

// Reserved returns the bytes of memory that are counted.
func (s Stock) Reserved() int64 { return s.config.Reserved }

// Demand returns the tokens asked of each model since the start of the side.
func (s Stock) Demand() []DemandConfig { return s.config.Demand }

// MarshalBinary encodes the message.
func (s Stock) MarshalBinary() ([]byte, error) { return encode("stock", &s.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (s *Stock) UnmarshalBinary(data []byte) error { return decode("stock", data, &s.config) }

// PulseConfig holds the construction parameters of a Pulse.
type PulseConfig struct {
	Planner string // incarnation of the planner's duty in the answering process
}

// Pulse tells that an entry's planner duty is at work.
type Pulse struct {
	config PulseConfig
}

// NewPulse returns the message.
func NewPulse(config PulseConfig) Pulse { return Pulse{config: config} }

// Planner returns the incarnation of the planner's duty.
func (p Pulse) Planner() string { return p.config.Planner }

// MarshalBinary encodes the message.
func (p Pulse) MarshalBinary() ([]byte, error) { return encode("pulse", &p.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (p *Pulse) UnmarshalBinary(data []byte) error { return decode("pulse", data, &p.config) }
