package main

import "time"

const (
	drainHandOver = 5 * time.Second // longest wait for room to announce a drain
	drainPoll     = 50 * time.Millisecond
	peers         = 4 // entries that share a backend server's connections
	// memoryShare is the part of the process's memory beyond which the garbage
	// collector works harder, in per cent.
	memoryShare = 60
)

// stayAfterTerm is the time for which a leaving process goes on to take
// requests: until the platform has seen twice that it is not ready.
const stayAfterTerm = 2500 * time.Millisecond
