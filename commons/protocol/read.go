package protocol

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// PositionConfig holds the construction parameters of a Position.
type PositionConfig struct {
	Attempt string
	Offset  int64 // number of bytes of the answer that the entry holds
	Ended   bool  // the entry has received the end of the answer
}

// Position confirms the part of an attempt's answer that an entry holds.
type Position struct {
	config PositionConfig
}

// NewPosition returns a position.
func NewPosition(config PositionConfig) Position { return Position{config: config} }

// Attempt returns the attempt's ID.
func (p Position) Attempt() string { return p.config.Attempt }

// Offset returns the number of bytes of the answer that the entry holds.
func (p Position) Offset() int64 { return p.config.Offset }

// Ended reports whether the entry has received the end of the answer.
func (p Position) Ended() bool { return p.config.Ended }

// EncodeMsgpack encodes the message as one msgpack array.
func (p Position) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&p.config) }

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (p *Position) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&p.config) }

// ReadConfig holds the construction parameters of a Read.
type ReadConfig struct {
	Entry     string        // incarnation of the reading entry
	Number    uint64        // increases with each read by the entry from the side
	Resume    bool          // an earlier answer may be lost; the side must resend unconfirmed data
	Positions []Position    // positions that changed since the last read
	Wait      time.Duration // maximum time that the side waits for data to send
	Freshness Freshness     // freshness proofs of the sender
}

// Read requests the next pieces of all answers that an entry awaits from a side.
type Read struct {
	config ReadConfig
}

// NewRead returns a read.
func NewRead(config ReadConfig) Read { return Read{config: config} }

// Entry returns the incarnation of the reading entry.
func (r Read) Entry() string { return r.config.Entry }

// Number returns the read's number, which increases with each read by the entry
// from the side.
func (r Read) Number() uint64 { return r.config.Number }

// Resume reports whether the side must resend all unconfirmed data.
func (r Read) Resume() bool { return r.config.Resume }

// Positions returns the positions that changed since the last read.
func (r Read) Positions() []Position { return r.config.Positions }

// Wait returns the maximum time that the side waits for data to send.
func (r Read) Wait() time.Duration { return r.config.Wait }

// Freshness returns the sender's freshness proofs.
func (r Read) Freshness() Freshness { return r.config.Freshness }

// MarshalBinary encodes the message.
func (r Read) MarshalBinary() ([]byte, error) { return encode("read", &r.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (r *Read) UnmarshalBinary(data []byte) error { return decode("read", data, &r.config) }

// AnswerState is the state of an attempt's answer.
type AnswerState uint8

// States of an answer.
const (
	AnswerOpen     AnswerState = iota // more data will follow
	AnswerComplete                    // complete
	AnswerFailed                      // the answer will not be completed
)

// PageConfig holds the construction parameters of a Page.
type PageConfig struct {
	Attempt     string
	Offset      int64 // byte position of Data in the answer
	Data        []byte
	State       AnswerState
	Status      int // HTTP status of the answer; zero while unknown
	ContentType string
	Code        string        // cause of a failure, one of the Code constants
	MayHaveRun  bool          // a failed attempt may have run on the backend server
	RetryAfter  time.Duration // earliest useful time of a retry after a failure; zero if unknown
}

// Page is one piece of an attempt's answer.
type Page struct {
	config PageConfig
}

// NewPage returns a page.
func NewPage(config PageConfig) Page { return Page{config: config} }

// Attempt returns the attempt's ID.
func (p Page) Attempt() string { return p.config.Attempt }

// Offset returns the byte position of the data in the answer.
func (p Page) Offset() int64 { return p.config.Offset }

// Data returns the bytes, which the caller must not modify.
func (p Page) Data() []byte { return p.config.Data }

// State returns the answer's state after this page.
func (p Page) State() AnswerState { return p.config.State }

// Status returns the answer's HTTP status, or zero while it is unknown.
func (p Page) Status() int { return p.config.Status }

// ContentType returns the answer's media type.
func (p Page) ContentType() string { return p.config.ContentType }

// Code returns the cause of a failure, one of the Code constants.
func (p Page) Code() string { return p.config.Code }

// MayHaveRun reports whether a failed attempt may have run on the backend server.
func (p Page) MayHaveRun() bool { return p.config.MayHaveRun }

// RetryAfter returns the earliest useful time of a retry, zero if it is unknown.
func (p Page) RetryAfter() time.Duration { return p.config.RetryAfter }

// EncodeMsgpack encodes the message as one msgpack array.
func (p Page) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&p.config) }

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (p *Page) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&p.config) }

// PagesConfig holds the construction parameters of a Pages.
type PagesConfig struct {
	Side      string // incarnation of the answering side
	Draining  bool   // the side is draining and accepts no new attempts
	Queued    int    // number of attempts queued for the backend server
	InFlight  int    // number of attempts running on the backend server
	Pages     []Page
	Freshness Freshness // freshness proofs of the sender
}

// Pages is the answer to a Read.
type Pages struct {
	config PagesConfig
}

// NewPages returns an answer to a read.
func NewPages(config PagesConfig) Pages { return Pages{config: config} }

// Side returns the incarnation of the answering side.
func (p Pages) Side() string { return p.config.Side }

// Draining reports whether the side is draining and accepts no new attempts.
func (p Pages) Draining() bool { return p.config.Draining }

// Queued returns the number of attempts queued for the backend server.
func (p Pages) Queued() int { return p.config.Queued }

// InFlight returns the number of attempts running on the backend server.
func (p Pages) InFlight() int { return p.config.InFlight }

// Pages returns pieces of answers; those of one attempt are in order.
func (p Pages) Pages() []Page { return p.config.Pages }

// Freshness returns the sender's freshness proofs.
func (p Pages) Freshness() Freshness { return p.config.Freshness }

// MarshalBinary encodes the message.
func (p Pages) MarshalBinary() ([]byte, error) { return encode("pages", &p.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (p *Pages) UnmarshalBinary(data []byte) error { return decode("pages", data, &p.config) }

// WithFreshness returns a copy of p that carries freshness.
func (p Pages) WithFreshness(freshness Freshness) Pages {
	p.config.Freshness = freshness
	return p
}
