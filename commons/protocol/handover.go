package protocol

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// DebtConfig holds the construction parameters of a Debt.
type OutstandingLoanConfig struct {
	Holder    string // incarnation of the borrowing entry
	Serial    int64  // of its Lend
	Tokens    int64
	Remaining time.Duration // until the allowance has surely expired
}

// Debt is an outstanding allowance as its owner knows it.
type OutstandingLoan struct {
	config OutstandingLoanConfig
}

// NewDebt returns a debt.
func NewOutstandingLoan(config OutstandingLoanConfig) OutstandingLoan {
	return OutstandingLoan{config: config}
}

// Holder returns the incarnation of the borrowing entry.
func (d OutstandingLoan) Holder() string { return d.config.Holder }

// Serial returns the number of the Lend that brought the allowance.
func (d OutstandingLoan) Serial() int64 { return d.config.Serial }

// Tokens returns the tokens lent.
func (d OutstandingLoan) Tokens() int64 { return d.config.Tokens }

// Remaining returns the time until the allowance has surely expired.
func (d OutstandingLoan) Remaining() time.Duration { return d.config.Remaining }

// EncodeMsgpack writes the message as one msgpack array.
func (d OutstandingLoan) EncodeMsgpack(encoder *msgpack.Encoder) error {
	return encoder.Encode(&d.config)
}

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (d *OutstandingLoan) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decoder.Decode(&d.config)
}

// BalanceConfig holds the construction parameters of a Balance.
type BalanceConfig struct {
	Tenant string
	Level  int64 // tokens
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

// Level returns the tokens that are neither lent nor spent.
func (b Balance) Level() int64 { return b.config.Level }

// Debts returns the outstanding allowances.
func (b Balance) Loans() []OutstandingLoan { return b.config.Loans }

// EncodeMsgpack writes the message as one msgpack array.
func (b Balance) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&b.config) }

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (b *Balance) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&b.config) }

// HandOverConfig holds the construction parameters of a HandOver.
type HandOverConfig struct {
	Role     string // that the sender's claim took
	Epoch    int64  // of the sender's claim
	Balances []Balance
}

// HandOver passes the buckets of one claim to the entry that is to supersede
// it. Its sender lends nothing under the claim any more.
type HandOver struct {
	config HandOverConfig
}

// NewHandOver returns the message.
func NewHandOver(config HandOverConfig) HandOver { return HandOver{config: config} }

// Role returns the role that the sender's claim took.
func (h HandOver) Role() string { return h.config.Role }

// Epoch returns the epoch of the sender's claim.
func (h HandOver) Epoch() int64 { return h.config.Epoch }

// Balances returns the state of each bucket.
func (h HandOver) Balances() []Balance { return h.config.Balances }

// MarshalBinary encodes the message.
func (h HandOver) MarshalBinary() ([]byte, error) { return encode("hand-over", &h.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (h *HandOver) UnmarshalBinary(data []byte) error { return decode("hand-over", data, &h.config) }

// HandedOver answers a HandOver.
type HandedOver struct {
	taken bool
}

// NewHandedOver returns the answer.
func NewHandedOver(taken bool) HandedOver { return HandedOver{taken: taken} }

// Taken reports whether the receiver is going to supersede the claim.
func (h HandedOver) Taken() bool { return h.taken }

// MarshalBinary encodes the message.
func (h HandedOver) MarshalBinary() ([]byte, error) { return encode("handed-over", h.taken) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (h *HandedOver) UnmarshalBinary(data []byte) error { return decode("handed-over", data, &h.taken) }
