package idempotency

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// TableConfig holds the construction parameters of a Table.
type TableConfig struct {
	Capacity    int           // intents that are remembered; further ones are rejected
	IntentTTL   time.Duration // age at which an intent is forgotten
	AnswerBytes int64         // bytes of stored answers
	AnswerTTL   time.Duration // age at which a stored answer is dropped
}

// Table is responsible for what the log says of each scope: which intent
// stands and how its run ended. It depends on the log's records alone, so that
// all processes with the same bounds hold the same table.
type Table struct {
	config      TableConfig
	nextOffset  int64 // offset of the next record to fold
	latest      time.Time
	states      map[string]*keyState // by scope
	byAge       []*keyState          // oldest first; may hold some that stand no more
	stored      []*keyState          // with a stored answer, oldest first
	storedBytes int64                // of stored answers
}

// standing is responsible for one intent that stands.
type keyState struct {
	intent  Intent
	ended   bool
	outcome Outcome
}

// NewTable returns an empty table.
func NewTable(config TableConfig) *Table {
	return &Table{config: config, states: make(map[string]*keyState)}
}

// Len returns the number of intents that stand.
func (t *Table) Len() int { return len(t.states) }

// Bytes returns the size of the stored answers.
func (t *Table) StoredBytes() int64 { return t.storedBytes }

// Fold takes the batch of the record at an offset. A record that was folded
// already changes nothing.
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

// announce makes an intent stand unless another one of its scope does.
func (t *Table) addIntent(intent Intent) {
	t.observeTime(intent.config.At)
	if _, taken := t.states[intent.Scope()]; taken || len(t.states) >= t.config.Capacity {
		return
	}
	s := &keyState{intent: intent}
	t.states[intent.Scope()] = s
	t.byAge = append(t.byAge, s)
}

// end notes the first outcome of the run that stands.
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

// expire drops answers beyond their bounds and intents beyond their age, both
// by the times in the records.
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
		stands := t.contains(oldest)
		if stands && t.latest.Sub(oldest.intent.config.At) <= t.config.IntentTTL {
			break
		}
		if stands {
			delete(t.states, oldest.intent.Scope())
		}
		t.byAge = t.byAge[1:]
	}
	t.compact()
}

// compact drops the intents that stand no more from the order when they are
// many.
func (t *Table) compact() {
	const slack = 1024 // entries kept without need
	if len(t.byAge) <= 2*len(t.states)+slack {
		return
	}
	order := make([]*keyState, 0, len(t.states))
	for _, s := range t.byAge {
		if t.contains(s) {
			order = append(order, s)
		}
	}
	t.byAge = order
}

func (t *Table) contains(s *keyState) bool { return t.states[s.intent.Scope()] == s }

// tableState is the JSON form of a table.
type tableJSON struct {
	Next   int64          `json:"next"`
	Newest time.Time      `json:"newest"`
	Keys   []keyStateJSON `json:"standing"`
}

type keyStateJSON struct {
	Intent  Intent   `json:"intent"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// State returns the table in a form that a snapshot can carry past the log's
// retention.
func (t *Table) State() ([]byte, error) {
	state := tableJSON{Next: t.nextOffset, Newest: t.latest, Keys: make([]keyStateJSON, 0, len(t.states))}
	for _, s := range t.byAge {
		if !t.contains(s) {
			continue
		}
		entry := keyStateJSON{Intent: s.intent}
		if s.ended {
			entry.Outcome = &s.outcome
		}
		state.Keys = append(state.Keys, entry)
	}
	data, err := json.Marshal(state)
	return data, errors.Wrap(err, "encode booking table")
}

// Restore replaces the table by one that State encoded, unless that is older.
func (t *Table) Restore(data []byte) error {
	var state tableJSON
	if err := json.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "decode booking table")
	}
	if state.Next <= t.nextOffset {
		return nil
	}
	restored := NewTable(t.config)
	restored.nextOffset, restored.latest = state.Next, state.Newest
	for _, entry := range state.Keys {
		s := &keyState{intent: entry.Intent}
		restored.states[s.intent.Scope()] = s
		restored.byAge = append(restored.byAge, s)
		if entry.Outcome != nil {
			restored.storeOutcome(s, *entry.Outcome)
		}
	}
	restored.expire()
	*t = *restored
	return nil
}
