package idempotency

import "time"

// Limits of the coordinator and the appender.
const (
	retryAfter         = 2 * time.Second        // Retry-After of a refusal
	outcomeGrace       = 5 * time.Second        // time after a run's deadline at which its outcome counts as lost
	cancelledRetention = 10 * time.Minute       // time for which a cancelled run is kept, since its intent may still appear in the log
	maxCancelled       = 8192                   // cancelled runs that are kept, beside those of open requests; further requests are refused
	minRetryDelay      = 2 * time.Second        // delay before the append of an outcome is first retried
	maxRetryDelay      = 30 * time.Second       // longest delay between two appends of one outcome
	drainTimeout       = 15 * time.Second       // longest wait of a drain for outcomes to reach the log
	tickPeriod         = 100 * time.Millisecond // time between checks of timeouts and retries
	putTimeout         = 5 * time.Second        // longest wait for room in a ring
	maxBatchItems      = 256                    // largest number of intents and outcomes in one record
	maxBatchBytes      = 1 << 20                // size of stored answers, in bytes, at which a record takes no further item
)
