package deployment

import (
	"slices"
	"time"
)

// HoldingConfig holds the construction parameters of a Holding.
type HoldingConfig struct {
	Model    string
	Version  int64
	Adapters []string // names of the model's loaded adapters
}

// Holding is a model that a backend server has loaded.
type Holding struct{ config HoldingConfig }

// NewHolding returns a Holding with the given parameters.
func NewHolding(config HoldingConfig) Holding { return Holding{config: config} }

// Model returns the model's name.
func (h Holding) Model() string { return h.config.Model }

// Adapters returns the names of the model's loaded adapters.
func (h Holding) Adapters() []string { return h.config.Adapters }

// Holdings are the models that a backend server has loaded.
type Holdings []Holding

func newHoldings(configs []HoldingConfig) Holdings {
	holdings := make(Holdings, 0, len(configs))
	for _, config := range configs {
		holdings = append(holdings, NewHolding(config))
	}
	return holdings
}

// Contains reports whether the holdings contain the model and, unless adapter is
// empty, that adapter of the model.
func (h Holdings) Contains(model, adapter string) bool {
	return slices.ContainsFunc(h, func(holding Holding) bool {
		return holding.Model() == model && (adapter == "" || slices.Contains(holding.Adapters(), adapter))
	})
}

// BackendConfig holds the construction parameters of a Backend.
type BackendConfig struct {
	ID          string // differs for each start of the backend server
	Service     string // name of its service
	Address     string // IP:port
	Domain      string // failure domain
	Slots       int    // number of requests that run concurrently
	Leaving     bool   // the backend server gets no new requests
	Holdings    []HoldingConfig
	LocalCopies []string // models that load without the weight store
	StartTime   int64    // Unix milliseconds
	// ColdFor is the time for which the backend server stays cold, counted from the
	// receipt of its report, and Revision identifies that report: a list repeats the
	// reports that have not changed.
	ColdFor  time.Duration
	Revision int64
	Version  string // of its software
}

// Backend is the newest state that a backend server has reported. It is immutable.
type Backend struct {
	config   BackendConfig
	holdings Holdings
}

// NewBackend returns a Backend with the given parameters.
func NewBackend(config BackendConfig) Backend {
	return Backend{config: config, holdings: newHoldings(config.Holdings)}
}

// Config returns the parameters that the Backend was made from.
func (b Backend) Config() BackendConfig { return b.config }

// ID returns the identifier of the backend server, which differs for each start.
func (b Backend) ID() string { return b.config.ID }

// Service returns the name of the service that the backend server belongs to.
func (b Backend) Service() string { return b.config.Service }

// Address returns the backend server's IP:port.
func (b Backend) Address() string { return b.config.Address }

// Domain returns the backend server's failure domain.
func (b Backend) Domain() string { return b.config.Domain }

// Slots returns the number of requests that the backend server runs concurrently.
func (b Backend) Slots() int { return b.config.Slots }

// Leaving reports whether the backend server gets no new requests.
func (b Backend) Leaving() bool { return b.config.Leaving }

// AsLeaving returns a copy that is leaving.
func (b Backend) AsLeaving() Backend {
	b.config.Leaving = true
	return b
}

// Version returns the version of the backend server's software.
func (b Backend) Version() string { return b.config.Version }

// StartTime returns the time of the backend server's start in Unix milliseconds.
func (b Backend) StartTime() int64 { return b.config.StartTime }

// ColdFor returns the time for which the backend server stays cold, counted from the
// receipt of its report.
func (b Backend) ColdFor() time.Duration { return b.config.ColdFor }

// Revision identifies the report that the state comes from.
func (b Backend) Revision() int64 { return b.config.Revision }

// HasLocalCopy reports whether the backend server loads the model without the
// weight store.
func (b Backend) HasLocalCopy(model string) bool { return slices.Contains(b.config.LocalCopies, model) }

// Holds reports whether the backend server has loaded the model and, unless
// adapter is empty, that adapter of the model.
func (b Backend) Holds(model, adapter string) bool { return b.holdings.Contains(model, adapter) }

// Models returns the names of the loaded models.
func (b Backend) Models() []string {
	names := make([]string, 0, len(b.holdings))
	for _, holding := range b.holdings {
		names = append(names, holding.Model())
	}
	return names
}
