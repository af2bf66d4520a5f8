package protocol

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Names in net/rpc of an entry's rate-limiting service and of its methods.
const (
	RateLimitService = "Treasury"
	LendMethod       = RateLimitService + ".Lend"
	HandOverMethod   = RateLimitService + ".HandOver"
)

// LoanRequestConfig holds the construction parameters of a LoanRequest.
type LoanRequestConfig struct {
	Tenant  string
	Min     int64 // tokens without which no waiting request can be admitted
	Backlog int64 // tokens needed to admit all waiting requests
	Reserve int64 // tokens beyond Backlog for future requests
}

// LoanRequest states how many of a tenant's tokens an entry requests.
type LoanRequest struct {
	config LoanRequestConfig
}

// NewLoanRequest returns a loan request.
func NewLoanRequest(config LoanRequestConfig) LoanRequest { return LoanRequest{config: config} }

// Tenant returns the tenant's name.
func (r LoanRequest) Tenant() string { return r.config.Tenant }

// Min returns the number of tokens without which no waiting request can be
// admitted.
func (r LoanRequest) Min() int64 { return r.config.Min }

// Backlog returns the number of tokens needed to admit all waiting requests.
func (r LoanRequest) Backlog() int64 { return r.config.Backlog }

// Reserve returns the number of tokens beyond Backlog for future requests.
func (r LoanRequest) Reserve() int64 { return r.config.Reserve }

// EncodeMsgpack encodes the message as one msgpack array.
func (r LoanRequest) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&r.config) }

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (r *LoanRequest) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&r.config) }

// ReturnConfig holds the construction parameters of a Return.
type ReturnConfig struct {
	Tenant string
	Serial int64 // serial number of the Lend that obtained the allowance
	Tokens int64 // unspent tokens
}

// Return ends an allowance and returns its unspent tokens.
type Return struct {
	config ReturnConfig
}

// NewReturn returns the message that ends an allowance.
func NewReturn(config ReturnConfig) Return { return Return{config: config} }

// Tenant returns the tenant's name.
func (r Return) Tenant() string { return r.config.Tenant }

// Serial returns the serial number of the Lend that obtained the allowance.
func (r Return) Serial() int64 { return r.config.Serial }

// Tokens returns the number of unspent tokens.
func (r Return) Tokens() int64 { return r.config.Tokens }

// EncodeMsgpack encodes the message as one msgpack array.
func (r Return) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&r.config) }

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (r *Return) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&r.config) }

// LendConfig holds the construction parameters of a Lend.
type LendConfig struct {
	Borrower string // incarnation of the borrowing entry
	Serial   int64  // increases with each Lend of this incarnation
	Requests []LoanRequest
	Returns  []Return
}

// Lend requests allowances from an owner of tenants' buckets and returns those that
// have ended. Without loan requests it serves as a heartbeat.
type Lend struct {
	config LendConfig
}

// NewLend returns a Lend message.
func NewLend(config LendConfig) Lend { return Lend{config: config} }

// Borrower returns the incarnation of the borrowing entry.
func (l Lend) Borrower() string { return l.config.Borrower }

// Serial returns the message's serial number, which increases with each Lend of
// this incarnation.
func (l Lend) Serial() int64 { return l.config.Serial }

// Requests returns the loan requests.
func (l Lend) Requests() []LoanRequest { return l.config.Requests }

// Returns returns the allowances that the entry has ended.
func (l Lend) Returns() []Return { return l.config.Returns }

// MarshalBinary encodes the message.
func (l Lend) MarshalBinary() ([]byte, error) { return encode("lend", &l.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (l *Lend) UnmarshalBinary(data []byte) error { return decode("lend", data, &l.config) }

// LoanConfig holds the construction parameters of a Loan.
type LoanConfig struct {
	Tenant string
	Tokens int64         // number of tokens lent; zero if refused
	Wait   time.Duration // time after which a refused request can be granted; zero if unknown
}

// Loan is a granted allowance or a refusal. An allowance expires a fixed time after
// the entry sent its Lend.
type Loan struct {
	config LoanConfig
}

// NewLoan returns a loan.
func NewLoan(config LoanConfig) Loan { return Loan{config: config} }

// Tenant returns the tenant's name.
func (l Loan) Tenant() string { return l.config.Tenant }

// Tokens returns the number of tokens lent, zero if refused.
func (l Loan) Tokens() int64 { return l.config.Tokens }

// Wait returns the time after which a refused request can be granted, zero if
// unknown.
func (l Loan) Wait() time.Duration { return l.config.Wait }

// EncodeMsgpack encodes the message as one msgpack array.
func (l Loan) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&l.config) }

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (l *Loan) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&l.config) }

// LoansConfig holds the construction parameters of a Loans.
type LoansConfig struct {
	Owner string // incarnation of the answering entry, which owns the buckets; empty if it may not lend now
	Loans []Loan
}

// Loans is the answer to a Lend, with one loan for each loan request.
type Loans struct {
	config LoansConfig
}

// NewLoans returns a Loans message.
func NewLoans(config LoansConfig) Loans { return Loans{config: config} }

// Owner returns the incarnation of the entry that owns the buckets, or "" if the
// answering entry may not lend now.
func (l Loans) Owner() string { return l.config.Owner }

// Loans returns one loan for each loan request.
func (l Loans) Loans() []Loan { return l.config.Loans }

// MarshalBinary encodes the message.
func (l Loans) MarshalBinary() ([]byte, error) { return encode("loans", &l.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (l *Loans) UnmarshalBinary(data []byte) error { return decode("loans", data, &l.config) }
