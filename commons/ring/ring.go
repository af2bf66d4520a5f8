// Package ring provides the bounded ring buffer that connects the threads of a
// process. Readers park while it is empty; Put never blocks and returns an error
// while it is full.
package ring

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned by a ring. Both mean that the item was not stored.
var (
	ErrFull   = errors.New("ring is full")
	ErrClosed = errors.New("ring is closed")
)

// Config holds the construction parameters of a Ring.
type Config struct {
	Name     string // label of the ring in metrics and logs
	Capacity int    // maximum number of items; values below one are treated as one
}

// Ring is a first-in, first-out queue of fixed capacity. Any number of writers and
// readers may use it concurrently.
type Ring struct {
	name       string
	itemReady  chan struct{} // holds a token while a reader may find an item
	spaceReady chan struct{} // holds a token while a writer may find space

	mu      sync.Mutex
	items   []any
	head    int
	depth   int
	closed  bool
	refused uint64
}

// New returns an empty ring.
func New(config Config) *Ring {
	return &Ring{
		name:       config.Name,
		itemReady:  make(chan struct{}, 1),
		spaceReady: make(chan struct{}, 1),
		items:      make([]any, max(config.Capacity, 1)),
	}
}

// Put appends item to the ring. It never blocks and returns ErrFull or ErrClosed if
// the item cannot be stored.
func (r *Ring) Put(item any) error {
	err := r.push(item)
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.refused++
	}
	return err
}

// PutWithin is like Put but parks for up to limit while the ring is full. It
// returns ErrFull if there is still no space by then, and the context's error if
// ctx ends first.
func (r *Ring) PutWithin(ctx context.Context, item any, limit time.Duration) error {
	if err := r.push(item); !errors.Is(err, ErrFull) {
		return err
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-r.spaceReady:
		case <-timer.C:
			return r.Put(item)
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := r.push(item); !errors.Is(err, ErrFull) {
			return err
		}
	}
}

// Take removes and returns the oldest item, parking until there is one. It returns
// the context's error if ctx ends first, and ErrClosed if the ring is closed and
// empty.
func (r *Ring) Take(ctx context.Context) (any, error) {
	for {
		item, ok, err := r.pop()
		if ok || err != nil {
			return item, err
		}
		select {
		case <-r.itemReady:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// TakeWithin is like Take but parks for at most limit. It returns a nil item and no
// error if there is no item by then.
func (r *Ring) TakeWithin(ctx context.Context, limit time.Duration) (any, error) {
	item, ok, err := r.pop()
	if ok || err != nil || limit <= 0 {
		return item, err
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-r.itemReady:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		item, ok, err = r.pop()
		if ok || err != nil {
			return item, err
		}
	}
}

// Drain moves up to len(into) items from the ring to into without parking and
// returns their number.
func (r *Ring) Drain(into []any) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(into), r.depth)
	for i := range n {
		into[i] = r.shift()
	}
	r.signalRemaining()
	return n
}

// Close makes the ring refuse further items. Items already stored can still be
// taken.
func (r *Ring) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	signal(r.itemReady)
	signal(r.spaceReady)
}

// Name returns the ring's label.
func (r *Ring) Name() string { return r.name }

// Capacity returns the number of items that the ring can hold.
func (r *Ring) Capacity() int { return len(r.items) }

// Depth returns the number of items in the ring.
func (r *Ring) Depth() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.depth
}

// Refused returns the number of items refused since construction, by Put or by
// PutWithin at its time limit.
func (r *Ring) Refused() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused
}

func (r *Ring) push(item any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrClosed
	}
	if r.depth == len(r.items) {
		return ErrFull
	}
	r.items[(r.head+r.depth)%len(r.items)] = item
	r.depth++
	signal(r.itemReady)
	if r.depth < len(r.items) {
		signal(r.spaceReady)
	}
	return nil
}

func (r *Ring) pop() (item any, ok bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.depth > 0 {
		item = r.shift()
		r.signalRemaining()
		return item, true, nil
	}
	if r.closed {
		signal(r.itemReady)
		return nil, false, ErrClosed
	}
	return nil, false, nil
}

func (r *Ring) shift() any {
	item := r.items[r.head]
	r.items[r.head] = nil
	r.head = (r.head + 1) % len(r.items)
	r.depth--
	signal(r.spaceReady)
	return item
}

// signalRemaining wakes another reader if items remain or the ring is closed.
func (r *Ring) signalRemaining() {
	if r.depth > 0 || r.closed {
		signal(r.itemReady)
	}
}

func signal(token chan struct{}) {
	select {
	case token <- struct{}{}:
	default:
	}
}
