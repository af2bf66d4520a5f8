package proxy

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestCompleteEventsAreReturned(t *testing.T) {
	cases := map[string]struct {
		pieces []string
		whole  []string
		last   string
		rest   string
	}{
		"one a piece":      {pieces: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, whole: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, last: "2"},
		"two in one":       {pieces: []string{"id: 1\n\nid:2\n\n"}, whole: []string{"id: 1\n\nid:2\n\n"}, last: "2"},
		"cut in an event":  {pieces: []string{"id: 1\n\nid: 2\nda", "ta: b\n", "\nid: 3"}, whole: []string{"id: 1\n\n", "", "id: 2\ndata: b\n\n"}, last: "2", rest: "id: 3"},
		"cut at its end":   {pieces: []string{"id: 1\n", "\nid: 2\n\n"}, whole: []string{"", "id: 1\n\nid: 2\n\n"}, last: "2"},
		"long line ends":   {pieces: []string{"id: 1\r\ndata: a\r\n\r\nid: 2\r"}, whole: []string{"id: 1\r\ndata: a\r\n\r\n"}, last: "1", rest: "id: 2\r"},
		"id not first":     {pieces: []string{"weight-versions: 3\nid: 7\ndata: id:9\n\n"}, whole: []string{"weight-versions: 3\nid: 7\ndata: id:9\n\n"}, last: "7"},
		"event without id": {pieces: []string{"id: 7\n\n: still here\n\n"}, whole: []string{"id: 7\n\n: still here\n\n"}, last: "7"},
		"no event at all":  {pieces: []string{"hello"}, whole: []string{""}, rest: "hello"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var e eventBuffer
			var whole []string
			for _, piece := range tc.pieces {
				got, err := e.add([]byte(piece))
				if err != nil {
					t.Fatal(err)
				}
				whole = append(whole, string(got))
			}
			want := []any{tc.whole, tc.last, tc.rest}
			if diff := cmp.Diff(want, []any{whole, string(e.lastID), string(e.unfinished())}); diff != "" {
				t.Errorf("whole events, last id, rest (-want +got):\n%s", diff)
			}
		})
	}
}

func TestTooLongEventIsAnError(t *testing.T) {
	var e eventBuffer
	if _, err := e.add([]byte(strings.Repeat("x", maxEventSize+1))); err == nil {
		t.Error("an event without an end is kept")
	}
}
