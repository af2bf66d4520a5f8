package scheduler

import "github.com/valyala/fasthttp"

// Cause is the reason why a request was refused or aborted, as the log and the
// metrics name it.
type Cause string

// Causes of refusals.
const (
	noConfiguration  Cause = "no_configuration"  // no configuration or list of backend servers received yet
	noRoute          Cause = "no_route"          // no route matches host and path
	unknownKey       Cause = "unknown_key"       // the API key belongs to no tenant
	overQuota        Cause = "over_quota"        // the tenant's rate and burst are used up
	noBackend        Cause = "no_backend"        // no backend server can run the request
	noHome           Cause = "no_home"           // no backend server of the service is in a region where the request may run
	unknownOrigin    Cause = "unknown_origin"    // nobody knows at which software version the stream began that the request takes up
	noVersion        Cause = "no_version"        // no backend server has the software version at which the stream began
	notTaken         Cause = "not_taken"         // backend servers rejected the request, and it may not be sent again
	answerLost       Cause = "answer_lost"       // the request may have run, and no complete answer arrived
	backendFailed    Cause = "backend_failed"    // the backend server refused the request without stating that it did not run it
	answerTruncated  Cause = "answer_cut"        // the stream ended early
	quarantined      Cause = "quarantined"       // the request is suspected to crash backend servers
	draining         Cause = "leaving"           // the process is draining or closing
	deadlineExceeded Cause = "deadline_exceeded" // the caller's or the route's time limit has passed
)

// statuses maps causes to the HTTP status of the refusal. 429 and 503 guarantee
// that the request has not run and never will.
var statuses = map[Cause]int{
	noConfiguration:  fasthttp.StatusServiceUnavailable,
	noRoute:          fasthttp.StatusNotFound,
	unknownKey:       fasthttp.StatusUnauthorized,
	overQuota:        fasthttp.StatusTooManyRequests,
	noBackend:        fasthttp.StatusServiceUnavailable,
	noHome:           fasthttp.StatusServiceUnavailable,
	unknownOrigin:    fasthttp.StatusServiceUnavailable,
	noVersion:        fasthttp.StatusServiceUnavailable,
	notTaken:         fasthttp.StatusServiceUnavailable,
	answerLost:       fasthttp.StatusBadGateway,
	backendFailed:    fasthttp.StatusBadGateway,
	answerTruncated:  fasthttp.StatusBadGateway,
	quarantined:      fasthttp.StatusServiceUnavailable,
	draining:         fasthttp.StatusServiceUnavailable,
	deadlineExceeded: fasthttp.StatusGatewayTimeout,
}
