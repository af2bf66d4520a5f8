package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesamewell.example/commons/testkit"
)

// TestMain fixes the seed of rapid.
func TestMain(m *testing.M) { testkit.RunRapid(m, testkit.RapidSeed, nil) }

// TestRetriesAcrossLobbiesStayWithinBudget checks that the lobbies together
// stay within the budget of every window. Requests reach the lobbies unevenly,
// lobbies restart at most once in a window, together or separately, and each
// request is retried as soon as its lobby allows it.
func TestRetriesAcrossLobbiesStayWithinBudget(t *testing.T) {
	const lobbies, window = 4, 10 * time.Second
	config := RetryBudgetConfig{Ratio: 0.2, Extra: 54, Window: window}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
		budgets := make([]*retryBudget, lobbies)
		started := make([]time.Time, lobbies)
		for i := range budgets {
			budgets[i] = newRetryBudget(config)
		}
		most := rapid.SampledFrom([]int{1, 3, 30}).Draw(t, "most")
		longest := rapid.SampledFrom([]int{10, 100, 600}).Draw(t, "longest")
		var requests, retries []time.Time
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, longest).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 49).Draw(t, "fault") == 0 {
				all := rapid.Bool().Draw(t, "all")
				for i := range budgets {
					if (all || rapid.Bool().Draw(t, "starts again")) && now.Sub(started[i]) > window {
						budgets[i], started[i] = newRetryBudget(config), now
					}
				}
			}
			lobby := rapid.IntRange(0, lobbies-1).Draw(t, "lobby")
			for range rapid.IntRange(1, most).Draw(t, "requests") {
				requests = append(requests, now)
				budgets[lobby].deposit(lobbies)
				if budgets[lobby].withdraw(now, lobbies) {
					retries = append(retries, now)
				}
			}
		}
		for i, first := range retries {
			used, allowed := 0, config.Extra+config.Ratio*float64(within(requests, first, window))
			for _, at := range retries[i:] {
				if at.Sub(first) < window {
					used++
				}
			}
			if float64(used) > allowed {
				t.Fatalf("%d retries within %s, %.1f are allowed", used, window, allowed)
			}
		}
	})
}

// within returns the number of times in the window that begins at first.
func within(times []time.Time, first time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(first) && at.Sub(first) < window {
			n++
		}
	}
	return n
}
