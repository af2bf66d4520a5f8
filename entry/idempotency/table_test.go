package idempotency

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestTableIsBounded(t *testing.T) {
	start := time.Unix(1_000_000, 0).UTC()
	intent := func(scope string, after time.Duration) Batch {
		return NewBatch(BatchConfig{Intents: []Intent{NewIntent(IntentConfig{Scope: scope, Run: "run-" + scope, At: start.Add(after)})}})
	}
	answer := func(scope string, size int, after time.Duration) Batch {
		return NewBatch(BatchConfig{Outcomes: []Outcome{NewOutcome(OutcomeConfig{
			Scope: scope, Run: "run-" + scope, Result: Answered, At: start.Add(after), Status: 201, Body: []byte(strings.Repeat("x", size)),
		})}})
	}
	cases := map[string]struct {
		batches []Batch
		want    map[string]Result // by scope; empty if there is no outcome
	}{
		"answers over the size limit": {
			batches: []Batch{intent("a", 0), answer("a", 60, 0), intent("b", 0), answer("b", 60, 0)},
			want:    map[string]Result{"a": NotKept, "b": Answered},
		},
		"answers over the age limit": {
			batches: []Batch{intent("a", 0), answer("a", 1, 0), intent("b", 2*time.Hour)},
			want:    map[string]Result{"a": NotKept, "b": ""},
		},
		"intents over the age limit": {
			batches: []Batch{intent("a", 0), intent("b", 25*time.Hour)},
			want:    map[string]Result{"b": ""},
		},
		"intents over the capacity": {
			batches: []Batch{intent("a", 0), intent("b", 0), intent("c", 0)},
			want:    map[string]Result{"a": "", "b": ""},
		},
		"second outcome of a run": {
			batches: []Batch{intent("a", 0), answer("a", 1, 0), NewBatch(BatchConfig{Outcomes: []Outcome{NewOutcome(OutcomeConfig{Scope: "a", Run: "run-a", Result: NotRun})}})},
			want:    map[string]Result{"a": Answered},
		},
		"outcome of another run": {
			batches: []Batch{intent("a", 0), NewBatch(BatchConfig{Outcomes: []Outcome{NewOutcome(OutcomeConfig{Scope: "a", Run: "run-b", Result: NotRun})}})},
			want:    map[string]Result{"a": ""},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			config := TableConfig{Capacity: 2, IntentTTL: 24 * time.Hour, AnswerBytes: 100, AnswerTTL: time.Hour}
			table := NewTable(config)
			for offset, batch := range tc.batches {
				table.Apply(int64(offset), batch)
			}
			got := make(map[string]Result)
			for scope, s := range table.states {
				got[scope] = s.outcome.Result()
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("table (-want +got):\n%s", diff)
			}
			restored := restoreTable(t, config, table)
			if diff := cmp.Diff(encodeTable(t, table), encodeTable(t, restored)); diff != "" {
				t.Errorf("restored table (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(table.StoredBytes(), restored.StoredBytes()); diff != "" {
				t.Errorf("bytes of the restored table (-want +got):\n%s", diff)
			}
		})
	}
}

func restoreTable(t *testing.T, config TableConfig, table *Table) *Table {
	t.Helper()
	restored := NewTable(config)
	if err := restored.Restore([]byte(encodeTable(t, table))); err != nil {
		t.Fatal(err)
	}
	return restored
}

func encodeTable(t *testing.T, table *Table) string {
	t.Helper()
	state, err := table.State()
	if err != nil {
		t.Fatal(err)
	}
	return string(state)
}
