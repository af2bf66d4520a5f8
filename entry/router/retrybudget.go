package router

// retryBurst is the capacity of the bucket: the number of retries that may be
// made beyond the share of recent requests.
const retryBurst = 100

// retryBudget is a token bucket that limits retries to a share of recent
// requests, so that retries cannot multiply the load on a failing fleet.
type retryBudget struct {
	share  float64 // tokens added for each new request
	tokens float64 // retries that may be made now
}

func newRetryBudget(share float64) *retryBudget {
	return &retryBudget{share: share, tokens: retryBurst}
}

// deposit adds the tokens that one new request earns.
func (b *retryBudget) deposit() { b.tokens = min(b.tokens+b.share, retryBurst) }

// withdraw takes the token for one retry and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
