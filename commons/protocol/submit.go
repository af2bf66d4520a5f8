package protocol

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// SubmitConfig holds the construction parameters of a Submit.
type SubmitConfig struct {
	Attempt      string // unique ID of the attempt
	Request      string // ID that all attempts of the request share
	Tenant       string
	Grant        string // ID of the API key's permission; empty on an open route
	StateOffset  int64  // offset of the fleet state under which the entry admitted the request
	Model        string // empty for a plain service
	Service      string // empty for a model
	Method       string
	Path         string
	ContentType  string
	Trace        string // W3C traceparent
	Body         []byte
	PrefixHashes []uint64      // hashes of the prompt's leading blocks, each covering those before it
	Stream       bool          // the answer is a stream of events
	Urgent       bool          // the request precedes those that are not urgent
	Idempotent   bool          // the request may be run more than once
	Tokens       int64         // upper bound on the total of prompt and output tokens
	Remaining    time.Duration // time left until the request's deadline
	Exclusive    bool          // the backend server must run no other attempt at the same time
}

// Submit orders a side to run one attempt of a request.
type Submit struct {
	config SubmitConfig
}

// NewSubmit returns a submit message.
func NewSubmit(config SubmitConfig) Submit { return Submit{config: config} }

// Attempt returns the attempt's ID.
func (s Submit) Attempt() string { return s.config.Attempt }

// Request returns the ID of the request that the attempt belongs to.
func (s Submit) Request() string { return s.config.Request }

// Tenant returns the tenant for which the attempt runs.
func (s Submit) Tenant() string { return s.config.Tenant }

// Grant returns the ID of the API key's permission under which the attempt runs, or
// "" on an open route.
func (s Submit) Grant() string { return s.config.Grant }

// StateOffset returns the offset of the fleet state under which the entry admitted
// the request.
func (s Submit) StateOffset() int64 { return s.config.StateOffset }

// Model returns the model to run, or "" for a plain service.
func (s Submit) Model() string { return s.config.Model }

// Service returns the plain service to call, or "" for a model.
func (s Submit) Service() string { return s.config.Service }

// Method returns the HTTP method.
func (s Submit) Method() string { return s.config.Method }

// Path returns the request path with its query.
func (s Submit) Path() string { return s.config.Path }

// ContentType returns the body's media type.
func (s Submit) ContentType() string { return s.config.ContentType }

// Trace returns the W3C traceparent of the calling span.
func (s Submit) Trace() string { return s.config.Trace }

// Body returns the request body, which the caller must not modify.
func (s Submit) Body() []byte { return s.config.Body }

// PrefixHashes returns the hashes of the prompt's leading blocks, each covering
// those before it.
func (s Submit) PrefixHashes() []uint64 { return s.config.PrefixHashes }

// Stream reports whether the answer is a stream of events.
func (s Submit) Stream() bool { return s.config.Stream }

// Urgent reports whether the request precedes those that are not urgent.
func (s Submit) Urgent() bool { return s.config.Urgent }

// Idempotent reports whether the request may be run more than once.
func (s Submit) Idempotent() bool { return s.config.Idempotent }

// Tokens returns the upper bound on the total of prompt and output tokens.
func (s Submit) Tokens() int64 { return s.config.Tokens }

// Exclusive reports whether the backend server must run no other attempt at the
// same time.
func (s Submit) Exclusive() bool { return s.config.Exclusive }

// Remaining returns the time left until the request's deadline.
func (s Submit) Remaining() time.Duration { return s.config.Remaining }

// EncodeMsgpack encodes the message as one msgpack array.
func (s Submit) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&s.config) }

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (s *Submit) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&s.config) }

// BatchConfig holds the construction parameters of a Batch.
type BatchConfig struct {
	Entry     string // incarnation of the sending entry
	Side      string // incarnation of the side that the batch is addressed to; empty if unknown
	Submits   []Submit
	Cancels   []string  // IDs of attempts whose answers are no longer awaited
	Freshness Freshness // freshness proofs of the sender
}

// Batch carries new attempts and cancellations from an entry to a side.
type Batch struct {
	config BatchConfig
}

// NewBatch returns a batch.
func NewBatch(config BatchConfig) Batch { return Batch{config: config} }

// Entry returns the incarnation of the sending entry.
func (b Batch) Entry() string { return b.config.Entry }

// Side returns the incarnation of the side that the batch is addressed to, or "" if
// the entry does not have it yet.
func (b Batch) Side() string { return b.config.Side }

// Submits returns the new attempts.
func (b Batch) Submits() []Submit { return b.config.Submits }

// Cancels returns the IDs of the attempts to cancel.
func (b Batch) Cancels() []string { return b.config.Cancels }

// Freshness returns the sender's freshness proofs.
func (b Batch) Freshness() Freshness { return b.config.Freshness }

// MarshalBinary encodes the message.
func (b Batch) MarshalBinary() ([]byte, error) { return encode("batch", &b.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (b *Batch) UnmarshalBinary(data []byte) error { return decode("batch", data, &b.config) }

// ReceiptConfig holds the construction parameters of a Receipt.
type ReceiptConfig struct {
	Attempt    string
	Accepted   bool
	Code       string        // cause of a refusal, one of the Code constants
	RetryAfter time.Duration // earliest useful time of a retry at the same side
}

// Receipt states whether a side accepted an attempt. A refused attempt has not run
// and will not run.
type Receipt struct {
	config ReceiptConfig
}

// NewReceipt returns a receipt.
func NewReceipt(config ReceiptConfig) Receipt { return Receipt{config: config} }

// Attempt returns the attempt's ID.
func (r Receipt) Attempt() string { return r.config.Attempt }

// Accepted reports whether the side accepted the attempt.
func (r Receipt) Accepted() bool { return r.config.Accepted }

// Code returns the cause of a refusal, one of the Code constants.
func (r Receipt) Code() string { return r.config.Code }

// RetryAfter returns the earliest useful time of a retry at the same side.
func (r Receipt) RetryAfter() time.Duration { return r.config.RetryAfter }

// EncodeMsgpack encodes the message as one msgpack array.
func (r Receipt) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&r.config) }

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (r *Receipt) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&r.config) }

// ReceiptsConfig holds the construction parameters of a Receipts.
type ReceiptsConfig struct {
	Side      string // incarnation of the answering side
	Receipts  []Receipt
	Freshness Freshness // freshness proofs of the sender
}

// Receipts is the answer to a Batch, with one receipt for each submit.
type Receipts struct {
	config ReceiptsConfig
}

// NewReceipts returns an answer to a batch.
func NewReceipts(config ReceiptsConfig) Receipts { return Receipts{config: config} }

// Side returns the incarnation of the answering side.
func (r Receipts) Side() string { return r.config.Side }

// Receipts returns one receipt for each submit.
func (r Receipts) Receipts() []Receipt { return r.config.Receipts }

// Freshness returns the sender's freshness proofs.
func (r Receipts) Freshness() Freshness { return r.config.Freshness }

// MarshalBinary encodes the message.
func (r Receipts) MarshalBinary() ([]byte, error) { return encode("receipts", &r.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (r *Receipts) UnmarshalBinary(data []byte) error { return decode("receipts", data, &r.config) }

// WithFreshness returns a copy of r that carries freshness.
func (r Receipts) WithFreshness(freshness Freshness) Receipts {
	r.config.Freshness = freshness
	return r
}
