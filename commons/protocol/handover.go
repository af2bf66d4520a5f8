package protocol

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// OutstandingLoanConfig holds the construction parameters of an OutstandingLoan.
type OutstandingLoanConfig struct {
	Borrower  string // incarnation of the borrowing entry
	Serial    int64  // serial number of the Lend that requested the loan
	Tokens    int64
	Remaining time.Duration // time after which the borrower's allowance has certainly expired
}

// OutstandingLoan is an allowance that a borrower has not yet ended, as recorded by
// the bucket's owner.
type OutstandingLoan struct {
	config OutstandingLoanConfig
}

// NewOutstandingLoan returns an outstanding loan.
func NewOutstandingLoan(config OutstandingLoanConfig) OutstandingLoan {
	return OutstandingLoan{config: config}
}

// Borrower returns the incarnation of the borrowing entry.
func (l OutstandingLoan) Borrower() string { return l.config.Borrower }

// Serial returns the serial number of the Lend that requested the loan.
func (l OutstandingLoan) Serial() int64 { return l.config.Serial }

// Tokens returns the number of tokens lent.
func (l OutstandingLoan) Tokens() int64 { return l.config.Tokens }

// Remaining returns the time after which the borrower's allowance has certainly
// expired.
func (l OutstandingLoan) Remaining() time.Duration { return l.config.Remaining }

// EncodeMsgpack encodes the message as one msgpack array.
func (l OutstandingLoan) EncodeMsgpack(encoder *msgpack.Encoder) error {
	return encoder.Encode(&l.config)
}

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (l *OutstandingLoan) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decoder.Decode(&l.config)
}

// BalanceConfig holds the construction parameters of a Balance.
type BalanceConfig struct {
	Tenant string
	Level  int64 // tokens that are neither lent nor spent
	Loans  []OutstandingLoan
}

// Balance is the state of one tenant's bucket.
type Balance struct {
	config BalanceConfig
}

// NewBalance returns a balance.
func NewBalance(config BalanceConfig) Balance { return Balance{config: config} }

// Tenant returns the tenant's name.
func (b Balance) Tenant() string { return b.config.Tenant }

// Level returns the number of tokens that are neither lent nor spent.
func (b Balance) Level() int64 { return b.config.Level }

// Loans returns the outstanding loans.
func (b Balance) Loans() []OutstandingLoan { return b.config.Loans }

// EncodeMsgpack encodes the message as one msgpack array.
func (b Balance) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&b.config) }

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (b *Balance) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&b.config) }

// HandOverConfig holds the construction parameters of a HandOver.
type HandOverConfig struct {
	Role     string // role that the sender claimed
	Epoch    int64  // epoch of the sender's claim
	Balances []Balance
}

// HandOver transfers the buckets of one claim to the entry that is to supersede
// it. After sending it, the sender lends no more tokens under the claim.
type HandOver struct {
	config HandOverConfig
}

// NewHandOver returns a HandOver message.
func NewHandOver(config HandOverConfig) HandOver { return HandOver{config: config} }

// Role returns the role that the sender claimed.
func (h HandOver) Role() string { return h.config.Role }

// Epoch returns the epoch of the sender's claim.
func (h HandOver) Epoch() int64 { return h.config.Epoch }

// Balances returns the state of each tenant's bucket.
func (h HandOver) Balances() []Balance { return h.config.Balances }

// MarshalBinary encodes the message.
func (h HandOver) MarshalBinary() ([]byte, error) { return encode("hand-over", &h.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (h *HandOver) UnmarshalBinary(data []byte) error { return decode("hand-over", data, &h.config) }

// HandedOver answers a HandOver.
type HandedOver struct {
	accepted bool
}

// NewHandedOver returns the answer to a HandOver.
func NewHandedOver(accepted bool) HandedOver { return HandedOver{accepted: accepted} }

// Accepted reports whether the receiver accepted the buckets and will supersede the
// claim.
func (h HandedOver) Accepted() bool { return h.accepted }

// MarshalBinary encodes the message.
func (h HandedOver) MarshalBinary() ([]byte, error) { return encode("handed-over", h.accepted) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (h *HandedOver) UnmarshalBinary(data []byte) error {
	return decode("handed-over", data, &h.accepted)
}
