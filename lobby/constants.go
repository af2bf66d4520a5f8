package main

import "time"

const (
	drainPutTimeout = 5 * time.Second // longest wait for room in the scheduler's inbox
	drainPollPeriod = 50 * time.Millisecond
	// acceptPeriod is the time for which a draining process still accepts
	// requests: until two readiness probes of the platform have failed.
	acceptPeriod = 2600 * time.Millisecond
	// closeMargin is the time before the drain limit at which the remaining
	// requests are refused.
	closeMargin = 900 * time.Millisecond
	// minLobbies is the number of lobbies among which connections, retries and
	// quotas are divided unless more have been found.
	minLobbies = 4

	dialTimeout      = 400 * time.Millisecond  // for a new connection to another process of the system
	peerTimeout      = time.Second             // silence of another lobby after which its token use is estimated
	peerExpiry       = 30 * time.Second        // silence after which a lobby gets no share of the quotas
	discoveryTime    = 3 * time.Second         // time from the start within which every live lobby has been heard from
	initialFill      = 0.1                     // fraction of its burst that a tenant has when a lobby starts
	planPeerTimeout  = 1500 * time.Millisecond // silence of the planning lobby after which the next one plans
	planSettlePeriod = 800 * time.Millisecond  // time from the start to the first plan, in which the lobbies discover each other
)
