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
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/testkit"
	"sesamewell.example/lobby/proxy"
	"sesamewell.example/lobby/scheduler"
)

// writeRequests sends requests whose backend server answers with a body of a size, in one
// write: the proxy may close the connection after the first one.
func writeRequests(t *testing.T, conn net.Conn, size, requests int, headers string) {
	t.Helper()
	var text strings.Builder
	for n := range requests {
		fmt.Fprintf(&text, "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: %d-%d\r\n%sContent-Length: 2\r\n\r\nhi", size, n, headers)
	}
	if _, err := io.WriteString(conn, text.String()); err != nil {
		t.Fatal(err)
	}
}

// TestLargeAnswersArriveWhole gets answers that are larger than what the kernel takes at
// once. Those on connections that were closed after them were cut off, and those of more
// than 1 MiB on any connection.
func TestLargeAnswersArriveWhole(t *testing.T) {
	cases := map[string]struct {
		headers   string
		drain     bool
		slow      bool // the caller begins to read late
		pipelined int  // further requests that are sent before the answer is read
	}{
		"kept connection":              {},
		"kept, slow":                   {slow: true},
		"closed on request":            {headers: "Connection: close\r\n"},
		"closed on request, slow":      {headers: "Connection: close\r\n", slow: true},
		"drain":                        {drain: true},
		"drain, slow":                  {drain: true, slow: true},
		"drain, pipelined requests":    {drain: true, slow: true, pipelined: 3},
		"closed on request, pipelined": {headers: "Connection: close\r\n", pipelined: 3},
	}
	for name, tc := range cases {
		for _, size := range []int{1 << 10, 400 << 10, 3 << 20} {
			t.Run(fmt.Sprintf("%s, %d KiB", name, size>>10), func(t *testing.T) {
				b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
					size, _, _ := strings.Cut(id, "-")
					n, _ := strconv.Atoi(size)
					_, _ = io.WriteString(conn, fixedLengthAnswer(id, strings.Repeat("x", n)))
					return true
				})
				l := newLobby(t, func(s *scheduler.SendConfig) { s.Address = b.address })
				if tc.drain {
					l.proxy.Drain(time.Now())
				}
				conn := testkit.DialEthernet(t, l.address)
				writeRequests(t, conn, size, tc.pipelined+1, tc.headers)
				if tc.slow {
					time.Sleep(300 * time.Millisecond)
				}
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(response.Body)
				if err != nil || len(body) != size {
					t.Errorf("%d of %d bytes, %v", len(body), size, err)
				}
				if diff := cmp.Diff(tc.drain || tc.headers != "", response.Close); diff != "" {
					t.Errorf("Connection: close (-want +got):\n%s", diff)
				}
				if !response.Close {
					return
				}
				if n, err := conn.Read(make([]byte, 1)); err == nil {
					t.Errorf("%d more bytes after an answer that said it was the last", n)
				}
			})
		}
	}
}

// TestFloodBehindAnOpenRequestCostsNoAnswer sends more bytes behind an open request than
// any request may have.
func TestFloodBehindAnOpenRequestCostsNoAnswer(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
		<-release
		_, _ = io.WriteString(conn, fixedLengthAnswer(id, "x"))
		return true
	})
	l := newLobby(t, func(s *scheduler.SendConfig) { s.Address = b.address })
	conn := dial(t, l.address)
	writeRequests(t, conn, 1, 1, "")
	<-b.requestIDs
	if _, err := conn.Write(make([]byte, 16<<20)); err != nil {
		t.Fatal(err)
	}
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "x" {
		t.Errorf("answer %q, %v", body, err)
	}
	if !response.Close {
		t.Error("answer without Connection: close")
	}
}

// TestUnsentAnswersAreOwed counts an answer as unsent until its caller has taken it.
func TestUnsentAnswersAreOwed(t *testing.T) {
	const size = 8 << 20
	b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(conn, fixedLengthAnswer(id, strings.Repeat("x", size)))
		return true
	})
	l := newLobby(t, func(s *scheduler.SendConfig) { s.Address = b.address })
	conn := testkit.DialEthernet(t, l.address)
	writeRequests(t, conn, size, 1, "Connection: close\r\n")
	<-l.ended
	awaitCount(t, "unsent answers of a caller that does not read", 1, l.proxy.Pending)
	if diff := cmp.Diff(0, l.proxy.Open()); diff != "" {
		t.Errorf("open requests (-want +got):\n%s", diff)
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Fatal(err)
	}
	awaitCount(t, "unsent answers after all was read", 0, l.proxy.Pending)
}

// TestCallerThatTakesNothingIsClosed ends the connection of a caller that does not read
// its answer, but of none that reads slowly.
func TestCallerThatTakesNothingIsClosed(t *testing.T) {
	const size, stall = 4 << 20, 700 * time.Millisecond
	cases := map[string]struct {
		read  int // bytes that the caller reads each tenth of a second
		whole bool
	}{
		"no reader":   {},
		"slow reader": {read: 128 << 10, whole: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
				_, _ = io.WriteString(conn, fixedLengthAnswer(id, strings.Repeat("x", size)))
				return true
			})
			l := newLobbyWith(t, proxy.Config{StallTimeout: stall}, func(s *scheduler.SendConfig) { s.Address = b.address })
			conn := testkit.DialEthernet(t, l.address)
			writeRequests(t, conn, size, 1, "Connection: close\r\n")
			<-l.ended
			got := 0
			for end := time.Now().Add(5 * stall); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if tc.read > 0 {
					n, _ := io.CopyN(io.Discard, conn, int64(tc.read))
					got += int(n)
				}
			}
			rest, err := io.Copy(io.Discard, conn)
			got += int(rest)
			if diff := cmp.Diff(tc.whole, err == nil && got > size); diff != "" {
				t.Errorf("whole answer (-want +got):\n%s%d bytes, %v", diff, got, err)
			}
		})
	}
}

// TestPipelinedRequestsWaitForAnswersToLeave pipelines requests for large answers. The next
// one must not be read while the answer to the one before is not taken, since the answers
// of many such callers exceeded the memory of the process, and none may be lost.
func TestPipelinedRequestsWaitForAnswersToLeave(t *testing.T) {
	const size, requests = 6 << 20, 4
	b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(conn, fixedLengthAnswer(id, strings.Repeat("x", size)))
		return true
	})
	l := newLobby(t, func(s *scheduler.SendConfig) { s.Address = b.address })
	conn := testkit.DialEthernet(t, l.address)
	// Beyond this buffer and the one for sending, which has at most 4 MiB, the kernel takes
	// nothing that is not read.
	if err := conn.(*net.TCPConn).SetReadBuffer(32 << 10); err != nil {
		t.Fatal(err)
	}
	writeRequests(t, conn, size, requests, "")
	reader := bufio.NewReader(conn)
	for n := range requests {
		<-l.ended
		awaitCount(t, "callers with unsent answers", 1, l.proxy.Pending)
		if diff := cmp.Diff(0, l.proxy.Open()); diff != "" {
			t.Errorf("requests read behind unread answer %d (-want +got):\n%s", n, diff)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || len(body) != size {
			t.Fatalf("answer %d: %d of %d bytes, %v", n, len(body), size, err)
		}
	}
}

// awaitCount waits until a count has the value.
func awaitCount(t *testing.T, what string, want int, count func() int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); count() != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: %d, want %d", what, count(), want)
		}
	}
}

// TestBytesBehindTheLastRequestCostNoAnswer guards against answers that are cut off since the
// caller sends something while it reads them: a closed connection is reset then.
func TestBytesBehindTheLastRequestCostNoAnswer(t *testing.T) {
	cases := map[string]struct {
		size  int
		drain bool
		sent  string
	}{
		"line end":                 {size: 400 << 10, sent: "\r\n"},
		"request":                  {size: 400 << 10, sent: "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		"line end, small answer":   {size: 1 << 10, sent: "\r\n"},
		"line end, large answer":   {size: 3 << 20, sent: "\r\n"},
		"request, drain":           {size: 400 << 10, drain: true, sent: "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		"nothing but a late start": {size: 400 << 10},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
				_, _ = io.WriteString(conn, fixedLengthAnswer(id, strings.Repeat("x", tc.size)))
				return true
			})
			l := newLobby(t, func(s *scheduler.SendConfig) { s.Address = b.address })
			headers := "Connection: close\r\n"
			if tc.drain {
				l.proxy.Drain(time.Now())
				headers = ""
			}
			conn := testkit.DialEthernet(t, l.address)
			if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
				t.Fatal(err)
			}
			writeRequests(t, conn, tc.size, 1, headers)
			<-l.ended
			reader := bufio.NewReader(conn)
			if _, err := reader.Peek(1); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // the lobby closes the connection
			if _, err := io.WriteString(conn, tc.sent); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // what was sent arrives
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(response.Body); err != nil || len(body) != tc.size {
				t.Errorf("%d of %d bytes, %v", len(body), tc.size, err)
			}
		})
	}
}

// TestRefusedRequestsAreNotRun sends the rest of requests that were refused while they arrived.
func TestRefusedRequestsAreNotRun(t *testing.T) {
	cases := map[string]struct {
		refuse func(l *lobby)
		want   int
	}{
		"slow sender": {want: http.StatusRequestTimeout, refuse: func(l *lobby) {
			l.proxy.SetLimits(deployment.NewLimits(deployment.LimitsConfig{MaxHeader: 16 << 10, MaxBody: 16 << 10, ReadTimeout: 50 * time.Millisecond, IdleTimeout: testTimeout}))
		}},
		"stop": {want: http.StatusServiceUnavailable, refuse: func(l *lobby) { l.proxy.Drain(time.Now()) }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
				_, _ = io.WriteString(conn, fixedLengthAnswer(id, "x"))
				return true
			})
			l := newLobbyWith(t, proxy.Config{AcceptPeriod: time.Nanosecond}, func(s *scheduler.SendConfig) { s.Address = b.address })
			conn := dial(t, l.address)
			if _, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nh"); err != nil {
				t.Fatal(err)
			}
			awaitCount(t, "requests that arrive", 1, l.proxy.Pending)
			tc.refuse(l)
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, response.StatusCode); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			_, _ = io.WriteString(conn, "i"+"POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\nContent-Length: 0\r\n\r\n") // fails on a connection that has been closed
			if n, err := io.Copy(io.Discard, reader); n > 0 {
				t.Errorf("%d bytes behind the refusal, %v", n, err)
			}
			if diff := cmp.Diff(0, len(b.requestIDs)); diff != "" {
				t.Errorf("requests that were run (-want +got):\n%s", diff)
			}
		})
	}
}
