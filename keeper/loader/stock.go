package loader

import (
	"slices"

	"sesamewell.example/commons/charter"
)

// stock is responsible for what the engine holds: its last report, and what has
// become of adapters since.
type engineState struct {
	holdings  charter.Holdings
	loading   []string // adapters on their way, as MODEL/NAME
	busy      bool
	orders    int64 // accepted since the engine's start
	startTime int64 // Unix milliseconds of its start
}

func newEngineState(state charter.State) engineState {
	return engineState{
		holdings: state.Holdings(), loading: slices.Clone(state.Coming()),
		busy: state.Busy(), orders: state.Orders(), startTime: state.Born(),
	}
}

// awaits reports whether an adapter is on its way.
func (s *engineState) isLoading(model, adapter string) bool {
	return slices.Contains(s.loading, adapterKey(model, adapter))
}

// places returns the number of adapters' places that are taken.
func (s *engineState) usedPlaces() int {
	n := len(s.loading)
	for _, holding := range s.holdings {
		n += len(holding.Adapters())
	}
	return n
}

// took notes an order for an adapter that the engine has taken.
func (s *engineState) apply(order charter.Order) {
	s.orders++
	if !order.Unload() {
		s.loading = append(s.loading, adapterKey(order.Model(), order.Adapter()))
		return
	}
	for i, holding := range s.holdings {
		if holding.Model() == order.Model() {
			s.holdings[i] = holding.Without(order.Adapter())
		}
	}
}

func adapterKey(model, adapter string) string { return model + "/" + adapter }
