package main

import "time"

// Named limits of the process.
const (
	drainHandOver  = 10 * time.Second // longest wait for room to announce a drain
	drainingDuties = 2                // duties that report the end of their drain: booking and treasurer
	callerLoops    = 2                // event loops for callers' connections
	// pollsPerProof is the number of reads of the log begun while one proof lasts.
	pollsPerProof = 4
	// allowanceLife is the time for which an entry may spend the tokens that the
	// owner of a tenant's bucket lends to it. No setting: all entries need the
	// same value, or a successor does not wait long enough.
	allowanceLife = 2 * time.Second
	// floorPercent is the share of each tenant's rate and burst that the entries
	// hold without the bucket's owner. No setting, for the same reason.
	floorPercent = 20
)
