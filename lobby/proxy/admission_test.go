package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/memory"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/testkit"
	"sesamewell.example/lobby/proxy"
	"sesamewell.example/lobby/scheduler"
	"sesamewell.example/platform"
)

// TestProxyServesAgainAfterItsEventLoopEnded starts the proxy's threads again, as their
// supervisor does after a failure. The second start of the event loop ended in a panic.
func TestProxyServesAgainAfterItsEventLoopEnded(t *testing.T) {
	b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(conn, fixedLengthAnswer(id, "x"))
		return true
	})
	inbox := ring.New(ring.Config{Name: "test", Capacity: 64})
	l := &lobby{address: testkit.FreeAddress(t), probe: testkit.FreeAddress(t), ended: make(chan scheduler.SendEnded, 64), disconnected: make(chan struct{}, 64)}
	l.proxy = proxy.New(proxy.Config{
		Listen: l.address, Probe: l.probe, ReadyPath: platform.ReadyPath, Capacity: 64, Dialers: 2, Descriptors: testDescriptors, Memory: memory.NewBudgetOf(testMemory), StallTimeout: testTimeout,
		Codec: platform.HeaderCodec{}, Dial: platform.Dial, Scheduler: inbox, Readiness: l, Log: testkit.DiscardLog(),
	})
	schedules, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go l.schedule(schedules, inbox, func(s *scheduler.SendConfig) { s.Address = b.address })
	for run := range 3 {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		for i, service := range l.proxy.Services() {
			go func() {
				err := service.Serve(ctx)
				if i == 0 {
					ended <- err
				}
			}()
		}
		awaitListener(t, l.probe)
		for range 2 {
			if _, body, err := sendRequest(t, l.address); err != nil || body != "x" {
				t.Errorf("run %d: answer %q, error %v", run, body, err)
			}
		}
		cancel()
		<-ended
	}
}

// TestConnectionsWithoutRequestsMakeRoom opens more connections than the proxy may have.
// Those that have waited longest for a request are closed, and no request is lost.
func TestConnectionsWithoutRequestsMakeRoom(t *testing.T) {
	const limit = 40 // connections that a budget of 80 descriptors allows
	type outcome struct {
		Answered int
		Steady   bool // a connection in use is kept
		Oldest   bool // the connection that was idle for longest is kept
	}
	cases := map[string]struct {
		partial string // what the other connections send
		want    outcome
	}{
		"idle connections":    {want: outcome{Answered: 3 * limit, Steady: true}},
		"incomplete requests": {partial: "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhi", want: outcome{Answered: 3 * limit, Steady: true}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
				_, _ = io.WriteString(conn, fixedLengthAnswer(id, "x"))
				return true
			})
			go func() {
				for range b.requestIDs {
					<-b.lastEventIDs
				}
			}()
			l := newLobbyWith(t, proxy.Config{Descriptors: 2 * limit}, func(s *scheduler.SendConfig) { s.Address = b.address })
			go func() {
				for range l.ended {
					continue
				}
			}()
			oldest, steady := dial(t, l.address), dial(t, l.address)
			steadyReader := bufio.NewReader(steady)
			var got outcome
			for n := range 3 * limit {
				conn := dial(t, l.address)
				reader := bufio.NewReader(conn)
				if response, _, err := exchange(t, conn, reader, fmt.Sprint("r-", n)); err == nil && response.StatusCode == http.StatusOK {
					got.Answered++
				}
				if _, err := io.WriteString(conn, tc.partial); err != nil {
					t.Fatal(err)
				}
				response, _, err := exchange(t, steady, steadyReader, fmt.Sprint("s-", n))
				got.Steady = err == nil && response.StatusCode == http.StatusOK
			}
			_ = oldest.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			_, err := oldest.Read(make([]byte, 1))
			timeout, ok := err.(net.Error)
			got.Oldest = ok && timeout.Timeout()
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRequestsBeyondTheLimitAreRefusedAsNotRun opens more requests than the proxy has
// descriptors for.
func TestRequestsBeyondTheLimitAreRefusedAsNotRun(t *testing.T) {
	const requests = 20 // that a budget of 80 descriptors allows
	release := make(chan struct{})
	b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
		<-release
		_, _ = io.WriteString(conn, fixedLengthAnswer(id, "x"))
		return true
	})
	l := newLobbyWith(t, proxy.Config{Descriptors: 80}, func(s *scheduler.SendConfig) { s.Address, s.Connections = b.address, 2*requests })
	statuses := make(chan int, requests)
	for n := range requests {
		conn := dial(t, l.address)
		go func() {
			response, _, err := exchange(t, conn, bufio.NewReader(conn), fmt.Sprint("r-", n))
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
		<-b.requestIDs
	}
	response, _, err := sendRequest(t, l.address)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]any{http.StatusServiceUnavailable, "0.30", true}, []any{response.StatusCode, response.Header.Get("Retry-After"), response.Close}); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
	close(release)
	for range requests {
		if diff := cmp.Diff(http.StatusOK, <-statuses); diff != "" {
			t.Errorf("status of a request within the limit (-want +got):\n%s", diff)
		}
	}
}

func dial(t testing.TB, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}
