package steward

import "time"

// BudgetConfig holds the construction parameters of a Budget.
type BudgetConfig struct {
	Ratio  float64       // retries for each request
	Extra  float64       // retries in a window besides, over all processes
	Window time.Duration // over which requests and retries are counted
	Share  float64       // this process's part of Extra
}

// budget is responsible for keeping the retries of one service below a share of
// its requests. A token bucket never grants more than ratio x requests + extra
// in a window that it refills over twice.
type budget struct {
	config BudgetConfig
	level  float64
	at     time.Time
}

func newBudget(config BudgetConfig) *budget {
	return &budget{config: config, level: config.most()}
}

func (c BudgetConfig) most() float64 { return c.Extra * c.Share / 2 }

// request counts one request of a caller.
func (b *budget) request() { b.level = min(b.level+b.config.Ratio/2, b.config.most()) }

// spend takes one retry if there is one.
func (b *budget) spend(now time.Time) bool {
	if !b.at.IsZero() {
		b.level = min(b.level+now.Sub(b.at).Seconds()/b.config.Window.Seconds()*b.config.most(), b.config.most())
	}
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
