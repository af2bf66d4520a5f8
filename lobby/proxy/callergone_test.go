package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/lobby/proxy"
	"sesamewell.example/lobby/scheduler"
	"sesamewell.example/platform"
)

// pausingCodec holds the event loop up at each request with the ID "pause".
type pausingCodec struct {
	platform.HeaderCodec

	reached chan struct{}
	proceed chan struct{}
}

func newPausingCodec() pausingCodec {
	return pausingCodec{reached: make(chan struct{}, 1), proceed: make(chan struct{}, 1)}
}

// DecodeRequest pauses before it decodes a request with the ID "pause".
func (c pausingCodec) DecodeRequest(now time.Time, request *fasthttp.Request) *httpmeta.Request {
	if string(request.Header.Peek("Request-Id")) == "pause" {
		c.reached <- struct{}{}
		select {
		case <-c.proceed:
		case <-time.After(testTimeout):
		}
	}
	return c.HeaderCodec.DecodeRequest(now, request)
}

// resetConn closes a connection with a reset.
func resetConn(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
}

// get sends a request without a body.
func get(t *testing.T, conn net.Conn, version, id string) {
	t.Helper()
	if _, err := fmt.Fprintf(conn, "GET /a HTTP/%s\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", version, id); err != nil {
		t.Fatal(err)
	}
}

// awaitRequest waits until a request with the ID has reached the backend server.
func awaitRequest(t *testing.T, b *backend, id string) {
	t.Helper()
	for {
		select {
		case got := <-b.requestIDs:
			if got == id {
				return
			}
		case <-time.After(testTimeout):
			t.Fatalf("request %q has not reached the backend server", id)
		}
	}
}

// TestRequestsOfGoneCallersAreCountedOutOnce lets the end of an answer arrive just before its
// caller resets the connection, which then ends within the write. Such a request was counted
// out twice, and a planned stop ended while as many others were open.
func TestRequestsOfGoneCallersAreCountedOutOnce(t *testing.T) {
	const event = "data: a\n\n"
	cases := map[string]struct {
		first     string // part of the answer that the caller gets
		rest      string
		stream    bool
		resumable bool
		version   string // of the request; 1.1 if empty
	}{
		"buffered answer":        {rest: fixedLengthAnswer("gone", "hello")},
		"buffered, large":        {first: "HTTP/1.1 103 Early\r\n\r\n", rest: fixedLengthAnswer("gone", strings.Repeat("x", 1<<16))},
		"failure":                {rest: strings.Replace(fixedLengthAnswer("gone", "no"), "200", "500", 1)},
		"stream":                 {first: streamHead("gone") + chunk(event), rest: "0\r\n\r\n", stream: true},
		"stream, another event":  {first: streamHead("gone") + chunk(event), rest: chunk(event) + "0\r\n\r\n", stream: true},
		"stream, one piece":      {rest: streamHead("gone") + chunk(event) + "0\r\n\r\n", stream: true},
		"stream, no event":       {rest: streamHead("gone") + "0\r\n\r\n", stream: true},
		"resumable stream":       {first: streamHead("gone") + chunk(event), rest: chunk(": bye\n") + "0\r\n\r\n", stream: true, resumable: true},
		"stream without chunks":  {first: streamHead("gone") + chunk(event), rest: chunk(event) + "0\r\n\r\n", stream: true, version: "1.0"},
		"answer of another kind": {rest: "HTTP/1.1 200 OK\r\n" + stamp + "Content-Type: text/plain\r\nContent-Length: 2\r\n\r\nhi", stream: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if tc.version == "" {
				tc.version = "1.1"
			}
			release, rest, sent := make(chan struct{}), make(chan struct{}, 1), make(chan struct{}, 1)
			b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
				if id == "open" {
					<-release
				}
				_, _ = io.WriteString(conn, strings.ReplaceAll(tc.first, "gone", id))
				if id == "gone" {
					<-rest
				}
				_, _ = io.WriteString(conn, strings.ReplaceAll(tc.rest, "gone", id))
				if id == "gone" {
					sent <- struct{}{}
				}
				return true
			})
			codec := newPausingCodec()
			l := newLobbyWith(t, proxy.Config{Codec: codec}, func(s *scheduler.SendConfig) {
				s.Address, s.Stream, s.Resumable = b.address, tc.stream, tc.resumable
			})
			for range 3 {
				gone := dial(t, l.address)
				get(t, gone, tc.version, "gone")
				awaitRequest(t, b, "gone")
				if tc.first != "" && tc.stream {
					if response, err := http.ReadResponse(bufio.NewReader(gone), nil); err != nil || response.StatusCode != http.StatusOK {
						t.Fatalf("beginning of the answer: %v", err)
					}
				}
				get(t, dial(t, l.address), "1.1", "pause")
				waitFor(t, codec.reached, "the event loop does not pause")
				rest <- struct{}{}
				waitFor(t, sent, "the rest of the answer is not sent")
				resetConn(t, gone)
				codec.proceed <- struct{}{}
				waitFor(t, l.disconnected, "the caller that has gone is not noticed")
			}
			awaitCount(t, "open requests after the callers have gone", 0, l.proxy.Open)
			get(t, dial(t, l.address), "1.1", "open")
			awaitRequest(t, b, "open")
			if diff := cmp.Diff(1, l.proxy.Open()); diff != "" {
				t.Errorf("open requests while one runs (-want +got):\n%s", diff)
			}
			close(release)
			awaitCount(t, "open requests at the end", 0, l.proxy.Open)
		})
	}
}
