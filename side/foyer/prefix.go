package foyer

// prefixIndex is responsible for knowing which prompt prefixes the backend
// server has seen of late, and so may hold in its cache. It keeps two
// generations of block hashes: when the younger is full, the older is dropped.
type prefixIndex struct {
	capacity int // blocks in one generation
	young    map[uint64]struct{}
	old      map[uint64]struct{}
}

func newPrefixIndex(capacity int) *prefixIndex {
	return &prefixIndex{capacity: max(capacity, 1), young: make(map[uint64]struct{})}
}

// add notes the blocks of a prompt that runs.
func (p *prefixIndex) add(blocks []uint64) {
	for _, block := range blocks {
		if len(p.young) >= p.capacity {
			p.young, p.old = make(map[uint64]struct{}), p.young
		}
		p.young[block] = struct{}{}
	}
}

// match returns how many leading blocks of a prompt are known. A block's hash
// covers all blocks before it.
func (p *prefixIndex) match(blocks []uint64) int {
	for i, block := range blocks {
		_, young := p.young[block]
		_, old := p.old[block]
		if !young && !old {
			return i
		}
	}
	return len(blocks)
}
