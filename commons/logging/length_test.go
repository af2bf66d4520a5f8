package logging_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/logging"
)

// TestLongValuesAreCut guards against a queue of lines that grows with the names that clients
// choose: a line held IDs of any length.
func TestLongValuesAreCut(t *testing.T) {
	const limit = 512
	long, cut := strings.Repeat("x", 16<<10), strings.Repeat("x", limit)+"..."
	cases := map[string]struct {
		value any
		want  string // end of the line
	}{
		"short":     {value: "abc", want: "request=abc"},
		"at limit":  {value: long[:limit], want: "request=" + long[:limit]},
		"text":      {value: long, want: "request=" + cut},
		"error":     {value: errors.New(long), want: "request=" + cut},
		"number":    {value: 7, want: "request=7"},
		"two bytes": {value: strings.Repeat("\u00e9", limit), want: `request="` + strings.Repeat("\u00e9", limit/2) + `..."`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			log, err := logging.New(logging.Config{Output: &out, Level: "info", Program: "test", Instance: "i-1"})
			if err != nil {
				t.Fatal(err)
			}
			log.WithField("request", tc.value).Info(long)
			_, got, _ := strings.Cut(strings.TrimSpace(out.String()), "program=test ")
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("end of the line (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(true, out.Len() < 4*limit); diff != "" {
				t.Errorf("line of %d bytes", out.Len())
			}
		})
	}
}
