package protocol

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// PositionConfig holds the construction parameters of a Position.
type PositionConfig struct {
	Attempt string
	Offset  int64 // bytes of the answer that the entry holds
	Ended   bool  // the entry has seen the end
}

// Position tells how much of an attempt's answer an entry holds.
type Position struct {
	config PositionConfig
}

// NewPosition returns a position.
func NewPosition(config PositionConfig) Position { return Position{config: config} }

// Attempt returns the attempt's id.
func (p Position) Attempt() string { return p.config.Attempt }

// Offset returns the number of bytes of the answer that the entry holds.
func (p Position) Offset() int64 { return p.config.Offset }

// Ended reports whether the entry has seen the answer's end.
func (p Position) Ended() bool { return p.config.Ended }

// EncodeMsgpack writes the message as one msgpack array.
func (p Position) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&p.config) }

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (p *Position) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&p.config) }

// ReadConfig holds the construction parameters of a Read.
type ReadConfig struct {
	Entry     string        // incarnation of the reading entry
	Number    uint64        // grows with each read of an entry from a side
	Resume    bool          // an earlier answer may be lost; send again what is not confirmed
	Positions []Position    // positions that changed since the last read
	Wait      time.Duration // longest time to wait for something to send
	Freshness Freshness     // of what the sender knows of the log
}

// Read asks a side for the next pieces of all answers that an entry awaits
// from it.
type Read struct {
	config ReadConfig
}

// NewRead returns a read.
func NewRead(config ReadConfig) Read { return Read{config: config} }

// Entry returns the incarnation of the reading entry.
func (r Read) Entry() string { return r.config.Entry }

// Number returns the read's number, which grows with each read of an entry
// from a side.
func (r Read) Number() uint64 { return r.config.Number }

// Resume reports whether the side must send again all that is not confirmed.
func (r Read) Resume() bool { return r.config.Resume }

// Positions returns the positions that changed since the last read.
func (r Read) Positions() []Position { return r.config.Positions }

// Wait returns the longest time to wait for something to send.
func (r Read) Wait() time.Duration { return r.config.Wait }

// Freshness tells how recently the sender knew the head of the log.
func (r Read) Freshness() Freshness { return r.config.Freshness }

// MarshalBinary encodes the message.
func (r Read) MarshalBinary() ([]byte, error) { return encode("read", &r.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (r *Read) UnmarshalBinary(data []byte) error { return decode("read", data, &r.config) }

// State is the state of an attempt's answer.
type AnswerState uint8

// States of an answer.
const (
	AnswerOpen     AnswerState = iota // more will follow
	AnswerComplete                    // complete
	AnswerFailed                      // will not be completed
)

// PageConfig holds the construction parameters of a Page.
type PageConfig struct {
	Attempt     string
	Offset      int64 // position of Data's first byte in the answer
	Data        []byte
	State       AnswerState
	Status      int // HTTP status of the answer; zero while unknown
	ContentType string
	Code        string        // cause of a failure
	MayHaveRun  bool          // a failed attempt may have been run
	RetryAfter  time.Duration // of a failure; zero if unknown
}

// Page is one piece of an attempt's answer.
type Page struct {
	config PageConfig
}

// NewPage returns a page.
func NewPage(config PageConfig) Page { return Page{config: config} }

// Attempt returns the attempt's id.
func (p Page) Attempt() string { return p.config.Attempt }

// Offset returns the position of the data's first byte in the answer.
func (p Page) Offset() int64 { return p.config.Offset }

// Data returns the bytes, which must not be changed.
func (p Page) Data() []byte { return p.config.Data }

// State returns the answer's state after this page.
func (p Page) State() AnswerState { return p.config.State }

// Status returns the answer's HTTP status, or zero while it is unknown.
func (p Page) Status() int { return p.config.Status }

// ContentType returns the answer's media type.
func (p Page) ContentType() string { return p.config.ContentType }

// Code returns the cause of a failure.
func (p Page) Code() string { return p.config.Code }

// Ran reports whether a failed attempt may have been run.
func (p Page) MayHaveRun() bool { return p.config.MayHaveRun }

// RetryAfter returns the earliest useful time of a retry, or zero.
func (p Page) RetryAfter() time.Duration { return p.config.RetryAfter }

// EncodeMsgpack writes the message as one msgpack array.
func (p Page) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&p.config) }

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (p *Page) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&p.config) }

// PagesConfig holds the construction parameters of a Pages.
type PagesConfig struct {
	Side      string // incarnation of the answering side
	Leaving   bool   // the side takes no new work
	Queued    int    // attempts that wait for the backend server
	InFlight  int    // attempts that the backend server runs
	Pages     []Page
	Freshness Freshness // of what the sender knows of the log
}

// Pages answers a read.
type Pages struct {
	config PagesConfig
}

// NewPages returns the answer to a read.
func NewPages(config PagesConfig) Pages { return Pages{config: config} }

// Side returns the incarnation of the answering side.
func (p Pages) Side() string { return p.config.Side }

// Leaving reports whether the side takes no new work.
func (p Pages) Leaving() bool { return p.config.Leaving }

// Queued returns the number of attempts that wait for the backend server.
func (p Pages) Queued() int { return p.config.Queued }

// InFlight returns the number of attempts that the backend server runs.
func (p Pages) InFlight() int { return p.config.InFlight }

// Pages returns the pieces, oldest first for each attempt.
func (p Pages) Pages() []Page { return p.config.Pages }

// Freshness tells how recently the sender knew the head of the log.
func (p Pages) Freshness() Freshness { return p.config.Freshness }

// MarshalBinary encodes the message.
func (p Pages) MarshalBinary() ([]byte, error) { return encode("pages", &p.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (p *Pages) UnmarshalBinary(data []byte) error { return decode("pages", data, &p.config) }

// WithFreshness returns the pages with the sender's word on the log.
func (p Pages) WithFreshness(freshness Freshness) Pages {
	p.config.Freshness = freshness
	return p
}
