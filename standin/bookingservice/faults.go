package bookingservice

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/standin/server"
)

// faults is the JSON form of the faults that a test injects.
type faults struct {
	Hold   bool `json:"hold"`   // make bookings but withhold their answers until Hold is false
	Status int  `json:"status"` // make bookings but answer with this status; zero for none
}

// heldAnswer is a booking whose answer is withheld.
type heldAnswer struct {
	call    *httpserver.Call
	booking Booking
}

// setFaults replaces the faults. If answers are no longer withheld, it sends
// those that were.
func (s *Service) setFaults(call *httpserver.Call) {
	var requested faults
	if err := json.Unmarshal(call.Request().Body(), &requested); err != nil {
		server.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	s.faults = requested
	server.ReplyStatus(call, fasthttp.StatusOK)
	if s.faults.Hold {
		return
	}
	for _, held := range s.heldAnswers {
		replyBooking(held.call, held.booking)
	}
	s.heldAnswers = nil
}

// answerOrHold answers a booking at once, or later if answers are withheld.
func (s *Service) answerOrHold(call *httpserver.Call, booking Booking) {
	if s.faults.Hold {
		s.heldAnswers = append(s.heldAnswers, heldAnswer{call: call, booking: booking})
		return
	}
	if s.faults.Status != 0 {
		server.ReplyStatus(call, s.faults.Status)
		return
	}
	replyBooking(call, booking)
}

func replyBooking(call *httpserver.Call, booking Booking) {
	server.ReplyJSON(call, fasthttp.StatusCreated, booking)
}
