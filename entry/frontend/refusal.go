package frontend

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/protocol"
)

// Refusals by the front end itself.
var (
	errOverloaded = httpserver.NewRefusal(httpserver.RefusalConfig{
		Status: fasthttp.StatusServiceUnavailable, Code: "overloaded",
		Message: "this instance has more requests than it can take; retry after the time in Retry-After",
	})
	errDraining = httpserver.NewRefusal(httpserver.RefusalConfig{
		Status: fasthttp.StatusServiceUnavailable, Code: "leaving",
		Message: "this instance is stopping; retry, which reaches another instance",
	})
	errNoRevision = httpserver.NewRefusal(httpserver.RefusalConfig{
		Status: fasthttp.StatusServiceUnavailable, Code: "no_configuration",
		Message: "this instance has not read its configuration yet; retry after the time in Retry-After",
	})
	errNotCurrent = httpserver.NewRefusal(httpserver.RefusalConfig{
		Status: fasthttp.StatusServiceUnavailable, Code: protocol.CodeNotCurrent,
		Message: "this instance cannot tell whether its configuration is current; retry, which reaches another instance",
	})
	errFreshnessExpired = httpserver.NewRefusal(httpserver.RefusalConfig{
		Status: fasthttp.StatusServiceUnavailable, Code: protocol.CodeNotCurrent, Outcome: httpserver.MayHaveRun,
		Message: "this instance can no longer tell whether the key stands; retry, which reaches another instance",
	})
	errWithdrawn = httpserver.NewRefusal(httpserver.RefusalConfig{
		Status: fasthttp.StatusUnauthorized, Code: protocol.CodeKeyWithdrawn, Outcome: httpserver.MayHaveRun,
		Message: "the key was withdrawn while the request ran; ask your operator for a new one",
	})
	errLost = httpserver.NewRefusal(httpserver.RefusalConfig{
		Status: fasthttp.StatusGatewayTimeout, Code: "deadline_exceeded", Outcome: httpserver.MayHaveRun,
		Message: "the request's time was over before its answer was whole",
	})
	errStopped = httpserver.NewRefusal(httpserver.RefusalConfig{
		Status: fasthttp.StatusGatewayTimeout, Code: "stopped", Outcome: httpserver.MayHaveRun,
		Message: "this instance stopped before the answer was whole; see " + httpserver.OutcomeHeader + " before sending the request again",
	})
	errBackendRefused = httpserver.NewRefusal(httpserver.RefusalConfig{
		Status: fasthttp.StatusBadGateway, Code: "backend_refused", Outcome: httpserver.MayHaveRun,
		Message: "the backend server refused the request, but may have run it; see " + httpserver.OutcomeHeader + " before sending it again",
	})
	errAnswerTooLarge = httpserver.NewRefusal(httpserver.RefusalConfig{
		Status: fasthttp.StatusBadGateway, Code: "answer_too_large", Outcome: httpserver.MayHaveRun,
		Message: "the answer is larger than this instance may hold; ask for a shorter or streamed answer",
	})
	errNoRoomForAnswer = httpserver.NewRefusal(httpserver.RefusalConfig{
		Status: fasthttp.StatusBadGateway, Code: "no_room_for_answer", Outcome: httpserver.MayHaveRun,
		Message: "this instance holds too many bytes of answers, of which this one is the largest; ask for a shorter or streamed answer",
	})
)

// refusalResponse returns the answer to a request that is refused before any byte
// of an answer was sent. Retry-After is at least one second.
func refusalResponse(o *openCall, refusal *httpserver.Refusal, retryAfter time.Duration) *fasthttp.Response {
	response := &fasthttp.Response{}
	response.SetStatusCode(refusal.Status())
	response.Header.SetContentType("application/json")
	response.Header.Set(httpserver.OutcomeHeader, refusal.Outcome())
	if refusal.Status() == fasthttp.StatusServiceUnavailable || refusal.Status() == fasthttp.StatusTooManyRequests {
		seconds := math.Ceil(max(retryAfter, time.Second).Seconds())
		response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	response.SetBodyRaw(httpserver.ErrorBody(refusal))
	o.setHeaders(response)
	return response
}

// errorEvent returns the server-sent event that ends an incomplete stream.
func errorEvent(refusal *httpserver.Refusal) []byte {
	message := &sse.Message{Type: sse.Type("error")}
	message.AppendData(string(httpserver.ErrorBody(refusal)))
	var event bytes.Buffer
	if _, err := message.WriteTo(&event); err != nil {
		return nil
	}
	return event.Bytes()
}
