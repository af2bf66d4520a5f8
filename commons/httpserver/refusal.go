package httpserver

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpmeta"
)

// OutcomeHeader is the header field of each refusal or failure that states whether
// the request may have been run.
const OutcomeHeader = "X-Sesamewell-Outcome"

// Values of OutcomeHeader.
const (
	NotRun     = "not-run"
	MayHaveRun = "may-have-run"
)

// Refusal is an error that is sent to the caller with an HTTP status. Its message
// states the cause and what the caller can do.
type Refusal struct {
	status  int
	code    string
	message string
	outcome string
}

// RefusalConfig holds the construction parameters of a Refusal.
type RefusalConfig struct {
	Status  int    // HTTP status code
	Code    string // machine-readable cause
	Message string // text for the caller
	Outcome string // NotRun or MayHaveRun; NotRun if empty
}

// NewRefusal returns a refusal. If the request may have run, a status that callers take
// to mean the contrary is replaced by 502.
func NewRefusal(config RefusalConfig) *Refusal {
	if config.Outcome == "" {
		config.Outcome = NotRun
	}
	if config.Outcome == MayHaveRun && httpmeta.ImpliesNotRun(config.Status) {
		config.Status = fasthttp.StatusBadGateway
	}
	return &Refusal{status: config.Status, code: config.Code, message: config.Message, outcome: config.Outcome}
}

// Error returns the message for the caller.
func (r *Refusal) Error() string { return r.message }

// Status returns the HTTP status code.
func (r *Refusal) Status() int { return r.status }

// Code returns the machine-readable cause.
func (r *Refusal) Code() string { return r.code }

// Outcome returns NotRun or MayHaveRun.
func (r *Refusal) Outcome() string { return r.outcome }

var (
	errTooManyConns = NewRefusal(RefusalConfig{
		Status: fasthttp.StatusServiceUnavailable, Code: "too_many_connections",
		Message: "this instance has no room for another connection; retry, which may reach another instance",
	})
	errOverloaded = NewRefusal(RefusalConfig{
		Status: fasthttp.StatusServiceUnavailable, Code: "overloaded",
		Message: "this instance has more requests than it can take; retry after a second",
	})
	errHeaderTooLarge = NewRefusal(RefusalConfig{
		Status: fasthttp.StatusRequestHeaderFieldsTooLarge, Code: "header_too_large",
		Message: "the request header is larger than this instance accepts; send fewer or shorter header fields",
	})
	errBodyTooLarge = NewRefusal(RefusalConfig{
		Status: fasthttp.StatusRequestEntityTooLarge, Code: "body_too_large",
		Message: "the request body is larger than this instance accepts; send a shorter one",
	})
	errAmbiguousLength = NewRefusal(RefusalConfig{
		Status: fasthttp.StatusBadRequest, Code: "ambiguous_length",
		Message: "the request has both Content-Length and Transfer-Encoding; send one of them",
	})
	errUnknownCoding = NewRefusal(RefusalConfig{
		Status: fasthttp.StatusBadRequest, Code: "unknown_coding",
		Message: "the request has a Transfer-Encoding other than chunked; send chunks or a Content-Length",
	})
)

// errStopping refuses a request that has not arrived whole when the process ends.
var errStopping = NewRefusal(RefusalConfig{
	Status: fasthttp.StatusServiceUnavailable, Code: "stopping",
	Message: "this instance stops before the request has arrived whole; retry, which reaches another instance",
})

// ErrNoRoom refuses a request for whose body the process has no room now.
var ErrNoRoom = NewRefusal(RefusalConfig{
	Status: fasthttp.StatusServiceUnavailable, Code: "no_room",
	Message: "this instance holds as many bytes of requests as it may; retry after the time in Retry-After",
})

// ErrSlowSender refuses a request that was not received completely within the time
// limit.
var ErrSlowSender = NewRefusal(RefusalConfig{
	Status: fasthttp.StatusRequestTimeout, Code: "request_timeout",
	Message: "the request did not arrive whole in time; send it again without a pause",
})

func errMalformed(cause error) *Refusal {
	return NewRefusal(RefusalConfig{
		Status: fasthttp.StatusBadRequest, Code: "malformed_request",
		Message: "the request is not valid HTTP/1.1: " + cause.Error(),
	})
}

// errorBody is the JSON form of an error in the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// ErrorBody returns the JSON body for a refusal, in the form of the OpenAI API.
func ErrorBody(refusal *Refusal) []byte {
	kind := "invalid_request_error"
	if refusal.status >= fasthttp.StatusInternalServerError {
		kind = "server_error"
	}
	detail := errorDetail{Message: refusal.message, Type: kind, Code: refusal.code}
	body, err := json.Marshal(errorBody{Error: detail})
	if err != nil {
		return nil
	}
	return body
}

// AsRefusal returns the refusal in err's chain, or else a general one with status
// 500 and outcome MayHaveRun.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return NewRefusal(RefusalConfig{
		Status: fasthttp.StatusInternalServerError, Code: "internal_error",
		Message: "the request failed: " + err.Error(), Outcome: MayHaveRun,
	})
}

func refusalResponse(err error) *fasthttp.Response {
	refusal := AsRefusal(err)
	response := &fasthttp.Response{}
	response.SetStatusCode(refusal.status)
	response.Header.SetContentType("application/json")
	response.Header.Set(OutcomeHeader, refusal.outcome)
	if refusal.status == fasthttp.StatusServiceUnavailable {
		response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	}
	response.SetBodyRaw(ErrorBody(refusal))
	return response
}

func refusalBytes(err error) []byte {
	response := refusalResponse(err)
	response.Header.SetConnectionClose()
	body := response.Body()
	response.Header.SetContentLength(len(body))
	return append(response.Header.AppendBytes(nil), body...)
}
