// Package descriptors keeps a process below the number of file descriptors that it
// may open. A server that has none left cannot accept a connection, and cannot even
// refuse one.
package descriptors

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// fixedReserve and reserveShare are the descriptors that are left for files,
	// listeners and connections to other processes of the system: a fixed number, and
	// one in reserveShare of the limit, together half of the limit at most.
	fixedReserve = 128
	reserveShare = 8
	// headroom and headroomShare bound the connections that may be open for a moment
	// beyond the limit, until those that have been closed for them have gone: a fixed
	// number, and one in headroomShare of the limit at most.
	headroom      = 64
	headroomShare = 4
	// loweredPeriod is the time for which the limit stays lowered after descriptors
	// have run out although it was kept.
	loweredPeriod = 5 * time.Minute
	// loweredShare is the share of the connections that were open then by which the limit
	// is lowered below their number.
	loweredShare = 16
	minLimit     = 4 // connections that are allowed whatever the limit of the process is
)

// Limit returns the number of descriptors that this process may open: the number in its
// settings or the limit of the operating system, whichever is lower. Zero in the settings
// means that they state none.
func Limit(setting int) (int, error) {
	limit, err := ProcessLimit()
	if err != nil {
		return 0, err
	}
	if setting > 0 {
		limit = min(limit, setting)
	}
	return limit, nil
}

// ProcessLimit returns the number of descriptors that the operating system lets this
// process open.
func ProcessLimit() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "read the limit on open files")
	}
	const most = 1 << 24
	return int(min(limit.Cur, most)), nil
}

// Budget limits the number of connections of a process. It must be used by one thread
// at a time.
type Budget struct {
	limit        int // connections
	lowered      int // limit until loweredUntil
	loweredUntil time.Time
}

// NewBudget returns the budget of a process that may open the given number of
// descriptors.
func NewBudget(processLimit int) *Budget {
	reserve := min(fixedReserve+headroom+processLimit/reserveShare, processLimit/2)
	return &Budget{limit: max(processLimit-reserve, minLimit)}
}

// Limit returns the number of connections beyond which one has to be closed for each
// further one.
func (b *Budget) Limit(now time.Time) int {
	if now.Before(b.loweredUntil) {
		return b.lowered
	}
	return b.limit
}

// MaxConnections returns the number of connections beyond which none is accepted.
func (b *Budget) MaxConnections(now time.Time) int {
	limit := b.Limit(now)
	return limit + min(headroom, limit/headroomShare)
}

// MaxRequests returns the number of requests that may be open if each one needs a
// connection of its caller and another one to a backend server.
func (b *Budget) MaxRequests(now time.Time) int { return b.Limit(now) / 2 }

// Exhausted records that descriptors have run out with the given number of connections
// open: other parts of the process, or of the host, hold more than was left for them.
// The limit is lower for a time.
func (b *Budget) Exhausted(now time.Time, open int) {
	lowered := max(open-open/loweredShare-1, minLimit)
	b.lowered = min(lowered, b.Limit(now))
	b.loweredUntil = now.Add(loweredPeriod)
}

// RanOut reports whether an error says that the process or the host has no descriptor
// left.
func RanOut(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
