package loader

import (
	"maps"
	"slices"
	"time"
)

// ledger accounts for the accelerator memory of one backend server that is used or
// may still be used by an order in flight. Memory is released only when a report of
// the engine shows that it is free.
type ledger struct {
	items map[string]*item
}

// item is a model or adapter that uses memory, or may use it once an order takes
// effect.
type item struct {
	name              string
	base              string // model of an adapter; empty for a model
	bytes             int64
	phase             Phase     // last reported phase; empty if the engine did not report the item
	loadFence         int64     // fencing number of the last load order; zero if this core issued none
	loadExpiry        time.Time // time after which the last load order is not sent
	lastOrderAt       time.Time // time of the last order for the item
	idleSince         time.Time // time since which the item has not been desired
	unadvertisedSince time.Time // time since which the item has not been advertised to routers
}

func newLedger() *ledger { return &ledger{items: make(map[string]*item)} }

// reserved returns the reserved memory in bytes.
func (l *ledger) reserved() int64 {
	var bytes int64
	for _, i := range l.items {
		bytes += i.bytes
	}
	return bytes
}

// names returns the sorted names of all items.
func (l *ledger) names() []string { return slices.Sorted(maps.Keys(l.items)) }

// applyState applies a state report of the engine. loadsDone reports whether no
// order can still load an item. An item that the engine does not report is removed
// once loadsDone returns true for it.
func (l *ledger) applyState(state EngineState, loadsDone func(*item) bool) {
	held := make(map[string]Holding)
	for _, holding := range state.Holdings() {
		held[holding.Name()] = holding
	}
	for name, i := range l.items {
		holding, ok := held[name]
		switch {
		case ok:
			i.phase, i.bytes = holding.Phase(), max(i.bytes, holding.Bytes())
		case loadsDone(i):
			delete(l.items, name)
		default:
			i.phase = ""
		}
	}
	for name, holding := range held {
		if _, ok := l.items[name]; !ok {
			l.items[name] = &item{name: name, base: holding.Base(), bytes: holding.Bytes(), phase: holding.Phase()}
		}
	}
}

// resident reports whether the engine can run requests for a model or an adapter.
func (l *ledger) resident(name string) bool {
	i, ok := l.items[name]
	return ok && i.phase == Resident
}
