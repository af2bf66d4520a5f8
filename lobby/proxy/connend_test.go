package proxy_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/lobby/scheduler"
)

// TestResetAnswerIsNotComplete guards against an answer without a length that is taken for
// complete although its connection was reset in the middle of it.
func TestResetAnswerIsNotComplete(t *testing.T) {
	const answers = 300
	const head = "HTTP/1.1 200 OK\r\n" + stamp
	cases := map[string]struct {
		head   string
		half   string
		stream bool
		keep   bool // the request may be sent again
	}{
		"answer":            {head: head, half: "half of the bo"},
		"answer to repeat":  {head: head, half: "half of the bo", keep: true},
		"stream":            {head: head + "Content-Type: text/event-stream\r\n", half: "data: a\n\n", stream: true},
		"answer, no body":   {head: head},
		"answer that lasts": {head: head + "Connection: close\r\n", half: string(make([]byte, 200<<10))},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
				_, _ = io.WriteString(conn, tc.head+"Request-Id: "+id+"\r\n\r\n"+tc.half)
				_ = conn.(*net.TCPConn).SetLinger(0)
				return false
			})
			l := newLobby(t, func(s *scheduler.SendConfig) { s.Address, s.Stream, s.KeepError = b.address, tc.stream, tc.keep })
			var complete atomic.Int64
			for range answers {
				response, _, err := sendRequest(t, l.address)
				<-b.requestIDs
				<-b.lastEventIDs
				if err == nil && response.StatusCode == 200 {
					complete.Add(1)
				}
				<-l.ended
			}
			if diff := cmp.Diff(int64(0), complete.Load()); diff != "" {
				t.Errorf("answers taken for complete (-want +got):\n%s", diff)
			}
		})
	}
}
