package quarantine

import "hash/maphash"

const (
	maxFirstCrashes = 1 << 15 // parts in one generation of firstCrashes
	maxPartsOfCrash = 1 << 14 // parts of one crash that are remembered, which limits the work at once
)

// firstCrashes remember at which crash a part of a long prompt was first, while no record
// has room for it. They hold two generations, of which the older one is dropped when the
// newer one is full.
type firstCrashes struct {
	seed         maphash.Seed
	newer, older crashedParts
	last         start // crash that was noted last
	noted        int   // parts that were noted at it
}

// crashedParts are parts by their hashes, each with the place of its crash.
type crashedParts struct {
	crashes []crash
	parts   map[uint64]int
}

func newFirstCrashes() *firstCrashes { return &firstCrashes{seed: maphash.MakeSeed()} }

// note returns the earlier crash at which a part was, and forgets it. If there was none, it
// remembers this one.
func (f *firstCrashes) note(part string, now crash) (crash, bool) {
	if f.last != now.from {
		f.last, f.noted = now.from, 0
	}
	if f.noted++; f.noted > maxPartsOfCrash {
		return crash{}, false
	}
	key := maphash.String(f.seed, part)
	for _, generation := range []crashedParts{f.newer, f.older} {
		n, ok := generation.parts[key]
		if !ok {
			continue
		}
		if earlier := generation.crashes[n]; earlier.from != now.from {
			delete(generation.parts, key)
			return earlier, true
		}
		return crash{}, false
	}
	if f.newer.parts == nil || len(f.newer.parts) >= maxFirstCrashes {
		f.older, f.newer = f.newer, crashedParts{parts: make(map[uint64]int, maxFirstCrashes)}
	}
	f.newer.add(key, now)
	return crash{}, false
}

// forget forgets a part that was answered.
func (f *firstCrashes) forget(part string) {
	if len(f.newer.parts) == 0 && len(f.older.parts) == 0 {
		return
	}
	key := maphash.String(f.seed, part)
	delete(f.newer.parts, key)
	delete(f.older.parts, key)
}

func (p *crashedParts) add(key uint64, now crash) {
	if last := len(p.crashes) - 1; last < 0 || p.crashes[last].from != now.from {
		p.crashes = append(p.crashes, now)
	}
	p.parts[key] = len(p.crashes) - 1
}
