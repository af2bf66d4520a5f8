package scheduler

import "time"

// BudgetConfig holds the construction parameters of a Budget.
type RetryBudgetConfig struct {
	Ratio  float64       // retries for each request
	Extra  float64       // retries in a window besides, over all processes
	Window time.Duration // over which requests and retries are counted
}

// budget is responsible for keeping the retries of one service below a share of
// its requests. A token bucket never grants more than ratio x requests + extra
// in a window that it refills over twice.
type retryBudget struct {
	config   RetryBudgetConfig
	tokens   float64
	refilled time.Time
}

// newBudget returns a budget of one retry: a process that starts again must not
// have all of them anew.
func newRetryBudget(config RetryBudgetConfig) *retryBudget {
	return &retryBudget{config: config, tokens: 1}
}

// most returns the most that one of so many lobbies has at once; a lobby can
// always retry one request.
func (c RetryBudgetConfig) limit(lobbies int) float64 {
	return max(c.Extra/float64(max(lobbies, 1))/2, 1)
}

// request counts one request of a caller.
func (b *retryBudget) deposit(lobbies int) {
	b.tokens = min(b.tokens+b.config.Ratio/2, b.config.limit(lobbies))
}

// spend takes one retry if there is one.
func (b *retryBudget) withdraw(now time.Time, lobbies int) bool {
	most := b.config.limit(lobbies)
	if !b.refilled.IsZero() {
		b.tokens = min(b.tokens+now.Sub(b.refilled).Seconds()/b.config.Window.Seconds()*most, most)
	}
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
