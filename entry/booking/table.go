package booking

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// TableConfig holds the construction parameters of a Table.
type TableConfig struct {
	Capacity  int           // intents that are remembered; further ones are rejected
	Remember  time.Duration // age at which an intent is forgotten
	KeptBytes int64         // bytes of stored answers
	KeptFor   time.Duration // age at which a stored answer is dropped
}

// Table is responsible for what the log says of each scope: which intent
// stands and how its run ended. It depends on the log's records alone, so that
// all processes with the same bounds hold the same table.
type Table struct {
	config   TableConfig
	next     int64 // offset of the next record to fold
	newest   time.Time
	standing map[string]*standing // by scope
	order    []*standing          // oldest first; may hold some that stand no more
	answers  []*standing          // with a stored answer, oldest first
	bytes    int64                // of stored answers
}

// standing is responsible for one intent that stands.
type standing struct {
	intent  Intent
	ended   bool
	outcome Outcome
}

// NewTable returns an empty table.
func NewTable(config TableConfig) *Table {
	return &Table{config: config, standing: make(map[string]*standing)}
}

// Len returns the number of intents that stand.
func (t *Table) Len() int { return len(t.standing) }

// Bytes returns the size of the stored answers.
func (t *Table) Bytes() int64 { return t.bytes }

// Fold takes the batch of the record at an offset. A record that was folded
// already changes nothing.
func (t *Table) Fold(offset int64, batch Batch) {
	if offset < t.next {
		return
	}
	t.next = offset + 1
	for _, outcome := range batch.config.Outcomes {
		t.end(outcome)
	}
	for _, intent := range batch.config.Intents {
		t.announce(intent)
	}
	t.expire()
}

// announce makes an intent stand unless another one of its scope does.
func (t *Table) announce(intent Intent) {
	t.observe(intent.config.At)
	if _, taken := t.standing[intent.Scope()]; taken || len(t.standing) >= t.config.Capacity {
		return
	}
	s := &standing{intent: intent}
	t.standing[intent.Scope()] = s
	t.order = append(t.order, s)
}

// end notes the first outcome of the run that stands.
func (t *Table) end(outcome Outcome) {
	t.observe(outcome.config.At)
	s, ok := t.standing[outcome.Scope()]
	if !ok || s.intent.Run() != outcome.Run() || s.ended {
		return
	}
	if outcome.Result() == NotRun {
		delete(t.standing, outcome.Scope())
		return
	}
	t.store(s, outcome)
}

func (t *Table) store(s *standing, outcome Outcome) {
	s.ended, s.outcome = true, outcome
	if outcome.Result() == Answered {
		t.answers = append(t.answers, s)
		t.bytes += int64(len(outcome.config.Body))
	}
}

func (t *Table) observe(at time.Time) {
	if at.After(t.newest) {
		t.newest = at
	}
}

// expire drops answers beyond their bounds and intents beyond their age, both
// by the times in the records.
func (t *Table) expire() {
	for len(t.answers) > 0 {
		oldest := t.answers[0]
		if t.bytes <= t.config.KeptBytes && t.newest.Sub(oldest.outcome.config.At) <= t.config.KeptFor {
			break
		}
		t.bytes -= int64(len(oldest.outcome.config.Body))
		oldest.outcome = oldest.outcome.withoutAnswer()
		t.answers = t.answers[1:]
	}
	for len(t.order) > 0 {
		oldest := t.order[0]
		stands := t.stands(oldest)
		if stands && t.newest.Sub(oldest.intent.config.At) <= t.config.Remember {
			break
		}
		if stands {
			delete(t.standing, oldest.intent.Scope())
		}
		t.order = t.order[1:]
	}
	t.compact()
}

// compact drops the intents that stand no more from the order when they are
// many.
func (t *Table) compact() {
	const slack = 1024 // entries kept without need
	if len(t.order) <= 2*len(t.standing)+slack {
		return
	}
	order := make([]*standing, 0, len(t.standing))
	for _, s := range t.order {
		if t.stands(s) {
			order = append(order, s)
		}
	}
	t.order = order
}

func (t *Table) stands(s *standing) bool { return t.standing[s.intent.Scope()] == s }

// tableState is the JSON form of a table.
type tableState struct {
	Next     int64           `json:"next"`
	Newest   time.Time       `json:"newest"`
	Standing []standingState `json:"standing"`
}

type standingState struct {
	Intent  Intent   `json:"intent"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// State returns the table in a form that a snapshot can carry past the log's
// retention.
func (t *Table) State() ([]byte, error) {
	state := tableState{Next: t.next, Newest: t.newest, Standing: make([]standingState, 0, len(t.standing))}
	for _, s := range t.order {
		if !t.stands(s) {
			continue
		}
		entry := standingState{Intent: s.intent}
		if s.ended {
			entry.Outcome = &s.outcome
		}
		state.Standing = append(state.Standing, entry)
	}
	data, err := json.Marshal(state)
	return data, errors.Wrap(err, "encode booking table")
}

// Restore replaces the table by one that State encoded, unless that is older.
func (t *Table) Restore(data []byte) error {
	var state tableState
	if err := json.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "decode booking table")
	}
	if state.Next <= t.next {
		return nil
	}
	restored := NewTable(t.config)
	restored.next, restored.newest = state.Next, state.Newest
	for _, entry := range state.Standing {
		s := &standing{intent: entry.Intent}
		restored.standing[s.intent.Scope()] = s
		restored.order = append(restored.order, s)
		if entry.Outcome != nil {
			restored.store(s, *entry.Outcome)
		}
	}
	restored.expire()
	*t = *restored
	return nil
}
