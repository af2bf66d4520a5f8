package dispatcher

// prefixIndex is responsible for knowing which prompt prefixes the backend
// server has seen of late, and so may hold in its cache. It keeps two
// generations of block hashes: when the younger is full, the older is dropped.
type prefixIndex struct {
	generationBlocks int // blocks in one generation
	current          map[uint64]struct{}
	previous         map[uint64]struct{}
}

func newPrefixIndex(capacity int) *prefixIndex {
	return &prefixIndex{generationBlocks: max(capacity, 1), current: make(map[uint64]struct{})}
}

// add notes the blocks of a prompt that runs.
func (p *prefixIndex) add(blocks []uint64) {
	for _, block := range blocks {
		if len(p.current) >= p.generationBlocks {
			p.current, p.previous = make(map[uint64]struct{}), p.current
		}
		p.current[block] = struct{}{}
	}
}

// match returns how many leading blocks of a prompt are known. A block's hash
// covers all blocks before it.
func (p *prefixIndex) match(blocks []uint64) int {
	for i, block := range blocks {
		_, young := p.current[block]
		_, old := p.previous[block]
		if !young && !old {
			return i
		}
	}
	return len(blocks)
}
