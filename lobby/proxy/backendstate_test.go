package proxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"sesamewell.example/lobby/scheduler"
)

// TestStateInHeadIsReported guards against a statement of a backend server on itself that
// is lost since the rest of its answer does not arrive, or that is taken for another's.
func TestStateInHeadIsReported(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 1.5\r\n"
	const leaving = "Server-Leaving: 1\r\n"
	origin := scheduler.NewOrigin("i-1", 7)
	left, refused := scheduler.Message(scheduler.NewBackendLeaving(origin)), scheduler.Message(scheduler.NewBackendRefusing(origin, 1500*time.Millisecond))
	named, none := scheduler.Message(scheduler.NewBackendLimit(origin, 2.5, time.Time{})), scheduler.Message(scheduler.NewBackendLimit(origin, 0, time.Time{}))
	least := scheduler.Message(scheduler.NewBackendLimit(origin, 1e-3, time.Time{}))
	const limit = "Server-Limit: 2.5\r\n"
	cases := map[string]struct {
		answer  string
		stream  bool
		limited bool // it has named a rate before
		want    []scheduler.Message
	}{
		"limit":                       {answer: "HTTP/1.1 500 Oops\r\n" + limit + "Content-Length: 9\r\n\r\nhi", want: []scheduler.Message{named}},
		"limit again":                 {answer: "HTTP/1.1 200 OK\r\n" + stamp + limit + "Content-Length: 0\r\n\r\n", limited: true, want: []scheduler.Message{named}},
		"limit of another server":     {answer: "HTTP/1.1 421 No\r\nInstance-Id: i-9\r\n" + limit + "Content-Length: 0\r\n\r\n", limited: true},
		"limit, another request":      {answer: "HTTP/1.1 500 Oops\r\n" + limit + "Request-Id: other\r\nContent-Length: 0\r\n\r\n" + fixedLengthAnswer("r1", "hello")},
		"limit has ended":             {answer: "HTTP/1.1 200 OK\r\n" + stamp + "Content-Length: 0\r\n\r\n", limited: true, want: []scheduler.Message{none}},
		"limit of zero, signed":       {answer: "HTTP/1.1 200 OK\r\n" + stamp + "Server-Limit: 0\r\nContent-Length: 0\r\n\r\n", limited: true, want: []scheduler.Message{least}},
		"invalid limit, signed":       {answer: "HTTP/1.1 200 OK\r\n" + stamp + "Server-Limit: 3, 4\r\nContent-Length: 0\r\n\r\n", limited: true},
		"no limit, unsigned":          {answer: "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", limited: true},
		"neither":                     {answer: fixedLengthAnswer("r1", "hello")},
		"refusal":                     {answer: refusal + "Content-Length: 0\r\n\r\n", want: []scheduler.Message{refused}},
		"refusal, cut":                {answer: refusal + "Content-Length: 9\r\n\r\nhi", want: []scheduler.Message{refused}},
		"refusal, bad chunk":          {answer: refusal + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", want: []scheduler.Message{refused}},
		"refusal, head cut":           {answer: refusal},
		"refusal, leaving":            {answer: refusal + leaving + "Content-Length: 0\r\n\r\n", want: []scheduler.Message{left, refused}},
		"refusal of another server":   {answer: refusal + leaving + "Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n"},
		"refusal of this server":      {answer: refusal + "Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n", want: []scheduler.Message{refused}},
		"refusal of another request":  {answer: refusal + "Request-Id: other\r\nContent-Length: 0\r\n\r\n" + fixedLengthAnswer("r1", "hello")},
		"stream":                      {answer: "HTTP/1.1 200 OK\r\n" + stamp + leaving + "Transfer-Encoding: chunked\r\n\r\n" + chunk("a"), stream: true, want: []scheduler.Message{left}},
		"success":                     {answer: "HTTP/1.1 200 OK\r\n" + stamp + leaving + "Content-Length: 0\r\n\r\n", want: []scheduler.Message{left}},
		"success without a signature": {answer: "HTTP/1.1 200 OK\r\n" + leaving + "Content-Length: 0\r\n\r\n", want: []scheduler.Message{left}},
		"not found":                   {answer: "HTTP/1.1 404 No\r\n" + stamp + leaving + "Content-Length: 0\r\n\r\n", want: []scheduler.Message{left}},
		"model missing":               {answer: "HTTP/1.1 421 No\r\n" + leaving + "Content-Length: 0\r\n\r\n", want: []scheduler.Message{left}},
		"another server, that leaves": {answer: "HTTP/1.1 421 No\r\nInstance-Id: i-9\r\n" + leaving + "Content-Length: 0\r\n\r\n"},
		"server error, cut":           {answer: "HTTP/1.1 500 Oops\r\n" + leaving + "Content-Length: 9\r\n\r\nhi", want: []scheduler.Message{left}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, func(conn net.Conn, _ string, _ int) bool {
				_, _ = io.WriteString(conn, tc.answer)
				return false
			})
			l := newLobby(t, func(s *scheduler.SendConfig) {
				s.Address, s.StartTime, s.Stream, s.Limited = b.address, 7, tc.stream, tc.limited
			})
			_, _, _ = sendRequest(t, l.address)
			<-l.ended // what the head says has been reported before
			var got []scheduler.Message
			for len(l.states) > 0 {
				got = append(got, <-l.states)
			}
			if diff := cmp.Diff(tc.want, got, cmp.AllowUnexported(scheduler.BackendLeaving{}, scheduler.BackendRefusing{}, scheduler.BackendLimit{}, scheduler.Origin{}), cmpopts.IgnoreTypes(time.Time{})); diff != "" {
				t.Errorf("reported (-want +got):\n%s", diff)
			}
		})
	}
}
