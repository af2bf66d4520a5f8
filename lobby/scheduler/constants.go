package scheduler

import "time"

const (
	tickPeriod              = 50 * time.Millisecond
	maxFailedSends          = 3                       // sends of one request that may fail before a byte is sent
	minBackoff              = 500 * time.Millisecond  // time to avoid a backend server after its first failure
	maxBackoff              = 4 * time.Second         // longest such time
	minRejectionPause       = 100 * time.Millisecond  // time without requests for a model after a backend server rejected one
	maxRejectionPause       = 1600 * time.Millisecond // longest such time, after several rejections
	promptRetryAfter        = 20 * time.Millisecond   // retry delay in refusals when another backend server can run the request now
	retryAfter              = 300 * time.Millisecond  // default retry delay in refusals
	streamsReadTimeout      = time.Second             // time after the first list of backend servers for which a lobby that starts awaits what the store keeps of streams
	unknownOriginRetryAfter = 200 * time.Millisecond  // retry delay in refusals of streams of which another lobby may just be telling
	restartRetryAfter       = 1500 * time.Millisecond // retry delay in refusals when all lobbies are draining
	planLifetime            = 3 * time.Second         // time after its last receipt for which a plan is valid
	// The time between two digests is the number of lobbies times
	// digestPeriodPerLobby, within minDigestPeriod and maxDigestPeriod.
	minDigestPeriod      = 50 * time.Millisecond
	digestPeriodPerLobby = 10 * time.Millisecond
	maxDigestPeriod      = 400 * time.Millisecond
	minDemandPeriod      = 200 * time.Millisecond  // time between two digests that carry the demand for models
	planPeriod           = time.Second             // time after which an unchanged plan is sent again
	peerLifetime         = time.Second             // time after its receipt for which another lobby's digest is valid
	leaseMargin          = 300 * time.Millisecond  // a lease counts as ended this long before the keeper ends it
	leaseRenewAhead      = 1200 * time.Millisecond // a lease in use is renewed when less than this is left
	missingModelLifetime = 1500 * time.Millisecond // time without requests for a model that a backend server reported missing
	fetchRetryPause      = 250 * time.Millisecond  // after a backend server failed to load an adapter
	renewRetryPause      = time.Second             // after a keeper did not renew the lease of an adapter
	// A request leaves reservedSlots slots of an engine free for each level of
	// priority above its own, for at most maxReservedLevels levels.
	reservedSlots     = 2
	maxReservedLevels = 3
	// prefillShare is the share of a route's longest pause that the pending
	// prefill of an engine may take in total.
	prefillShare     = 0.5
	prefillAllowance = 100 * time.Millisecond // part of a latency objective that is set aside for prefill until answers have been observed
	maxQueued        = 1000                   // requests that wait for a backend server in this process
	queueShare       = 0.7                    // share of a request's time limit that it may spend in the queue
	// Callers are assumed to keep a stream without events open for the longest of
	// minStreamTimeout, streamTimeoutObjectives times the route's objective, and
	// streamTimeoutGaps times the route's longest pause.
	minStreamTimeout        = 2 * time.Second
	streamTimeoutObjectives = 4
	streamTimeoutGaps       = 8
	// streamTimeoutMargin is the time by which the lobby ends a silent stream
	// before its caller does, or after that if the stream can't be resumed.
	streamTimeoutMargin       = 350 * time.Millisecond
	retryableObjectives       = 1.5                     // time without an answer, in latency objectives, after which a retryable request is sent elsewhere
	resumableFirstByteTimeout = 1500 * time.Millisecond // time without a first byte after which a resumable stream is sent elsewhere
	noBackendRetryAfter       = time.Second             // retry delay in refusals when no backend server is available; the model may be loading
	// unlistedRetention is the time for which the state of a backend server is kept
	// after its entry has left the list.
	unlistedRetention = 2 * time.Minute
	silenceLimit      = 400 * time.Millisecond // time without an answer after which a backend server with unanswered requests counts as silent
	resultTimeout     = 2 * time.Second        // time without a result after which a request no longer keeps others with its content waiting
	soundAfter        = 250 * time.Millisecond // time for which an answer must go on to show that its prompt does not crash engines
	// The following costs are added to the estimated delay at a backend server.

	// adapterLoadCost is added if the adapter has to be loaded first.
	adapterLoadCost = 27 * time.Millisecond
	// remoteDomainCost is added for a backend server in another failure domain.
	remoteDomainCost = 18 * time.Millisecond
	// runningCost is added for each open request at an engine.
	runningCost = 1400 * time.Microsecond
	// overloadCost is added for each open request at an engine beyond fullShare of
	// its slots.
	overloadCost = 25 * time.Millisecond
	fullShare    = 0.85
	// plainRequestCost is added for each open request at a service without engine.
	plainRequestCost = 45 * time.Millisecond
)
