package proxy

import "time"

const (
	sweepPeriod    = 150 * time.Millisecond // time between two looks at idle connections
	dialTimeout    = time.Second
	idleCloseDelay = time.Second      // from the start of a drain until idle callers are closed
	maxFreshIdle   = time.Second      // of a link that may carry what must not run twice
	defaultIdle    = 4 * time.Second  // of a link whose peer does not say how long it keeps it
	idleMargin     = time.Second      // by which a link is given up before its peer does so
	maxUnsent      = 1 << 20          // bytes of an answer that a caller may leave unread
	maxHead        = 32 << 10         // bytes of the head of a backend server's answer
	maxBody        = 16 << 20         // bytes of a gathered answer
	readBuffer     = 32 << 10         // bytes read from a connection at once
	keepAlive      = 15 * time.Second // probes of callers' connections
	chunkedLength  = -1               // by which fasthttp marks chunked coding
	unknownLength  = -2               // by which it marks a body that ends with its connection
	maxEventSize   = 256 << 10        // bytes of an event that has not ended
)
