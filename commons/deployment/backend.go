package deployment

import "slices"

// HoldingConfig holds the construction parameters of a Holding.
type HoldingConfig struct {
	Model    string
	Version  int64
	Adapters []string
}

// Holding is one model that a backend server has loaded.
type Holding struct{ config HoldingConfig }

// NewHolding returns a holding.
func NewHolding(config HoldingConfig) Holding { return Holding{config: config} }

// Model returns the model's name.
func (h Holding) Model() string { return h.config.Model }

// Adapters returns the adapters that are loaded beside it.
func (h Holding) Adapters() []string { return h.config.Adapters }

// Without returns the holding without one of its adapters.
func (h Holding) WithoutAdapter(adapter string) Holding {
	h.config.Adapters = slices.DeleteFunc(slices.Clone(h.config.Adapters), func(a string) bool { return a == adapter })
	return h
}

// Holdings are the models that a backend server has loaded.
type Holdings []Holding

func newHoldings(configs []HoldingConfig) Holdings {
	holdings := make(Holdings, 0, len(configs))
	for _, config := range configs {
		holdings = append(holdings, NewHolding(config))
	}
	return holdings
}

// Have reports whether a model and, unless it is empty, an adapter of that model
// is among them.
func (h Holdings) Contains(model, adapter string) bool {
	return slices.ContainsFunc(h, func(holding Holding) bool {
		return holding.Model() == model && (adapter == "" || slices.Contains(holding.Adapters(), adapter))
	})
}

// BackendConfig holds the construction parameters of a Backend.
type BackendConfig struct {
	ID          string // of this start of the backend server
	Service     string
	Address     string // IP:port
	Domain      string
	Slots       int
	Leaving     bool
	Holdings    []HoldingConfig
	LocalCopies []string // models that load without the weight store
	StartTime   int64    // Unix milliseconds of its start
}

// Backend is responsible for what a backend server last said of itself.
type Backend struct {
	config   BackendConfig
	holdings Holdings
}

// NewBackend returns a backend server.
func NewBackend(config BackendConfig) Backend {
	return Backend{config: config, holdings: newHoldings(config.Holdings)}
}

// Config returns what the backend server was made from.
func (b Backend) Config() BackendConfig { return b.config }

// ID returns the name of this start of the backend server.
func (b Backend) ID() string { return b.config.ID }

// Service returns the service that it belongs to.
func (b Backend) Service() string { return b.config.Service }

// Address returns its IP and port.
func (b Backend) Address() string { return b.config.Address }

// Domain returns its failure domain.
func (b Backend) Domain() string { return b.config.Domain }

// Slots returns the number of requests that it runs at once.
func (b Backend) Slots() int { return b.config.Slots }

// Leaving reports whether it gets no new requests.
func (b Backend) Leaving() bool { return b.config.Leaving }

// Born returns the Unix millisecond of its start.
func (b Backend) StartTime() int64 { return b.config.StartTime }

// OnHand reports whether a model loads there without the weight store.
func (b Backend) HasLocalCopy(model string) bool { return slices.Contains(b.config.LocalCopies, model) }

// Holds reports whether it has loaded a model and, unless it is empty, an
// adapter of that model.
func (b Backend) Holds(model, adapter string) bool { return b.holdings.Contains(model, adapter) }

// Models returns the names of the models that it has loaded.
func (b Backend) Models() []string {
	names := make([]string, 0, len(b.holdings))
	for _, holding := range b.holdings {
		names = append(names, holding.Model())
	}
	return names
}
