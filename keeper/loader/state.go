package loader

import (
	"slices"

	"sesamewell.example/commons/deployment"
)

// engineState is the state of the engine: its last report, updated with the
// adapter orders accepted since.
type engineState struct {
	holdings  deployment.Holdings
	loading   []string // adapters being loaded, as MODEL/NAME
	busy      bool     // a model is being loaded or unloaded
	orders    int64    // number of orders accepted since the engine's start
	startTime int64    // Unix milliseconds
}

func newEngineState(state deployment.EngineState) engineState {
	return engineState{
		holdings: state.Holdings(), loading: slices.Clone(state.LoadingAdapters()),
		busy: state.Busy(), orders: state.Orders(), startTime: state.StartTime(),
	}
}

// isLoading reports whether an adapter is being loaded.
func (s *engineState) isLoading(model, adapter string) bool {
	return slices.Contains(s.loading, adapterKey(model, adapter))
}

// usedAdapterSlots returns the number of adapters that are loaded or being loaded.
func (s *engineState) usedAdapterSlots() int {
	n := len(s.loading)
	for _, holding := range s.holdings {
		n += len(holding.Adapters())
	}
	return n
}

// heldAdapters returns the adapters that are loaded, as MODEL/NAME.
func (s *engineState) heldAdapters() map[string]bool {
	held := make(map[string]bool)
	for _, holding := range s.holdings {
		for _, name := range holding.Adapters() {
			held[adapterKey(holding.Model(), name)] = true
		}
	}
	return held
}

// apply records an order for an adapter that the engine has started. An adapter to unload
// keeps its place until a report lacks it.
func (s *engineState) apply(order deployment.Order) {
	s.orders++
	if !order.Unload() {
		s.loading = append(s.loading, adapterKey(order.Model(), order.Adapter()))
	}
}

// adapterKey returns the key of an adapter, MODEL/NAME.
func adapterKey(model, adapter string) string { return model + "/" + adapter }
