package protocol

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// NoProof is the age that stands for a missing proof. The zero Freshness proves
// nothing.
const NoProof time.Duration = 0

// FreshnessConfig holds the construction parameters of a Freshness.
type FreshnessConfig struct {
	Process       uint64        // random id of the sender's start
	Stamp         time.Duration // sender's monotonic clock at the time of sending
	EchoedProcess uint64        // process whose stamp is echoed; zero if none
	Echo          time.Duration // newest stamp that the sender had from the receiver
	NewestHead    int64         // newest head of the log that the sender has heard of
	ReadHead      int64         // head of the log that the sender knows from a log read
	ReadAge       time.Duration // time since before that read was sent, or NoProof
	RoundHead     int64         // head that no live process was ahead of
	RoundAge      time.Duration // time since before the first of them was asked, or NoProof
}

// Freshness tells how recently its sender knew the head of the log. It rides on
// the messages between processes.
type Freshness struct {
	config FreshnessConfig
}

// NewFreshness returns the message.
func NewFreshness(config FreshnessConfig) Freshness { return Freshness{config: config} }

// Process returns the random id of the sender's start.
func (f Freshness) Process() uint64 { return f.config.Process }

// Stamp returns the sender's monotonic clock at the time of sending.
func (f Freshness) Stamp() time.Duration { return f.config.Stamp }

// Echo returns the newest stamp that the sender had from the process, and
// whether it had one.
func (f Freshness) Echo(process uint64) (time.Duration, bool) {
	return f.config.Echo, f.config.EchoedProcess == process && process != 0
}

// Heard returns the newest head of the log that the sender has heard of.
func (f Freshness) NewestHead() int64 { return f.config.NewestHead }

// Read returns the head that the sender knows from a log read, and the age of
// that knowledge, which is NoProof when there is none.
func (f Freshness) Read() (head int64, age time.Duration) { return f.config.ReadHead, f.config.ReadAge }

// Round returns the head that no live process was ahead of, and the age of that
// knowledge, which is NoProof when there is none.
func (f Freshness) Round() (head int64, age time.Duration) {
	return f.config.RoundHead, f.config.RoundAge
}

// EncodeMsgpack writes the message as one msgpack array.
func (f Freshness) EncodeMsgpack(encoder *msgpack.Encoder) error { return encoder.Encode(&f.config) }

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (f *Freshness) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Decode(&f.config) }

// MarshalBinary encodes the message.
func (f Freshness) MarshalBinary() ([]byte, error) { return encode("freshness", &f.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (f *Freshness) UnmarshalBinary(data []byte) error {
	return decode("freshness", data, &f.config)
}
