package warden

import (
	"slices"

	"sesamewell.example/commons/charter"
)

// stock is responsible for what the engine holds: its last report, and what has
// become of adapters since.
type stock struct {
	holdings charter.Holdings
	coming   []string // adapters on their way, as MODEL/NAME
	busy     bool
	orders   int64 // accepted since the engine's start
	born     int64 // Unix milliseconds of its start
}

func newStock(state charter.State) stock {
	return stock{
		holdings: state.Holdings(), coming: slices.Clone(state.Coming()),
		busy: state.Busy(), orders: state.Orders(), born: state.Born(),
	}
}

// awaits reports whether an adapter is on its way.
func (s *stock) awaits(model, adapter string) bool {
	return slices.Contains(s.coming, key(model, adapter))
}

// places returns the number of adapters' places that are taken.
func (s *stock) places() int {
	n := len(s.coming)
	for _, holding := range s.holdings {
		n += len(holding.Adapters())
	}
	return n
}

// took notes an order for an adapter that the engine has taken.
func (s *stock) took(order charter.Order) {
	s.orders++
	if !order.Unload() {
		s.coming = append(s.coming, key(order.Model(), order.Adapter()))
		return
	}
	for i, holding := range s.holdings {
		if holding.Model() == order.Model() {
			s.holdings[i] = holding.Without(order.Adapter())
		}
	}
}

func key(model, adapter string) string { return model + "/" + adapter }
