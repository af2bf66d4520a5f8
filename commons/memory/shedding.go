package memory

import (
	"cmp"
	"slices"
)

// Holding is what one connection makes a process hold.
type Holding struct {
	address string
	bytes   int64
	index   int
}

// NewHolding returns the holding of a connection from an address. The index is the
// caller's name for the connection.
func NewHolding(address string, bytes int64, index int) Holding {
	return Holding{address: address, bytes: bytes, index: index}
}

// Index returns the caller's name for the connection.
func (h Holding) Index() int { return h.index }

// Excess returns the holdings to give up so that at least so many bytes become free: those
// of the address that holds most in all, the largest first, then those of the next address.
// An address gains nothing by spreading what it holds over many connections.
func Excess(holdings []Holding, bytes int64) []Holding {
	held := make(map[string]int64)
	for _, h := range holdings {
		held[h.address] += h.bytes
	}
	left := slices.DeleteFunc(slices.Clone(holdings), func(h Holding) bool { return h.bytes == 0 })
	slices.SortFunc(left, func(a, b Holding) int {
		return cmp.Or(cmp.Compare(held[b.address], held[a.address]), cmp.Compare(a.address, b.address), cmp.Compare(b.bytes, a.bytes), cmp.Compare(a.index, b.index))
	})
	var given []Holding
	for _, h := range left {
		if bytes <= 0 {
			break
		}
		given = append(given, h)
		bytes -= h.bytes
	}
	return given
}
