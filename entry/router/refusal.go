package router

import (
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/protocol"
)

// describe returns the HTTP status and the message for a refusal code. The
// message states what the caller can do.
func describe(code string) (int, string) {
	switch code {
	case protocol.CodeNoBackend, protocol.CodeDraining, protocol.CodeRestarted, protocol.CodeNotResident:
		return fasthttp.StatusServiceUnavailable, "no backend server can take the request now; retry after the time in Retry-After"
	case protocol.CodeKeyWithdrawn:
		return fasthttp.StatusUnauthorized, "the key was withdrawn; ask your operator for a new one"
	case protocol.CodeNotCurrent:
		return fasthttp.StatusServiceUnavailable, "no instance for the request knows the newest configuration; retry after the time in Retry-After"
	case protocol.CodeQueueFull, protocol.CodeSideOverloaded:
		return fasthttp.StatusServiceUnavailable, "every backend server for the request has a full queue; retry after the time in Retry-After"
	case protocol.CodeWouldExpire:
		return fasthttp.StatusServiceUnavailable, "the request would wait beyond its deadline; retry after the time in Retry-After"
	case protocol.CodeDeadlineExceeded:
		return fasthttp.StatusGatewayTimeout, "the request's time was over before its answer was whole; retry when the load is lower or ask for less output"
	case protocol.CodeAnswerTooLarge:
		return fasthttp.StatusBadGateway, "the answer is larger than this instance may hold; ask for a shorter or streamed answer"
	default:
		return fasthttp.StatusBadGateway, "the backend server's answer was lost; see " + httpserver.OutcomeHeader + " before sending the request again"
	}
}
