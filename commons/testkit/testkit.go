// Package testkit holds helpers for tests: fixed seeds for property tests, free
// addresses and discarded logs.
package testkit

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"
)

// The ports for tests lie below the range from which the kernel takes ports for
// outgoing connections, so that no connection takes a port that was found to be
// free. Each test process reserves a chunk of ports by listening on the first one.
const (
	firstPort     = 10000
	lastPort      = 32000
	portsPerChunk = 500
)

var reserved struct {
	sync.Mutex

	listener net.Listener // listener on the first port of the chunk
	chunk    int          // first port of the chunk
	next     int          // offset within the chunk of the last port returned
}

// FreeAddress returns a loopback address on which nothing listens and which no
// other test process gets.
func FreeAddress(t testing.TB) string {
	t.Helper()
	reserved.Lock()
	defer reserved.Unlock()
	if reserved.listener == nil {
		reserveChunk(t)
	}
	for range portsPerChunk {
		reserved.next = reserved.next%(portsPerChunk-1) + 1
		address := loopback(reserved.chunk + reserved.next)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		return address
	}
	t.Fatal("no free port in the reserved chunk")
	return ""
}

// reserveChunk reserves the first chunk that no other process has reserved. The
// search starts at a chunk that depends on the process ID.
func reserveChunk(t testing.TB) {
	t.Helper()
	const chunks = (lastPort - firstPort) / portsPerChunk
	for i := range chunks {
		chunk := firstPort + (os.Getpid()+i)%chunks*portsPerChunk
		listener, err := net.Listen("tcp", loopback(chunk))
		if err != nil {
			continue
		}
		reserved.listener, reserved.chunk = listener, chunk
		return
	}
	t.Fatal("all chunks of ports for tests are reserved")
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// segmentSize is the size of a TCP segment on an Ethernet link, in bytes. With those of the
// loopback device the kernel takes some megabytes at once.
const segmentSize = 1460

// DialEthernet opens a connection with segments as on an Ethernet link. It is closed at the
// end of the test.
func DialEthernet(t testing.TB, address string) net.Conn {
	t.Helper()
	conn, err := TryDialEthernet(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TryDialEthernet does the same as DialEthernet, but returns an error, and leaves it to its
// caller to close the connection.
func TryDialEthernet(address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	return dialer.Dial("tcp", address)
}

// DiscardLog returns a logger that discards its output.
func DiscardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
