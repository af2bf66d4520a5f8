package router

import (
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/wicket"
)

// describe returns the HTTP status and the message for a refusal code. The
// message says what the caller can do.
func describe(code string) (int, string) {
	switch code {
	case notice.CodeNoBackend, notice.CodeLeaving, notice.CodeRestarted, notice.CodeNotResident:
		return fasthttp.StatusServiceUnavailable, "no backend server can take the request now; retry after the time in Retry-After"
	case notice.CodeWithdrawn:
		return fasthttp.StatusUnauthorized, "the key was withdrawn; ask your operator for a new one"
	case notice.CodeNotCurrent:
		return fasthttp.StatusServiceUnavailable, "no instance for the request knows the newest configuration; retry after the time in Retry-After"
	case notice.CodeQueueFull, notice.CodeBusy:
		return fasthttp.StatusServiceUnavailable, "every backend server for the request has a full queue; retry after the time in Retry-After"
	case notice.CodeOverloaded:
		return fasthttp.StatusServiceUnavailable, "the request would wait beyond its deadline; retry after the time in Retry-After"
	case notice.CodeExpired:
		return fasthttp.StatusGatewayTimeout, "the request's time was over before its answer was whole; retry when the load is lower or ask for less output"
	case notice.CodeTooLarge:
		return fasthttp.StatusBadGateway, "the answer is larger than this instance may hold; ask for a shorter or streamed answer"
	default:
		return fasthttp.StatusBadGateway, "the backend server's answer was lost; see " + wicket.OutcomeHeader + " before sending the request again"
	}
}
