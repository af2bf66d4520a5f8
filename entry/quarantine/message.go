package quarantine

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/register"
	"sesamewell.example/entry/router"
)

// SentenceConfig holds the construction parameters of a Sentence and is its
// JSON form in the log.
type BanConfig struct {
	Fingerprint string    `json:"fingerprint"`
	At          time.Time `json:"at"`
	Until       time.Time `json:"until"`
}

// Sentence bars the requests with one fingerprint for a time.
type Ban struct {
	config BanConfig
}

// NewSentence returns a sentence.
func NewBan(config BanConfig) Ban { return Ban{config: config} }

// Fingerprint names the requests.
func (s Ban) Fingerprint() string { return s.config.Fingerprint }

// Until returns the time at which the sentence ends.
func (s Ban) Until() time.Time { return s.config.Until }

// Record returns the sentence's record, with the change's id.
func (s Ban) Record(change string) (register.Record, error) {
	body, err := json.Marshal(s.config)
	if err != nil {
		return register.Record{}, errors.Wrap(err, "encode quarantine")
	}
	return register.NewRecord(register.RecordConfig{Change: change, Kind: register.Quarantine, Body: body}), nil
}

// DecodeSentence reads the sentence of a record, if it carries one.
func DecodeBan(record register.Record) (Ban, bool) {
	var s Ban
	if record.Kind() != register.Quarantine || json.Unmarshal(record.Body(), &s.config) != nil {
		return Ban{}, false
	}
	return s, s.config.Fingerprint != ""
}

// Message is what the quarantine's inbox carries.
type Message interface{ quarantineMessage() }

// Asked brings a request whose fingerprint is watched.
type Intercepted struct{ request router.Request }

// NewAsked returns the message.
func NewIntercepted(ask router.Request) Intercepted { return Intercepted{request: ask} }

// Crashed brings a request that was in flight at a crash.
type Crashed struct{ report router.CrashReport }

// NewCrashed returns the message.
func NewCrashed(crash router.CrashReport) Crashed { return Crashed{report: crash} }

// Settled reports the end of a request.
type Finished struct {
	requestID string
	complete  bool
}

// NewSettled returns the message; whole tells whether the answer came whole.
func NewFinished(request string, whole bool) Finished {
	return Finished{requestID: request, complete: whole}
}

// Folded brings a sentence from the log.
type BanLogged struct{ ban Ban }

// NewFolded returns the message.
func NewBanLogged(sentence Ban) BanLogged { return BanLogged{ban: sentence} }

func (Intercepted) quarantineMessage() {}
func (Crashed) quarantineMessage()     {}
func (Finished) quarantineMessage()    {}
func (BanLogged) quarantineMessage()   {}

// Action is what the core asks its duty to do.
type Action interface{ quarantineAction() }

// Append has a sentence appended to the log.
type Append struct{ ban Ban }

// Dispatch hands a suspect to the usher.
type Dispatch struct{ request router.Request }

// Refuse ends a request.
type Refuse struct{ action router.Refuse }

func (Append) quarantineAction()   {}
func (Dispatch) quarantineAction() {}
func (Refuse) quarantineAction()   {}
