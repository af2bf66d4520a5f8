package idempotency

import "time"

// Named limits of the booking.
const (
	retryAfter         = 2 * time.Second        // Retry-After of a refusal
	outcomeGrace       = 5 * time.Second        // time beyond a run's deadline after which its outcome counts as lost
	cancelledRetention = 10 * time.Minute       // time for which the intent of a cancelled run may appear in the log
	minRetryDelay      = 2 * time.Second        // before an outcome is appended again
	maxRetryDelay      = 30 * time.Second       // between two appends of one outcome
	drainTimeout       = 15 * time.Second       // longest wait of a planned stop for outcomes to reach the log
	tickPeriod         = 100 * time.Millisecond // time between checks of what is due by time alone
	putTimeout         = 5 * time.Second        // longest wait for room in another duty's ring
	maxBatchItems      = 256                    // intents and outcomes in one record
	maxBatchBytes      = 1 << 20                // bytes of stored answers in one record
)
