package ratelimit

import "time"

// Limits and intervals of rate limiting.
const (
	bucketGroups        = 8                       // number of claims over which the tenants' buckets are divided
	tickPeriod          = 100 * time.Millisecond  // interval between checks of deadlines
	reserveInterval     = 400 * time.Millisecond  // minimum interval between two calls that only fill the reserve
	reserveHorizon      = time.Second             // period of expected demand that an entry borrows ahead as its reserve
	renewAhead          = 400 * time.Millisecond  // time before its expiry at which an allowance no longer counts as reserve
	demandWeight        = 0.2                     // weight of the newest tick in the moving average of demand
	reserveDivisor      = 4                       // an owner lends at most 1/reserveDivisor of its level as reserve
	returnGrace         = 500 * time.Millisecond  // time after its expiry within which an allowance's remaining tokens may be returned
	returnMargin        = 250 * time.Millisecond  // time before the end of the grace period at which a return triggers a call of its own
	heartbeatInterval   = 500 * time.Millisecond  // longest interval between two messages to an owner
	heartbeatSenders    = 3                       // number of candidates that send an owner heartbeats; others call it only when necessary
	ownerTimeout        = 1500 * time.Millisecond // time without an answer after which an owner is presumed failed
	claimStagger        = 500 * time.Millisecond  // delay between successive candidates for a failed owner's claim
	claimRetryInterval  = time.Second             // time after which a claim that did not take effect is appended again
	reclaimDelay        = 20 * time.Second        // time during which an entry that lost a role does not claim it again
	callTimeout         = time.Second             // longest wait for a peer's answer
	retryDelay          = 100 * time.Millisecond  // time after a failed call during which the peer is not called
	refusalCacheLimit   = 250 * time.Millisecond  // longest time for which an owner's refusal is reused without a call
	queueTimeout        = 1500 * time.Millisecond // longest time that a request waits for an allowance
	maxWaiting          = 4096                    // maximum number of a tenant's requests that wait for an allowance
	maxRetryAfter       = 60 * time.Second        // longest Retry-After of a refusal
	minRetryAfter       = time.Second             // shortest Retry-After of a refusal
	borrowerRetention   = time.Minute             // time after which an inactive borrower's last answer is dropped
	percentBase         = 100                     // percentages are out of 100
	floorReserveDivisor = 2                       // an entry spends its floor down to 1/floorReserveDivisor of its burst before its allowances
	maxHandOverAttempts = 3                       // number of candidates to which a role is offered during a drain
)
