package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/lobby/scheduler"
)

// TestLateCopyBehindAnAnswerWithoutLengthIsNoPartOfIt lets a late copy of the answer before
// arrive behind the head of an answer that ends with its connection.
func TestLateCopyBehindAnAnswerWithoutLengthIsNoPartOfIt(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	const events = "Content-Type: text/event-stream\r\n"
	cases := map[string]struct {
		head   string
		body   string
		copy   string
		rest   string
		stream bool
	}{
		"behind the body":    {body: "whole", copy: fixedLengthAnswer("r0", "x")},
		"before the body":    {body: "", copy: fixedLengthAnswer("r0", "x"), rest: "whole"},
		"within the body":    {body: "who", copy: fixedLengthAnswer("r0", "x"), rest: "le"},
		"behind a stream":    {head: events, body: event, copy: streamHead("r0") + chunk(event) + "0\r\n\r\n", stream: true},
		"between two events": {head: events, body: event, copy: fixedLengthAnswer("r0", event), rest: event, stream: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, func(conn net.Conn, id string, n int) bool {
				if n == 0 {
					_, _ = io.WriteString(conn, fixedLengthAnswer(id, "x"))
					return true
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+stamp+tc.head+"Request-Id: "+id+"\r\n\r\n"+tc.body+tc.copy+tc.rest)
				return false
			})
			l := newLobby(t, func(s *scheduler.SendConfig) { s.Address, s.Stream = b.address, tc.stream && s.Request.ID() == "r1" })
			conn := dial(t, l.address)
			reader := bufio.NewReader(conn)
			if _, _, err := exchange(t, conn, reader, "r0"); err != nil {
				t.Fatal(err)
			}
			response, body, err := exchange(t, conn, reader, "r1")
			complete := err == nil && response.StatusCode == http.StatusOK
			if diff := cmp.Diff(false, complete && body != tc.body+tc.rest); diff != "" {
				t.Errorf("looks complete, with bytes of another answer (-want +got):\n%s%q", diff, body)
			}
		})
	}
}

// TestBodiesThatLookLikeAnswersArrive guards against a body without a length that is taken for a
// late copy, or of which a part is held back.
func TestBodiesThatLookLikeAnswersArrive(t *testing.T) {
	cases := map[string]struct {
		anonymous bool // the first request has no ID
		body      string
	}{
		"name of the protocol":            {body: "spoken: HTTP/1.1 and HTTP/1.0"},
		"name of the protocol, cut":       {body: "spoken: HTTP/1."},
		"an answer to another request":    {body: fixedLengthAnswer("r7", "x")},
		"an answer that names no one":     {body: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
		"the same after no one":           {anonymous: true, body: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
		"status line at the end":          {body: "it answered HTTP/1.1 200 OK"},
		"protocol and a space at the end": {body: "it speaks HTTP/1.1 "},
		"a head that is none":             {body: "HTTP/1.1 200 OK\r\nno field\r\n\r\n"},
		"an answer to the request itself": {body: fixedLengthAnswer("r1", "x")},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, func(conn net.Conn, id string, n int) bool {
				if n == 0 {
					_, _ = io.WriteString(conn, fixedLengthAnswer(id, "x"))
					return true
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+stamp+"Request-Id: "+id+"\r\n\r\n"+tc.body)
				return false
			})
			first := "r0"
			if tc.anonymous {
				first = ""
			}
			response, body := secondExchange(t, b, first)
			if diff := cmp.Diff([]any{http.StatusOK, tc.body}, []any{response.StatusCode, body}); diff != "" {
				t.Errorf("status, body (-want +got):\n%s", diff)
			}
		})
	}
}
