package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/testkit"
)

const (
	testDescriptors = 1024
	testGrace       = 8 * time.Second
)

// workingBackend is a fake backend server that works on each request for the time in its
// path, and answers with as many bytes as the path states after it.
type workingBackend struct {
	mu  sync.Mutex
	ran map[string]bool // IDs of the requests that have reached it
}

func (b *workingBackend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		b.mu.Lock()
		b.ran[request.Header.Get("Request-Id")] = true
		b.mu.Unlock()
		var work string
		var size int
		_, _ = fmt.Sscanf(strings.ReplaceAll(request.URL.Path, "/", " "), " unsafe %s %d", &work, &size)
		duration, err := time.ParseDuration(work)
		if err != nil {
			return
		}
		time.Sleep(duration)
		body := strings.Repeat("x", size)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", request.Header.Get("Request-Id"), size, body)
	}
}

// hasRun reports whether a request has reached the backend server.
func (b *workingBackend) hasRun(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran[id]
}

// stopConfig is the configuration for tests of stops: requests that may run once, with a
// long timeout.
var stopConfig = strings.ReplaceAll(refusalConfig, `"timeout_ms":1000`, `"timeout_ms":30000`)

// TestStopAnswersRequestsThatItPassedOn stops a lobby while callers send requests on kept
// and on new connections until the process is gone. No caller whose request was passed on
// may be left without an answer.
func TestStopAnswersRequestsThatItPassedOn(t *testing.T) {
	cases := map[string]struct {
		grace   time.Duration
		path    string
		signals []syscall.Signal // a fifth of a second apart
	}{
		"short work":            {grace: testGrace, path: "/unsafe/100ms/800", signals: []syscall.Signal{syscall.SIGTERM}},
		"several signals":       {grace: testGrace, path: "/unsafe/300ms/800", signals: []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}},
		"large answers":         {grace: testGrace, path: "/unsafe/30ms/400000", signals: []syscall.Signal{syscall.SIGTERM}},
		"work of a second":      {grace: testGrace, path: "/unsafe/1s/800", signals: []syscall.Signal{syscall.SIGTERM}},
		"work beyond the grace": {grace: testGrace, path: "/unsafe/20s/800", signals: []syscall.Signal{syscall.SIGTERM}},
		"short grace":           {grace: 2 * time.Second, path: "/unsafe/1s/800", signals: []syscall.Signal{syscall.SIGTERM}},
		"shortest grace":        {grace: time.Second, path: "/unsafe/300ms/800", signals: []syscall.Signal{syscall.SIGTERM}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := &workingBackend{ran: make(map[string]bool)}
			store := newStore(t, stopConfig, map[string]string{"i-1": listEntry(newScriptedBackend(t, b.serve)), "i-2": listEntry(newScriptedBackend(t, b.serve))})
			p := startProcess(t, store, testDescriptors, tc.grace)
			var mu sync.Mutex
			var lost []string
			var callers sync.WaitGroup
			start := time.Now()
			send := func(c *caller, id string) bool {
				status, _, err := c.send(id, tc.path)
				if err != nil && b.hasRun(id) {
					mu.Lock()
					lost = append(lost, fmt.Sprintf("%s: status %d, %v after %s", id, status, err, time.Since(start)))
					mu.Unlock()
				}
				return err == nil
			}
			for n := range 6 { // callers on kept connections
				callers.Go(func() {
					for i := 0; ; i++ {
						c, err := dialCaller(p.address)
						if err != nil {
							return
						}
						for j := 0; send(c, fmt.Sprintf("kept-%d-%d-%d", n, i, j)); j++ {
							time.Sleep(5 * time.Millisecond)
						}
						_ = c.conn.Close()
					}
				})
			}
			callers.Go(func() { // callers on new connections
				for n := 0; ; n++ {
					c, err := dialCaller(p.address)
					if err != nil {
						return
					}
					callers.Go(func() {
						send(c, fmt.Sprint("new-", n))
						_ = c.conn.Close()
					})
					time.Sleep(40 * time.Millisecond)
				}
			})
			time.Sleep(300 * time.Millisecond)
			for i, signal := range tc.signals {
				if i > 0 {
					time.Sleep(200 * time.Millisecond)
				}
				if err := p.cmd.Process.Signal(signal); err != nil {
					t.Errorf("%s: %v", signal, err)
				}
			}
			<-p.exited // at the end of the grace time at the latest, see TestStop
			callers.Wait()
			if diff := cmp.Diff([]string(nil), lost[:min(len(lost), 5)]); diff != "" {
				t.Errorf("%d requests passed on and not answered (-want +got):\n%s", len(lost), diff)
			}
		})
	}
}

// TestStopCutsNoAnswer stops a lobby at a random moment while callers of several kinds get
// answers of 400 KiB to 3 MiB over segments as on an Ethernet link. Each answer whose
// request was passed on arrives whole.
func TestStopCutsNoAnswer(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, seed))
			b := &workingBackend{ran: make(map[string]bool)}
			p := startProcess(t, newStore(t, stopConfig, map[string]string{"i-1": listEntry(newScriptedBackend(t, b.serve)), "i-2": listEntry(newScriptedBackend(t, b.serve))}), testDescriptors, testGrace)
			var callers sync.WaitGroup
			for n := range 9 {
				kind := []string{"kept", "pipelined", "slow"}[n%3]
				path := fmt.Sprintf("/unsafe/%dms/%d", random.IntN(300), 400<<10+random.IntN(2600<<10))
				callers.Go(func() { b.callUntilGone(t, p.address, kind, fmt.Sprint(kind, "-", n), path) })
			}
			time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond)
			if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Error(err)
			}
			callers.Wait()
			<-p.exited
		})
	}
}

// callUntilGone sends requests until the lobby accepts no connection any more. It fails the
// test for each answer that does not arrive whole although a backend server has run the
// request.
func (b *workingBackend) callUntilGone(t *testing.T, address, kind, name, path string) {
	for n := 0; ; n++ {
		conn, err := testkit.TryDialEthernet(address)
		if err != nil {
			return
		}
		c := &caller{conn: conn, reader: bufio.NewReader(conn)}
		for i := 0; err == nil; i++ {
			id := fmt.Sprintf("%s-%d-%d", name, n, i)
			err = b.call(c, kind, id, path)
			if err != nil && b.hasRun(id) {
				t.Errorf("%s: %v", id, err)
			}
		}
		_ = conn.Close()
	}
}

// call sends a request, in the kind "pipelined" with another one behind it, and reads its
// answer.
func (b *workingBackend) call(c *caller, kind, id, path string) error {
	if err := c.write(id, path); err != nil {
		return err
	}
	if kind == "pipelined" {
		if err := c.write(id+"-behind", path); err != nil {
			return err
		}
	}
	if kind == "slow" {
		time.Sleep(200 * time.Millisecond)
	}
	if _, _, err := c.read(); err != nil {
		return err
	}
	if kind == "pipelined" {
		if _, _, err := c.read(); err != nil && b.hasRun(id+"-behind") {
			return errors.Wrap(err, "the request behind it")
		}
	}
	return nil
}
