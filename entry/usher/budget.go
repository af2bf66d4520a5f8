package usher

// retryReserve is the number of retries that may be made beyond the share of
// recent requests.
const retryReserve = 100

// budget is responsible for bounding retries to a share of recent requests, so
// that they cannot multiply the load of a fleet that is failing.
type budget struct {
	share float64 // retries for one request
	level float64
}

func newBudget(share float64) *budget { return &budget{share: share, level: retryReserve} }

// earn counts a new request.
func (b *budget) earn() { b.level = min(b.level+b.share, retryReserve) }

// spend takes one retry out of the budget and reports whether there was one.
func (b *budget) spend() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
