package quarantine

const (
	maxCopies  = 16 // copies of a request that are counted for one lobby at one crash
	maxSenders = 16 // lobbies whose copies are counted at one crash
)

// copies counts the copies of a request that ended with a start of a backend server, by
// the RPC address of the lobby that had sent them. A sound request has one.
type copies map[string]int

// add returns the copies with at least n of a lobby, and whether that is new.
func (c copies) add(lobby string, n int) (copies, bool) {
	n = min(n, maxCopies)
	if known, ok := c[lobby]; known >= n || !ok && len(c) >= maxSenders {
		return c, false
	}
	if c == nil {
		c = make(copies)
	}
	c[lobby] = n
	return c, true
}

// merge returns the copies with those that another lobby has counted, and whether any of
// them is new.
func (c copies) merge(counted copies) (copies, bool) {
	changed := false
	for lobby, n := range counted {
		var added bool
		c, added = c.add(lobby, n)
		changed = changed || added
	}
	return c, changed
}

func (c copies) count() int {
	total := 0
	for _, n := range c {
		total += n
	}
	return total
}
