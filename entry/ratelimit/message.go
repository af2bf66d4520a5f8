package ratelimit

import (
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/wicket"
	"sesamewell.example/entry/router"
)

// Message is what the treasurer's inbox carries.
type Message interface{ limiterMessage() }

// Ask is a request that has passed the gate and needs tokens.
type AdmissionRequested struct {
	request router.Request
}

// NewAsk returns the message.
func NewAdmissionRequested(ask router.Request) AdmissionRequested {
	return AdmissionRequested{request: ask}
}

// Leave reports that nobody awaits a request's answer any more.
type RequestCanceled struct {
	request string
}

// NewLeave returns the message.
func NewRequestCanceled(request string) RequestCanceled { return RequestCanceled{request: request} }

// Refund returns the tokens that an admitted request did not use.
type Refund struct {
	tenant string
	tokens int64
}

// NewRefund returns the message.
func NewRefund(tenant string, tokens int64) Refund { return Refund{tenant: tenant, tokens: tokens} }

// Lent is the outcome of a Call.
type LendAnswered struct {
	peer   string
	serial int64
	loans  notice.Loans
	err    error
}

// NewLent returns the answer to a call, or err if there was none.
func NewLendAnswered(peer string, serial int64, loans notice.Loans, err error) LendAnswered {
	return LendAnswered{peer: peer, serial: serial, loans: loans, err: err}
}

// LendArrived is a peer's call for allowances.
type LendRequested struct {
	lend  notice.Lend
	reply *ring.Ring
}

// NewLendArrived returns the message; the answer goes to reply.
func NewLendRequested(lend notice.Lend, reply *ring.Ring) LendRequested {
	return LendRequested{lend: lend, reply: reply}
}

// HandOverArrived brings a leaving owner's state.
type HandOverRequested struct {
	handOver notice.HandOver
	reply    *ring.Ring
}

// NewHandOverArrived returns the message; the answer goes to reply.
func NewHandOverRequested(handOver notice.HandOver, reply *ring.Ring) HandOverRequested {
	return HandOverRequested{handOver: handOver, reply: reply}
}

// HandedOver is the outcome of a Pass.
type HandOverAnswered struct {
	role  string
	taken bool
}

// NewHandedOver returns the message.
func NewHandOverAnswered(role string, taken bool) HandOverAnswered {
	return HandOverAnswered{role: role, taken: taken}
}

// Revised brings a new revision or claim.
type Revised struct {
	revision *register.Revision
}

// NewRevised returns the message.
func NewRevised(revision *register.Revision) Revised { return Revised{revision: revision} }

// Drain asks the treasurer to return its allowances and to hand its buckets
// over.
type Drain struct{}

func (AdmissionRequested) limiterMessage() {}
func (RequestCanceled) limiterMessage()    {}
func (Refund) limiterMessage()             {}
func (LendAnswered) limiterMessage()       {}
func (LendRequested) limiterMessage()      {}
func (HandOverRequested) limiterMessage()  {}
func (HandOverAnswered) limiterMessage()   {}
func (Revised) limiterMessage()            {}
func (Drain) limiterMessage()              {}

// Action is what the core asks its duty to do.
type Action interface{ limiterAction() }

// Admit passes a request to the usher.
type Admit struct {
	request router.Request
}

// PassLeave tells the usher that nobody awaits an admitted request any more.
type ForwardCancel struct {
	request string
}

// Refuse ends a request that was not admitted.
type Refuse struct {
	request    string
	refusal    *wicket.Refusal
	retryAfter time.Duration
}

// Request returns the request's id.
func (r Refuse) Request() string { return r.request }

// Refusal returns the answer's status, cause and outcome.
func (r Refuse) Refusal() *wicket.Refusal { return r.refusal }

// RetryAfter returns the earliest useful time of a retry.
func (r Refuse) RetryAfter() time.Duration { return r.retryAfter }

// Call asks a peer for allowances.
type SendLend struct {
	peer    string
	address string
	lend    notice.Lend
}

// Reply answers a peer's call.
type Reply struct {
	reply  *ring.Ring
	answer any // notice.Loans or notice.HandedOver
}

// Append puts a claim into the log.
type Append struct {
	record register.Record
}

// Pass hands the buckets of a claim to a peer.
type SendHandOver struct {
	peer     string
	address  string
	handOver notice.HandOver
}

// Drained reports that nothing is left to return or to hand over.
type Drained struct{}

func (Admit) limiterAction()         {}
func (ForwardCancel) limiterAction() {}
func (Refuse) limiterAction()        {}
func (SendLend) limiterAction()      {}
func (Reply) limiterAction()         {}
func (Append) limiterAction()        {}
func (SendHandOver) limiterAction()  {}
func (Drained) limiterAction()       {}
