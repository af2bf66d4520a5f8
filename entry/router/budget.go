package router

// retryReserve is the number of retries that may be made beyond the share of
// recent requests.
const retryBurst = 100

// budget is responsible for bounding retries to a share of recent requests, so
// that they cannot multiply the load of a fleet that is failing.
type retryBudget struct {
	share  float64 // retries for one request
	tokens float64
}

func newRetryBudget(share float64) *retryBudget {
	return &retryBudget{share: share, tokens: retryBurst}
}

// earn counts a new request.
func (b *retryBudget) deposit() { b.tokens = min(b.tokens+b.share, retryBurst) }

// spend takes one retry out of the budget and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
