package treasurer

import (
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/wicket"
	"sesamewell.example/entry/router"
)

// Message is what the treasurer's inbox carries.
type Message interface{ treasurerMessage() }

// Ask is a request that has passed the gate and needs tokens.
type Ask struct {
	ask router.Request
}

// NewAsk returns the message.
func NewAsk(ask router.Request) Ask { return Ask{ask: ask} }

// Leave reports that nobody awaits a request's answer any more.
type Leave struct {
	request string
}

// NewLeave returns the message.
func NewLeave(request string) Leave { return Leave{request: request} }

// Refund returns the tokens that an admitted request did not use.
type Refund struct {
	tenant string
	tokens int64
}

// NewRefund returns the message.
func NewRefund(tenant string, tokens int64) Refund { return Refund{tenant: tenant, tokens: tokens} }

// Lent is the outcome of a Call.
type Lent struct {
	peer   string
	serial int64
	loans  notice.Loans
	err    error
}

// NewLent returns the answer to a call, or err if there was none.
func NewLent(peer string, serial int64, loans notice.Loans, err error) Lent {
	return Lent{peer: peer, serial: serial, loans: loans, err: err}
}

// LendArrived is a peer's call for allowances.
type LendArrived struct {
	lend  notice.Lend
	reply *ring.Ring
}

// NewLendArrived returns the message; the answer goes to reply.
func NewLendArrived(lend notice.Lend, reply *ring.Ring) LendArrived {
	return LendArrived{lend: lend, reply: reply}
}

// HandOverArrived brings a leaving owner's state.
type HandOverArrived struct {
	handOver notice.HandOver
	reply    *ring.Ring
}

// NewHandOverArrived returns the message; the answer goes to reply.
func NewHandOverArrived(handOver notice.HandOver, reply *ring.Ring) HandOverArrived {
	return HandOverArrived{handOver: handOver, reply: reply}
}

// HandedOver is the outcome of a Pass.
type HandedOver struct {
	role  string
	taken bool
}

// NewHandedOver returns the message.
func NewHandedOver(role string, taken bool) HandedOver { return HandedOver{role: role, taken: taken} }

// Revised brings a new revision or claim.
type Revised struct {
	revision *register.Revision
}

// NewRevised returns the message.
func NewRevised(revision *register.Revision) Revised { return Revised{revision: revision} }

// Drain asks the treasurer to return its allowances and to hand its buckets
// over.
type Drain struct{}

func (Ask) treasurerMessage()             {}
func (Leave) treasurerMessage()           {}
func (Refund) treasurerMessage()          {}
func (Lent) treasurerMessage()            {}
func (LendArrived) treasurerMessage()     {}
func (HandOverArrived) treasurerMessage() {}
func (HandedOver) treasurerMessage()      {}
func (Revised) treasurerMessage()         {}
func (Drain) treasurerMessage()           {}

// Action is what the core asks its duty to do.
type Action interface{ treasurerAction() }

// Admit passes a request to the usher.
type Admit struct {
	ask router.Request
}

// PassLeave tells the usher that nobody awaits an admitted request any more.
type PassLeave struct {
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
type Call struct {
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
type Pass struct {
	peer     string
	address  string
	handOver notice.HandOver
}

// Drained reports that nothing is left to return or to hand over.
type Drained struct{}

func (Admit) treasurerAction()     {}
func (PassLeave) treasurerAction() {}
func (Refuse) treasurerAction()    {}
func (Call) treasurerAction()      {}
func (Reply) treasurerAction()     {}
func (Append) treasurerAction()    {}
func (Pass) treasurerAction()      {}
func (Drained) treasurerAction()   {}
