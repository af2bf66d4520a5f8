package loader

import (
	"maps"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
)

// waiter is a request of a lobby that waits for an adapter.
type waiter struct {
	fetch    protocol.Fetch
	reply    *ring.Ring
	deadline time.Time
}

// answerWaiters answers the requests whose adapter is loaded or cannot be loaded in
// time. The answer renews the lease of a loaded adapter.
func (c *Core) answerWaiters(now time.Time) {
	remaining := c.waiters[:0]
	for _, w := range c.waiters {
		switch {
		case c.usable(w.fetch) && !c.provisional(now, w.fetch):
			c.leases[adapterKey(w.fetch.Model(), w.fetch.Adapter())] = now.Add(c.config.AdapterLease)
			c.reply(w, c.config.AdapterLease)
		case !now.Before(w.deadline), now.Before(c.pausedUntil), c.stateKnown && c.unattainable(w.fetch):
			c.reply(w, 0)
		default:
			remaining = append(remaining, w)
		}
	}
	c.waiters = remaining
}

// usable reports whether the engine runs requests for an adapter: it is loaded and not to
// be unloaded.
func (c *Core) usable(fetch protocol.Fetch) bool {
	return c.engine.holdings.Contains(fetch.Model(), fetch.Adapter()) && !c.unloads.contains(fetch.Model(), fetch.Adapter())
}

// unattainable reports whether an adapter cannot be loaded in time: its model is
// not loaded, or the engine accepts no order until it has loaded or unloaded
// another model.
func (c *Core) unattainable(fetch protocol.Fetch) bool {
	return !c.engine.holdings.Contains(fetch.Model(), "") || c.engine.busy && !c.engine.isLoading(fetch.Model(), fetch.Adapter())
}

// reply answers a request with the time for which the adapter is kept, 0 if it is
// not loaded.
func (c *Core) reply(w waiter, kept time.Duration) {
	c.actions = append(c.actions, Reply{to: w.reply, fetched: protocol.NewFetched(protocol.FetchedConfig{KeptFor: kept})})
}

// adapterOrder returns an order that loads an adapter for which requests wait, or unloads
// another one to make room.
func (c *Core) adapterOrder(now time.Time) (deployment.Order, bool) {
	missing := make(map[string]bool) // adapters without a place
	for _, w := range c.waiters {
		model, name := w.fetch.Model(), w.fetch.Adapter()
		if c.usable(w.fetch) && c.provisional(now, w.fetch) {
			return c.newOrder(deployment.OrderConfig{Unload: true, Model: model, Adapter: name}), true
		}
		if c.engine.holdings.Contains(model, name) || c.engine.isLoading(model, name) || !c.engine.holdings.Contains(model, "") {
			continue
		}
		if _, ok := c.modelSize(model); !ok {
			continue
		}
		order := c.newOrder(deployment.OrderConfig{Model: model, Adapter: name})
		if c.leavesRoom(c.roomOf(order), ordersToSwap) {
			return order, len(c.engine.loading) < maxAdapterLoads
		}
		missing[adapterKey(model, name)] = true
	}
	if len(missing) <= c.unloads.recent(now) {
		return deployment.Order{}, false
	}
	model, name, ok := c.expiredLease(now)
	return c.newOrder(deployment.OrderConfig{Unload: true, Model: model, Adapter: name}), ok && c.leavesRoom(room{}, 1)
}

// provisional reports whether a loaded adapter, of which no lobby has been told yet, is to be
// unloaded and loaded again, since only a late order keeps the engine from taking another
// one: the two orders bring the engine closer to a number at which that order is refused.
func (c *Core) provisional(now time.Time, fetch protocol.Fetch) bool {
	if c.engine.busy || now.Before(c.leases[adapterKey(fetch.Model(), fetch.Adapter())]) {
		return false
	}
	another := c.roomOf(c.newOrder(deployment.OrderConfig{Model: fetch.Model(), Adapter: fetch.Adapter()}))
	return c.hasRoom(another) && !c.leavesRoom(another, ordersToSwap) && c.leavesRoom(room{}, ordersToReload)
}

// leaseAll leases all adapters that the engine holds. Lobbies may use each of them as long as
// a lease of this process's predecessor lasts.
func (c *Core) leaseAll(now time.Time, holdings deployment.Holdings) {
	for _, holding := range holdings {
		for _, name := range holding.Adapters() {
			c.leases[adapterKey(holding.Model(), name)] = now.Add(c.config.AdapterLease)
		}
	}
}

// forgetLeases forgets the leases that have ended of adapters that the engine does not hold.
func (c *Core) forgetLeases(now time.Time) {
	held := c.engine.heldAdapters()
	maps.DeleteFunc(c.leases, func(key string, until time.Time) bool { return !held[key] && !now.Before(until) })
}

// expiredLease returns the adapter whose lease ended first, if any has ended. Those that
// are being unloaded are left out.
func (c *Core) expiredLease(now time.Time) (model, adapter string, found bool) {
	var first time.Time
	for _, holding := range c.engine.holdings {
		for _, name := range holding.Adapters() {
			until := c.leases[adapterKey(holding.Model(), name)]
			if now.Before(until) || found && !until.Before(first) || c.unloads.contains(holding.Model(), name) {
				continue
			}
			model, adapter, found, first = holding.Model(), name, true, until
		}
	}
	return model, adapter, found
}
