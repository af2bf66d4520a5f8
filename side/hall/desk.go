package hall

import (
	"maps"
	"slices"
	"sync"

	"sesamewell.example/commons/notice"
	"sesamewell.example/side/foyer"
)

// Foyer takes what entries send.
type Foyer interface {
	Put(message foyer.Message) error
}

// Meter is responsible for counting the tokens that are asked of each model on
// the way to the foyer.
type Meter struct {
	foyer Foyer

	mu     sync.Mutex
	tokens map[string]int64
}

// NewMeter returns a meter before a foyer.
func NewMeter(foyer Foyer) *Meter { return &Meter{foyer: foyer, tokens: make(map[string]int64)} }

// Put counts a batch and passes every message on.
func (m *Meter) Put(message foyer.Message) error {
	if arrived, ok := message.(foyer.BatchArrived); ok {
		m.count(arrived.Batch().Submits())
	}
	return m.foyer.Put(message)
}

func (m *Meter) count(submits []notice.Submit) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, submit := range submits {
		if submit.Model() != "" {
			m.tokens[submit.Model()] += submit.Tokens()
		}
	}
}

// demand returns the tokens asked of each model so far.
func (m *Meter) demand() []notice.DemandConfig {
	m.mu.Lock()
	defer m.mu.Unlock()
	demand := make([]notice.DemandConfig, 0, len(m.tokens))
	for _, name := range slices.Sorted(maps.Keys(m.tokens)) {
		demand = append(demand, notice.DemandConfig{Name: name, Tokens: m.tokens[name]})
	}
	return demand
}

// Desk is responsible for the methods that the planner calls.
type Desk struct {
	hall  *Hall
	meter *Meter
}

// NewDesk returns a desk before a hall.
func NewDesk(hall *Hall, meter *Meter) *Desk { return &Desk{hall: hall, meter: meter} }

// Stock tells what the backend server holds and what was asked of it.
func (d *Desk) Stock(_ notice.StockAsk, answer *notice.Stock) error {
	stock := d.hall.Stock()
	*answer = notice.NewStock(notice.StockConfig{
		Resident: stock.Resident(),
		Pending:  stock.Pending(),
		Reserved: stock.Reserved(),
		Demand:   d.meter.demand(),
	})
	return nil
}
