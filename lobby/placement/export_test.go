package placement

// Names returns the number of names of services, lobbies and backend servers that are gone or
// leave under which something is kept.
func (c *Core) Names() int {
	return len(c.buckets) + len(c.limitedDemand) + len(c.peers) + len(c.replaced) + len(c.leaving)
}
