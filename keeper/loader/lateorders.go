package loader

import (
	"maps"
	"slices"
	"time"
)

// lateOrders holds the orders without an answer that the engine may still carry out, by the
// number of accepted orders that they expect. Any start of the engine under the same ID may
// carry them out, since the number is counted anew from each start.
type lateOrders map[int64]lateOrder

// lateOrder is what is kept of the orders that expect the same number. At most one of them
// is carried out at one start.
type lateOrder struct {
	room  room      // needed by any one of them
	until time.Time // end of the time in which one may be carried out
}

// add records an order that got no answer.
func (l lateOrders) add(expected int64, needed room, until time.Time) {
	l[expected] = lateOrder{room: l[expected].room.union(needed), until: until}
}

// expire removes the orders that cannot be carried out any more.
func (l lateOrders) expire(now time.Time) {
	maps.DeleteFunc(l, func(_ int64, order lateOrder) bool { return !now.Before(order.until) })
}

// roomFrom returns the room needed by all orders that the engine may carry out, one after
// another, once it has accepted the given number of orders and gets no others.
func (l lateOrders) roomFrom(accepted int64) room {
	var sum room
	for {
		order, ok := l[accepted]
		if !ok {
			return sum
		}
		sum = sum.plus(order.room)
		accepted++
	}
}

// numbers returns the sorted numbers of accepted orders that the orders expect.
func (l lateOrders) numbers() []int64 { return slices.Sorted(maps.Keys(l)) }
