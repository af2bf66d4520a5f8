package router

import "time"

// Named limits of the usher.
const (
	failureBackoff = 2 * time.Second        // time for which a side that failed is asked as a last resort only
	minRetryAfter  = time.Second            // smallest Retry-After
	putTimeout     = 5 * time.Second        // longest wait for room in the gate's ring
	tickPeriod     = 100 * time.Millisecond // time between checks of deadlines
)

// Limits of probing.
const (
	probeTimeout  = 20 * time.Millisecond  // longest wait of a request for answers to its probes
	reportMaxAge  = 100 * time.Millisecond // time for which an answer may be reused
	reportMaxUses = 4                      // requests that one answer may place
	suspectAfter  = 250 * time.Millisecond // time without an answer after which a side is asked as a last resort
	maxSelections = 8                      // times that candidates are picked for one request
)

// Weights of a candidate's cost, as time.
const (
	loadCost        = 400 * time.Millisecond // of a backend server whose slots are all taken
	crossDomainCost = 50 * time.Millisecond  // of another failure domain
	blockSaving     = 25 * time.Millisecond  // of each block of the prompt that need not be computed again
)
