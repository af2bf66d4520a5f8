package steward

import "time"

// BudgetConfig holds the construction parameters of a Budget.
type BudgetConfig struct {
	Ratio  float64       // retries for each request
	Extra  float64       // retries in a window besides, over all processes
	Window time.Duration // over which requests and retries are counted
}

// budget is responsible for keeping the retries of one service below a share of
// its requests. A token bucket never grants more than ratio x requests + extra
// in a window that it refills over twice.
type budget struct {
	config BudgetConfig
	level  float64
	at     time.Time
}

// newBudget returns a budget of one retry: a process that starts again must not
// have all of them anew.
func newBudget(config BudgetConfig) *budget {
	return &budget{config: config, level: 1}
}

// most returns the most that one of so many lobbies has at once; a lobby can
// always retry one request.
func (c BudgetConfig) most(lobbies int) float64 {
	return max(c.Extra/float64(max(lobbies, 1))/2, 1)
}

// request counts one request of a caller.
func (b *budget) request(lobbies int) {
	b.level = min(b.level+b.config.Ratio/2, b.config.most(lobbies))
}

// spend takes one retry if there is one.
func (b *budget) spend(now time.Time, lobbies int) bool {
	most := b.config.most(lobbies)
	if !b.at.IsZero() {
		b.level = min(b.level+now.Sub(b.at).Seconds()/b.config.Window.Seconds()*most, most)
	}
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
