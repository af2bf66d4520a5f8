package idempotency

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// TableConfig holds the construction parameters of a Table.
type TableConfig struct {
	Capacity    int           // largest number of intents in the table; further ones are rejected
	IntentTTL   time.Duration // age at which an intent is removed
	AnswerBytes int64         // total size of stored answers, in bytes
	AnswerTTL   time.Duration // age at which a stored answer is removed
}

// Table holds the accepted intent of each scope, which is the first one in the
// log since the scope was last free, and the outcome of its run. A scope is an
// Idempotency-Key of one tenant on one route. The table is built from the log's
// records alone, so that all processes with the same bounds hold the same table.
type Table struct {
	config      TableConfig
	nextOffset  int64                // offset of the next record to apply
	latest      time.Time            // latest time in the applied records
	states      map[string]*keyState // by scope
	byAge       []*keyState          // oldest first; may include states that were removed from the table
	stored      []*keyState          // states with a stored answer, oldest first
	storedBytes int64                // total size of stored answers
}

// keyState is the state of one scope: its accepted intent and, once the run has
// ended, the outcome.
type keyState struct {
	intent  Intent
	ended   bool
	outcome Outcome
}

// NewTable returns an empty table.
func NewTable(config TableConfig) *Table {
	return &Table{config: config, states: make(map[string]*keyState)}
}

// Len returns the number of intents in the table.
func (t *Table) Len() int { return len(t.states) }

// StoredBytes returns the total size of the stored answers, in bytes.
func (t *Table) StoredBytes() int64 { return t.storedBytes }

// Apply applies the batch of the record at an offset. A record that was already
// applied changes nothing.
func (t *Table) Apply(offset int64, batch Batch) {
	if offset < t.nextOffset {
		return
	}
	t.nextOffset = offset + 1
	for _, outcome := range batch.config.Outcomes {
		t.addOutcome(outcome)
	}
	for _, intent := range batch.config.Intents {
		t.addIntent(intent)
	}
	t.expire()
}

// addIntent accepts an intent unless its scope already has one or the table is
// full.
func (t *Table) addIntent(intent Intent) {
	t.observeTime(intent.config.At)
	if _, taken := t.states[intent.Scope()]; taken || len(t.states) >= t.config.Capacity {
		return
	}
	s := &keyState{intent: intent}
	t.states[intent.Scope()] = s
	t.byAge = append(t.byAge, s)
}

// addOutcome stores the first outcome of the run whose intent was accepted. The
// result NotRun removes the intent, so that the key can be used again.
func (t *Table) addOutcome(outcome Outcome) {
	t.observeTime(outcome.config.At)
	s, ok := t.states[outcome.Scope()]
	if !ok || s.intent.Run() != outcome.Run() || s.ended {
		return
	}
	if outcome.Result() == NotRun {
		delete(t.states, outcome.Scope())
		return
	}
	t.storeOutcome(s, outcome)
}

func (t *Table) storeOutcome(s *keyState, outcome Outcome) {
	s.ended, s.outcome = true, outcome
	if outcome.Result() == Answered {
		t.stored = append(t.stored, s)
		t.storedBytes += int64(len(outcome.config.Body))
	}
}

func (t *Table) observeTime(at time.Time) {
	if at.After(t.latest) {
		t.latest = at
	}
}

// expire removes the oldest answers beyond AnswerBytes or AnswerTTL and the
// intents beyond IntentTTL. Ages are computed from the times in the records, not
// from the clock, which keeps the tables of all processes equal.
func (t *Table) expire() {
	for len(t.stored) > 0 {
		oldest := t.stored[0]
		if t.storedBytes <= t.config.AnswerBytes && t.latest.Sub(oldest.outcome.config.At) <= t.config.AnswerTTL {
			break
		}
		t.storedBytes -= int64(len(oldest.outcome.config.Body))
		oldest.outcome = oldest.outcome.withoutAnswer()
		t.stored = t.stored[1:]
	}
	for len(t.byAge) > 0 {
		oldest := t.byAge[0]
		current := t.contains(oldest)
		if current && t.latest.Sub(oldest.intent.config.At) <= t.config.IntentTTL {
			break
		}
		if current {
			delete(t.states, oldest.intent.Scope())
		}
		t.byAge = t.byAge[1:]
	}
	t.compact()
}

// compact deletes removed states from byAge once they outnumber the states in
// the table by more than slack.
func (t *Table) compact() {
	const slack = 1024 // removed states that are tolerated
	if len(t.byAge) <= 2*len(t.states)+slack {
		return
	}
	kept := make([]*keyState, 0, len(t.states))
	for _, s := range t.byAge {
		if t.contains(s) {
			kept = append(kept, s)
		}
	}
	t.byAge = kept
}

func (t *Table) contains(s *keyState) bool { return t.states[s.intent.Scope()] == s }

// tableJSON is the JSON form of a table.
type tableJSON struct {
	Next   int64          `json:"next"`
	Newest time.Time      `json:"newest"`
	Keys   []keyStateJSON `json:"standing"`
}

type keyStateJSON struct {
	Intent  Intent   `json:"intent"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// State returns the encoded table for a snapshot, which preserves it beyond the
// log's retention.
func (t *Table) State() ([]byte, error) {
	state := tableJSON{Next: t.nextOffset, Newest: t.latest, Keys: make([]keyStateJSON, 0, len(t.states))}
	for _, s := range t.byAge {
		if !t.contains(s) {
			continue
		}
		key := keyStateJSON{Intent: s.intent}
		if s.ended {
			key.Outcome = &s.outcome
		}
		state.Keys = append(state.Keys, key)
	}
	data, err := json.Marshal(state)
	return data, errors.Wrap(err, "encode table of idempotency keys")
}

// Restore replaces the table by one encoded by State, unless that one contains
// no further records.
func (t *Table) Restore(data []byte) error {
	var state tableJSON
	if err := json.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "decode table of idempotency keys")
	}
	if state.Next <= t.nextOffset {
		return nil
	}
	restored := NewTable(t.config)
	restored.nextOffset, restored.latest = state.Next, state.Newest
	for _, key := range state.Keys {
		s := &keyState{intent: key.Intent}
		restored.states[s.intent.Scope()] = s
		restored.byAge = append(restored.byAge, s)
		if key.Outcome != nil {
			restored.storeOutcome(s, *key.Outcome)
		}
	}
	restored.expire()
	*t = *restored
	return nil
}
