package proxy_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/lobby/scheduler"
)

// answerWith returns the script of a backend server that answers each request with a body.
func answerWith(body string) func(conn net.Conn, id string, n int) bool {
	return func(conn net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(conn, fixedLengthAnswer(id, body))
		return true
	}
}

// TestBackendServerAtAnotherAddressIsDialledThere moves a backend server, whose ID stays
// the same. It was dialled at the address that its pool was made with.
func TestBackendServerAtAnotherAddressIsDialledThere(t *testing.T) {
	before, after := newBackend(t, answerWith("before")), newBackend(t, answerWith("after"))
	var address atomic.Value
	address.Store(before.address)
	l := newLobby(t, func(s *scheduler.SendConfig) { s.Address = address.Load().(string) })
	for _, want := range []string{"before", "before", "after", "after"} {
		if want == "after" {
			address.Store(after.address)
		}
		_, body, err := sendRequest(t, l.address)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, body); diff != "" {
			t.Errorf("backend server (-want +got):\n%s", diff)
		}
		<-l.ended
	}
	if diff := cmp.Diff([]int64{1, 1}, []int64{before.conns.Load(), after.conns.Load()}); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
	waitFor(t, before.closed, "idle connection to the old address not closed")
}

// TestIdleConnectionsMakeRoomForRequestThatMayRunOnce fills a pool with a connection that
// is idle for too long to carry a request that must not run twice. Such a request waited
// until the connection expired.
func TestIdleConnectionsMakeRoomForRequestThatMayRunOnce(t *testing.T) {
	b := newBackend(t, answerWith("x"))
	l := newLobby(t, func(s *scheduler.SendConfig) { s.Address, s.Connections, s.FreshConnection = b.address, 1, true })
	for n := range 2 {
		start := time.Now()
		if _, body, err := sendRequest(t, l.address); err != nil || body != "x" {
			t.Fatalf("answer %q, %v", body, err)
		}
		if waited := time.Since(start); waited > time.Second {
			t.Errorf("request %d was answered after %s", n, waited)
		}
		time.Sleep(1100 * time.Millisecond)
	}
	if diff := cmp.Diff(int64(2), b.conns.Load()); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}
