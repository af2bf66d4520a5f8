package deployment

// Position is a place in a log of the platform's store. A store that comes back from a
// backup begins a new era, in which it assigns the offsets of the lost records again: an
// offset of one era says nothing about the records of another.
type Position struct{ era, offset int64 }

// NewPosition returns the position of an offset in an era of the store.
func NewPosition(era, offset int64) Position { return Position{era: era, offset: offset} }

// Era returns the era of the store, zero if it states none.
func (p Position) Era() int64 { return p.era }

// Offset returns the offset, which is comparable within one era only.
func (p Position) Offset() int64 { return p.offset }
