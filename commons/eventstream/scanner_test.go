package eventstream_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/eventstream"
)

func TestScan(t *testing.T) {
	cases := map[string]struct {
		pieces []string
		want   []bool // whether an event ends in each piece
	}{
		"whole events":           {pieces: []string{"id: 1\ndata: a\n\n", "data: b\n\n"}, want: []bool{true, true}},
		"event in pieces":        {pieces: []string{"id: 1\nda", "ta: a\n", "\n"}, want: []bool{false, false, true}},
		"lines end with CR LF":   {pieces: []string{"data: a\r\n", "\r\n"}, want: []bool{false, true}},
		"lines end with CR":      {pieces: []string{"data: a\r", "\r", "data: b\r\rid: 3", "\r", "data: c\r", "\r"}, want: []bool{false, true, true, false, false, true}},
		"comments":               {pieces: []string{": still here\n", "\n", ":\n\n"}, want: []bool{false, false, false}},
		"blank lines":            {pieces: []string{"\n", "\n\n", "\r\n\r\n"}, want: []bool{false, false, false}},
		"a byte now and then":    {pieces: []string{"d", "a", "t"}, want: []bool{false, false, false}},
		"comment in an event":    {pieces: []string{"data: a\n: note\n", "\n"}, want: []bool{false, true}},
		"colon inside of a line": {pieces: []string{"data", ": a\n\n"}, want: []bool{false, true}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var scanner eventstream.Scanner
			var got []bool
			for _, piece := range tc.pieces {
				got = append(got, scanner.Scan([]byte(piece)))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("ends of events (-want +got):\n%s", diff)
			}
		})
	}
}

func TestInEvent(t *testing.T) {
	cases := map[string]struct {
		stream string
		want   bool
	}{
		"start":                     {stream: ""},
		"after an event":            {stream: "data: a\n\n"},
		"after a comment":           {stream: "data: a\n\n: note\n"},
		"in a comment":              {stream: "data: a\n\n: no"},
		"in a line":                 {stream: "data: a\n\nda", want: true},
		"after a field":             {stream: "data: a\n", want: true},
		"comment after a field":     {stream: "data: a\n: note\n", want: true},
		"after an event with CR":    {stream: "data: a\r\r"},
		"in a line behind CR":       {stream: "data: a\r\rda", want: true},
		"in the CR LF of the event": {stream: "data: a\r\n\r", want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var scanner eventstream.Scanner
			scanner.Scan([]byte(tc.stream))
			if diff := cmp.Diff(tc.want, scanner.InEvent()); diff != "" {
				t.Errorf("in an event (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEventsDoNotDependOnSplits reads random streams in one piece and byte by byte.
func TestEventsDoNotDependOnSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"data: a", ": note", "", "id: 1"}), 0, 12).Draw(t, "lines")
		stream := strings.Join(append(lines, ""), end)
		events, open := 0, false
		for _, line := range lines {
			if line == "" && open {
				events++
			}
			open = line != "" && (open || line[0] != ':')
		}
		var whole, bytewise eventstream.Scanner
		whole.Scan([]byte(stream))
		for i := range len(stream) {
			bytewise.Scan([]byte(stream[i : i+1]))
		}
		for _, scanner := range []eventstream.Scanner{whole, bytewise} {
			if diff := cmp.Diff([]any{events, open}, []any{scanner.Events(), scanner.InEvent()}); diff != "" {
				t.Errorf("%q: events, in an event (-want +got):\n%s", stream, diff)
			}
		}
	})
}
