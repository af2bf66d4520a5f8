package main

import "time"

// Named limits of the process.
const (
	drainPutTimeout = 10 * time.Second // longest wait for room to announce a drain
	// pollsPerProof is the number of reads of the log begun while one proof lasts.
	pollsPerProof = 4
	// logRetry is the time between reads while the log service does not answer.
	logRetryDelay = 200 * time.Millisecond
)
