package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/testkit"
)

// socket is a connection of an event loop of which only the descriptor is used.
type socket struct {
	gnet.Conn

	fd int
}

// Fd returns the descriptor.
func (s socket) Fd() int { return s.fd }

// TestOnlyAnEndInOrderIsAnEnd guards against a connection that was reset, has bytes left or was
// closed by this process and is taken for one that its peer has ended in order.
func TestOnlyAnEndInOrderIsAnEnd(t *testing.T) {
	cases := map[string]struct {
		end   func(peer *net.TCPConn) error
		cause error
		want  error // nil for an end in order
	}{
		"in order":                  {end: (*net.TCPConn).Close, cause: io.EOF},
		"half closed":               {end: (*net.TCPConn).CloseWrite, cause: io.EOF},
		"reset, reported as an end": {end: reset, cause: io.EOF, want: unix.ECONNRESET},
		"reset, reported as such":   {end: reset, cause: unix.ECONNRESET, want: unix.ECONNRESET},
		"bytes are left": {end: func(peer *net.TCPConn) error {
			_, err := peer.Write([]byte("rest"))
			return errors.CombineErrors(err, peer.Close())
		}, cause: io.EOF, want: httpserver.ErrUnread},
		"not ended":           {end: func(*net.TCPConn) error { return nil }, cause: io.EOF, want: unix.EAGAIN},
		"closed here":         {end: (*net.TCPConn).Close, want: net.ErrClosed},
		"timed out in a read": {end: (*net.TCPConn).Close, cause: unix.ETIMEDOUT, want: unix.ETIMEDOUT},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			conn, peer := connect(t)
			if err := tc.end(peer); err != nil {
				t.Fatal(err)
			}
			if tc.want != unix.EAGAIN {
				awaitReadable(t, conn)
			}
			raw, err := conn.SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			var got error
			if err := raw.Control(func(fd uintptr) { got = httpserver.EndError(socket{fd: int(fd)}, tc.cause) }); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]bool{tc.want == nil, true}, []bool{got == nil, errors.Is(got, tc.want)}); diff != "" {
				t.Errorf("in order, cause (-want +got):\n%s%v", diff, got)
			}
		})
	}
}

func reset(peer *net.TCPConn) error {
	return errors.CombineErrors(peer.SetLinger(0), peer.Close())
}

// connect returns the two ends of a connection.
func connect(t *testing.T) (conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialled.Close(), accepted.Close() })
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

// awaitReadable waits until a read of a connection would not block, without a read.
func awaitReadable(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		if _, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, -1); err != nil {
			t.Error(err)
		}
	}); err != nil {
		t.Fatal(err)
	}
}

// TestStreamWithoutChunksIsNotCompleteAtAStop guards against an answer for an HTTP/1.0 caller,
// which ends with its connection, that looks complete since the server stops in the middle of it.
func TestStreamWithoutChunksIsNotCompleteAtAStop(t *testing.T) {
	cases := map[string]struct{ version string }{
		"in chunks":      {version: "HTTP/1.1"},
		"without chunks": {version: "HTTP/1.0"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			inbox := ring.New(ring.Config{Name: "test", Capacity: 64})
			address := testkit.FreeAddress(t)
			server := httpserver.New(httpserver.Config{
				Address: address, Inbox: inbox, Log: testkit.DiscardLog(), MaxHeader: 2048, MaxBody: 4096,
				MaxUnsent: 1 << 20, MaxConns: 64, SlowSender: timeout, Idle: timeout,
			})
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			go func() { _ = server.Serve(ctx) }()
			conn := dialStarting(t, address)
			if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(conn, "GET / "+tc.version+"\r\nHost: a\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			item, err := inbox.Take(ctx)
			if err != nil {
				t.Fatal(err)
			}
			call := item.(*httpserver.Call)
			if err := errors.CombineErrors(call.Begin(&fasthttp.Response{}), call.Write([]byte("piece"))); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(response.Body, make([]byte, len("piece"))); err != nil {
				t.Fatal(err)
			}
			stop()
			_, err = io.Copy(io.Discard, response.Body)
			if diff := cmp.Diff(true, err != nil); diff != "" {
				t.Errorf("seen as broken off (-want +got):\n%s", diff)
			}
		})
	}
}

// dialStarting returns a connection to a server that may still be starting.
func dialStarting(t *testing.T, address string) net.Conn {
	t.Helper()
	for range 200 {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			return conn
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("server did not start")
	return nil
}

// TestStreamWithoutChunksIsResetUntilItIsSent guards against an answer for an HTTP/1.0 caller that
// looks complete since the server stops before its last bytes have left the process.
func TestStreamWithoutChunksIsResetUntilItIsSent(t *testing.T) {
	cases := map[string]struct{ size int }{
		"taken by the kernel":       {size: 16},
		"kept by the process still": {size: 16 << 20},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			inbox := ring.New(ring.Config{Name: "test", Capacity: 64})
			address := testkit.FreeAddress(t)
			server := httpserver.New(httpserver.Config{
				Address: address, Inbox: inbox, Log: testkit.DiscardLog(), MaxHeader: 2048, MaxBody: 4096,
				MaxUnsent: 64 << 20, MaxConns: 64, SlowSender: timeout, Idle: timeout, Stall: timeout,
			})
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			served := make(chan error, 1)
			go func() { served <- server.Serve(ctx) }()
			conn := dialStarting(t, address)
			if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(conn, "GET / HTTP/1.0\r\nHost: a\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			item, err := inbox.Take(ctx)
			if err != nil {
				t.Fatal(err)
			}
			call := item.(*httpserver.Call)
			if err := errors.CombineErrors(call.Begin(&fasthttp.Response{}), call.Write(make([]byte, tc.size))); err != nil {
				t.Fatal(err)
			}
			call.End()
			reader := bufio.NewReader(conn)
			if _, err := reader.ReadByte(); err != nil { // the writes above are queued in their order
				t.Fatal(err)
			}
			stop()
			<-served
			if err := reader.UnreadByte(); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return // broken off
			}
			body, err := io.ReadAll(response.Body)
			if diff := cmp.Diff(false, err == nil && len(body) < tc.size); diff != "" {
				t.Errorf("looks complete with %d of %d bytes (-want +got):\n%s", len(body), tc.size, diff)
			}
		})
	}
}
