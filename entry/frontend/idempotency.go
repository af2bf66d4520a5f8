package frontend

import (
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/fleetstate"
)

const (
	idempotencyHeader = "Idempotency-Key"
	maxIdempotencyKey = 255 // bytes
)

// idempotencyKey returns the key under which a request may run once. Routes
// whose requests may be repeated have no use for one, so it is passed over.
func idempotencyKey(request *fasthttp.Request, route fleetstate.Route) (string, error) {
	if route.Idempotent() {
		return "", nil
	}
	key := request.Header.Peek(idempotencyHeader)
	if len(key) > maxIdempotencyKey {
		return "", badRequest("invalid_idempotency_key", "the "+idempotencyHeader+" is longer than 255 bytes; send a shorter one, such as a UUID")
	}
	return string(key), nil
}
