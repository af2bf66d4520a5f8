package ratelimit

import "time"

// Named limits of the treasurer.
const (
	bucketGroups        = 8                      // claims that share the tenants' buckets
	tickPeriod          = 100 * time.Millisecond // time between checks of deadlines
	stockInterval       = 400 * time.Millisecond // shortest time between two calls that only borrow stock
	stockHorizon        = time.Second            // demand that an entry borrows ahead
	renewAhead          = 400 * time.Millisecond // time before its expiry at which an allowance no longer counts as stock
	demandWeight        = 0.2                    // weight of the newest tick in the mean demand
	stockDivisor        = 4                      // an owner lends at most one part in so many of its level as stock
	returnGrace         = 500 * time.Millisecond // time beyond its expiry in which the rest of an allowance may come back
	returnMargin        = 250 * time.Millisecond // time before the end of the grace at which a rest is reported by a call of its own
	heartbeatInterval   = 500 * time.Millisecond // longest time between two messages to an owner
	heartbeatSenders    = 3                      // candidates that send an owner heartbeats; others call it only when they need it
	ownerTimeout        = 1500 * time.Millisecond
	claimStagger        = 500 * time.Millisecond // time between the candidates for a silent owner's claim
	claimRetryInterval  = time.Second            // time after which a claim without effect is appended again
	reclaimDelay        = 20 * time.Second       // time for which an entry that lost a role does not claim it back
	callTimeout         = time.Second            // longest wait for a peer's answer
	retryDelay          = 100 * time.Millisecond // time after a failed call in which the peer is not called
	refusalCacheLimit   = 250 * time.Millisecond // longest time for which an owner's refusal is repeated without asking
	queueTimeout        = 1500 * time.Millisecond
	maxWaiting          = 4096 // requests of a tenant that may wait for an allowance
	maxRetryAfter       = 60 * time.Second
	minRetryAfter       = time.Second
	borrowerRetention   = time.Minute // time after which the last answer to a silent borrower is dropped
	percentBase         = 100         // per cent
	floorReserveDivisor = 2           // an entry spends the upper half of its floor before its allowances
	maxHandOverAttempts = 3
)
