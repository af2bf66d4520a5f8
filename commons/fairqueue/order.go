package fairqueue

import (
	"cmp"
	"container/heap"
	"iter"
	"time"
)

// cursor is a position in a flow.
type cursor struct {
	flow  *flow
	entry *Entry
}

// cursors is a heap of positions, the entry that is served next first.
type cursors []cursor

func (c cursors) Len() int      { return len(c) }
func (c cursors) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *cursors) Push(x any)   { *c = append(*c, x.(cursor)) }

func (c *cursors) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func (c cursors) Less(i, j int) bool {
	a, b := c[i], c[j]
	return cmp.Or(
		cmp.Compare(a.flow.level.priority, b.flow.level.priority),
		cmp.Compare(a.flow.tag, b.flow.tag),
		compareStart(a.entry, b.entry),
	) < 0
}

// advance moves the first position past its entry.
func (c *cursors) advance() {
	first := &(*c)[0]
	if first.entry = first.flow.after(first.entry); first.entry == nil {
		heap.Pop(c)
		return
	}
	heap.Fix(c, 0)
}

// walk is a pass over a queue in the order in which requests are served.
type walk struct {
	queue  *Queue
	inTime cursors
	late   cursors
}

func newWalk(now time.Time, q *Queue) *walk {
	q.markLate(now)
	w := &walk{queue: q}
	for _, l := range q.levels {
		w.inTime = l.appendCursors(w.inTime)
	}
	w.late = q.late.appendCursors(w.late)
	heap.Init(&w.inTime)
	heap.Init(&w.late)
	return w
}

func (l *level) appendCursors(c cursors) cursors {
	for _, f := range l.flows {
		if len(f.entries) > 0 {
			c = append(c, cursor{flow: f, entry: f.entries[0]})
		}
	}
	return c
}

// source returns the positions whose first entry is next: those of late requests if
// their share is due or nothing else waits.
func (w *walk) source() *cursors {
	if len(w.late) > 0 && (len(w.inTime) == 0 || w.queue.credit >= w.late[0].entry.config.Work) {
		return &w.late
	}
	return &w.inTime
}

// head returns the next entry, nil at the end.
func (w *walk) head() *Entry {
	source := *w.source()
	if len(source) == 0 {
		return nil
	}
	return source[0].entry
}

// walks is a heap of passes over several queues that compete for the same capacity.
type walks []*walk

func (w walks) Len() int      { return len(w) }
func (w walks) Swap(i, j int) { w[i], w[j] = w[j], w[i] }
func (w *walks) Push(x any)   { *w = append(*w, x.(*walk)) }

func (w *walks) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}

// Less compares the heads of two queues, whose virtual times cannot be compared: a late
// one whose share is due comes first, then those in time by priority, then the late ones.
func (w walks) Less(i, j int) bool {
	a, b := w[i].head(), w[j].head()
	return cmp.Or(
		cmp.Compare(w[i].rank(), w[j].rank()),
		cmp.Compare(a.flow.level.priority, b.flow.level.priority),
		compareStart(a, b),
	) < 0
}

// Ranks of the heads of queues.
const (
	rankDue = iota // late, and the share of late requests is due
	rankInTime
	rankLate
)

func (w *walk) rank() int {
	switch {
	case !w.head().Late():
		return rankInTime
	case len(w.inTime) > 0:
		return rankDue
	default:
		return rankLate
	}
}

// Ordered returns the requests that wait in queues that compete for the same capacity, in
// the order in which they are to be served. The caller may serve or remove the request
// that it has just got; one that it keeps is passed over. Nothing may be added meanwhile.
func Ordered(now time.Time, queues ...*Queue) iter.Seq2[*Queue, *Entry] {
	return func(yield func(*Queue, *Entry) bool) {
		var order walks
		for _, q := range queues {
			if q.Len() > 0 {
				order = append(order, newWalk(now, q))
			}
		}
		heap.Init(&order)
		for len(order) > 0 {
			w := order[0]
			source := w.source()
			if !yield(w.queue, (*source)[0].entry) {
				return
			}
			source.advance()
			if w.head() == nil {
				heap.Pop(&order)
			} else {
				heap.Fix(&order, 0)
			}
		}
	}
}
