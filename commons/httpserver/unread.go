package httpserver

import (
	"bytes"
	"slices"

	"github.com/panjf2000/gnet/v2"
)

// unreadCopies is the number of times that unread bytes are held: in a buffer, and in a
// larger one while it grows.
const unreadCopies = 2

// Unread holds the bytes of a connection that have arrived but belong to no request yet. It
// is used instead of gnet's buffer, which comes from a pool with whatever size another
// connection left it, so that a few bytes can hold some megabytes. It must be used on the
// event loop of its connection only.
type Unread struct {
	rest  []byte
	owned bool // rest is a buffer of its own, not the one into which the event loop reads
}

// Fill takes the bytes that have arrived from the connection, and returns their number.
// Keep must be called before the event loop reads again.
func (u *Unread) Fill(conn gnet.Conn) int {
	arrived, err := conn.Peek(-1)
	if err != nil || len(arrived) == 0 {
		return 0
	}
	if len(u.rest) == 0 {
		u.rest, u.owned = arrived, false
	} else {
		u.Keep()
		if free := cap(u.rest) - len(u.rest); free < len(arrived) {
			u.rest = slices.Grow(u.rest, max(len(u.rest), len(arrived))) // doubled: each growth leaves garbage
		}
		u.rest = append(u.rest, arrived...)
	}
	_, _ = conn.Discard(-1) // the bytes stay valid until the event loop reads again
	return len(arrived)
}

// Keep copies the bytes that are left out of the event loop's buffer.
func (u *Unread) Keep() {
	switch {
	case len(u.rest) == 0:
		u.rest, u.owned = nil, false
	case !u.owned:
		u.rest, u.owned = bytes.Clone(u.rest), true
	}
}

// Bytes returns the bytes that are left. They are valid until the next call of another
// method.
func (u *Unread) Bytes() []byte { return u.rest }

// Len returns the number of bytes that are left.
func (u *Unread) Len() int { return len(u.rest) }

// Held returns the number of bytes of memory that they take.
func (u *Unread) Held() int { return cap(u.rest) * unreadCopies }

// Discard drops bytes at the start.
func (u *Unread) Discard(n int) { u.rest = u.rest[n:] }

// Clear drops all bytes.
func (u *Unread) Clear() { u.rest, u.owned = nil, false }
