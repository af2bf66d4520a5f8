package ratelimit

import (
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/entry/router"
)

// Message is an input of Core.
type Message interface{ limiterMessage() }

// AdmissionRequested carries a request that needs tokens.
type AdmissionRequested struct {
	request router.Request
}

// NewAdmissionRequested returns the message.
func NewAdmissionRequested(request router.Request) AdmissionRequested {
	return AdmissionRequested{request: request}
}

// Abandoned reports that the answer to a request is no longer wanted.
type Abandoned struct {
	request string
}

// NewAbandoned returns the message for the request with the given ID.
func NewAbandoned(request string) Abandoned { return Abandoned{request: request} }

// Refund returns the tokens that an admitted request did not use.
type Refund struct {
	tenant string
	tokens int64
}

// NewRefund returns the message.
func NewRefund(tenant string, tokens int64) Refund { return Refund{tenant: tenant, tokens: tokens} }

// LendAnswered is the result of a SendLend.
type LendAnswered struct {
	peer   string
	serial int64
	loans  protocol.Loans
	err    error
}

// NewLendAnswered returns the answer to a call, or err if there was none.
func NewLendAnswered(peer string, serial int64, loans protocol.Loans, err error) LendAnswered {
	return LendAnswered{peer: peer, serial: serial, loans: loans, err: err}
}

// LendRequested is a peer's request for allowances.
type LendRequested struct {
	lend  protocol.Lend
	reply *ring.Ring
}

// NewLendRequested returns the message; the answer is put into reply.
func NewLendRequested(lend protocol.Lend, reply *ring.Ring) LendRequested {
	return LendRequested{lend: lend, reply: reply}
}

// HandOverRequested carries the state of a draining owner.
type HandOverRequested struct {
	handOver protocol.HandOver
	reply    *ring.Ring
}

// NewHandOverRequested returns the message; the answer is put into reply.
func NewHandOverRequested(handOver protocol.HandOver, reply *ring.Ring) HandOverRequested {
	return HandOverRequested{handOver: handOver, reply: reply}
}

// HandOverAnswered is the result of a SendHandOver.
type HandOverAnswered struct {
	role  string
	taken bool
}

// NewHandOverAnswered returns the message; taken reports whether the peer took
// the role.
func NewHandOverAnswered(role string, taken bool) HandOverAnswered {
	return HandOverAnswered{role: role, taken: taken}
}

// RevisionChanged carries a new revision of the fleet state, with its claims.
type RevisionChanged struct {
	revision *fleetstate.Revision
}

// NewRevisionChanged returns the message.
func NewRevisionChanged(revision *fleetstate.Revision) RevisionChanged {
	return RevisionChanged{revision: revision}
}

// Drain starts a drain: the return of allowances and the hand-over of
// buckets.
type Drain struct{}

func (AdmissionRequested) limiterMessage() {}
func (Abandoned) limiterMessage()          {}
func (Refund) limiterMessage()             {}
func (LendAnswered) limiterMessage()       {}
func (LendRequested) limiterMessage()      {}
func (HandOverRequested) limiterMessage()  {}
func (HandOverAnswered) limiterMessage()   {}
func (RevisionChanged) limiterMessage()    {}
func (Drain) limiterMessage()              {}

// Action is an output of Core that the Limiter executes.
type Action interface{ limiterAction() }

// Admit passes an admitted request to the router.
type Admit struct {
	request router.Request
}

// ForwardAbandoned reports to the router that the answer to an admitted request is
// no longer wanted.
type ForwardAbandoned struct {
	request string
}

// Refuse ends a request that was not admitted.
type Refuse struct {
	request    string
	refusal    *httpserver.Refusal
	retryAfter time.Duration
}

// RequestID returns the request's ID.
func (r Refuse) RequestID() string { return r.request }

// Refusal returns the answer's status, cause and outcome.
func (r Refuse) Refusal() *httpserver.Refusal { return r.refusal }

// RetryAfter returns the time after which a retry can succeed.
func (r Refuse) RetryAfter() time.Duration { return r.retryAfter }

// SendLend calls a peer to borrow and return allowances.
type SendLend struct {
	peer    string
	address string
	lend    protocol.Lend
}

// Reply answers a peer's call.
type Reply struct {
	reply  *ring.Ring
	answer any // protocol.Loans or protocol.HandedOver
}

// Append appends a claim to the log.
type Append struct {
	record fleetstate.Record
}

// SendHandOver hands the buckets of a claim over to a peer.
type SendHandOver struct {
	peer     string
	address  string
	handOver protocol.HandOver
}

// Drained reports that nothing is left to return or to hand over.
type Drained struct{}

func (Admit) limiterAction()            {}
func (ForwardAbandoned) limiterAction() {}
func (Refuse) limiterAction()           {}
func (SendLend) limiterAction()         {}
func (Reply) limiterAction()            {}
func (Append) limiterAction()           {}
func (SendHandOver) limiterAction()     {}
func (Drained) limiterAction()          {}
