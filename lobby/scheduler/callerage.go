package scheduler

import (
	"time"

	"sesamewell.example/commons/deployment"
)

const (
	fullLimitShare  = 0.99 // part of a route's time limit from which a caller's first request is assumed
	fullLimitWeight = 0.05 // weight of one request in the average
	// minFullLimits is the part of a customer's requests on a route that state its whole
	// time limit from which its callers are assumed to start with it. Else each has a limit
	// of its own.
	minFullLimits = 0.2
)

// ageKey identifies the requests of a customer on a route.
type ageKey struct{ route, tenant string }

// callerAges estimates for how long callers have been trying. A caller that returns after
// a refusal states the time that it has left; its objective counts from its first request.
type callerAges struct{ full map[ageKey]float64 } // part of requests that state the whole time limit

func newCallerAges() *callerAges { return &callerAges{full: make(map[ageKey]float64)} }

// observe records the time that a caller has left, zero if it states none, and returns
// the time for which it has been trying, zero if that is unknown.
func (a *callerAges) observe(route deployment.Route, tenant deployment.Tenant, left time.Duration) time.Duration {
	key, limit := ageKey{route: route.Name(), tenant: tenant.Name()}, route.Timeout()
	share := a.full[key] * (1 - fullLimitWeight)
	if left <= limit && float64(left) >= fullLimitShare*float64(limit) {
		share += fullLimitWeight
	}
	a.full[key] = share
	if left <= 0 || share < minFullLimits {
		return 0
	}
	return max(limit-left, 0)
}
