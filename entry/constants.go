package main

import "time"

// Named limits of the process.
const (
	drainPutTimeout  = 10 * time.Second // longest wait for room to announce a drain
	drainCount       = 2                // duties that report the end of their drain: booking and treasurer
	callerEventLoops = 2                // event loops for callers' connections
	// pollsPerProof is the number of reads of the log begun while one proof lasts.
	pollsPerProof = 4
	// allowanceLife is the time for which an entry may spend the tokens that the
	// owner of a tenant's bucket lends to it. No setting: all entries need the
	// same value, or a successor does not wait long enough.
	allowanceTTL = 2 * time.Second
	// floorPercent is the share of each tenant's rate and burst that the entries
	// hold without the bucket's owner. No setting, for the same reason.
	floorPercent = 20
	// logRetry is the time between reads while the log service does not answer.
	logRetryDelay = 200 * time.Millisecond
	// maxSuspects bounds the requests that are remembered after a crash.
	maxSuspects = 4096
	// suspectLife is the time for which a first crash counts against a request.
	suspectTTL = time.Hour
	// quarantineLife is the time for which a request is barred.
	banDuration = 24 * time.Hour
)
