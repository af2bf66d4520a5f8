package loader

import (
	"maps"
	"slices"
	"time"
)

// ledger is responsible for the accelerator memory of one backend server that
// is, or may yet come to be, in use. What it counts is given up only on what
// the engine reports.
type ledger struct {
	items map[string]*item
}

// item is one model or adapter that takes memory or may come to do so.
type item struct {
	name              string
	base              string // model of an adapter
	bytes             int64
	phase             Phase // as last reported; empty while the engine does not hold it
	loadFence         int64 // of the last order to load it; zero if this holder gave none
	loadExpiry        time.Time
	lastOrderAt       time.Time // of the last order about it
	idleSince         time.Time // since when it has not been wanted
	unadvertisedSince time.Time // since when it has no longer been advertised
}

func newLedger() *ledger { return &ledger{items: make(map[string]*item)} }

// reserved returns the bytes that are counted.
func (l *ledger) reserved() int64 {
	var bytes int64
	for _, i := range l.items {
		bytes += i.bytes
	}
	return bytes
}

// names returns what is counted, in the order of the names.
func (l *ledger) names() []string { return slices.Sorted(maps.Keys(l.items)) }

// report takes over what the engine says of itself. gone tells of an item that
// the engine does not hold whether no order can bring it back.
func (l *ledger) applyState(state EngineState, gone func(*item) bool) {
	held := make(map[string]Holding)
	for _, holding := range state.Holdings() {
		held[holding.Name()] = holding
	}
	for name, i := range l.items {
		holding, ok := held[name]
		switch {
		case ok:
			i.phase, i.bytes = holding.Phase(), max(i.bytes, holding.Bytes())
		case gone(i):
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

// resident reports whether the engine can run requests for a name.
func (l *ledger) resident(name string) bool {
	i, ok := l.items[name]
	return ok && i.phase == Resident
}
