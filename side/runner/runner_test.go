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
	patience = 20 * time.Second // longest time that a test waits for anything
	brief    = 50 * time.Millisecond
)

// script is what a backend server does with a connection after the request.
type script func(conn net.Conn)

// backend starts a server that plays one script for each connection, in their
// order, and the last one for all further connections.
func backend(t *testing.T, scripts ...script) string {
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
			go play(conn, next)
		}
	}()
	return listener.Addr().String()
}

func play(conn net.Conn, next script) {
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
func says(text string) script {
	return func(conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

// hangs sends text and keeps the connection open without a further byte.
func hangs(text string) script {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, conn)
	}
}

// resets sends text and breaks the connection off.
func resets(text string) script {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// inbox collects what a runner reports.
type inbox chan dispatcher.Message

func (i inbox) PutWithin(_ context.Context, message dispatcher.Message, _ time.Duration) error {
	i <- message
	return nil
}

// report is what became of an attempt.
type report struct {
	Status int
	Data   string
	Code   string
	Ran    bool
}

// next returns the report on the next attempt that ends.
func (i inbox) next(t *testing.T) report {
	t.Helper()
	var got report
	for {
		select {
		case message := <-i:
			switch m := message.(type) {
			case dispatcher.HeaderReceived:
				got.Status = m.Status()
			case dispatcher.ChunkReceived:
				got.Data += string(m.Data())
			case dispatcher.AttemptEnded:
				got.Code, got.Ran = m.Code(), m.MayHaveRun()
				return got
			}
		case <-time.After(patience):
			t.Fatal("the attempt did not end")
		}
	}
}

func newPool(address string, silence time.Duration) *Pool {
	log := backstage.Quiet()
	return New(Config{
		Address: address, Silence: silence, Threads: 1,
		Trail: trail.New(trail.Config{Instance: "side", Kept: 16}), Log: log,
	})
}

// serve starts the pool's threads.
func serve(t *testing.T, pool *Pool) inbox {
	t.Helper()
	messages := make(inbox, 64)
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

func submit(t *testing.T, pool *Pool, config notice.SubmitConfig) {
	t.Helper()
	config.Method, config.Path = http.MethodPost, "/"
	if err := pool.Run(dispatcher.NewRun(notice.NewSubmit(config), 0)); err != nil {
		t.Fatal(err)
	}
}

const (
	sized   = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n"
	chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	closing = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
)

func TestCutAnswerNeverLooksWhole(t *testing.T) {
	cases := map[string]struct {
		plays   script
		stream  bool
		silence time.Duration
		want    report
	}{
		"whole by length":           {plays: says(sized + "complete"), want: report{Status: 200, Data: "complete", Ran: true}},
		"whole by chunks":           {plays: says(chunked + "4\r\ncomp\r\n4\r\nlete\r\n0\r\n\r\n"), want: report{Status: 200, Data: "complete", Ran: true}},
		"whole without a body":      {plays: says("HTTP/1.1 204 No Content\r\n\r\n"), want: report{Status: 204, Ran: true}},
		"whole stream":              {plays: says(chunked + "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"), stream: true, want: report{Status: 200, Data: "data: [DONE]\n\n", Ran: true}},
		"error to a stream":         {plays: says("HTTP/1.1 400 Bad Request\r\nContent-Length: 3\r\n\r\nbad"), stream: true, want: report{Status: 400, Data: "bad", Ran: true}},
		"shorter than its length":   {plays: says(sized + "comp"), want: report{Status: 200, Data: "comp", Code: notice.CodeCut, Ran: true}},
		"empty before its length":   {plays: says(sized), want: report{Status: 200, Code: notice.CodeCut, Ran: true}},
		"cut within a chunk":        {plays: says(chunked + "8\r\ncomp"), want: report{Status: 200, Data: "comp", Code: notice.CodeCut, Ran: true}},
		"cut behind a chunk":        {plays: says(chunked + "4\r\ncomp"), want: report{Status: 200, Data: "comp", Code: notice.CodeCut, Ran: true}},
		"cut between chunks":        {plays: says(chunked + "4\r\ncomp\r\n"), want: report{Status: 200, Data: "comp", Code: notice.CodeCut, Ran: true}},
		"cut in a chunk's length":   {plays: says(chunked + "4\r\ncomp\r\n1"), want: report{Status: 200, Data: "comp", Code: notice.CodeCut, Ran: true}},
		"cut in the last chunk":     {plays: says(chunked + "4\r\ncomp\r\n0\r\n"), want: report{Status: 200, Data: "comp", Code: notice.CodeCut, Ran: true}},
		"reset":                     {plays: resets(""), want: report{Code: notice.CodeCut, Ran: true}},
		"neither length nor chunks": {plays: says(closing + "comp"), want: report{Status: 200, Code: notice.CodeCut, Ran: true}},
		"cut in the header":         {plays: says("HTTP/1.1 200 OK\r\nContent-Le"), want: report{Code: notice.CodeCut, Ran: true}},
		"closed without an answer":  {plays: says(""), want: report{Code: notice.CodeCut, Ran: true}},
		"stream without its end": {plays: says(chunked + "c\r\ndata: tok\n\n\n\r\n0\r\n\r\n"), stream: true,
			want: report{Status: 200, Data: "data: tok\n\n\n", Code: notice.CodeCut, Ran: true}},
		"stream that only quotes its end": {plays: says(chunked + "16\r\ndata: \"data: [DONE]\"\n\n\r\n0\r\n\r\n"), stream: true,
			want: report{Status: 200, Data: "data: \"data: [DONE]\"\n\n", Code: notice.CodeCut, Ran: true}},
		"stream that goes on behind its end": {plays: says(chunked + "18\r\ndata: [DONE]\n\ndata: tok\n\r\n0\r\n\r\n"), stream: true,
			want: report{Status: 200, Data: "data: [DONE]\n\ndata: tok\n", Code: notice.CodeCut, Ran: true}},
		"silent before the header": {plays: hangs(""), silence: brief, want: report{Code: notice.CodeSilent, Ran: true}},
		"silent in the header":     {plays: hangs("HTTP/1.1 200 OK\r\n"), silence: brief, want: report{Code: notice.CodeSilent, Ran: true}},
		"silent within a chunk":    {plays: hangs(chunked + "8\r\ncomp"), silence: brief, want: report{Status: 200, Data: "comp", Code: notice.CodeSilent, Ran: true}},
		"silent before its length": {plays: hangs(sized + "comp"), silence: brief, want: report{Status: 200, Data: "comp", Code: notice.CodeSilent, Ran: true}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if tc.silence == 0 {
				tc.silence = patience
			}
			pool := newPool(backend(t, tc.plays), tc.silence)
			messages := serve(t, pool)
			submit(t, pool, notice.SubmitConfig{Attempt: "a", Model: "m", Stream: tc.stream})
			if diff := cmp.Diff(tc.want, messages.next(t)); diff != "" {
				t.Errorf("report (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRunnerGoesOnAfterAFailure(t *testing.T) {
	whole := report{Status: 200, Data: "complete", Ran: true}
	cases := map[string]script{
		"silent connection": hangs(sized + "comp"),
		"reset":             resets(sized),
		"cut":               says(chunked + "8\r\ncomp"),
		"not HTTP":          says("hello\r\n\r\n"),
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			pool := newPool(backend(t, first, says(sized+"complete")), 10*brief)
			messages := serve(t, pool)
			submit(t, pool, notice.SubmitConfig{Attempt: "a"})
			if got := messages.next(t); got.Code == "" || !got.Ran {
				t.Errorf("first attempt: %+v", got)
			}
			submit(t, pool, notice.SubmitConfig{Attempt: "b"})
			if diff := cmp.Diff(whole, messages.next(t)); diff != "" {
				t.Errorf("second attempt (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAttemptThatReachedNoBackendServerWasNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	pool := newPool(listener.Addr().String(), patience)
	messages := serve(t, pool)
	submit(t, pool, notice.SubmitConfig{Attempt: "a"})
	if diff := cmp.Diff(report{Code: notice.CodeUnreachable}, messages.next(t)); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
}

func TestCancelledAttemptFreesItsRunner(t *testing.T) {
	cases := map[string]struct {
		begun bool
		want  report
	}{
		"at the backend server": {begun: true, want: report{Status: 200, Code: notice.CodeCut, Ran: true}},
		"before its turn":       {want: report{Code: notice.CodeUnreachable}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			pool := newPool(backend(t, hangs(sized)), time.Hour)
			messages := make(inbox, 64)
			if tc.begun {
				messages = serve(t, pool)
			}
			submit(t, pool, notice.SubmitConfig{Attempt: "a"})
			if tc.begun {
				began := <-messages
				messages <- began
			}
			pool.Stop("a")
			if !tc.begun {
				messages = serve(t, pool)
			}
			if diff := cmp.Diff(tc.want, messages.next(t)); diff != "" {
				t.Errorf("report (-want +got):\n%s", diff)
			}
		})
	}
}
