package proxy_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"sesamewell.example/commons/memory"
	"sesamewell.example/lobby/proxy"
	"sesamewell.example/lobby/scheduler"
	"sesamewell.example/platform"
)

// TestBytesOfGoneCallersAreReleased resets callers' connections before their requests are
// refused or answered, so that the connections end within that write. The bytes that such a
// caller had sent beyond its request were charged for ever, until the lobby refused all
// requests.
func TestBytesOfGoneCallersAreReleased(t *testing.T) {
	rest := strings.Repeat("x", 40<<10)
	const start = "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
	cases := map[string]struct {
		text  string
		probe bool // sent to the port for readiness probes
	}{
		"body over the limit":         {text: start + "Content-Length: 999999999\r\n\r\n" + rest},
		"malformed head":              {text: "POST /a b c\r\nHost: h\r\n\r\n" + rest},
		"malformed chunk":             {text: start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + rest},
		"head over the limit":         {text: start + "A: " + rest},
		"lengths that differ":         {text: start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n" + rest},
		"bytes behind a probe":        {text: "GET " + platform.ReadyPath + " HTTP/1.1\r\nHost: h\r\n\r\n" + start + rest, probe: true},
		"bytes behind another probe":  {text: "GET /other HTTP/1.1\r\nHost: h\r\n\r\n" + start + rest, probe: true},
		"bytes behind a request":      {text: "GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n" + start + rest},
		"part of a body, in a length": {text: start + "Content-Length: 100000\r\n\r\n" + rest},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
				_, _ = io.WriteString(conn, fixedLengthAnswer(id, "hello"))
				return true
			})
			account := memory.NewBudgetOf(testMemory)
			codec := newPausingCodec()
			l := newLobbyWith(t, proxy.Config{Codec: codec, Memory: account}, func(s *scheduler.SendConfig) { s.Address = b.address })
			for range 3 {
				blocker := dial(t, l.address)
				address := l.address
				if tc.probe {
					address = l.probe
				}
				gone := dial(t, address)
				time.Sleep(20 * time.Millisecond) // in which the proxy accepts the connections
				get(t, blocker, "1.1", "pause")
				waitFor(t, codec.reached, "the event loop does not pause")
				if _, err := io.WriteString(gone, tc.text); err != nil {
					t.Fatal(err)
				}
				resetConn(t, gone)
				codec.proceed <- struct{}{}
				awaitCount(t, "open requests", 0, l.proxy.Open)
			}
			awaitCount(t, "bytes held after the callers have gone", 0, func() int { return int(account.Total()) })
		})
	}
}
