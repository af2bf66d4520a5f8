package proxy_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/lobby/scheduler"
)

// TestMalformedAnswerFailsAtOnce guards against bytes that are no answer in the protocol and
// reach the caller as one, with another status, a field that is none or a body that the
// backend server did not mean; and against a request that is kept until its time is over. The
// backend server keeps the connection open.
func TestMalformedAnswerFailsAtOnce(t *testing.T) {
	const fields = stamp + "Request-Id: r1\r\n"
	const statusLine = "HTTP/1.1 200 OK\r\n"
	const length = "Content-Length: 2\r\n\r\nhi"
	const chunks = "2\r\nhi\r\n0\r\n\r\n"
	cases := map[string]struct {
		answer string
		stream bool
	}{
		"status 000":                 {answer: "HTTP/1.1 000 OK\r\n" + fields + length},
		"status 000, stream":         {answer: "HTTP/1.1 000 OK\r\n" + fields + length, stream: true},
		"status 999":                 {answer: "HTTP/1.1 999 OK\r\n" + fields + length},
		"interim status 099":         {answer: "HTTP/1.1 099 OK\r\n\r\n" + statusLine + fields + length},
		"upgrade":                    {answer: "HTTP/1.1 101 Up\r\n\r\n" + statusLine + fields + length},
		"blank in a name":            {answer: statusLine + fields + "X Odd: 1\r\n" + length},
		"control byte in a name":     {answer: statusLine + fields + "X\x01: 1\r\n" + length},
		"control byte in a value":    {answer: statusLine + fields + "X: \x00\r\n" + length},
		"folded line":                {answer: statusLine + fields + "X: a\r\n b\r\n" + length},
		"blank before a colon":       {answer: statusLine + fields + "Transfer-Encoding : chunked\r\n\r\n" + chunks},
		"blank, and a length":        {answer: statusLine + fields + "Transfer-Encoding : chunked\r\n" + length},
		"blank behind a length":      {answer: statusLine + fields + "Content-Length : 1\r\n" + length},
		"two lengths":                {answer: statusLine + fields + "Content-Length: 1\r\n" + length},
		"length and chunks":          {answer: statusLine + fields + "Transfer-Encoding: chunked\r\n" + "Content-Length: 2\r\n\r\n" + chunks},
		"unknown coding":             {answer: statusLine + fields + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks},
		"line ends without CR":       {answer: "HTTP/1.1 200 OK\n" + stamp[:len(stamp)-2] + "\nRequest-Id: r1\n\nhi"},
		"interim, malformed":         {answer: "HTTP/1.1 103 Early\r\nX Odd: 1\r\n\r\n" + statusLine + fields + length},
		"another protocol":           {answer: "SSH-2.0-a"},
		"trailer with a blank":       {answer: statusLine + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX Odd: 1\r\n\r\n"},
		"trailer without a colon":    {answer: statusLine + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nodd\r\n\r\n"},
		"chunk, line end without CR": {answer: statusLine + fields + "Transfer-Encoding: chunked\r\n\r\n2\nhi\n0\n\n"},
		"chunk size with a blank":    {answer: statusLine + fields + "Transfer-Encoding: chunked\r\n\r\n 2\r\nhi\r\n0\r\n\r\n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, func(conn net.Conn, _ string, _ int) bool {
				_, _ = io.WriteString(conn, tc.answer)
				return true
			})
			l := newLobby(t, func(s *scheduler.SendConfig) { s.Address, s.Stream = b.address, tc.stream })
			response, body, err := sendRequest(t, l.address)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]any{http.StatusBadGateway, ""}, []any{response.StatusCode, body}); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(scheduler.Lost, (<-l.ended).Result()); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}
