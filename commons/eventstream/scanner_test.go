package eventstream_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

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
