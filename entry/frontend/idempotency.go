package frontend

import (
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/fleetstate"
)

const (
	idempotencyHeader = "Idempotency-Key"
	maxIdempotencyKey = 255 // bytes
)

// idempotencyKey returns the request's Idempotency-Key, or "". The key is ignored on
// a route whose requests are idempotent, since these may be run several times.
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
