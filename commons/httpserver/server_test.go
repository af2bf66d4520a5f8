package httpserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/testkit"
)

const (
	timeout     = 10 * time.Second
	largeAnswer = 3 << 20 // bytes
	// mediumAnswer is the size in bytes of an answer that the kernel takes at once.
	mediumAnswer = 60 << 10
)

// startServer starts a server that echoes request bodies, and returns its address.
func startServer(t *testing.T, change func(config *httpserver.Config)) string {
	t.Helper()
	address := testkit.FreeAddress(t)
	log := testkit.DiscardLog()
	inbox := ring.New(ring.Config{Name: "test", Capacity: 64})
	config := httpserver.Config{
		Address: address, Inbox: inbox, Log: log, MaxHeader: 2048, MaxBody: 4096,
		MaxUnsent: 1 << 20, MaxConns: 64, SlowSender: timeout, Idle: timeout,
	}
	if change != nil {
		change(&config)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = httpserver.New(config).Serve(ctx)
	}()
	go echo(ctx, inbox)
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	for range 200 {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			return address
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("server did not start")
	return ""
}

func echo(ctx context.Context, inbox *ring.Ring) {
	for {
		item, err := inbox.Take(ctx)
		if err != nil {
			return
		}
		call, ok := item.(*httpserver.Call)
		if !ok {
			continue
		}
		response := &fasthttp.Response{}
		switch string(call.Request().URI().Path()) {
		case "/stream":
			_ = call.Begin(response)
			for i := range 3 {
				_ = call.Write(fmt.Appendf(nil, "piece%d ", i))
			}
			call.End()
		case "/slow":
			time.Sleep(300 * time.Millisecond)
			call.Reply(response)
		case "/large":
			response.SetBody(make([]byte, largeAnswer))
			call.Reply(response)
		case "/medium":
			response.SetBody(make([]byte, mediumAnswer))
			call.Reply(response)
		case "/cut":
			_ = call.Begin(response)
			_ = call.Write([]byte("piece"))
			call.Abort()
		default:
			response.SetBody(call.Request().Body())
			call.Reply(response)
		}
	}
}

// exchange sends raw bytes on a new connection and returns the statuses and bodies
// of the given number of answers.
func exchange(t *testing.T, address, raw string, answers int) (statuses []int, bodies []string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for range answers {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		statuses, bodies = append(statuses, response.StatusCode), append(bodies, string(body))
	}
	return statuses, bodies
}

func TestRefusalOfWhatMayHaveRunPromisesNothing(t *testing.T) {
	cases := map[string]struct {
		config httpserver.RefusalConfig
		want   int
	}{
		"503, not run":      {config: httpserver.RefusalConfig{Status: 503}, want: 503},
		"503, may have run": {config: httpserver.RefusalConfig{Status: 503, Outcome: httpserver.MayHaveRun}, want: 502},
		"429, may have run": {config: httpserver.RefusalConfig{Status: 429, Outcome: httpserver.MayHaveRun}, want: 502},
		"408, may have run": {config: httpserver.RefusalConfig{Status: 408, Outcome: httpserver.MayHaveRun}, want: 502},
		"504, may have run": {config: httpserver.RefusalConfig{Status: 504, Outcome: httpserver.MayHaveRun}, want: 504},
		"401, may have run": {config: httpserver.RefusalConfig{Status: 401, Outcome: httpserver.MayHaveRun}, want: 401},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, httpserver.NewRefusal(tc.config).Status()); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRequests(t *testing.T) {
	cases := map[string]struct {
		raw      string
		statuses []int
		bodies   []string
	}{
		"complete":            {raw: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi", statuses: []int{200}, bodies: []string{"hi"}},
		"chunked":             {raw: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", statuses: []int{200}, bodies: []string{"hi"}},
		"pipelined":           {raw: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n2", statuses: []int{200, 200}, bodies: []string{"1", "2"}},
		"HTTP/1.0":            {raw: "POST / HTTP/1.0\r\nContent-Length: 2\r\n\r\nhi", statuses: []int{200}, bodies: []string{"hi"}},
		"streamed":            {raw: "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n", statuses: []int{200}, bodies: []string{"piece0 piece1 piece2 "}},
		"leading blank lines": {raw: "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", statuses: []int{200}, bodies: []string{""}},
	}
	address := startServer(t, nil)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			statuses, bodies := exchange(t, address, tc.raw, len(tc.statuses))
			if diff := cmp.Diff(tc.statuses, statuses); diff != "" {
				t.Errorf("statuses (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.bodies, bodies); diff != "" {
				t.Errorf("bodies (-want +got):\n%s", diff)
			}
		})
	}
}

func TestServerContinuesAfterBadRequests(t *testing.T) {
	cases := map[string]struct {
		raw    string
		status int
	}{
		"not HTTP":         {raw: "hello\r\n\r\n", status: 400},
		"negative length":  {raw: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n", status: 400},
		"bad chunk":        {raw: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n", status: 400},
		"two lengths":      {raw: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", status: 400},
		"header too large": {raw: "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 4000) + "\r\n\r\n", status: 431},
		"endless header":   {raw: "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 4000), status: 431},
		"body too large":   {raw: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n", status: 413},
	}
	address := startServer(t, nil)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			statuses, _ := exchange(t, address, tc.raw, 1)
			if diff := cmp.Diff([]int{tc.status}, statuses); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			next, _ := exchange(t, address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 1)
			if diff := cmp.Diff([]int{200}, next); diff != "" {
				t.Errorf("status of the next request (-want +got):\n%s", diff)
			}
		})
	}
}

// panickingInbox panics on a request for /panic.
type panickingInbox struct{ httpserver.Inbox }

func (i panickingInbox) Put(item any) error {
	if call, ok := item.(*httpserver.Call); ok && string(call.Request().URI().Path()) == "/panic" {
		panic("made to panic")
	}
	return i.Inbox.Put(item)
}

// TestPanicClosesOneConnection checks that an unexpected error while one request is
// handled leaves the process and its other callers alone.
func TestPanicClosesOneConnection(t *testing.T) {
	address := startServer(t, func(config *httpserver.Config) { config.Inbox = panickingInbox{config.Inbox} })
	if response, err := http.Get("http://" + address + "/panic"); err == nil {
		_ = response.Body.Close()
		t.Errorf("status %d of the request that causes a panic", response.StatusCode)
	}
	response, err := http.Post("http://"+address+"/echo", "text/plain", strings.NewReader("hello"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if diff := cmp.Diff(http.StatusOK, response.StatusCode); diff != "" {
		t.Errorf("status of the next request (-want +got):\n%s", diff)
	}
}

func TestSlowSenderIsRefused(t *testing.T) {
	address := startServer(t, func(config *httpserver.Config) { config.SlowSender = 50 * time.Millisecond })
	statuses, _ := exchange(t, address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhi", 1)
	if diff := cmp.Diff([]int{408}, statuses); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

func TestConnectionsBeyondTheLimitAreRefused(t *testing.T) {
	address := startServer(t, func(config *httpserver.Config) { config.MaxConns = 1 })
	first := connectAccepted(t, address)
	defer func() { _ = first.Close() }()
	second, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.Close() }()
	response, err := http.ReadResponse(bufio.NewReader(second), nil)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(503, response.StatusCode); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(httpserver.NotRun, response.Header.Get(httpserver.OutcomeHeader)); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

// TestIdleConnectionsMakeRoom opens a connection beyond the limit while another one has
// been idle for a while.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	address := startServer(t, func(config *httpserver.Config) { config.MaxConns = 1 })
	first := connectAccepted(t, address)
	defer func() { _ = first.Close() }()
	time.Sleep(1100 * time.Millisecond)
	statuses, _ := exchange(t, address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 1)
	if diff := cmp.Diff([]int{200}, statuses); diff != "" {
		t.Errorf("status on the new connection (-want +got):\n%s", diff)
	}
	if err := first.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("error on the idle connection: %v, want its end", err)
	}
}

// TestServerServesAgainAfterItsEnd starts the server again, as its supervisor does after
// a failure. The second start ended in a panic.
func TestServerServesAgainAfterItsEnd(t *testing.T) {
	address, inbox := testkit.FreeAddress(t), ring.New(ring.Config{Name: "test", Capacity: 64})
	server := httpserver.New(httpserver.Config{
		Address: address, Inbox: inbox, Log: testkit.DiscardLog(), MaxHeader: 2048, MaxBody: 4096,
		MaxUnsent: 1 << 20, MaxConns: 64, SlowSender: timeout, Idle: timeout, Loops: 2,
	})
	echoes, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go echo(echoes, inbox)
	for range 3 {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(ctx) }()
		conn := connectAccepted(t, address)
		_ = conn.Close()
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("end of the server: %v", err)
		}
	}
}

// connectAccepted returns a connection that the server has accepted. It retries
// because the connection that startServer opened may still be counted.
func connectAccepted(t *testing.T, address string) net.Conn {
	t.Helper()
	for range 200 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(10 * time.Millisecond) // the server is starting
			continue
		}
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil && response.StatusCode == fasthttp.StatusOK {
			return conn
		}
		_ = conn.Close()
	}
	t.Fatal("no connection was accepted")
	return nil
}

// TestFloodBehindAnOpenCallCostsNoAnswer sends more bytes behind an open call than any
// request may have. The connection was closed without an answer.
func TestFloodBehindAnOpenCallCostsNoAnswer(t *testing.T) {
	statuses, _ := exchange(t, startServer(t, nil), "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"+strings.Repeat("x", 64<<10), 1)
	if diff := cmp.Diff([]int{200}, statuses); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

// TestPipelinedRequestsAreAnsweredInTurn pipelines requests for large answers, which are
// read late. Each waits until the answer before it has left, and none may be lost.
func TestPipelinedRequestsAreAnsweredInTurn(t *testing.T) {
	const requests = 4
	conn := testkit.DialEthernet(t, startServer(t, nil))
	if _, err := io.WriteString(conn, strings.Repeat("GET /large HTTP/1.1\r\nHost: a\r\n\r\n", requests)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for n := range requests {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || len(body) != largeAnswer {
			t.Fatalf("answer %d: %d of %d bytes, %v", n, len(body), largeAnswer, err)
		}
	}
}

// TestLargeAnswersArriveWhole gets answers that are larger than what the kernel takes at
// once, on connections that are closed after them or not. The former were cut off.
func TestLargeAnswersArriveWhole(t *testing.T) {
	cases := map[string]struct {
		headers string
		slow    bool
	}{
		"kept connection":         {},
		"kept, slow":              {slow: true},
		"closed on request":       {headers: "Connection: close\r\n"},
		"closed on request, slow": {headers: "Connection: close\r\n", slow: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, nil)
			conn := testkit.DialEthernet(t, address)
			if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
				t.Fatal(err)
			}
			if _, err := fmt.Fprintf(conn, "GET /large HTTP/1.1\r\nHost: a\r\n%s\r\n", tc.headers); err != nil {
				t.Fatal(err)
			}
			if tc.slow {
				time.Sleep(300 * time.Millisecond)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(response.Body); err != nil || len(body) != largeAnswer {
				t.Errorf("%d of %d bytes, %v", len(body), largeAnswer, err)
			}
		})
	}
}

// TestAbortedAnswerWithoutChunksIsNotComplete aborts an answer to a caller that does not
// know chunks and takes the end of the connection for the end of the answer.
func TestAbortedAnswerWithoutChunksIsNotComplete(t *testing.T) {
	conn, err := net.Dial("tcp", startServer(t, nil))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET /cut HTTP/1.0\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if answer, err := io.ReadAll(conn); err == nil {
		t.Errorf("an aborted answer ends without an error: %q", answer)
	}
}

func TestAbortedAnswerIsNotComplete(t *testing.T) {
	address := startServer(t, nil)
	response, err := http.Get("http://" + address + "/cut")
	if err != nil {
		return // closed before the header was received
	}
	defer func() { _ = response.Body.Close() }()
	if body, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("reading an aborted answer returned %q and no error", body)
	}
}

// TestBytesBehindTheLastRequestCostNoAnswer guards against answers that are cut off since the
// caller sends something while it reads them: a closed connection is reset then.
func TestBytesBehindTheLastRequestCostNoAnswer(t *testing.T) {
	cases := map[string]struct{ path, sent string }{
		"line end":              {path: "/medium", sent: "\r\n"},
		"request":               {path: "/medium", sent: "GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
		"line end, more":        {path: "/large", sent: "\r\n"},
		"line end, small":       {path: "/", sent: "\r\n"},
		"nothing but late read": {path: "/medium"},
	}
	sizes := map[string]int{"/medium": mediumAnswer, "/large": largeAnswer}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := testkit.DialEthernet(t, startServer(t, nil))
			if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
				t.Fatal(err)
			}
			if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
				t.Fatal(err)
			}
			if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", tc.path); err != nil {
				t.Fatal(err)
			}
			reader := bufio.NewReader(conn)
			if _, err := reader.Peek(1); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // the server closes the connection
			if _, err := io.WriteString(conn, tc.sent); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // what was sent arrives
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(response.Body); err != nil || len(body) != sizes[tc.path] {
				t.Errorf("%d of %d bytes, %v", len(body), sizes[tc.path], err)
			}
		})
	}
}
