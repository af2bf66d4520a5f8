package router

import "time"

// Retries, timeouts and periodic checks.
const (
	failureBackoff = 2 * time.Second        // time for which a side that failed is used only as a last resort
	minRetryAfter  = time.Second            // smallest Retry-After value
	putTimeout     = 5 * time.Second        // longest wait for room in the responder's ring
	tickPeriod     = 100 * time.Millisecond // time between checks of deadlines
)

// Probing.
const (
	probeTimeout  = 20 * time.Millisecond  // longest time that a request waits for replies to its probes
	reportMaxAge  = 100 * time.Millisecond // time for which a reported load may be reused
	reportMaxUses = 4                      // number of requests that may be sent to a side after one report
	suspectAfter  = 250 * time.Millisecond // time without a reply after which a side is used only as a last resort
	maxSelections = 8                      // number of times that candidates are selected for one request
)

// Terms of a candidate's cost, expressed as time.
const (
	loadCost        = 400 * time.Millisecond // added at full utilization of the backend server, in proportion below it
	crossDomainCost = 50 * time.Millisecond  // added for a side in another failure domain
	blockSaving     = 25 * time.Millisecond  // subtracted for each prompt block expected in the prefix cache
)
