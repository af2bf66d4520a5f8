package quarantine

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/register"
	"sesamewell.example/entry/usher"
)

// SentenceConfig holds the construction parameters of a Sentence and is its
// JSON form in the log.
type SentenceConfig struct {
	Fingerprint string    `json:"fingerprint"`
	At          time.Time `json:"at"`
	Until       time.Time `json:"until"`
}

// Sentence bars the requests with one fingerprint for a time.
type Sentence struct {
	config SentenceConfig
}

// NewSentence returns a sentence.
func NewSentence(config SentenceConfig) Sentence { return Sentence{config: config} }

// Fingerprint names the requests.
func (s Sentence) Fingerprint() string { return s.config.Fingerprint }

// Until returns the time at which the sentence ends.
func (s Sentence) Until() time.Time { return s.config.Until }

// Record returns the sentence's record, with the change's id.
func (s Sentence) Record(change string) (register.Record, error) {
	body, err := json.Marshal(s.config)
	if err != nil {
		return register.Record{}, errors.Wrap(err, "encode quarantine")
	}
	return register.NewRecord(register.RecordConfig{Change: change, Kind: register.Quarantine, Body: body}), nil
}

// DecodeSentence reads the sentence of a record, if it carries one.
func DecodeSentence(record register.Record) (Sentence, bool) {
	var s Sentence
	if record.Kind() != register.Quarantine || json.Unmarshal(record.Body(), &s.config) != nil {
		return Sentence{}, false
	}
	return s, s.config.Fingerprint != ""
}

// Message is what the quarantine's inbox carries.
type Message interface{ quarantineMessage() }

// Asked brings a request whose fingerprint is watched.
type Asked struct{ ask usher.Ask }

// NewAsked returns the message.
func NewAsked(ask usher.Ask) Asked { return Asked{ask: ask} }

// Crashed brings a request that was in flight at a crash.
type Crashed struct{ crash usher.Crashed }

// NewCrashed returns the message.
func NewCrashed(crash usher.Crashed) Crashed { return Crashed{crash: crash} }

// Settled reports the end of a request.
type Settled struct {
	request string
	whole   bool
}

// NewSettled returns the message; whole tells whether the answer came whole.
func NewSettled(request string, whole bool) Settled { return Settled{request: request, whole: whole} }

// Folded brings a sentence from the log.
type Folded struct{ sentence Sentence }

// NewFolded returns the message.
func NewFolded(sentence Sentence) Folded { return Folded{sentence: sentence} }

func (Asked) quarantineMessage()   {}
func (Crashed) quarantineMessage() {}
func (Settled) quarantineMessage() {}
func (Folded) quarantineMessage()  {}

// Action is what the core asks its duty to do.
type Action interface{ quarantineAction() }

// Append has a sentence appended to the log.
type Append struct{ sentence Sentence }

// Dispatch hands a suspect to the usher.
type Dispatch struct{ ask usher.Ask }

// Refuse ends a request.
type Refuse struct{ refuse usher.Refuse }

func (Append) quarantineAction()   {}
func (Dispatch) quarantineAction() {}
func (Refuse) quarantineAction()   {}
