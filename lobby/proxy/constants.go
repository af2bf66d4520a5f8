package proxy

import (
	"time"

	"sesamewell.example/commons/http1"
)

const (
	sweepPeriod = 150 * time.Millisecond // time between two checks for timeouts
	dialTimeout = time.Second
	reportWait  = time.Second // longest wait for room in the event loop's inbox, before it is logged
	// overloadRetryAfter is the retry delay in refusals when the scheduler's inbox is
	// full.
	overloadRetryAfter = 300 * time.Millisecond
	idleCloseDelay     = time.Second      // idle time in a drain after which a caller's connection is closed
	maxFreshIdle       = time.Second      // longest idle time of a connection for a request that must not run twice
	defaultIdle        = 4 * time.Second  // idle timeout of a connection to a backend server that announces none
	idleMargin         = time.Second      // time by which a connection is closed before the backend server would close it
	maxUnsent          = 2 * maxBody      // bytes that may be buffered for a slow caller
	largeBody          = 64 << 10         // size of a body in bytes from which it is not copied behind its head
	minGivenUp         = 256 << 10        // bytes that an answer must hold to be given up for room
	lingerTimeout      = time.Second      // time for which the caller's end of a closed connection is awaited
	maxHead            = 32 << 10         // bytes in the head of a backend server's answer, without the blank line
	maxBody            = 16 << 20         // bytes in the body of a buffered answer
	readBuffer         = 32 << 10         // bytes read from a connection at a time
	keepAlive          = 15 * time.Second // TCP keep-alive period of callers' connections
	chunkedLength      = int(http1.Chunked)
	unknownLength      = int(http1.UntilEnd)
	maxEventSize       = 256 << 10              // bytes in an event that has not ended
	minIdle            = time.Second            // idle time after which a connection is closed for another one, if there are others to choose
	maxEarlier         = 8                      // earlier requests of a connection whose late answers are looked for
	maxInTurn          = 1                      // requests of one connection that are answered at once, before others have their turn
	minPause           = time.Second            // pause after which a request that arrives is refused for another one, if there is no room for both
	limitLogPeriod     = time.Second            // time between two log lines on connections at their limit, or on a late event loop
	lateSweep          = 250 * time.Millisecond // lateness of a check for timeouts from which it is logged
)
