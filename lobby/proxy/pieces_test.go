package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/testkit"
	"sesamewell.example/lobby/proxy"
	"sesamewell.example/lobby/scheduler"
)

// TestBodiesInPiecesArriveWhole guards against bytes of a body that are dropped where a
// segment begins.
func TestBodiesInPiecesArriveWhole(t *testing.T) {
	echo := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Stamp", "s")
		_, _ = io.Copy(w, r.Body)
	}))
	t.Cleanup(echo.Close)
	l := newLobby(t, func(s *scheduler.SendConfig) { s.Address = echo.Listener.Addr().String() })
	for name, request := range testkit.RequestsInPieces("POST /a HTTP/1.1", "Host: h\r\nRequest-Id: r1\r\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status, body, err := request.Exchange(l.address, testTimeout)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]any{http.StatusOK, request.Body()}, []any{status, body}); diff != "" {
				t.Errorf("status and body (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAnswersInPiecesArriveWhole splits answers of a backend server at each byte, and sends
// them byte by byte.
func TestAnswersInPiecesArriveWhole(t *testing.T) {
	const pause = 2 * time.Millisecond // in which the lobby takes a piece
	const unframed = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + stamp + "Connection: close\r\n\r\n"
	const unframedEvents = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + stamp + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	events := []string{"id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", "\r\n: c\r\n", "\nid: 3\ndata: d\r\n\n"}
	stream := streamHead("ID")
	for _, event := range events {
		stream += chunk(event)
	}
	cases := map[string]struct {
		text              string
		stream, resumable bool
		want              string
	}{
		"length":                        {text: fixedLengthAnswer("ID", "\r\n\r\nhello\r\n\n"), want: "\r\n\r\nhello\r\n\n"},
		"length, forwarded":             {text: fixedLengthAnswer("ID", "\r\n\r\nhello\r\n\n"), stream: true, want: "\r\n\r\nhello\r\n\n"},
		"chunks":                        {text: streamHead("ID") + chunk("\r\nhello") + chunk("\n") + "0\r\n\r\n", want: "\r\nhello\n"},
		"chunks, extension, trailer":    {text: streamHead("ID") + "5;a=b\r\nhello\r\n0;c\r\nA: b\r\n\r\n", want: "hello"},
		"until the end":                 {text: unframed + "\r\nhello\n", want: "\r\nhello\n"},
		"until the end, forwarded":      {text: unframedEvents + strings.Join(events, ""), stream: true, want: strings.Join(events, "")},
		"until the end, resumable":      {text: unframedEvents + strings.Join(events, ""), stream: true, resumable: true, want: strings.Join(events, "")},
		"stream":                        {text: stream + "0\r\n\r\n", stream: true, want: strings.Join(events, "")},
		"stream, resumable":             {text: stream + "0\r\n\r\n", stream: true, resumable: true, want: strings.Join(events, "")},
		"behind interim answers":        {text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n" + fixedLengthAnswer("ID", "hello"), want: "hello"},
		"behind a line end":             {text: "\r\n" + fixedLengthAnswer("ID", "hello"), want: "hello"},
		"behind another answer":         {text: fixedLengthAnswer("other", "\r\n") + fixedLengthAnswer("ID", "hello"), want: "hello"},
		"behind another chunked answer": {text: streamHead("other") + chunk("a") + "0\r\n\r\n" + fixedLengthAnswer("ID", "hello"), want: "hello"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
				text := strings.ReplaceAll(tc.text, "ID", id)
				cut, err := strconv.Atoi(id)
				pieces := []string{text[:cut], text[cut:]}
				if err != nil {
					pieces = strings.Split(text, "")
				}
				for _, piece := range pieces {
					_, _ = io.WriteString(conn, piece)
					time.Sleep(pause)
				}
				return !strings.Contains(text, "Connection: close")
			})
			go func() {
				for range b.requestIDs {
					<-b.lastEventIDs
				}
			}()
			l := newLobby(t, func(s *scheduler.SendConfig) { s.Address, s.Stream, s.Resumable = b.address, tc.stream, tc.resumable })
			ids := []string{"each"}
			for cut := range len(tc.text) {
				ids = append(ids, fmt.Sprintf("%03d", cut))
			}
			for _, id := range ids {
				conn := dial(t, l.address)
				response, body, err := exchange(t, conn, bufio.NewReader(conn), id)
				if diff := cmp.Diff([]any{http.StatusOK, tc.want, nil}, []any{response.StatusCode, body, err}); diff != "" {
					t.Errorf("split at %s: status, body and error (-want +got):\n%s", id, diff)
				}
				if diff := cmp.Diff(scheduler.Complete, (<-l.ended).Result()); diff != "" {
					t.Errorf("split at %s: result (-want +got):\n%s", id, diff)
				}
			}
		})
	}
}

// TestDrainWaitsForNoRequestThatItRefuses guards against a stop that is held up by requests
// which begin to arrive when none is accepted any more.
func TestDrainWaitsForNoRequestThatItRefuses(t *testing.T) {
	const head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"
	cases := map[string]struct {
		acceptPeriod time.Duration
		before       string // sent before the drain
		after        string // sent after the accept period
	}{
		"begun before":         {acceptPeriod: 50 * time.Millisecond, before: head + "h"},
		"head begun before":    {acceptPeriod: 50 * time.Millisecond, before: "POST /a HTTP/1.1\r\n"},
		"begun after":          {acceptPeriod: time.Nanosecond, after: head + "h"},
		"head begun after":     {acceptPeriod: time.Nanosecond, after: "POST /a HTTP/1.1\r\n"},
		"begun after a pause":  {acceptPeriod: 50 * time.Millisecond, before: "\r\n", after: head},
		"interim answer asked": {acceptPeriod: time.Nanosecond, after: "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newLobbyWith(t, proxy.Config{AcceptPeriod: tc.acceptPeriod}, func(*scheduler.SendConfig) {})
			conn := dial(t, l.address)
			if _, err := io.WriteString(conn, tc.before); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond) // the lobby reads it
			l.proxy.Drain(time.Now())
			time.Sleep(tc.acceptPeriod + time.Millisecond)
			if _, err := io.WriteString(conn, tc.after); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if diff := cmp.Diff(http.StatusServiceUnavailable, response.StatusCode); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			awaitCount(t, "callers that are owed an answer", 0, l.proxy.Pending)
		})
	}
}
