package loader

import (
	"time"

	"sesamewell.example/commons/deployment"
)

// unloads holds the adapters that the engine was ordered to unload and has not dropped, by
// MODEL/NAME. It drops an adapter that runs use only when they have ended: until then the
// adapter takes its place, and the engine refuses further requests for it.
type unloads map[string]unload

// unload is the order to unload an adapter.
type unload struct {
	since    time.Time
	expected int64 // number of orders that the engine had accepted before
	certain  bool  // the engine has said that it carries out the order
}

// contains reports whether an adapter is being unloaded.
func (u unloads) contains(model, adapter string) bool {
	_, ok := u[adapterKey(model, adapter)]
	return ok
}

// recent returns the number of adapters that may be dropped at any moment: those that were
// to be unloaded a short while ago. The others wait for their runs.
func (u unloads) recent(now time.Time) int {
	n := 0
	for _, unload := range u {
		if now.Sub(unload.since) < unloadPatience {
			n++
		}
	}
	return n
}

// sent records an order that is sent to the engine.
func (u unloads) sent(now time.Time, order deployment.Order) {
	if order.Unload() && order.Adapter() != "" {
		u[adapterKey(order.Model(), order.Adapter())] = unload{since: now, expected: order.ExpectedOrders()}
	}
}

// answered records the result of an order.
func (u unloads) answered(order deployment.Order, result deployment.OrderResult) {
	key := adapterKey(order.Model(), order.Adapter())
	pending, ok := u[key]
	switch {
	case !ok || !order.Unload():
	case result == deployment.OrderRefused:
		delete(u, key)
	default:
		pending.certain = result != deployment.OrderUnanswered
		u[key] = pending
	}
}

// update removes the adapters that the engine has dropped, or was not ordered to unload as
// far as it tells. orderPending must be true if the last order has no answer yet.
func (u unloads) update(state engineState, orderPending bool) {
	held := state.heldAdapters()
	for key, unload := range u {
		lost := !unload.certain && !orderPending && state.orders <= unload.expected
		if !held[key] || lost {
			delete(u, key)
		}
	}
}
