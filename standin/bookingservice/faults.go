package bookingservice

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/standin/server"
)

// faults are the failures that a test has asked for.
type faults struct {
	Hold bool `json:"hold"` // make bookings, but hold their answers back
}

// unanswered is a booking whose answer is held back.
type heldAnswer struct {
	call    *httpserver.Call
	booking Booking
}

// setFaults takes new faults and sends the answers that are held no more.
func (s *Service) setFaults(call *httpserver.Call) {
	var asked faults
	if err := json.Unmarshal(call.Request().Body(), &asked); err != nil {
		server.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	s.faults = asked
	server.ReplyStatus(call, fasthttp.StatusOK)
	if s.faults.Hold {
		return
	}
	for _, held := range s.heldAnswers {
		replyBooking(held.call, held.booking)
	}
	s.heldAnswers = nil
}

// finish answers a booking, now or when answers are held no more.
func (s *Service) answerOrHold(call *httpserver.Call, booking Booking) {
	if s.faults.Hold {
		s.heldAnswers = append(s.heldAnswers, heldAnswer{call: call, booking: booking})
		return
	}
	replyBooking(call, booking)
}

func replyBooking(call *httpserver.Call, booking Booking) {
	server.ReplyJSON(call, fasthttp.StatusCreated, booking)
}
