package loader

import (
	"maps"
	"slices"
	"sync"

	"sesamewell.example/commons/notice"
	"sesamewell.example/side/dispatcher"
)

// Foyer takes what entries send.
type Dispatcher interface {
	Put(message dispatcher.Message) error
}

// Meter is responsible for counting the tokens that are asked of each model on
// the way to the foyer.
type DemandMeter struct {
	next Dispatcher

	mu     sync.Mutex
	tokens map[string]int64
}

// NewMeter returns a meter before a foyer.
func NewDemandMeter(foyer Dispatcher) *DemandMeter {
	return &DemandMeter{next: foyer, tokens: make(map[string]int64)}
}

// Put counts a batch and passes every message on.
func (m *DemandMeter) Put(message dispatcher.Message) error {
	if arrived, ok := message.(dispatcher.BatchReceived); ok {
		m.count(arrived.Batch().Submits())
	}
	return m.next.Put(message)
}

func (m *DemandMeter) count(submits []notice.Submit) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, submit := range submits {
		if submit.Model() != "" {
			m.tokens[submit.Model()] += submit.Tokens()
		}
	}
}

// demand returns the tokens asked of each model so far.
func (m *DemandMeter) demand() []notice.DemandConfig {
	m.mu.Lock()
	defer m.mu.Unlock()
	demand := make([]notice.DemandConfig, 0, len(m.tokens))
	for _, name := range slices.Sorted(maps.Keys(m.tokens)) {
		demand = append(demand, notice.DemandConfig{Name: name, Tokens: m.tokens[name]})
	}
	return demand
}

// Desk is responsible for the methods that the planner calls.
type RPCServer struct {
	loader *Loader
	meter  *DemandMeter
}

// NewDesk returns a desk before a hall.
func NewRPCServer(hall *Loader, meter *DemandMeter) *RPCServer {
	return &RPCServer{loader: hall, meter: meter}
}

// Stock tells what the backend server holds and what was asked of it.
func (d *RPCServer) Stock(_ notice.StockAsk, answer *notice.Stock) error {
	stock := d.loader.Summary()
	*answer = notice.NewStock(notice.StockConfig{
		Resident: stock.Resident(),
		Pending:  stock.Pending(),
		Reserved: stock.Reserved(),
		Demand:   d.meter.demand(),
	})
	return nil
}
