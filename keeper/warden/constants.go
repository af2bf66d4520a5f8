package warden

import "time"

const (
	tickPeriod = time.Second
	busyWatch  = 100 * time.Millisecond  // between two looks at an engine that loads a model
	maxComing  = 4                       // adapters that an engine takes on their way at once
	answerWait = 1500 * time.Millisecond // longest wait of a call for the core's answer
	handOver   = 5 * time.Second         // longest wait for room in the warden's ring
	capacity   = 1024                    // messages in each ring
)
