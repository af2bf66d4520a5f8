package main

import "time"

// Limits and periods of the process.
const (
	drainPutTimeout  = 10 * time.Second // longest wait for room in the inbox of a component that is to drain
	drainCount       = 2                // number of components that report the end of their drain: the idempotency coordinator and the limiter
	callerEventLoops = 2                // number of event loops for callers' connections
	// pollsPerProof is the number of log reads that start within the lifetime of
	// one freshness proof.
	pollsPerProof = 4
	// allowanceTTL is the lifetime of an allowance, which is a number of tokens
	// that the owner of a tenant's bucket lends to another entry. It is not a
	// setting, because all entries need the same value: with different ones, a new
	// owner may not wait until its predecessor's allowances have expired.
	allowanceTTL = 2 * time.Second
	// floorPercent is the percentage of each tenant's rate and burst that the
	// entries divide among them and spend without the bucket's owner. It is not a
	// setting for the same reason.
	floorPercent = 20
	// logRetryDelay is the time between two reads while the log service does not
	// answer.
	logRetryDelay = 200 * time.Millisecond
	// maxSuspects is the maximum number of suspects, and of requests that wait to
	// run in quarantine.
	maxSuspects = 4096
	// suspectTTL is the time for which a request is a suspect after the first crash
	// of a backend server that ran it.
	suspectTTL = time.Hour
	// banDuration is the time for which a quarantined request is refused.
	banDuration = 24 * time.Hour
)
