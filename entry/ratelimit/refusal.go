package ratelimit

import (
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
)

// Refusals by the rate limiter. The refused requests were not run.
var (
	errRateExceeded = httpserver.NewRefusal(httpserver.RefusalConfig{
		Status: fasthttp.StatusTooManyRequests, Code: "rate_limit_exceeded",
		Message: "the tenant's rate of tokens is used up; retry after the time in Retry-After",
	})
	errExceedsBurst = httpserver.NewRefusal(httpserver.RefusalConfig{
		Status: fasthttp.StatusBadRequest, Code: "request_exceeds_burst",
		Message: "prompt and maximum output are larger than the tenant's burst; ask for less output or for a larger burst",
	})
	errDraining = httpserver.NewRefusal(httpserver.RefusalConfig{
		Status: fasthttp.StatusServiceUnavailable, Code: "leaving",
		Message: "this instance is stopping; retry, which reaches another instance",
	})
	errOverloaded = httpserver.NewRefusal(httpserver.RefusalConfig{
		Status: fasthttp.StatusServiceUnavailable, Code: "overloaded",
		Message: "this instance has more requests than it can take; retry after the time in Retry-After",
	})
)
