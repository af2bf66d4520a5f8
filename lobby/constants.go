package main

import "time"

const (
	drainPutTimeout = 5 * time.Second // longest wait for room to announce a drain
	drainPollPeriod = 50 * time.Millisecond
	// stayAfterTerm is the time for which a leaving process goes on to take
	// requests: until the platform has seen twice that it is not ready.
	acceptPeriod = 2600 * time.Millisecond
	// closeMargin is the time before the end of a drain at which what is still
	// open is given up.
	closeMargin = 900 * time.Millisecond
	// peers is the number of lobbies that share connections, retries and quotas,
	// unless more are known.
	minLobbies = 4

	dialTimeout      = 400 * time.Millisecond  // on a new connection to another process of the system
	peerTimeout      = time.Second             // of another lobby, after which its spending is assumed
	peerExpiry       = 30 * time.Second        // after which it no longer shares the quotas
	initialFill      = 0.1                     // part of its burst that a tenant has when a lobby starts
	planPeerTimeout  = 1500 * time.Millisecond // of the lobby that plans, after which the next one does
	planSettlePeriod = 2 * time.Second         // from the start to the first plan, in which lobbies meet
)
