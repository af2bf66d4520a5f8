package scheduler

import "github.com/valyala/fasthttp"

// Cause is why a request was refused or broken off, as it stands in the log.
type Cause string

// Causes.
const (
	noConfiguration  Cause = "no_configuration"  // the process knows no configuration yet
	noRoute          Cause = "no_route"          // no route leads there
	unknownKey       Cause = "unknown_key"       // no tenant holds the key
	overQuota        Cause = "over_quota"        // the tenant has spent its rate and burst
	noBackend        Cause = "no_backend"        // no backend server can have it
	notTaken         Cause = "not_taken"         // backend servers did not take it, and it may not be sent again
	answerLost       Cause = "answer_lost"       // it may have run, and its answer did not arrive whole
	answerCut        Cause = "answer_cut"        // its stream ended early
	leaving          Cause = "leaving"           // the process is about to stop
	deadlineExceeded Cause = "deadline_exceeded" // its time, or the route's, was over
)

// statuses are those with which callers are refused. 429 and 503 promise that
// the request has not run and never will.
var statuses = map[Cause]int{
	noConfiguration:  fasthttp.StatusServiceUnavailable,
	noRoute:          fasthttp.StatusNotFound,
	unknownKey:       fasthttp.StatusUnauthorized,
	overQuota:        fasthttp.StatusTooManyRequests,
	noBackend:        fasthttp.StatusServiceUnavailable,
	notTaken:         fasthttp.StatusServiceUnavailable,
	answerLost:       fasthttp.StatusBadGateway,
	answerCut:        fasthttp.StatusBadGateway,
	leaving:          fasthttp.StatusServiceUnavailable,
	deadlineExceeded: fasthttp.StatusGatewayTimeout,
}
