package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/lobby/scheduler"
)

// TestAnswerThatEndsInItsHeadIsNoSuccess lets a backend server close the connection after
// each byte of its answer's head, on a new connection and on one in use again. No caller
// may get a success, and no part of the head.
func TestAnswerThatEndsInItsHeadIsNoSuccess(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + stamp + "Connection: close\r\n\r\n"
	const hello = "data: hello\n\n"
	cases := map[string]struct {
		head   string
		stream bool
		kept   bool // the connection has carried an answer before
	}{
		"fixed length":                   {head: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + stamp + "Content-Length: 5\r\n\r\n"},
		"fixed length, kept connection":  {head: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + stamp + "Content-Length: 5\r\n\r\n", kept: true},
		"no body":                        {head: "HTTP/1.1 204 OK\r\nRequest-Id: ID\r\n" + stamp + "\r\n"},
		"until the end of connection":    {head: unframed},
		"chunks":                         {head: streamHead("ID")},
		"stream":                         {head: streamHead("ID"), stream: true},
		"stream, kept connection":        {head: streamHead("ID"), stream: true, kept: true},
		"stream until end of connection": {head: unframed, stream: true},
		"after an interim answer":        {head: "HTTP/1.1 100 Continue\r\n\r\n" + streamHead("ID"), stream: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, func(conn net.Conn, id string, n int) bool {
				if tc.kept && n == 0 {
					_, _ = io.WriteString(conn, fixedLengthAnswer(id, hello))
					return true
				}
				sent, _ := strconv.Atoi(strings.TrimPrefix(id, "cut-"))
				_, _ = io.WriteString(conn, strings.ReplaceAll(tc.head, "ID", id)[:sent])
				return false
			})
			go func() {
				for range b.requestIDs {
					<-b.lastEventIDs
				}
			}()
			l := newLobby(t, func(s *scheduler.SendConfig) { s.Address, s.Stream = b.address, tc.stream })
			for sent := range len(strings.ReplaceAll(tc.head, "ID", "cut-0")) {
				if tc.kept {
					if _, body, err := sendRequest(t, l.address); err != nil || body != hello {
						t.Fatalf("first answer on the connection: %q, %v", body, err)
					}
					<-l.ended
				}
				conn := dial(t, l.address)
				response, body, err := exchange(t, conn, bufio.NewReader(conn), fmt.Sprint("cut-", sent))
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff([]any{http.StatusBadGateway, ""}, []any{response.StatusCode, body}); diff != "" {
					t.Errorf("answer after %d bytes (-want +got):\n%s", sent, diff)
				}
				if diff := cmp.Diff(scheduler.Lost, (<-l.ended).Result()); diff != "" {
					t.Errorf("result after %d bytes (-want +got):\n%s", sent, diff)
				}
			}
		})
	}
}
