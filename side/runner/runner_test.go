package runner

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

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/testkit"
	"sesamewell.example/commons/tracing"
	"sesamewell.example/side/dispatcher"
)

const (
	testTimeout      = 20 * time.Second // longest time that a test waits for anything
	shortIdleTimeout = 50 * time.Millisecond
)

// behaviour is what a backend server does with a connection after it has read the
// request.
type behaviour func(conn net.Conn)

// startBackend starts a server that applies one behaviour to each connection, in
// order, and the last one to all further connections. It returns the address.
func startBackend(t *testing.T, behaviours ...behaviour) string {
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
			next := behaviours[0]
			behaviours = behaviours[min(1, len(behaviours)-1):]
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

// sendAndClose sends text and closes the connection.
func sendAndClose(text string) behaviour {
	return func(conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

// sendAndHang sends text and keeps the connection open without sending more.
func sendAndHang(text string) behaviour {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, conn)
	}
}

// sendAndReset sends text and resets the connection.
func sendAndReset(text string) behaviour {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// fakeDispatcher collects the messages of the runners of a pool.
type fakeDispatcher struct {
	pool     *Pool
	messages chan dispatcher.Message
}

func (d fakeDispatcher) PutWithin(_ context.Context, message dispatcher.Message, _ time.Duration) error {
	d.messages <- message
	return nil
}

// result is the answer to an attempt and how the attempt ended.
type result struct {
	Status     int
	Data       string
	Code       string
	MayHaveRun bool
}

// nextResult waits for the next attempt to end and returns its result.
func (d fakeDispatcher) nextResult(t *testing.T) result {
	t.Helper()
	var got result
	for {
		select {
		case message := <-d.messages:
			switch m := message.(type) {
			case dispatcher.HeaderReceived:
				got.Status = m.Status()
			case dispatcher.ChunkReceived:
				got.Data += string(m.Data())
				d.pool.PieceTaken()
			case dispatcher.AttemptEnded:
				got.Code, got.MayHaveRun = m.Code(), m.MayHaveRun()
				return got
			}
		case <-time.After(testTimeout):
			t.Fatal("the attempt did not end")
		}
	}
}

func newPool(address string, idleTimeout time.Duration) *Pool {
	log := testkit.DiscardLog()
	return New(Config{
		Address: address, IdleTimeout: idleTimeout, Threads: 1,
		Tracer: tracing.New(tracing.Config{Instance: "side", Capacity: 16}), Log: log,
	})
}

// servePool starts the pool's threads.
func servePool(t *testing.T, pool *Pool) fakeDispatcher {
	t.Helper()
	messages := fakeDispatcher{pool: pool, messages: make(chan dispatcher.Message, 64)}
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

func submitAttempt(t *testing.T, pool *Pool, config protocol.SubmitConfig) {
	t.Helper()
	config.Method, config.Path = http.MethodPost, "/"
	if err := pool.Run(dispatcher.NewRun(protocol.NewSubmit(config), 0)); err != nil {
		t.Fatal(err)
	}
}

const (
	sized    = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n"
	chunked  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
)

// TestTruncatedAnswerFails guards against answers that count as complete although
// the backend server closed, reset or stalled the connection before their end.
func TestTruncatedAnswerFails(t *testing.T) {
	cases := map[string]struct {
		behaviour   behaviour
		stream      bool
		idleTimeout time.Duration
		want        result
	}{
		"complete by length":                       {behaviour: sendAndClose(sized + "complete"), want: result{Status: 200, Data: "complete", MayHaveRun: true}},
		"complete by chunks":                       {behaviour: sendAndClose(chunked + "4\r\ncomp\r\n4\r\nlete\r\n0\r\n\r\n"), want: result{Status: 200, Data: "complete", MayHaveRun: true}},
		"complete without a body":                  {behaviour: sendAndClose("HTTP/1.1 204 No Content\r\n\r\n"), want: result{Status: 204, MayHaveRun: true}},
		"complete stream":                          {behaviour: sendAndClose(chunked + "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"), stream: true, want: result{Status: 200, Data: "data: [DONE]\n\n", MayHaveRun: true}},
		"stream cut after its last line":           {behaviour: sendAndClose(chunked + "d\r\ndata: [DONE]\n\r\n0\r\n\r\n"), stream: true, want: result{Status: 200, Data: "data: [DONE]\n", Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"error response to a streaming request":    {behaviour: sendAndClose("HTTP/1.1 400 Bad Request\r\nContent-Length: 3\r\n\r\nbad"), stream: true, want: result{Status: 400, Data: "bad", MayHaveRun: true}},
		"shorter than its length":                  {behaviour: sendAndClose(sized + "comp"), want: result{Status: 200, Data: "comp", Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"closed before the first byte of the body": {behaviour: sendAndClose(sized), want: result{Status: 200, Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"cut within a chunk":                       {behaviour: sendAndClose(chunked + "8\r\ncomp"), want: result{Status: 200, Data: "comp", Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"cut after a chunk's data":                 {behaviour: sendAndClose(chunked + "4\r\ncomp"), want: result{Status: 200, Data: "comp", Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"cut between chunks":                       {behaviour: sendAndClose(chunked + "4\r\ncomp\r\n"), want: result{Status: 200, Data: "comp", Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"cut in a chunk's length":                  {behaviour: sendAndClose(chunked + "4\r\ncomp\r\n1"), want: result{Status: 200, Data: "comp", Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"cut in the last chunk":                    {behaviour: sendAndClose(chunked + "4\r\ncomp\r\n0\r\n"), want: result{Status: 200, Data: "comp", Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"reset":                                    {behaviour: sendAndReset(""), want: result{Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"neither length nor chunked coding":        {behaviour: sendAndClose(unframed + "comp"), want: result{Status: 200, Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"cut in the header":                        {behaviour: sendAndClose("HTTP/1.1 200 OK\r\nContent-Le"), want: result{Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"closed without an answer":                 {behaviour: sendAndClose(""), want: result{Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"stream without its last event": {behaviour: sendAndClose(chunked + "c\r\ndata: tok\n\n\n\r\n0\r\n\r\n"), stream: true,
			want: result{Status: 200, Data: "data: tok\n\n\n", Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"stream that only quotes the last event": {behaviour: sendAndClose(chunked + "16\r\ndata: \"data: [DONE]\"\n\n\r\n0\r\n\r\n"), stream: true,
			want: result{Status: 200, Data: "data: \"data: [DONE]\"\n\n", Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"stream that continues after the last event": {behaviour: sendAndClose(chunked + "18\r\ndata: [DONE]\n\ndata: tok\n\r\n0\r\n\r\n"), stream: true,
			want: result{Status: 200, Data: "data: [DONE]\n\ndata: tok\n", Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"status 000":                          {behaviour: sendAndHang("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"), want: result{Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"blank in the name of a field":        {behaviour: sendAndHang("HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n"), want: result{Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"blank before the colon":              {behaviour: sendAndHang("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n"), want: result{Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"length and chunks":                   {behaviour: sendAndHang("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), want: result{Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"line ends without CR":                {behaviour: sendAndHang("HTTP/1.1 200 OK\nContent-Length: 0\n\n"), want: result{Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"trailer with a blank":                {behaviour: sendAndHang(chunked + "0\r\nX Odd: 1\r\n\r\n"), want: result{Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"silent before the header":            {behaviour: sendAndHang(""), idleTimeout: shortIdleTimeout, want: result{Code: protocol.CodeBackendSilent, MayHaveRun: true}},
		"silent in the header":                {behaviour: sendAndHang("HTTP/1.1 200 OK\r\n"), idleTimeout: shortIdleTimeout, want: result{Code: protocol.CodeBackendSilent, MayHaveRun: true}},
		"silent within a chunk":               {behaviour: sendAndHang(chunked + "8\r\ncomp"), idleTimeout: shortIdleTimeout, want: result{Status: 200, Data: "comp", Code: protocol.CodeBackendSilent, MayHaveRun: true}},
		"silent before the end of its length": {behaviour: sendAndHang(sized + "comp"), idleTimeout: shortIdleTimeout, want: result{Status: 200, Data: "comp", Code: protocol.CodeBackendSilent, MayHaveRun: true}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if tc.idleTimeout == 0 {
				tc.idleTimeout = testTimeout
			}
			pool := newPool(startBackend(t, tc.behaviour), tc.idleTimeout)
			messages := servePool(t, pool)
			submitAttempt(t, pool, protocol.SubmitConfig{Attempt: "a", Model: "m", Stream: tc.stream})
			if diff := cmp.Diff(tc.want, messages.nextResult(t)); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAnswersInPiecesArriveWhole splits answers at each byte, and sends them byte by byte.
func TestAnswersInPiecesArriveWhole(t *testing.T) {
	const done = "data: a\r\n\r\n\ndata: [DONE]"
	inOneChunk := func(body string) string {
		return fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", chunked, len(body), body)
	}
	cases := map[string]struct {
		text   string
		stream bool
		want   string
	}{
		"length":                   {text: sized + "\r\n\nhi\r\n\n", want: "\r\n\nhi\r\n\n"},
		"chunks":                   {text: chunked + "4\r\n\r\nhi\r\n3;a=b\r\n\n\r\n\r\n0\r\n\r\n", want: "\r\nhi\n\r\n"},
		"chunks, trailer":          {text: chunked + "2\r\nhi\r\n0\r\nA: b\r\n\r\n", want: "hi"},
		"behind an interim answer": {text: "HTTP/1.1 100 Continue\r\n\r\n" + sized + "complete", want: "complete"},
		"stream, LF":               {text: inOneChunk(done + "\n\n"), stream: true, want: done + "\n\n"},
		"stream, CR LF":            {text: inOneChunk(done + "\r\n\r\n"), stream: true, want: done + "\r\n\r\n"},
		"stream, CR":               {text: inOneChunk("data: a\r\rdata: [DONE]\r\r"), stream: true, want: "data: a\r\rdata: [DONE]\r\r"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := -1; cut < len(tc.text); cut++ {
				pieces := strings.Split(tc.text, "")
				if cut >= 0 {
					pieces = []string{tc.text[:cut], tc.text[cut:]}
				}
				send := func(conn net.Conn) {
					for _, piece := range pieces {
						_, _ = io.WriteString(conn, piece)
						time.Sleep(time.Millisecond) // in which the runner takes it
					}
				}
				pool := newPool(startBackend(t, send), testTimeout)
				messages := servePool(t, pool)
				submitAttempt(t, pool, protocol.SubmitConfig{Attempt: "a", Model: "m", Stream: tc.stream})
				if diff := cmp.Diff(result{Status: 200, Data: tc.want, MayHaveRun: true}, messages.nextResult(t)); diff != "" {
					t.Fatalf("split at %d: result (-want +got):\n%s", cut, diff)
				}
			}
		})
	}
}

// TestAnswerThatEndsInItsHeadFails lets a backend server close the connection after each
// byte of its answer's head.
func TestAnswerThatEndsInItsHeadFails(t *testing.T) {
	heads := map[string]string{"length": sized, "chunks": chunked, "neither": unframed, "no body": "HTTP/1.1 204 No Content\r\n\r\n"}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			var behaviours []behaviour
			for sent := range len(head) {
				behaviours = append(behaviours, sendAndClose(head[:sent]))
			}
			pool := newPool(startBackend(t, behaviours...), testTimeout)
			messages := servePool(t, pool)
			for sent := range len(head) {
				submitAttempt(t, pool, protocol.SubmitConfig{Attempt: "a", Model: "m"})
				if diff := cmp.Diff(result{Code: protocol.CodeAnswerCut, MayHaveRun: true}, messages.nextResult(t)); diff != "" {
					t.Errorf("result after %d bytes (-want +got):\n%s", sent, diff)
				}
			}
		})
	}
}

// sendRepeatedly sends text once and then again every 10 ms until the connection is
// closed or it was sent a number of times, and last of all the end.
func sendRepeatedly(text, again string, times int, end string) behaviour {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		for range times {
			time.Sleep(10 * time.Millisecond)
			if _, err := io.WriteString(conn, again); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, end)
	}
}

// TestNamedRateIsReported guards against a rate in the head of an answer, of whatever status,
// that the dispatcher does not hear.
func TestNamedRateIsReported(t *testing.T) {
	cases := map[string]struct {
		answer string
		want   float64
	}{
		"success": {answer: "HTTP/1.1 200 OK\r\nX-Sesamewell-Rate: 2.5\r\nContent-Length: 0\r\n\r\n", want: 2.5},
		"failure": {answer: "HTTP/1.1 503 Busy\r\nx-sesamewell-rate: 3\r\nContent-Length: 0\r\n\r\n", want: 3},
		"none":    {answer: sized + "whole  8"},
		"no rate": {answer: "HTTP/1.1 200 OK\r\nX-Sesamewell-Rate: soon\r\nContent-Length: 0\r\n\r\n", want: httpmeta.UnreadableRate},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			pool := newPool(startBackend(t, sendAndClose(tc.answer)), time.Second)
			messages := servePool(t, pool)
			submitAttempt(t, pool, protocol.SubmitConfig{Attempt: "a"})
			header, ok := (<-messages.messages).(dispatcher.HeaderReceived)
			if diff := cmp.Diff(tc.want, header.Limit()); diff != "" || !ok {
				t.Errorf("rate in %v (-want +got):\n%s", header, diff)
			}
		})
	}
}

// TestProgressOfStreamsIsTheirEvents guards against stalled streams that never end
// because bytes arrive now and then, and against slow ones that are cut.
func TestProgressOfStreamsIsTheirEvents(t *testing.T) {
	const event, comment = "b\r\ndata: tok\n\n\r\n", "8\r\n: ping\n\n\r\n"
	const last = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
	cases := map[string]struct {
		behaviour behaviour
		want      string // code
	}{
		"comments":          {behaviour: sendRepeatedly(chunked+event, comment, 500, last), want: protocol.CodeBackendSilent},
		"blank lines":       {behaviour: sendRepeatedly(chunked+event, "1\r\n\n\r\n", 500, last), want: protocol.CodeBackendSilent},
		"parts of an event": {behaviour: sendRepeatedly(chunked+event, "1\r\nx\r\n", 500, last), want: protocol.CodeBackendSilent},
		"slow events":       {behaviour: sendRepeatedly(chunked, event, 100, last), want: ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			pool := newPool(startBackend(t, tc.behaviour), 10*shortIdleTimeout)
			messages := servePool(t, pool)
			submitAttempt(t, pool, protocol.SubmitConfig{Attempt: "a", Model: "m", Stream: true})
			if diff := cmp.Diff(tc.want, messages.nextResult(t).Code); diff != "" {
				t.Errorf("code (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRunnerRunsNextAttemptAfterFailure(t *testing.T) {
	complete := result{Status: 200, Data: "complete", MayHaveRun: true}
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
			submitAttempt(t, pool, protocol.SubmitConfig{Attempt: "a"})
			if got := messages.nextResult(t); got.Code == "" || !got.MayHaveRun {
				t.Errorf("first attempt: %+v", got)
			}
			submitAttempt(t, pool, protocol.SubmitConfig{Attempt: "b"})
			if diff := cmp.Diff(complete, messages.nextResult(t)); diff != "" {
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
	submitAttempt(t, pool, protocol.SubmitConfig{Attempt: "a"})
	if diff := cmp.Diff(result{Code: protocol.CodeBackendUnreachable}, messages.nextResult(t)); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}

func TestCancelledAttemptFreesItsRunner(t *testing.T) {
	cases := map[string]struct {
		running bool
		want    result
	}{
		"running at the backend server": {running: true, want: result{Status: 200, Code: protocol.CodeAnswerCut, MayHaveRun: true}},
		"queued":                        {want: result{Code: protocol.CodeBackendUnreachable}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			pool := newPool(startBackend(t, sendAndHang(sized)), time.Hour)
			var messages fakeDispatcher
			if tc.running {
				messages = servePool(t, pool)
			}
			submitAttempt(t, pool, protocol.SubmitConfig{Attempt: "a"})
			if tc.running {
				header := <-messages.messages
				messages.messages <- header
			}
			pool.Stop("a")
			if !tc.running {
				messages = servePool(t, pool)
			}
			if diff := cmp.Diff(tc.want, messages.nextResult(t)); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}
