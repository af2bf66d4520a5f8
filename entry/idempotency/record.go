package idempotency

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/fleetstate"
)

// IntentConfig holds the construction parameters of an Intent and is its JSON
// form.
type IntentConfig struct {
	Scope       string    `json:"scope"`       // hash of tenant, route and Idempotency-Key
	Run         string    `json:"run"`         // unique ID of the run
	Fingerprint string    `json:"fingerprint"` // hash of the request
	At          time.Time `json:"at"`          // time at which the intent was created
	Deadline    time.Time `json:"deadline"`    // time by which the run must end
}

// Intent declares in the log that an entry is about to run a request. Of all
// intents of a scope, only the first in log order is run, by the entry that
// appended it.
type Intent struct {
	config IntentConfig
}

// NewIntent returns an intent.
func NewIntent(config IntentConfig) Intent { return Intent{config: config} }

// Scope returns the hash of tenant, route and Idempotency-Key.
func (i Intent) Scope() string { return i.config.Scope }

// Run returns the ID of the run.
func (i Intent) Run() string { return i.config.Run }

// Fingerprint returns the hash of the request.
func (i Intent) Fingerprint() string { return i.config.Fingerprint }

// MarshalJSON encodes the intent as its IntentConfig.
func (i Intent) MarshalJSON() ([]byte, error) { return json.Marshal(i.config) }

// UnmarshalJSON decodes an intent encoded by MarshalJSON.
func (i *Intent) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &i.config) }

// Result is how a run ended.
type Result string

// Results of runs.
const (
	Answered Result = "answered" // the answer is stored
	NotKept  Result = "not-kept" // the request ran, but its answer is not stored
	Unknown  Result = "unknown"  // the request may have run
	NotRun   Result = "not-run"  // the request did not run and never will; the key can be used again
)

// OutcomeConfig holds the construction parameters of an Outcome and is its
// JSON form.
type OutcomeConfig struct {
	Scope       string    `json:"scope"`
	Run         string    `json:"run"`
	Result      Result    `json:"result"`
	At          time.Time `json:"at"`
	Status      int       `json:"status,omitempty"`
	ContentType string    `json:"content_type,omitempty"`
	Body        []byte    `json:"body,omitempty"`
}

// Outcome records how a run ended, with the answer if that is stored.
type Outcome struct {
	config OutcomeConfig
}

// NewOutcome returns an outcome.
func NewOutcome(config OutcomeConfig) Outcome { return Outcome{config: config} }

// Scope returns the scope of the run's intent.
func (o Outcome) Scope() string { return o.config.Scope }

// Run returns the ID of the run.
func (o Outcome) Run() string { return o.config.Run }

// Result returns how the run ended.
func (o Outcome) Result() Result { return o.config.Result }

// MarshalJSON encodes the outcome as its OutcomeConfig.
func (o Outcome) MarshalJSON() ([]byte, error) { return json.Marshal(o.config) }

// UnmarshalJSON decodes an outcome encoded by MarshalJSON.
func (o *Outcome) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &o.config) }

// withoutAnswer returns a copy of the outcome without its answer, with the
// result NotKept.
func (o Outcome) withoutAnswer() Outcome {
	o.config.Result, o.config.ContentType, o.config.Body = NotKept, "", nil
	return o
}

// BatchConfig holds the construction parameters of a Batch and is its JSON
// form.
type BatchConfig struct {
	Intents  []Intent  `json:"intents,omitempty"`
	Outcomes []Outcome `json:"outcomes,omitempty"`
}

// Batch is the body of one record in the log.
type Batch struct {
	config BatchConfig
}

// NewBatch returns a batch.
func NewBatch(config BatchConfig) Batch { return Batch{config: config} }

// Intents returns the intents, in the order in which they are applied.
func (b Batch) Intents() []Intent { return b.config.Intents }

// Outcomes returns the outcomes, which are applied before the intents.
func (b Batch) Outcomes() []Outcome { return b.config.Outcomes }

// Encode returns the encoded log record for the batch; change is the unique ID
// of the record.
func (b Batch) Encode(change string) ([]byte, error) {
	body, err := json.Marshal(b.config)
	if err != nil {
		return nil, errors.Wrap(err, "encode batch of intents and outcomes")
	}
	kind := fleetstate.KindOutcome
	if len(b.config.Intents) > 0 {
		kind = fleetstate.KindIntent
	}
	return fleetstate.NewRecord(fleetstate.RecordConfig{Change: change, Kind: kind, Body: body}).Encode()
}

// DecodeBatch returns the batch in a record. It returns false if the record is
// of another kind or its body cannot be decoded.
func DecodeBatch(record fleetstate.Record) (Batch, bool) {
	if record.Kind() != fleetstate.KindIntent && record.Kind() != fleetstate.KindOutcome {
		return Batch{}, false
	}
	var batch Batch
	if err := json.Unmarshal(record.Body(), &batch.config); err != nil {
		return Batch{}, false
	}
	return batch, true
}
