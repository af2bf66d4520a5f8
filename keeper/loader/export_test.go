package loader

// Leases returns the number of leases that are remembered.
func (c *Core) Leases() int { return len(c.leases) }
