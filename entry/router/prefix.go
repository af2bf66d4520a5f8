package router

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Limits of prompt hashing.
const (
	blockBytes       = 1 << 10 // bytes of prompt in one block
	maxBlocks        = 16      // blocks of one prompt that are hashed
	generationBlocks = 4096    // blocks in one generation of the affinity memory
)

// hashPrefix returns the hashes of a prompt's leading whole blocks. Each hash
// covers the model and all blocks before its own.
func hashPrefix(model string, prompt []byte) []uint64 {
	blocks := min(len(prompt)/blockBytes, maxBlocks)
	if blocks == 0 {
		return nil
	}
	hashes := make([]uint64, blocks)
	digest := xxhash.New()
	_, _ = digest.WriteString(model) // a digest's writes never fail
	for i := range hashes {
		_, _ = digest.Write(prompt[i*blockBytes : (i+1)*blockBytes])
		hashes[i] = digest.Sum64()
	}
	return hashes
}

// rendezvous returns the weight of a side for a prompt, as in rendezvous
// hashing: all entries agree on the heaviest side without telling each other.
func rendezvousWeight(block uint64, side string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], block)
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(side)
	return digest.Sum64()
}

// affinity is responsible for remembering to which side this entry sent each
// prompt block last. It keeps two generations and so is bounded.
type affinity struct {
	current  map[uint64]string
	previous map[uint64]string
}

func newAffinity() *affinity { return &affinity{current: make(map[uint64]string)} }

func (a *affinity) record(blocks []uint64, side string) {
	for _, block := range blocks {
		if len(a.current) >= generationBlocks {
			a.current, a.previous = make(map[uint64]string), a.current
		}
		a.current[block] = side
	}
}

// match returns how many leading blocks were sent to the side last.
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
