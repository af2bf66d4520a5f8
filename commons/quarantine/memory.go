package quarantine

import (
	"cmp"
	"container/heap"
	"time"
)

// maxRecords is the number of suspects of one kind that are remembered unless more are
// configured.
const maxRecords = 512

// memory holds the records of the suspects of one kind. Each operation takes a time that
// hardly depends on their number.
type memory struct {
	capacity int
	policy   Policy
	records  map[string]*record // by the suspect's ID
	ranking  ranking
}

func newMemory(config Config) *memory {
	return &memory{capacity: config.Capacity, policy: config.Policy, records: make(map[string]*record)}
}

// get returns the record of a suspect.
func (m *memory) get(id string) (*record, bool) {
	r, ok := m.records[id]
	return r, ok
}

// add adds the record of a new suspect. If there is no room, it takes the place of the one
// with the least evidence, or returns false if it does not outweigh that.
func (m *memory) add(r *record) bool {
	r.weight = r.newWeight(m.policy)
	if len(m.ranking) >= m.capacity {
		lightest := m.ranking[0]
		if !r.weight.outweighs(lightest.weight) {
			return false
		}
		m.remove(lightest)
	}
	m.records[r.suspect.id] = r
	heap.Push(&m.ranking, r)
	return true
}

// update puts a record into its place after it has changed.
func (m *memory) update(r *record) {
	r.weight = r.newWeight(m.policy)
	heap.Fix(&m.ranking, r.place)
}

func (m *memory) remove(r *record) {
	heap.Remove(&m.ranking, r.place)
	delete(m.records, r.suspect.id)
}

// weight is how much speaks for remembering a record.
type weight struct {
	convicted bool // what is known is enough for a quarantine
	events    int
	last      time.Time // of its crashes
}

func (w weight) compare(other weight) int {
	switch {
	case w.convicted == other.convicted:
		return cmp.Or(cmp.Compare(w.events, other.events), w.last.Compare(other.last))
	case w.convicted:
		return 1
	default:
		return -1
	}
}

// outweighs reports whether a record may take the place of another one. Those of one event
// don't displace each other: prompts of many parts would do nothing else.
func (w weight) outweighs(other weight) bool {
	if w.convicted == other.convicted && w.events == other.events {
		return w.last.Sub(other.last) >= eventGap
	}
	return w.compare(other) > 0
}

// ranking is a heap of records, with the lightest first. It implements heap.Interface.
type ranking []*record

// Len returns the number of records.
func (k ranking) Len() int { return len(k) }

// Less reports whether a record is lighter than another one.
func (k ranking) Less(a, b int) bool { return k[a].weight.compare(k[b].weight) < 0 }

// Swap exchanges two records.
func (k ranking) Swap(a, b int) {
	k[a], k[b] = k[b], k[a]
	k[a].place, k[b].place = a, b
}

// Push appends a record.
func (k *ranking) Push(item any) {
	r, ok := item.(*record)
	if !ok {
		return
	}
	r.place = len(*k)
	*k = append(*k, r)
}

// Pop removes and returns the last record.
func (k *ranking) Pop() any {
	last := len(*k) - 1
	r := (*k)[last]
	(*k)[last] = nil
	*k = (*k)[:last]
	return r
}
