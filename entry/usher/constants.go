package usher

import "time"

// Named limits of the usher.
const (
	failurePause  = 2 * time.Second        // time for which a side that failed gets no request
	farHandicap   = 0.25                   // share of slots by which a side in another failure domain must be less loaded
	tieBreak      = 0.01                   // share of slots below which loads count as equal
	minRetryAfter = time.Second            // smallest Retry-After
	gateHandOver  = 5 * time.Second        // longest wait for room in the gate's ring
	tickPeriod    = 100 * time.Millisecond // time between checks of deadlines
)
