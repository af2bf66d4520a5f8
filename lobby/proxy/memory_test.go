package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/memory"
	"sesamewell.example/lobby/proxy"
	"sesamewell.example/lobby/scheduler"
)

// upload sends a request of a customer with a body of a size, and returns the status and
// the Retry-After of its answer.
func upload(conn net.Conn, reader *bufio.Reader, customer, id string, size int) (status int, retryAfter string, err error) {
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return 0, "", err
	}
	if _, err := fmt.Fprintf(conn, "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", id, customer, size); err != nil {
		return 0, "", err
	}
	// The proxy may answer and close before it has got all of the body.
	_, _ = io.WriteString(conn, strings.Repeat("x", size))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Retry-After"), err
}

// TestLargeBodiesOfOneCustomerLeaveRoomForOthers lets one customer send many large bodies
// at once. Those beyond its share are refused as not run; others are served.
func TestLargeBodiesOfOneCustomerLeaveRoomForOthers(t *testing.T) {
	const limit, size, hot = 12 << 20, 1 << 20, 16
	release := make(chan struct{})
	var ran atomic.Int64
	b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
		if strings.HasPrefix(id, "hot") {
			ran.Add(1)
			<-release
		}
		_, _ = io.WriteString(conn, fixedLengthAnswer(id, "x"))
		return true
	})
	account := memory.NewBudgetOf(limit)
	l := newLobbyWith(t, proxy.Config{Memory: account}, func(s *scheduler.SendConfig) { s.Address, s.Connections = b.address, 2*hot })
	l.proxy.SetLimits(deployment.NewLimits(deployment.LimitsConfig{MaxHeader: 16 << 10, MaxBody: 4 << 20, ReadTimeout: testTimeout, IdleTimeout: testTimeout}))
	var mu sync.Mutex
	statuses := make(map[string]int)
	var callers sync.WaitGroup
	for n := range hot {
		conn := dial(t, l.address)
		callers.Go(func() {
			status, retryAfter, err := upload(conn, bufio.NewReader(conn), "hot", fmt.Sprint("hot-", n), size)
			mu.Lock()
			defer mu.Unlock()
			statuses[fmt.Sprint(status, " ", retryAfter, " ", err)]++
		})
	}
	awaitCount(t, "large requests at the backend server", 4, func() int { return int(ran.Load()) })
	awaitCount(t, "refused requests", hot-4, func() int {
		mu.Lock()
		defer mu.Unlock()
		return statuses["503 0.30 <nil>"]
	})
	conn := dial(t, l.address)
	reader := bufio.NewReader(conn)
	for n := range 20 {
		status, _, err := upload(conn, reader, "calm", fmt.Sprint("calm-", n), 2<<10)
		if diff := cmp.Diff("200 <nil>", fmt.Sprint(status, " ", err)); diff != "" {
			t.Errorf("small request of another customer (-want +got):\n%s", diff)
		}
	}
	if status, _, err := upload(conn, reader, "calm", "calm-large", size); status != http.StatusOK {
		t.Errorf("large request of another customer: status %d, %v", status, err)
	}
	close(release)
	callers.Wait()
	if diff := cmp.Diff(map[string]int{"200  <nil>": 4, "503 0.30 <nil>": hot - 4}, statuses); diff != "" {
		t.Errorf("answers to the customer with many (-want +got):\n%s", diff)
	}
	awaitCount(t, "bytes held after all requests", 0, func() int { return int(account.Total()) })
}

// TestAnswersWithoutEndLeaveRoom lets a backend server answer most requests with bytes
// without end. The bytes held stay within the account, and other requests are answered.
func TestAnswersWithoutEndLeaveRoom(t *testing.T) {
	const limit, endless = 8 << 20, 12
	b := newBackend(t, func(conn net.Conn, id string, _ int) bool {
		if !strings.HasPrefix(id, "endless") {
			_, _ = io.WriteString(conn, fixedLengthAnswer(id, "x"))
			return true
		}
		if _, err := io.WriteString(conn, streamHead(id)); err != nil {
			return false
		}
		for piece := chunk(strings.Repeat("x", 32<<10)); ; {
			if _, err := io.WriteString(conn, piece); err != nil {
				return false
			}
		}
	})
	account := memory.NewBudgetOf(limit)
	l := newLobbyWith(t, proxy.Config{Memory: account}, func(s *scheduler.SendConfig) { s.Address, s.Connections = b.address, 2*endless })
	var most, done atomic.Int64
	go func() {
		for done.Load() <= endless {
			most.Store(max(most.Load(), account.Total()))
			time.Sleep(time.Millisecond)
		}
	}()
	var callers sync.WaitGroup
	for n := range endless {
		conn := dial(t, l.address)
		callers.Go(func() {
			defer done.Add(1)
			status, _, err := upload(conn, bufio.NewReader(conn), "a", fmt.Sprint("endless-", n), 2)
			if diff := cmp.Diff("502 <nil>", fmt.Sprint(status, " ", err)); diff != "" {
				t.Errorf("answer without end (-want +got):\n%s", diff)
			}
		})
	}
	conn := dial(t, l.address)
	reader := bufio.NewReader(conn)
	for n := range 20 {
		status, _, err := upload(conn, reader, "b", fmt.Sprint("calm-", n), 2)
		if diff := cmp.Diff("200 <nil>", fmt.Sprint(status, " ", err)); diff != "" {
			t.Errorf("answer to another customer (-want +got):\n%s", diff)
		}
		time.Sleep(5 * time.Millisecond)
	}
	callers.Wait()
	done.Add(1)
	if most.Load() > limit+limit/4+readPiece {
		t.Errorf("%d bytes held, limit %d", most.Load(), limit)
	}
	awaitCount(t, "bytes held after all requests", 0, func() int { return int(account.Total()) })
}

// readPiece is the largest number of bytes that the proxy reads at once.
const readPiece = 64 << 10

// BenchmarkBytesHeld measures the memory that the proxy holds for each byte of the bodies
// of requests that are open at a backend server.
func BenchmarkBytesHeld(b *testing.B) {
	const requests = 16 // in flight
	for _, size := range []int{4 << 10, 400 << 10, 4 << 20} {
		b.Run(fmt.Sprintf("%d KiB", size>>10), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(heldPerByte(b, size, requests), "B/B")
			}
		})
	}
}

// heldPerByte returns the growth of the heap while requests of a size are open, for each
// byte of their bodies.
func heldPerByte(b *testing.B, size, requests int) float64 {
	release := make(chan struct{})
	var arrived atomic.Int64
	backend := newBackend(b, func(conn net.Conn, id string, _ int) bool {
		arrived.Add(1)
		<-release
		_, _ = io.WriteString(conn, fixedLengthAnswer(id, "x"))
		return true
	})
	go func() {
		for range backend.requestIDs {
			<-backend.lastEventIDs
		}
	}()
	l := newLobbyWith(b, proxy.Config{Descriptors: 1 << 20, Memory: memory.NewBudgetOf(1 << 30)}, func(s *scheduler.SendConfig) { s.Address, s.Connections = backend.address, requests })
	before := heapInUse()
	var callers sync.WaitGroup
	for n := range requests {
		conn, err := net.Dial("tcp", l.address)
		if err != nil {
			b.Fatal(err)
		}
		callers.Go(func() {
			defer func() { _ = conn.Close() }()
			if status, _, err := upload(conn, bufio.NewReader(conn), "a", fmt.Sprint("r-", n), size); status != http.StatusOK {
				b.Errorf("status %d, %v", status, err)
			}
		})
	}
	for arrived.Load() < int64(requests) {
		time.Sleep(time.Millisecond)
	}
	held := heapInUse() - before
	close(release)
	callers.Wait()
	return float64(held) / float64(size*requests)
}

// heapInUse returns the number of bytes of the heap that are in use.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse)
}

// TestSenderThatGoesOnIsNotItsOwnRoom guards against a request that is refused, and its reader
// given up, while a piece of it is read.
func TestSenderThatGoesOnIsNotItsOwnRoom(t *testing.T) {
	const limit = 4 << 20
	account := memory.NewBudgetOf(limit)
	l := newLobbyWith(t, proxy.Config{Memory: account}, func(*scheduler.SendConfig) {})
	conn := dial(t, l.address)
	if _, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(strings.Repeat("x", 100<<10))); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1200 * time.Millisecond) // a pause after which a request may be refused for another one
	others := limit - account.Total() - 100<<10
	account.Charge("other", others)
	if _, err := io.WriteString(conn, chunk(strings.Repeat("x", 900<<10))); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if diff := cmp.Diff(http.StatusServiceUnavailable, response.StatusCode); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
	_ = conn.Close()
	awaitCount(t, "bytes held", int(others), func() int { return int(account.Total()) })
}
