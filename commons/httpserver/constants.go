package httpserver

import "time"

// Named limits of the server.
const (
	keepAlivePeriod = 30 * time.Second       // TCP keep-alive period
	tickPeriod      = 500 * time.Millisecond // time between sweeps for expired connections
	bootTimeout     = 5 * time.Second        // limit on waiting for the listener before a stop
	stopTimeout     = 5 * time.Second        // limit on the event loops' shutdown
	readBufferSize  = 16 << 10               // bytes read at once
)

// Default limits, for servers that have no setting of their own.
const (
	DefaultMaxHeader  = 16 << 10         // bytes
	DefaultMaxBody    = 4 << 20          // bytes
	DefaultMaxUnsent  = 1 << 20          // bytes
	DefaultMaxConns   = 4096             // connections
	DefaultSlowSender = 10 * time.Second // first byte of a request to its last
	DefaultIdle       = 75 * time.Second // connection without a request
)
