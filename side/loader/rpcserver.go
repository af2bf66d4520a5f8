package loader

import (
	"maps"
	"slices"
	"sync"

	"sesamewell.example/commons/protocol"
	"sesamewell.example/side/dispatcher"
)

// Dispatcher receives the messages of entries.
type Dispatcher interface {
	// Put queues a message without blocking.
	Put(message dispatcher.Message) error
}

// DemandMeter counts the tokens requested of each model and passes all messages
// on to the dispatcher. It is safe for concurrent use.
type DemandMeter struct {
	next Dispatcher

	mu     sync.Mutex
	tokens map[string]int64 // requested tokens by model
}

// NewDemandMeter returns a meter that passes messages on to a dispatcher.
func NewDemandMeter(next Dispatcher) *DemandMeter {
	return &DemandMeter{next: next, tokens: make(map[string]int64)}
}

// Put counts the tokens of a batch of attempts and passes any message on.
func (m *DemandMeter) Put(message dispatcher.Message) error {
	if received, ok := message.(dispatcher.BatchReceived); ok {
		m.count(received.Batch().Submits())
	}
	return m.next.Put(message)
}

func (m *DemandMeter) count(submits []protocol.Submit) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, submit := range submits {
		if submit.Model() != "" {
			m.tokens[submit.Model()] += submit.Tokens()
		}
	}
}

// demand returns the tokens requested of each model so far, sorted by model.
func (m *DemandMeter) demand() []protocol.DemandConfig {
	m.mu.Lock()
	defer m.mu.Unlock()
	demand := make([]protocol.DemandConfig, 0, len(m.tokens))
	for _, name := range slices.Sorted(maps.Keys(m.tokens)) {
		demand = append(demand, protocol.DemandConfig{Name: name, Tokens: m.tokens[name]})
	}
	return demand
}

// RPCServer provides the net/rpc methods that the planner calls.
type RPCServer struct {
	loader *Loader
	meter  *DemandMeter
}

// NewRPCServer returns a server that reports the state of a loader and the demand
// that a meter has counted.
func NewRPCServer(loader *Loader, meter *DemandMeter) *RPCServer {
	return &RPCServer{loader: loader, meter: meter}
}

// Stock is the net/rpc method that returns what the backend server has loaded and
// the demand for its models.
func (s *RPCServer) Stock(_ protocol.StockAsk, reply *protocol.Stock) error {
	summary := s.loader.Summary()
	*reply = protocol.NewStock(protocol.StockConfig{
		Resident: summary.Resident(),
		Pending:  summary.Pending(),
		Reserved: summary.Reserved(),
		Demand:   s.meter.demand(),
	})
	return nil
}
