package treasurer

import "time"

// Named limits of the treasurer.
const (
	groups        = 8                      // claims that share the tenants' buckets
	tickPeriod    = 100 * time.Millisecond // time between checks of deadlines
	stockSpan     = time.Second            // demand that an entry borrows ahead
	renewAhead    = 400 * time.Millisecond // time before its expiry at which an allowance no longer counts as stock
	demandWeight  = 0.2                    // weight of the newest tick in the mean demand
	stockShare    = 4                      // an owner lends at most one part in so many of its level as stock
	returnGrace   = 500 * time.Millisecond // time beyond its expiry in which the rest of an allowance may come back
	heartbeat     = 500 * time.Millisecond // longest time between two messages to an owner
	watchers      = 3                      // candidates that send an owner heartbeats; others call it only when they need it
	suspectAfter  = 1500 * time.Millisecond
	stagger       = 500 * time.Millisecond // time between the candidates for a silent owner's claim
	proposePause  = time.Second            // time after which a claim without effect is appended again
	lossPause     = 20 * time.Second       // time for which an entry that lost a role does not claim it back
	callLimit     = time.Second            // longest wait for a peer's answer
	retryPause    = 100 * time.Millisecond // time after a failed call in which the peer is not called
	dryPause      = 250 * time.Millisecond // longest time for which an owner's refusal is repeated without asking
	holdLimit     = 1500 * time.Millisecond
	maxParked     = 4096 // requests of a tenant that may wait for an allowance
	maxWait       = 60 * time.Second
	minWait       = time.Second
	forgetAfter   = time.Minute // time after which the last answer to a silent borrower is dropped
	hundred       = 100         // per cent
	reservePart   = 2           // an entry spends the upper half of its floor before its allowances
	handOverTries = 3
)
