// Package backstage holds what tests share: fixed draws of property tests, free
// addresses and logs that nobody reads.
package testkit

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
)

// Ports for tests lie below those that the kernel gives to outgoing connections,
// so that no connection takes a port that was found free. Each test process has a
// chunk of them, which it holds by listening on the first.
const (
	firstPort     = 10000
	lastPort      = 32000
	portsPerChunk = 500
)

var reserved struct {
	sync.Mutex

	listener net.Listener // on the chunk's first port
	chunk    int          // its first port
	next     int          // offset of the port that was found free last
}

// FreeAddress returns an address on loopback that nobody listens on, and that no
// other test process is given.
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
	t.Fatal("no port is free")
	return ""
}

// holdChunk takes the first chunk that no other process holds, beginning with one
// by the process's id.
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
	t.Fatal("all ports for tests are held")
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Quiet returns a log that goes nowhere.
func DiscardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
