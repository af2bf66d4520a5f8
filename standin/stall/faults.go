package stall

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/standin/stage"
)

// faults are the failures that a test has asked for.
type faults struct {
	Hold bool `json:"hold"` // make bookings, but hold their answers back
}

// unanswered is a booking whose answer is held back.
type unanswered struct {
	call    *httpserver.Call
	booking Booking
}

// setFaults takes new faults and sends the answers that are held no more.
func (s *Stall) setFaults(call *httpserver.Call) {
	var asked faults
	if err := json.Unmarshal(call.Request().Body(), &asked); err != nil {
		stage.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	s.faults = asked
	stage.ReplyStatus(call, fasthttp.StatusOK)
	if s.faults.Hold {
		return
	}
	for _, held := range s.held {
		answer(held.call, held.booking)
	}
	s.held = nil
}

// finish answers a booking, now or when answers are held no more.
func (s *Stall) finish(call *httpserver.Call, booking Booking) {
	if s.faults.Hold {
		s.held = append(s.held, unanswered{call: call, booking: booking})
		return
	}
	answer(call, booking)
}

func answer(call *httpserver.Call, booking Booking) {
	stage.ReplyJSON(call, fasthttp.StatusCreated, booking)
}
