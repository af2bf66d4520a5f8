package protocol

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// ProbeMethod is the name in net/rpc of the side's method that answers probes.
const ProbeMethod = SideService + ".Probe"

// QueryConfig holds the construction parameters of a Query.
type QueryConfig struct {
	Request      string // ID that all attempts of the request share
	Tenant       string
	Model        string   // empty for a plain service
	PrefixHashes []uint64 // hashes of the prompt's leading blocks, each covering those before it
	Urgent       bool     // the request precedes those that are not urgent
}

// Query describes one request for which a side is to estimate its service.
type Query struct {
	config QueryConfig
}

// NewQuery returns a query.
func NewQuery(config QueryConfig) Query { return Query{config: config} }

// Request returns the ID of the request.
func (q Query) Request() string { return q.config.Request }

// Tenant returns the tenant for which the request would run.
func (q Query) Tenant() string { return q.config.Tenant }

// Model returns the model, or "" for a plain service.
func (q Query) Model() string { return q.config.Model }

// PrefixHashes returns the hashes of the prompt's leading blocks, each covering
// those before it.
func (q Query) PrefixHashes() []uint64 { return q.config.PrefixHashes }

// Urgent reports whether the request precedes those that are not urgent.
func (q Query) Urgent() bool { return q.config.Urgent }

// EncodeMsgpack encodes the message as one msgpack array.
func (q Query) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&q.config) }

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (q *Query) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&q.config) }

// ProbeConfig holds the construction parameters of a Probe.
type ProbeConfig struct {
	Entry   string // incarnation of the sending entry
	Queries []Query
}

// Probe queries a side for its load.
type Probe struct {
	config ProbeConfig
}

// NewProbe returns a probe.
func NewProbe(config ProbeConfig) Probe { return Probe{config: config} }

// Entry returns the incarnation of the sending entry.
func (p Probe) Entry() string { return p.config.Entry }

// Queries returns the requests that the entry is to route.
func (p Probe) Queries() []Query { return p.config.Queries }

// MarshalBinary encodes the message.
func (p Probe) MarshalBinary() ([]byte, error) { return encode("probe", &p.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (p *Probe) UnmarshalBinary(data []byte) error { return decode("probe", data, &p.config) }

// EstimateConfig holds the construction parameters of an Estimate.
type EstimateConfig struct {
	Request       string        // ID of the request
	Resident      bool          // the model is loaded
	MatchedBlocks int           // number of leading blocks of the prompt that the backend server has processed before
	FirstToken    time.Duration // expected time until the first byte of an answer
}

// Estimate is a side's estimate of how it would serve one request.
type Estimate struct {
	config EstimateConfig
}

// NewEstimate returns an estimate.
func NewEstimate(config EstimateConfig) Estimate { return Estimate{config: config} }

// Request returns the ID of the request.
func (e Estimate) Request() string { return e.config.Request }

// Resident reports whether the model is loaded.
func (e Estimate) Resident() bool { return e.config.Resident }

// MatchedBlocks returns the number of leading blocks of the prompt that the backend
// server has processed before.
func (e Estimate) MatchedBlocks() int { return e.config.MatchedBlocks }

// FirstToken returns the expected time until the first byte of an answer.
func (e Estimate) FirstToken() time.Duration { return e.config.FirstToken }

// EncodeMsgpack encodes the message as one msgpack array.
func (e Estimate) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&e.config) }

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (e *Estimate) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&e.config) }

// ReportConfig holds the construction parameters of a Report.
type ReportConfig struct {
	Side      string // incarnation of the answering side
	Draining  bool   // the side is draining and accepts no new attempts
	Queued    int    // number of attempts queued for the backend server
	InFlight  int    // number of attempts running on the backend server
	Slots     int    // number of attempts that the backend server may run at once
	Estimates []Estimate
}

// Report is the answer to a Probe.
type Report struct {
	config ReportConfig
}

// NewReport returns an answer to a probe.
func NewReport(config ReportConfig) Report { return Report{config: config} }

// Side returns the incarnation of the answering side.
func (r Report) Side() string { return r.config.Side }

// Draining reports whether the side is draining and accepts no new attempts.
func (r Report) Draining() bool { return r.config.Draining }

// Queued returns the number of attempts queued for the backend server.
func (r Report) Queued() int { return r.config.Queued }

// InFlight returns the number of attempts running on the backend server.
func (r Report) InFlight() int { return r.config.InFlight }

// Slots returns the number of attempts that the backend server may run at once.
func (r Report) Slots() int { return r.config.Slots }

// Estimates returns one estimate for each query.
func (r Report) Estimates() []Estimate { return r.config.Estimates }

// MarshalBinary encodes the message.
func (r Report) MarshalBinary() ([]byte, error) { return encode("report", &r.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (r *Report) UnmarshalBinary(data []byte) error { return decode("report", data, &r.config) }
