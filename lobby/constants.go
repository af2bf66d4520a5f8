package main

import "time"

const (
	drainPutTimeout = 5 * time.Second // longest wait for room in the scheduler's inbox
	drainPollPeriod = 50 * time.Millisecond
	// refusalMargin is the time from the end of the period in which a draining process
	// accepts requests to the earliest end of the drain. Requests that arrive in it are
	// refused.
	refusalMargin = 100 * time.Millisecond
	// minLobbies is the number of lobbies among which connections, retries and
	// quotas are divided unless more have been found.
	minLobbies = 4

	stallTimeout     = 10 * time.Second        // time without a byte taken after which a caller's connection is closed
	dialTimeout      = 400 * time.Millisecond  // for a new connection to another process of the system
	peerTimeout      = time.Second             // silence of another lobby after which its token use is estimated
	peerExpiry       = 30 * time.Second        // silence after which a lobby gets no share of the quotas
	leaveMargin      = time.Second             // time beyond its accept period after which a lobby that drains gets no share of the quotas
	discoveryTime    = 3 * time.Second         // time from the start within which every live lobby has been heard from
	initialFill      = 0.1                     // fraction of its burst that a tenant has when a lobby starts
	planPeerTimeout  = 1500 * time.Millisecond // silence of the planning lobby after which the next one plans
	planSettlePeriod = 800 * time.Millisecond  // time from the start to the first plan, in which the lobbies discover each other
)
