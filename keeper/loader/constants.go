package loader

import "time"

const (
	tickPeriod        = time.Second
	loadingPollPeriod = 100 * time.Millisecond  // between two looks at an engine that loads a model
	maxAdapterLoads   = 4                       // adapters that an engine takes on their way at once
	fetchTimeout      = 1500 * time.Millisecond // longest wait of a call for the core's answer
	putTimeout        = 5 * time.Second         // longest wait for room in the warden's ring
	ringCapacity      = 1024                    // messages in each ring
)
