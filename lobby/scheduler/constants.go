package scheduler

import "time"

const (
	tickPeriod        = 50 * time.Millisecond
	maxFailedSends    = 3 // sends of one request that may fail before a byte is sent
	minBackoff        = 500 * time.Millisecond
	maxBackoff        = 4 * time.Second
	retryAfter        = 300 * time.Millisecond  // when a refused caller is told to come back
	restartRetryAfter = 1500 * time.Millisecond // the same, when all lobbies stop
	planLifetime      = 3 * time.Second         // of a plan whose planner is silent
	// drainGrace is the time from the start of a drain up to which requests are
	// taken: the platform asks for readiness once a second, twice.
	drainGrace = 2500 * time.Millisecond
	// tellPeriod is the time between two digests; with many lobbies it is
	// tellShare for each of them, up to tellMost.
	minDigestPeriod      = 50 * time.Millisecond
	digestPeriodPerLobby = 10 * time.Millisecond
	maxDigestPeriod      = 400 * time.Millisecond
	peerLifetime         = time.Second             // of what another lobby says of its load
	leaseMargin          = 300 * time.Millisecond  // by which an adapter's lease is given up before its keeper does so
	leaseRenewAhead      = 1200 * time.Millisecond // before the end of a lease in use, at which it is renewed
	missingModelLifetime = 1500 * time.Millisecond // of a backend server's word that it lacks a model
	fetchRetryPause      = 250 * time.Millisecond  // after a backend server could not load an adapter
	// reserved is the number of slots of an engine that each rank leaves to the
	// ranks before it, up to maxReserved ranks.
	reservedSlots    = 2
	maxReservedRanks = 3
	// readLimit is the part of a route's longest pause that the prompts which an
	// engine has to read may take together.
	prefillShare     = 0.5
	prefillAllowance = 100 * time.Millisecond // of an objective, for reading the prompt
	maxQueued        = 1000                   // requests that wait for a backend server
	queueShare       = 0.5                    // of a request's time, for which it waits for one
	// streamSilence, silentObjectives and silentGaps bound the time without an
	// event for which callers keep a stream open: the longest of the first, so
	// many times the objective, and so many times the route's pause.
	minStreamTimeout        = 2 * time.Second
	streamTimeoutObjectives = 4
	streamTimeoutGaps       = 8
	// silenceMargin is the time before that at which the lobby gives a silent
	// stream up.
	streamTimeoutMargin       = 350 * time.Millisecond
	retryableObjectives       = 1.5                     // objectives that a request waits which may go elsewhere
	resumableFirstByteTimeout = 1500 * time.Millisecond // the same, for a stream that may be resumed
	noBackendRetryAfter       = time.Second             // when a caller comes back whose model is on its way
	minDemand                 = 1e-4                    // engines, below which a model counts as not asked for
	silenceLimit              = 400 * time.Millisecond  // without a sign of a backend server at which requests wait
	demandWindow              = time.Second             // over which the demand for models is averaged
	// absent is what an adapter that has to be loaded counts.
	adapterLoadCost = 27 * time.Millisecond
	// distance is what another failure domain counts.
	remoteDomainCost = 18 * time.Millisecond
	// runningWeight is what a request that has begun counts.
	runningCost = 1400 * time.Microsecond
	// waitingWeight is what each request counts beyond fullShare of the slots.
	overloadCost = 25 * time.Millisecond
	fullShare    = 0.85
	// plainWeight is what a request to a plain service counts.
	plainRequestCost = 45 * time.Millisecond
	// keptParts is the number of prompt parts that are remembered for a backend
	// server.
	maxCachedParts = 512
)
