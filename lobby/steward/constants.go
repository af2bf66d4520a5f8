package steward

import "time"

const (
	tickPeriod   = 50 * time.Millisecond
	maxUnsent    = 3 // sends of one request that may fail before a byte is sent
	suspectFirst = 500 * time.Millisecond
	suspectMost  = 4 * time.Second
	retryAfter   = 300 * time.Millisecond // when a refused caller is told to come back
	// distance is what another failure domain counts, in tokens to be read.
	distance = 400
	// runningWeight is what a request that has begun counts, in tokens to be read.
	runningWeight = 30
	// plainWeight is what a request to a plain service counts, in the same unit.
	plainWeight = 1000
	// keptParts is the number of prompt parts that are remembered for a backend
	// server.
	keptParts = 512
)
