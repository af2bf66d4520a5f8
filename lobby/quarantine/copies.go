package quarantine

const (
	maxCopies  = 16 // copies of a request that are counted for one lobby at one crash
	maxSenders = 16 // lobbies whose copies are counted at one crash
)

// copies counts the copies of a request that ended with a start of a backend server, by
// the RPC address of the lobby that had sent them. A sound request has one.
type copies map[start]map[string]int

// add records that a lobby had at least n copies there, and reports whether that is new.
func (c copies) add(from start, lobby string, n int) bool {
	n = min(n, maxCopies)
	senders, ok := c[from]
	if !ok {
		senders = make(map[string]int)
		c[from] = senders
	}
	if known, ok := senders[lobby]; known >= n || !ok && len(senders) >= maxSenders {
		return false
	}
	senders[lobby] = n
	return true
}

// merge adds what another lobby has counted, and reports whether any of it is new.
func (c copies) merge(from start, counted map[string]int) bool {
	changed := false
	for lobby, n := range counted {
		changed = c.add(from, lobby, n) || changed
	}
	return changed
}

// count returns the number of copies in the crashes that no answer has cleared and that
// skip does not leave out.
func (c copies) count(crashes map[start]crash, skip map[start]bool) int {
	total := 0
	for from, senders := range c {
		crashed, ok := crashes[from]
		if !ok || crashed.cleared || skip[from] {
			continue
		}
		for _, n := range senders {
			total += n
		}
	}
	return total
}

func (c copies) forget(from start) { delete(c, from) }
