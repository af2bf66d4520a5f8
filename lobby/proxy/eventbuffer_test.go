package proxy

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestCompleteEventsAreReturned(t *testing.T) {
	cases := map[string]struct {
		pieces     []string
		complete   []string
		last       string
		incomplete string
	}{
		"one event in each piece":      {pieces: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, complete: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, last: "2"},
		"two events in a piece":        {pieces: []string{"id: 1\n\nid:2\n\n"}, complete: []string{"id: 1\n\nid:2\n\n"}, last: "2"},
		"split within an event":        {pieces: []string{"id: 1\n\nid: 2\nda", "ta: b\n", "\nid: 3"}, complete: []string{"id: 1\n\n", "", "id: 2\ndata: b\n\n"}, last: "2", incomplete: "id: 3"},
		"split at the end of an event": {pieces: []string{"id: 1\n", "\nid: 2\n\n"}, complete: []string{"", "id: 1\n\nid: 2\n\n"}, last: "2"},
		"CR LF":                        {pieces: []string{"id: 1\r\ndata: a\r\n\r\nid: 2\r"}, complete: []string{"id: 1\r\ndata: a\r\n\r\n"}, last: "1", incomplete: "id: 2\r"},
		"CR":                           {pieces: []string{"id: 1\rdata: a\r\rid: 2\rdata: b\r", "\r", "id: 3\r"}, complete: []string{"id: 1\rdata: a\r\r", "id: 2\rdata: b\r\r", ""}, last: "2", incomplete: "id: 3\r"},
		"split within CR LF":           {pieces: []string{"id: 1\r", "\ndata: a\r", "\n\r", "\nid: 2"}, complete: []string{"", "", "", "id: 1\r\ndata: a\r\n\r\n"}, last: "1", incomplete: "id: 2"},
		"id not first":                 {pieces: []string{"weight-versions: 3\nid: 7\ndata: id:9\n\n"}, complete: []string{"weight-versions: 3\nid: 7\ndata: id:9\n\n"}, last: "7"},
		"event without id":             {pieces: []string{"id: 7\n\n: still here\n\n"}, complete: []string{"id: 7\n\n: still here\n\n"}, last: "7"},
		"no event":                     {pieces: []string{"hello"}, complete: []string{""}, incomplete: "hello"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var e eventBuffer
			var complete []string
			for _, piece := range tc.pieces {
				got, err := e.add([]byte(piece))
				if err != nil {
					t.Fatal(err)
				}
				complete = append(complete, string(got))
			}
			want := []any{tc.complete, tc.last, tc.incomplete}
			if diff := cmp.Diff(want, []any{complete, string(e.lastID), string(e.unfinished())}); diff != "" {
				t.Errorf("complete events, last id, incomplete event (-want +got):\n%s", diff)
			}
		})
	}
}

func TestTooLongEventIsAnError(t *testing.T) {
	var e eventBuffer
	if _, err := e.add([]byte(strings.Repeat("x", maxEventSize+1))); err == nil {
		t.Error("no error for an event longer than maxEventSize")
	}
}

// TestEventsDoNotDependOnSplits takes random streams in one piece and in several.
func TestEventsDoNotDependOnSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"data: a", ": note", "id: 1", "id:2"}), 1, 3)
		stream := ""
		for _, event := range rapid.SliceOfN(lines, 0, 5).Draw(t, "events") {
			stream += strings.Join(event, end) + end + end
		}
		stream += "data"
		var whole, split eventBuffer
		events, err := whole.add([]byte(stream))
		if err != nil {
			t.Fatal(err)
		}
		want := []string{string(events), string(whole.lastID), string(whole.unfinished())}
		var complete []byte
		for rest := []byte(stream); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "size")
			events, err := split.add(rest[:n])
			if err != nil {
				t.Fatal(err)
			}
			complete, rest = append(complete, events...), rest[n:]
		}
		if diff := cmp.Diff(want, []string{string(complete), string(split.lastID), string(split.unfinished())}); diff != "" {
			t.Errorf("%q: complete events, last id, incomplete event (-want +got):\n%s", stream, diff)
		}
	})
}
