package main

import "time"

// Limits and periods of the process.
const (
	drainPutTimeout = 10 * time.Second // longest wait for room in the dispatcher's inbox
	heldMessages    = 2                // largest messages that calls may hold at once
	// pollsPerProof is the number of log reads that start within the lifetime of
	// one freshness proof.
	pollsPerProof = 4
	// logRetryDelay is the time between two reads while the log service does not
	// answer.
	logRetryDelay = 200 * time.Millisecond
)
