package resumption

import (
	"time"

	"sesamewell.example/commons/httpmeta"
)

// record is what is known of one stream.
type record struct {
	origin Origin
	source Source
	learnt time.Time
	until  time.Time // time from which it is forgotten
	other  Origin    // at which another stream of the same identifier began; zero if there is none
}

// unclear reports whether streams of the same identifier began at different origins.
func (r *record) unclear() bool { return r.other != Origin{} }

// origins returns the origins that the stream may have.
func (r *record) origins() []Origin {
	if r.unclear() {
		return []Origin{r.origin, r.other}
	}
	return []Origin{r.origin}
}

// table holds the streams that are remembered, at most maxStreams. Those that were added
// first go first.
type table struct {
	records map[httpmeta.StreamID]*record
	order   []httpmeta.StreamID // in the order in which they were added; some may have been forgotten
	dropped int                 // streams that were forgotten before their time for want of room
}

func newTable() *table { return &table{records: make(map[httpmeta.StreamID]*record)} }

// add records where a stream began. What is known of it already is kept, for the longer time.
func (t *table) add(stream httpmeta.StreamID, next record) {
	known, ok := t.records[stream]
	switch {
	case !ok:
		t.makeRoom()
		t.records[stream] = &next
		t.order = append(t.order, stream)
		return
	case !known.until.After(next.learnt):
		*known = next
		return
	}
	switch {
	case next.origin.version == "":
	case known.origin.version == "":
		known.origin, known.learnt = next.origin, next.learnt
	case next.origin != known.origin:
		known.other = next.origin
	}
	if next.until.After(known.until) {
		known.until = next.until
	}
	if next.source == SourceOwn {
		known.source = SourceOwn
	}
}

// full reports whether another stream has room only in the place of one that is remembered.
func (t *table) full() bool { return len(t.records) >= maxStreams }

// makeRoom forgets the streams that were added first until another one has room.
func (t *table) makeRoom() {
	for t.full() {
		if _, ok := t.records[t.order[0]]; ok {
			delete(t.records, t.order[0])
			t.dropped++
		}
		t.order = t.order[1:]
	}
}

// expire forgets the streams whose time is over.
func (t *table) expire(now time.Time) {
	kept := t.order[:0:0]
	for _, stream := range t.order {
		r, ok := t.records[stream]
		switch {
		case !ok:
		case r.until.After(now):
			kept = append(kept, stream)
		default:
			delete(t.records, stream)
		}
	}
	t.order = kept
}
