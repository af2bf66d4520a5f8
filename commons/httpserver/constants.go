package httpserver

import "time"

const (
	keepAlivePeriod = 30 * time.Second       // TCP keep-alive period
	tickPeriod      = 150 * time.Millisecond // time between sweeps for expired connections
	stopTimeout     = 5 * time.Second        // maximum time that a stop waits for the event loops to end
	readBufferSize  = 16 << 10               // bytes read from a connection at once
	lingerTimeout   = time.Second            // time for which the caller's end of a closed connection is awaited
	minIdle         = time.Second            // shortest idle time of a connection that is closed for another one
	writeBufferSize = 16 << 10               // bytes of the buffer that a connection takes for the first byte that the kernel does not take
	crowdedIdle     = 100 * time.Millisecond // the same for one whose address holds more connections than crowdedShare of the limit
	crowdedShare    = 2
	closedShare     = 64 // one connection in so many is closed at once, if as many are idle
)

// Default limits, for servers without their own settings.
const (
	DefaultMaxHeader  = 16 << 10         // bytes
	DefaultMaxBody    = 4 << 20          // bytes
	DefaultMaxUnsent  = 1 << 20          // bytes
	DefaultHeld       = 256 << 20        // bytes of requests and answers
	DefaultMinUpload  = 16 << 10         // bytes a second
	DefaultMaxConns   = 4096             // connections
	DefaultSlowSender = 10 * time.Second // time from the first byte of a request to its last
	DefaultStall      = 10 * time.Second // time without a byte taken of an answer
	DefaultIdle       = 75 * time.Second // time that a connection is open without a request
)
