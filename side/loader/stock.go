package loader

import "slices"

// Stock is a summary of the ledger for routing, the planner and operators.
type Summary struct {
	plainService bool // the backend server holds no models and runs everything
	resident     []string
	pending      []string
	reserved     int64
	memory       int64
	epoch        int64
}

// Stock returns the summary.
func (c *Core) Summary() Summary {
	stock := Summary{
		plainService: c.backend.Name() != "" && !c.backend.TakesModels(),
		resident:     c.Available(),
		reserved:     c.Reserved(),
		memory:       c.backend.Memory(),
		epoch:        c.epoch,
	}
	for _, name := range c.ledger.names() {
		if !slices.Contains(stock.resident, name) {
			stock.pending = append(stock.pending, name)
		}
	}
	return stock
}

// Has reports whether requests for a model or an adapter can be run.
func (s Summary) CanRun(name string) bool {
	_, found := slices.BinarySearch(s.resident, name)
	return found || s.plainService
}

// Resident returns what requests can be run for, in the order of the names.
func (s Summary) Resident() []string { return s.resident }

// Pending returns what else takes memory, in the order of the names.
func (s Summary) Pending() []string { return s.pending }

// Reserved returns the bytes that are counted.
func (s Summary) Reserved() int64 { return s.reserved }

// Memory returns the accelerator memory in bytes.
func (s Summary) Memory() int64 { return s.memory }

// Epoch returns the epoch of the side's claim, zero without.
func (s Summary) Epoch() int64 { return s.epoch }
