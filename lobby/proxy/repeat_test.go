package proxy_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/lobby/scheduler"
)

// TestLateCopyIsNoAnswerToARepeat lets a backend server send its answer once more when the
// same request comes back to it. The copy has the request's ID and was taken for the answer
// to the repeat: the request ran twice, or its caller was told that it had not run.
func TestLateCopyIsNoAnswerToARepeat(t *testing.T) {
	const notRun = "Not-Run: 1\r\n"
	cases := map[string]struct {
		status      string
		fields      string
		returns     int64 // sends that are repeated
		connections int
		keepError   bool
		stream      bool
		pause       time.Duration // after which the copy comes; with the next request if zero
	}{
		"503 that states a time":        {status: "503 Busy", fields: notRun + "Retry-After: 0.1\r\n", returns: 1},
		"503 without a time":            {status: "503 Busy", fields: notRun, returns: 1},
		"503, twice":                    {status: "503 Busy", fields: notRun, returns: 2},
		"503, one connection":           {status: "503 Busy", fields: notRun, returns: 2, connections: 1},
		"503, copy while it is idle":    {status: "503 Busy", fields: notRun, returns: 1, pause: time.Millisecond},
		"503 to a stream":               {status: "503 Busy", fields: notRun, returns: 1, stream: true},
		"503 that promises nothing":     {status: "503 Busy", returns: 1},
		"429":                           {status: "429 Many", fields: notRun, returns: 1},
		"408":                           {status: "408 Slow", returns: 1},
		"421, a model that is missing":  {status: "421 No", returns: 1},
		"421, another backend server":   {status: "421 No", fields: "Instance-Id: i-2\r\n", returns: 1},
		"500 that is kept for the time": {status: "500 Oops", returns: 1, keepError: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if tc.connections == 0 {
				tc.connections = 4
			}
			var refused, runs atomic.Int64
			b := newBackend(t, func(conn net.Conn, id string, n int) bool {
				refusal := "HTTP/1.1 " + tc.status + "\r\n" + stamp + tc.fields + "Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
				if n > 0 {
					_, _ = io.WriteString(conn, refusal)
				}
				if refused.Load() < tc.returns {
					refused.Add(1)
					_, _ = io.WriteString(conn, refusal)
					if tc.pause > 0 {
						time.Sleep(tc.pause)
						_, _ = io.WriteString(conn, refusal)
					}
					return true
				}
				runs.Add(1)
				body := "data: done\n\n"
				_, _ = io.WriteString(conn, strings.Replace(fixedLengthAnswer(id, body), stamp, stamp+"Content-Type: text/event-stream\r\n", 1))
				return true
			})
			l := newLobby(t, func(s *scheduler.SendConfig) {
				s.Address, s.Connections, s.KeepError, s.Stream = b.address, tc.connections, tc.keepError, tc.stream
			})
			l.returns.Store(tc.returns)
			response, body, err := sendRequest(t, l.address)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]any{200, "data: done\n\n"}, []any{response.StatusCode, body}); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(int64(1), runs.Load()); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}
