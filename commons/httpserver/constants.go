package httpserver

import "time"

const (
	keepAlivePeriod = 30 * time.Second       // TCP keep-alive period
	tickPeriod      = 150 * time.Millisecond // time between sweeps for expired connections
	stopTimeout     = 5 * time.Second        // maximum time that a stop waits for the event loops to end
	readBufferSize  = 16 << 10               // bytes read from a connection at once
	minIdle         = time.Second            // shortest idle time of a connection that is closed for another one
	closedShare     = 64                     // one connection in so many is closed at once, if as many are idle
)

// Default limits, for servers without their own settings.
const (
	DefaultMaxHeader  = 16 << 10         // bytes
	DefaultMaxBody    = 4 << 20          // bytes
	DefaultMaxUnsent  = 1 << 20          // bytes
	DefaultMaxConns   = 4096             // connections
	DefaultSlowSender = 10 * time.Second // time from the first byte of a request to its last
	DefaultStall      = 10 * time.Second // time without a byte taken of an answer
	DefaultIdle       = 75 * time.Second // time that a connection is open without a request
)
