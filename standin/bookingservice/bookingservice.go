// Package bookingservice simulates a plain HTTP service with calls that are not
// idempotent: each POST makes one more booking.
package bookingservice

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/standin/server"
)

// Booking is the JSON form of a booking. The service lists bookings as an array.
type Booking struct {
	Number  int    `json:"number"`
	Request string `json:"request"`
	Tenant  string `json:"tenant"`
	Body    string `json:"body"`
}

// Service stores the bookings made so far. Its methods run on the server's
// event loop.
type Service struct {
	bookings    []Booking
	received    bytes.Buffer
	faults      faults
	heldAnswers []heldAnswer
}

// received is the JSON form of the requests received so far: the number of
// bookings made, and the headers and bodies of all requests.
type received struct {
	Runs  int    `json:"runs"`
	Bytes string `json:"bytes"`
}

// New returns a Service without bookings.
func New() *Service { return &Service{} }

// Start does nothing: the bookings survive a restart of the event loop.
func (s *Service) Start(time.Time) error { return nil }

// Tick does nothing.
func (s *Service) Tick(time.Time) error { return nil }

// Handle makes a booking for each POST and lists the bookings for other methods.
func (s *Service) Handle(_ time.Time, message any) error {
	call, ok := message.(*httpserver.Call)
	if !ok {
		return nil
	}
	request := call.Request()
	if string(request.URI().Path()) == "/received" {
		server.ReplyJSON(call, fasthttp.StatusOK, received{Runs: len(s.bookings), Bytes: s.received.String()})
		return nil
	}
	if string(request.URI().Path()) == "/faults" {
		s.setFaults(call)
		return nil
	}
	s.received.Write(request.Header.Header())
	s.received.Write(request.Body())
	if !request.Header.IsPost() {
		server.ReplyJSON(call, fasthttp.StatusOK, s.bookings)
		return nil
	}
	booking := Booking{
		Number:  len(s.bookings) + 1,
		Request: string(request.Header.Peek("X-Request-Id")),
		Tenant:  string(request.Header.Peek("X-Sesamewell-Tenant")),
		Body:    string(request.Body()),
	}
	s.bookings = append(s.bookings, booking)
	s.answerOrHold(call, booking)
	return nil
}
