package steward

import "time"

const (
	tickPeriod   = 50 * time.Millisecond
	maxUnsent    = 3 // sends of one request that may fail before a byte is sent
	suspectFirst = 500 * time.Millisecond
	suspectMost  = 4 * time.Second
	retryAfter   = 300 * time.Millisecond  // when a refused caller is told to come back
	startRetry   = 1500 * time.Millisecond // the same, when all lobbies stop
	planLife     = 3 * time.Second         // of a plan whose planner is silent
	// drainGrace is the time from the start of a drain up to which requests are
	// taken: the platform asks for readiness once a second, twice.
	drainGrace = 2500 * time.Millisecond
	// tellPeriod is the time between two digests; with many lobbies it is
	// tellShare for each of them, up to tellMost.
	tellPeriod  = 50 * time.Millisecond
	tellShare   = 10 * time.Millisecond
	tellMost    = 400 * time.Millisecond
	peerLife    = time.Second             // of what another lobby says of its load
	leaseMargin = 300 * time.Millisecond  // by which an adapter's lease is given up before its keeper does so
	renewAhead  = 1200 * time.Millisecond // before the end of a lease in use, at which it is renewed
	lackLife    = 1500 * time.Millisecond // of a backend server's word that it lacks a model
	closedPause = 250 * time.Millisecond  // after a backend server could not load an adapter
	// reserved is the number of slots of an engine that each rank leaves to the
	// ranks before it, up to maxReserved ranks.
	reserved    = 2
	maxReserved = 3
	// readLimit is the part of a route's longest pause that the prompts which an
	// engine has to read may take together.
	readLimit = 0.5
	readShare = 100 * time.Millisecond // of an objective, for reading the prompt
	maxParked = 1000                   // requests that wait for a backend server
	parkShare = 0.5                    // of a request's time, for which it waits for one
	// streamSilence, silentObjectives and silentGaps bound the time without an
	// event for which callers keep a stream open: the longest of the first, so
	// many times the objective, and so many times the route's pause.
	streamSilence    = 2 * time.Second
	silentObjectives = 4
	silentGaps       = 8
	// silenceMargin is the time before that at which the lobby gives a silent
	// stream up.
	silenceMargin  = 350 * time.Millisecond
	plainPatience  = 1.5                     // objectives that a request waits which may go elsewhere
	resumePatience = 1500 * time.Millisecond // the same, for a stream that may be resumed
	awayRetry      = time.Second             // when a caller comes back whose model is on its way
	leastDemand    = 1e-4                    // engines, below which a model counts as not asked for
	silenceLimit   = 400 * time.Millisecond  // without a sign of a backend server at which requests wait
	askedWindow    = time.Second             // over which the demand for models is averaged
	// absent is what an adapter that has to be loaded counts.
	absent = 27 * time.Millisecond
	// distance is what another failure domain counts.
	distance = 18 * time.Millisecond
	// runningWeight is what a request that has begun counts.
	runningWeight = 1400 * time.Microsecond
	// waitingWeight is what each request counts beyond fullShare of the slots.
	waitingWeight = 25 * time.Millisecond
	fullShare     = 0.85
	// plainWeight is what a request to a plain service counts.
	plainWeight = 45 * time.Millisecond
	// keptParts is the number of prompt parts that are remembered for a backend
	// server.
	keptParts = 512
)
