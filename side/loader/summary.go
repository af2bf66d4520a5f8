package loader

import "slices"

// Summary is a summary of the ledger for routing, the planner and operators.
type Summary struct {
	plainService bool     // the backend server loads no models and runs every request
	resident     []string // sorted names
	pending      []string // sorted names
	reserved     int64    // bytes
	memory       int64    // bytes
	epoch        int64
}

// Summary returns a summary of the ledger and the claim.
func (c *Core) Summary() Summary {
	summary := Summary{
		plainService: c.backend.Name() != "" && !c.backend.TakesModels(),
		resident:     c.Available(),
		reserved:     c.Reserved(),
		memory:       c.backend.Memory(),
		epoch:        c.epoch,
	}
	for _, name := range c.ledger.names() {
		if !slices.Contains(summary.resident, name) {
			summary.pending = append(summary.pending, name)
		}
	}
	return summary
}

// CanRun reports whether the backend server can run requests for a model or an
// adapter.
func (s Summary) CanRun(name string) bool {
	_, found := slices.BinarySearch(s.resident, name)
	return found || s.plainService
}

// Resident returns the sorted names of the models and adapters that requests can
// be run for.
func (s Summary) Resident() []string { return s.resident }

// Pending returns the sorted names of the other models and adapters that memory is
// reserved for.
func (s Summary) Pending() []string { return s.pending }

// Reserved returns the reserved accelerator memory in bytes.
func (s Summary) Reserved() int64 { return s.reserved }

// Memory returns the total accelerator memory in bytes.
func (s Summary) Memory() int64 { return s.memory }

// Epoch returns the epoch of the side's claim, or zero if it holds none.
func (s Summary) Epoch() int64 { return s.epoch }
