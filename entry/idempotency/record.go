package idempotency

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/register"
)

// IntentConfig holds the construction parameters of an Intent and is its JSON
// form.
type IntentConfig struct {
	Scope       string    `json:"scope"`       // hash of tenant, route and Idempotency-Key
	Run         string    `json:"run"`         // unique id of the run
	Fingerprint string    `json:"fingerprint"` // hash of the request
	At          time.Time `json:"at"`          // time of the announcement
	Deadline    time.Time `json:"deadline"`    // end of the time that the run may take
}

// Intent announces the run of a request. The first of a scope in log order is
// run, by the entry that announced it.
type Intent struct {
	config IntentConfig
}

// NewIntent returns an intent.
func NewIntent(config IntentConfig) Intent { return Intent{config: config} }

// Scope returns the hash of tenant, route and Idempotency-Key.
func (i Intent) Scope() string { return i.config.Scope }

// Run returns the id of the run.
func (i Intent) Run() string { return i.config.Run }

// Fingerprint returns the hash of the request.
func (i Intent) Fingerprint() string { return i.config.Fingerprint }

// MarshalJSON encodes the intent.
func (i Intent) MarshalJSON() ([]byte, error) { return json.Marshal(i.config) }

// UnmarshalJSON decodes what MarshalJSON wrote.
func (i *Intent) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &i.config) }

// Result is how a run ended.
type Result string

// Results of runs.
const (
	Answered Result = "answered" // the answer is stored
	NotKept  Result = "not-kept" // it ran, but the answer is not stored
	Unknown  Result = "unknown"  // it may have run
	NotRun   Result = "not-run"  // it was not run and will not be; the key is free again
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

// Outcome tells how a run ended.
type Outcome struct {
	config OutcomeConfig
}

// NewOutcome returns an outcome.
func NewOutcome(config OutcomeConfig) Outcome { return Outcome{config: config} }

// Scope returns the scope of the run's intent.
func (o Outcome) Scope() string { return o.config.Scope }

// Run returns the id of the run.
func (o Outcome) Run() string { return o.config.Run }

// Result returns how the run ended.
func (o Outcome) Result() Result { return o.config.Result }

// MarshalJSON encodes the outcome.
func (o Outcome) MarshalJSON() ([]byte, error) { return json.Marshal(o.config) }

// UnmarshalJSON decodes what MarshalJSON wrote.
func (o *Outcome) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &o.config) }

// withoutAnswer returns the outcome after its answer was dropped.
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

// Intents returns the intents, in the order in which they count.
func (b Batch) Intents() []Intent { return b.config.Intents }

// Outcomes returns the outcomes, which count before the intents.
func (b Batch) Outcomes() []Outcome { return b.config.Outcomes }

// Encode returns the log record that carries the batch.
func (b Batch) Encode(change string) ([]byte, error) {
	body, err := json.Marshal(b.config)
	if err != nil {
		return nil, errors.Wrap(err, "encode booking batch")
	}
	kind := register.Outcome
	if len(b.config.Intents) > 0 {
		kind = register.Intent
	}
	return register.NewRecord(register.RecordConfig{Change: change, Kind: kind, Body: body}).Encode()
}

// DecodeBatch returns the batch that a record carries, if it carries one.
func DecodeBatch(record register.Record) (Batch, bool) {
	if record.Kind() != register.Intent && record.Kind() != register.Outcome {
		return Batch{}, false
	}
	var batch Batch
	if err := json.Unmarshal(record.Body(), &batch.config); err != nil {
		return Batch{}, false
	}
	return batch, true
}
