package scheduler

import "time"

const (
	// maxPassedOver is the number of times that a prompt which does not fit beside the
	// pending prefill of a backend server is passed over by shorter ones. Then the backend
	// server is reserved for it.
	maxPassedOver = 8
	// maxReservation is the longest time for which a backend server is reserved: other
	// lobbies do not know of it and may keep it busy with prefill.
	maxReservation    = 250 * time.Millisecond
	reservationMargin = 30 * time.Millisecond // added to the pending prefill, since that is an estimate
)

// reserve keeps a backend server free for a request whose prompt has been passed over too
// often, until its pending prefill has ended. It reports whether it is reserved.
func (s *server) reserve(now time.Time, req *openRequest) bool {
	if s.reservedFor == req.number && now.Before(s.reservedUntil) {
		return true
	}
	if req.passedOver < maxPassedOver || s.reservedAgainst(now, req) {
		return false
	}
	if r := req.reserved; r != nil && r.reservedFor == req.number && now.Before(r.reservedUntil) {
		return false
	}
	req.passedOver, req.reserved = 0, s
	s.reservedFor = req.number
	s.reservedUntil = now.Add(min(s.prefill+s.peerPrefill+reservationMargin, maxReservation))
	return true
}

// mayBeReservedFor reports whether the backend server could run a request that does not
// fit beside its pending prefill.
func (s *server) mayBeReservedFor(now time.Time, req *openRequest) bool {
	return s.canRun(now, req) && !req.tried[s.backend.ID()]
}

// reservedAgainst reports whether the backend server is reserved for another request.
func (s *server) reservedAgainst(now time.Time, req *openRequest) bool {
	return s.reservedFor != 0 && s.reservedFor != req.number && now.Before(s.reservedUntil)
}
