package runner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/backstage"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/trail"
	"sesamewell.example/side/dispatcher"
)

const (
	testTimeout      = 20 * time.Second // longest time that a test waits for anything
	shortIdleTimeout = 50 * time.Millisecond
)

// script is what a backend server does with a connection after the request.
type behaviour func(conn net.Conn)

// backend starts a server that plays one script for each connection, in their
// order, and the last one for all further connections.
func startBackend(t *testing.T, scripts ...behaviour) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			next := scripts[0]
			scripts = scripts[min(1, len(scripts)-1):]
			go serveConn(conn, next)
		}
	}()
	return listener.Addr().String()
}

func serveConn(conn net.Conn, next behaviour) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	next(conn)
}

// says sends text and closes the connection.
func sendAndClose(text string) behaviour {
	return func(conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

// hangs sends text and keeps the connection open without a further byte.
func sendAndHang(text string) behaviour {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, conn)
	}
}

// resets sends text and breaks the connection off.
func sendAndReset(text string) behaviour {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// inbox collects what a runner reports.
type fakeDispatcher chan dispatcher.Message

func (i fakeDispatcher) PutWithin(_ context.Context, message dispatcher.Message, _ time.Duration) error {
	i <- message
	return nil
}

// report is what became of an attempt.
type result struct {
	Status     int
	Data       string
	Code       string
	MayHaveRun bool
}

// next returns the report on the next attempt that ends.
func (i fakeDispatcher) nextResult(t *testing.T) result {
	t.Helper()
	var got result
	for {
		select {
		case message := <-i:
			switch m := message.(type) {
			case dispatcher.HeaderReceived:
				got.Status = m.Status()
			case dispatcher.ChunkReceived:
				got.Data += string(m.Data())
			case dispatcher.AttemptEnded:
				got.Code, got.MayHaveRun = m.Code(), m.MayHaveRun()
				return got
			}
		case <-time.After(testTimeout):
			t.Fatal("the attempt did not end")
		}
	}
}

func newPool(address string, silence time.Duration) *Pool {
	log := backstage.Quiet()
	return New(Config{
		Address: address, IdleTimeout: silence, Threads: 1,
		Trail: trail.New(trail.Config{Instance: "side", Kept: 16}), Log: log,
	})
}

// serve starts the pool's threads.
func servePool(t *testing.T, pool *Pool) fakeDispatcher {
	t.Helper()
	messages := make(fakeDispatcher, 64)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	for _, r := range pool.Runners(messages) {
		go func() { stopped <- r.Serve(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		pool.Stop("a")
		pool.Stop("b")
		<-stopped
	})
	return messages
}

func submitAttempt(t *testing.T, pool *Pool, config notice.SubmitConfig) {
	t.Helper()
	config.Method, config.Path = http.MethodPost, "/"
	if err := pool.Run(dispatcher.NewRun(notice.NewSubmit(config), 0)); err != nil {
		t.Fatal(err)
	}
}

const (
	sized    = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n"
	chunked  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
)

func TestTruncatedAnswerFails(t *testing.T) {
	cases := map[string]struct {
		plays   behaviour
		stream  bool
		silence time.Duration
		want    result
	}{
		"whole by length":           {plays: sendAndClose(sized + "complete"), want: result{Status: 200, Data: "complete", MayHaveRun: true}},
		"whole by chunks":           {plays: sendAndClose(chunked + "4\r\ncomp\r\n4\r\nlete\r\n0\r\n\r\n"), want: result{Status: 200, Data: "complete", MayHaveRun: true}},
		"whole without a body":      {plays: sendAndClose("HTTP/1.1 204 No Content\r\n\r\n"), want: result{Status: 204, MayHaveRun: true}},
		"whole stream":              {plays: sendAndClose(chunked + "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"), stream: true, want: result{Status: 200, Data: "data: [DONE]\n\n", MayHaveRun: true}},
		"error to a stream":         {plays: sendAndClose("HTTP/1.1 400 Bad Request\r\nContent-Length: 3\r\n\r\nbad"), stream: true, want: result{Status: 400, Data: "bad", MayHaveRun: true}},
		"shorter than its length":   {plays: sendAndClose(sized + "comp"), want: result{Status: 200, Data: "comp", Code: notice.CodeCut, MayHaveRun: true}},
		"empty before its length":   {plays: sendAndClose(sized), want: result{Status: 200, Code: notice.CodeCut, MayHaveRun: true}},
		"cut within a chunk":        {plays: sendAndClose(chunked + "8\r\ncomp"), want: result{Status: 200, Data: "comp", Code: notice.CodeCut, MayHaveRun: true}},
		"cut behind a chunk":        {plays: sendAndClose(chunked + "4\r\ncomp"), want: result{Status: 200, Data: "comp", Code: notice.CodeCut, MayHaveRun: true}},
		"cut between chunks":        {plays: sendAndClose(chunked + "4\r\ncomp\r\n"), want: result{Status: 200, Data: "comp", Code: notice.CodeCut, MayHaveRun: true}},
		"cut in a chunk's length":   {plays: sendAndClose(chunked + "4\r\ncomp\r\n1"), want: result{Status: 200, Data: "comp", Code: notice.CodeCut, MayHaveRun: true}},
		"cut in the last chunk":     {plays: sendAndClose(chunked + "4\r\ncomp\r\n0\r\n"), want: result{Status: 200, Data: "comp", Code: notice.CodeCut, MayHaveRun: true}},
		"reset":                     {plays: sendAndReset(""), want: result{Code: notice.CodeCut, MayHaveRun: true}},
		"neither length nor chunks": {plays: sendAndClose(unframed + "comp"), want: result{Status: 200, Code: notice.CodeCut, MayHaveRun: true}},
		"cut in the header":         {plays: sendAndClose("HTTP/1.1 200 OK\r\nContent-Le"), want: result{Code: notice.CodeCut, MayHaveRun: true}},
		"closed without an answer":  {plays: sendAndClose(""), want: result{Code: notice.CodeCut, MayHaveRun: true}},
		"stream without its end": {plays: sendAndClose(chunked + "c\r\ndata: tok\n\n\n\r\n0\r\n\r\n"), stream: true,
			want: result{Status: 200, Data: "data: tok\n\n\n", Code: notice.CodeCut, MayHaveRun: true}},
		"stream that only quotes its end": {plays: sendAndClose(chunked + "16\r\ndata: \"data: [DONE]\"\n\n\r\n0\r\n\r\n"), stream: true,
			want: result{Status: 200, Data: "data: \"data: [DONE]\"\n\n", Code: notice.CodeCut, MayHaveRun: true}},
		"stream that goes on behind its end": {plays: sendAndClose(chunked + "18\r\ndata: [DONE]\n\ndata: tok\n\r\n0\r\n\r\n"), stream: true,
			want: result{Status: 200, Data: "data: [DONE]\n\ndata: tok\n", Code: notice.CodeCut, MayHaveRun: true}},
		"silent before the header": {plays: sendAndHang(""), silence: shortIdleTimeout, want: result{Code: notice.CodeSilent, MayHaveRun: true}},
		"silent in the header":     {plays: sendAndHang("HTTP/1.1 200 OK\r\n"), silence: shortIdleTimeout, want: result{Code: notice.CodeSilent, MayHaveRun: true}},
		"silent within a chunk":    {plays: sendAndHang(chunked + "8\r\ncomp"), silence: shortIdleTimeout, want: result{Status: 200, Data: "comp", Code: notice.CodeSilent, MayHaveRun: true}},
		"silent before its length": {plays: sendAndHang(sized + "comp"), silence: shortIdleTimeout, want: result{Status: 200, Data: "comp", Code: notice.CodeSilent, MayHaveRun: true}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if tc.silence == 0 {
				tc.silence = testTimeout
			}
			pool := newPool(startBackend(t, tc.plays), tc.silence)
			messages := servePool(t, pool)
			submitAttempt(t, pool, notice.SubmitConfig{Attempt: "a", Model: "m", Stream: tc.stream})
			if diff := cmp.Diff(tc.want, messages.nextResult(t)); diff != "" {
				t.Errorf("report (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRunnerRunsNextAttemptAfterFailure(t *testing.T) {
	whole := result{Status: 200, Data: "complete", MayHaveRun: true}
	cases := map[string]behaviour{
		"silent connection": sendAndHang(sized + "comp"),
		"reset":             sendAndReset(sized),
		"cut":               sendAndClose(chunked + "8\r\ncomp"),
		"not HTTP":          sendAndClose("hello\r\n\r\n"),
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			pool := newPool(startBackend(t, first, sendAndClose(sized+"complete")), 10*shortIdleTimeout)
			messages := servePool(t, pool)
			submitAttempt(t, pool, notice.SubmitConfig{Attempt: "a"})
			if got := messages.nextResult(t); got.Code == "" || !got.MayHaveRun {
				t.Errorf("first attempt: %+v", got)
			}
			submitAttempt(t, pool, notice.SubmitConfig{Attempt: "b"})
			if diff := cmp.Diff(whole, messages.nextResult(t)); diff != "" {
				t.Errorf("second attempt (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAttemptWithoutConnectionWasNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	pool := newPool(listener.Addr().String(), testTimeout)
	messages := servePool(t, pool)
	submitAttempt(t, pool, notice.SubmitConfig{Attempt: "a"})
	if diff := cmp.Diff(result{Code: notice.CodeUnreachable}, messages.nextResult(t)); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
}

func TestCancelledAttemptFreesItsRunner(t *testing.T) {
	cases := map[string]struct {
		begun bool
		want  result
	}{
		"at the backend server": {begun: true, want: result{Status: 200, Code: notice.CodeCut, MayHaveRun: true}},
		"before its turn":       {want: result{Code: notice.CodeUnreachable}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			pool := newPool(startBackend(t, sendAndHang(sized)), time.Hour)
			messages := make(fakeDispatcher, 64)
			if tc.begun {
				messages = servePool(t, pool)
			}
			submitAttempt(t, pool, notice.SubmitConfig{Attempt: "a"})
			if tc.begun {
				began := <-messages
				messages <- began
			}
			pool.Stop("a")
			if !tc.begun {
				messages = servePool(t, pool)
			}
			if diff := cmp.Diff(tc.want, messages.nextResult(t)); diff != "" {
				t.Errorf("report (-want +got):\n%s", diff)
			}
		})
	}
}
