package scheduler

import "time"

// RetryBudgetConfig holds the construction parameters of a retryBudget.
type RetryBudgetConfig struct {
	Ratio  float64       // number of retries allowed per request
	Extra  float64       // number of additional retries allowed per window, over all lobbies
	Window time.Duration // period over which requests and retries are counted
}

// retryBudget limits the retries of one service to a share of its requests. It
// is a token bucket that never grants more than ratio x requests + extra in a
// window: requests deposit half the ratio, and the bucket holds at most half of
// this lobby's share of extra, refilled once per window.
type retryBudget struct {
	config   RetryBudgetConfig
	tokens   float64
	refilled time.Time
}

// newRetryBudget returns a budget of one retry, so that a restarted process
// does not start with a full budget.
func newRetryBudget(config RetryBudgetConfig) *retryBudget {
	return &retryBudget{config: config, tokens: 1}
}

// limit returns the capacity of the bucket of one lobby. It is at least one, so
// that a lobby can always retry one request.
func (c RetryBudgetConfig) limit(lobbies int) float64 {
	return max(c.Extra/float64(max(lobbies, 1))/2, 1)
}

// deposit adds the share of one request.
func (b *retryBudget) deposit(lobbies int) {
	b.tokens = min(b.tokens+b.config.Ratio/2, b.config.limit(lobbies))
}

// withdraw takes one retry and reports whether one was available.
func (b *retryBudget) withdraw(now time.Time, lobbies int) bool {
	limit := b.config.limit(lobbies)
	if !b.refilled.IsZero() {
		b.tokens = min(b.tokens+now.Sub(b.refilled).Seconds()/b.config.Window.Seconds()*limit, limit)
	}
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
