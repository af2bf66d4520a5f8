package inspect_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/tracing"
	"sesamewell.example/sesamewell/inspect"
)

func span(instance, name, failure string, attributes map[string]string) tracing.Record {
	return tracing.NewRecord(tracing.RecordConfig{
		Instance: instance, Name: name, Failure: failure, Attributes: attributes,
		Start: time.Unix(0, 0), End: time.Unix(0, int64(120*time.Millisecond)),
	})
}

func TestSummarize(t *testing.T) {
	side := span("side-1", "side", "", map[string]string{"waited": "40ms"})
	cases := map[string]struct {
		spans []tracing.Record
		want  string
	}{
		"answered": {
			spans: []tracing.Record{span("entry-1", "entry", "", nil), side},
			want:  "entry-1 answered after 120ms; 1 attempt reached a side: waited 40ms at side-1",
		},
		"refused at the entry": {
			spans: []tracing.Record{span("entry-1", "entry", "invalid_api_key", nil)},
			want:  "entry-1 refused or lost it after 120ms: invalid_api_key; it reached no backend server",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, inspect.Summarize(tc.spans)); diff != "" {
				t.Errorf("summary (-want +got):\n%s", diff)
			}
		})
	}
}
