package dispatcher

// prefixIndex records which prompt prefixes the backend server has processed
// recently and may therefore have in its cache. It keeps two generations of block
// hashes: when the current one is full, it replaces the previous one.
type prefixIndex struct {
	generationBlocks int // maximum number of blocks in one generation
	current          map[uint64]struct{}
	previous         map[uint64]struct{}
}

func newPrefixIndex(capacity int) *prefixIndex {
	return &prefixIndex{generationBlocks: max(capacity, 1), current: make(map[uint64]struct{})}
}

// add records the blocks of the prompt of a starting attempt.
func (p *prefixIndex) add(blocks []uint64) {
	for _, block := range blocks {
		if len(p.current) >= p.generationBlocks {
			p.current, p.previous = make(map[uint64]struct{}), p.current
		}
		p.current[block] = struct{}{}
	}
}

// match returns the number of leading blocks of a prompt that are recorded. A
// block's hash covers all blocks before it.
func (p *prefixIndex) match(blocks []uint64) int {
	for i, block := range blocks {
		_, inCurrent := p.current[block]
		_, inPrevious := p.previous[block]
		if !inCurrent && !inPrevious {
			return i
		}
	}
	return len(blocks)
}
