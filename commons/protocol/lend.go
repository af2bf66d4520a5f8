package protocol

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Name of an entry's rate limiting service and of its methods in net/rpc.
const (
	RateLimitService = "Treasury"
	LendMethod       = RateLimitService + ".Lend"
	HandOverMethod   = RateLimitService + ".HandOver"
)

// NeedConfig holds the construction parameters of a Need.
type LoanRequestConfig struct {
	Tenant  string
	Min     int64 // tokens without which nothing that waits can be admitted
	Backlog int64 // tokens that admit everything that waits
	Reserve int64 // tokens beyond All for requests to come
}

// Need tells how many tokens of a tenant an entry wants to borrow.
type LoanRequest struct {
	config LoanRequestConfig
}

// NewNeed returns a need.
func NewLoanRequest(config LoanRequestConfig) LoanRequest { return LoanRequest{config: config} }

// Tenant returns the tenant's name.
func (n LoanRequest) Tenant() string { return n.config.Tenant }

// Least returns the tokens without which nothing that waits can be admitted.
func (n LoanRequest) Min() int64 { return n.config.Min }

// All returns the tokens that admit everything that waits.
func (n LoanRequest) Backlog() int64 { return n.config.Backlog }

// Stock returns the tokens wanted for requests to come.
func (n LoanRequest) Reserve() int64 { return n.config.Reserve }

// EncodeMsgpack writes the message as one msgpack array.
func (n LoanRequest) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&n.config) }

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (n *LoanRequest) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&n.config) }

// GiveBackConfig holds the construction parameters of a GiveBack.
type ReturnConfig struct {
	Tenant string
	Serial int64 // of the Lend that brought the allowance
	Tokens int64 // not spent
}

// GiveBack ends an allowance and returns what is left of it.
type Return struct {
	config ReturnConfig
}

// NewGiveBack returns the end of an allowance.
func NewReturn(config ReturnConfig) Return { return Return{config: config} }

// Tenant returns the tenant's name.
func (g Return) Tenant() string { return g.config.Tenant }

// Serial returns the number of the Lend that brought the allowance.
func (g Return) Serial() int64 { return g.config.Serial }

// Tokens returns the tokens that were not spent.
func (g Return) Tokens() int64 { return g.config.Tokens }

// EncodeMsgpack writes the message as one msgpack array.
func (g Return) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&g.config) }

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (g *Return) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&g.config) }

// LendConfig holds the construction parameters of a Lend.
type LendConfig struct {
	Holder   string // incarnation of the borrowing entry
	Serial   int64  // grows with each Lend of this incarnation
	Requests []LoanRequest
	Returns  []Return
}

// Lend asks an owner of tenants' buckets for allowances. Without needs it is a
// heartbeat.
type Lend struct {
	config LendConfig
}

// NewLend returns the message.
func NewLend(config LendConfig) Lend { return Lend{config: config} }

// Holder returns the incarnation of the borrowing entry.
func (l Lend) Holder() string { return l.config.Holder }

// Serial returns the message's number, which grows with each of this
// incarnation.
func (l Lend) Serial() int64 { return l.config.Serial }

// Needs returns what the entry wants to borrow.
func (l Lend) Requests() []LoanRequest { return l.config.Requests }

// GiveBacks returns the allowances that the entry has ended.
func (l Lend) Returns() []Return { return l.config.Returns }

// MarshalBinary encodes the message.
func (l Lend) MarshalBinary() ([]byte, error) { return encode("lend", &l.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (l *Lend) UnmarshalBinary(data []byte) error { return decode("lend", data, &l.config) }

// LoanConfig holds the construction parameters of a Loan.
type LoanConfig struct {
	Tenant string
	Tokens int64         // zero if refused
	Wait   time.Duration // after which a refused need can be met; zero if not known
}

// Loan is an allowance, or its refusal. It expires a fixed time after the
// entry sent its Lend.
type Loan struct {
	config LoanConfig
}

// NewLoan returns a loan.
func NewLoan(config LoanConfig) Loan { return Loan{config: config} }

// Tenant returns the tenant's name.
func (l Loan) Tenant() string { return l.config.Tenant }

// Tokens returns the tokens lent, zero if refused.
func (l Loan) Tokens() int64 { return l.config.Tokens }

// Wait returns the time after which a refused need can be met, or zero.
func (l Loan) Wait() time.Duration { return l.config.Wait }

// EncodeMsgpack writes the message as one msgpack array.
func (l Loan) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&l.config) }

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (l *Loan) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&l.config) }

// LoansConfig holds the construction parameters of a Loans.
type LoansConfig struct {
	Holder string // incarnation of the answering entry; empty if it may not act now
	Loans  []Loan
}

// Loans answers a Lend with one loan for each need.
type Loans struct {
	config LoansConfig
}

// NewLoans returns the message.
func NewLoans(config LoansConfig) Loans { return Loans{config: config} }

// Holder returns the incarnation of the answering entry, or "" if it may not
// act now.
func (l Loans) Holder() string { return l.config.Holder }

// Loans returns one loan for each need.
func (l Loans) Loans() []Loan { return l.config.Loans }

// MarshalBinary encodes the message.
func (l Loans) MarshalBinary() ([]byte, error) { return encode("loans", &l.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (l *Loans) UnmarshalBinary(data []byte) error { return decode("loans", data, &l.config) }
