package router

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Limits of prompt hashing and of the affinity table.
const (
	blockBytes       = 1 << 10 // bytes of the prompt in one block
	maxBlocks        = 16      // number of blocks of one prompt that are hashed
	generationBlocks = 4096    // number of blocks in one generation of the affinity table
)

// hashPrefix returns the hashes of the leading full blocks of a prompt. Each
// hash covers the model, its own block and all blocks before it.
func hashPrefix(model string, prompt []byte) []uint64 {
	blocks := min(len(prompt)/blockBytes, maxBlocks)
	if blocks == 0 {
		return nil
	}
	hashes := make([]uint64, blocks)
	digest := xxhash.New()
	_, _ = digest.WriteString(model) // writes to a digest never fail
	for i := range hashes {
		_, _ = digest.Write(prompt[i*blockBytes : (i+1)*blockBytes])
		hashes[i] = digest.Sum64()
	}
	return hashes
}

// rendezvousWeight returns the weight of a side for a prompt block in rendezvous
// hashing: all entries prefer the side with the highest weight, without
// exchanging messages.
func rendezvousWeight(block uint64, side string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], block)
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(side)
	return digest.Sum64()
}

// affinity is a table of the side to which this entry last sent each prompt
// block. It has two generations: when the current one is full, it replaces the
// previous one, which bounds memory.
type affinity struct {
	current  map[uint64]string
	previous map[uint64]string
}

func newAffinity() *affinity { return &affinity{current: make(map[uint64]string)} }

// record stores the side to which the blocks were sent.
func (a *affinity) record(blocks []uint64, side string) {
	for _, block := range blocks {
		if len(a.current) >= generationBlocks {
			a.current, a.previous = make(map[uint64]string), a.current
		}
		a.current[block] = side
	}
}

// match returns the number of leading blocks that were last sent to the side.
func (a *affinity) match(blocks []uint64, side string) int {
	for i, block := range blocks {
		last, ok := a.current[block]
		if !ok {
			last = a.previous[block]
		}
		if last != side {
			return i
		}
	}
	return len(blocks)
}
