package protocol

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// NoProof is the age that marks a missing proof. The zero Freshness carries no
// proof.
const NoProof time.Duration = 0

// FreshnessConfig holds the construction parameters of a Freshness.
type FreshnessConfig struct {
	Process       uint64        // random ID of the sender's process
	Stamp         time.Duration // sender's monotonic clock when the message was sent
	EchoedProcess uint64        // ID of the process whose stamp is echoed; zero if none
	Echo          time.Duration // newest stamp that the sender received from the receiver
	NewestHead    int64         // newest head of the log that the sender has read or received
	ReadHead      int64         // head of the log that a read of the log returned
	ReadAge       time.Duration // time since just before that read was sent, or NoProof
	RoundHead     int64         // newest head that the live processes had in a confirmation round
	RoundAge      time.Duration // time since just before the first query of that round was sent, or NoProof
}

// Freshness holds the sender's freshness proofs, as package freshness defines them.
// Batch, Read and their answers carry it.
type Freshness struct {
	config FreshnessConfig
}

// NewFreshness returns a Freshness message.
func NewFreshness(config FreshnessConfig) Freshness { return Freshness{config: config} }

// Process returns the random ID of the sender's process.
func (f Freshness) Process() uint64 { return f.config.Process }

// Stamp returns the sender's monotonic clock when the message was sent.
func (f Freshness) Stamp() time.Duration { return f.config.Stamp }

// Echo returns the newest stamp that the sender received from process, and whether
// it received one.
func (f Freshness) Echo(process uint64) (time.Duration, bool) {
	return f.config.Echo, f.config.EchoedProcess == process && process != 0
}

// NewestHead returns the newest head of the log that the sender has read or
// received.
func (f Freshness) NewestHead() int64 { return f.config.NewestHead }

// Read returns the head that a read of the log returned, and the time since just
// before that read was sent, or NoProof.
func (f Freshness) Read() (head int64, age time.Duration) { return f.config.ReadHead, f.config.ReadAge }

// Round returns the newest head that the live processes had in a confirmation
// round, and the time since just before that round began, or NoProof.
func (f Freshness) Round() (head int64, age time.Duration) {
	return f.config.RoundHead, f.config.RoundAge
}

// EncodeMsgpack encodes the message as one msgpack array.
func (f Freshness) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&f.config) }

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (f *Freshness) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&f.config) }

// MarshalBinary encodes the message.
func (f Freshness) MarshalBinary() ([]byte, error) { return encode("freshness", &f.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (f *Freshness) UnmarshalBinary(data []byte) error {
	return decode("freshness", data, &f.config)
}
