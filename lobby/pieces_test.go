package main

import (
	"bufio"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// patientConfig is a configuration in which requests may take long to arrive.
var patientConfig = strings.ReplaceAll(stopConfig, `"header_timeout_ms":3000`, `"header_timeout_ms":20000`)

// TestStopAnswersBodiesInPieces guards against requests that are whole on the wire, but not
// to the lobby, when it stops.
func TestStopAnswersBodiesInPieces(t *testing.T) {
	const head = "POST /unsafe/10ms/800 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer " + key + "\r\n"
	cases := map[string]struct{ before, after string }{ // the signal
		"last line end apart":      {before: head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", after: "\r\n"},
		"data begins with CR LF":   {before: head + "Transfer-Encoding: chunked\r\n\r\n4\r\n", after: "\r\n{}\r\n0\r\n\r\n"},
		"length, begins with LF":   {before: head + "Content-Length: 3\r\n\r\n", after: "\n{}"},
		"length, begins with none": {before: head + "Content-Length: 3\r\n\r\n", after: "{}\n"},
	}
	b := &workingBackend{ran: make(map[string]bool)}
	p := startProcess(t, newStore(t, stopConfig, map[string]string{"i-1": listEntry(newScriptedBackend(t, b.serve))}), testDescriptors, testGrace)
	callers := make(map[string]*caller)
	for name, tc := range cases {
		callers[name] = sendPart(t, p, fmt.Sprintf(tc.before, name))
	}
	time.Sleep(100 * time.Millisecond) // the lobby reads them
	p.signal(t, syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	for name, tc := range cases {
		callers[name].sendRest(t, tc.after)
	}
	for name := range cases {
		t.Run(name, func(t *testing.T) { callers[name].expectAnswer(t, 200) })
	}
	<-p.exited
}

// TestStopAnswersRequestsThatArrivedInPart guards against connections that the end of the
// process closes while their requests arrive.
func TestStopAnswersRequestsThatArrivedInPart(t *testing.T) {
	cases := map[string]struct {
		after time.Duration // time after the signal at which the rest is sent; zero for never
		want  int
	}{
		"rest in the accept period": {after: time.Second, want: 200},
		"rest after it":             {after: 3500 * time.Millisecond, want: 503},
		"no rest":                   {want: 503},
	}
	b := &workingBackend{ran: make(map[string]bool)}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startProcess(t, newStore(t, patientConfig, map[string]string{"i-1": listEntry(newScriptedBackend(t, b.serve))}), testDescriptors, testGrace)
			c := sendPart(t, p, "POST /unsafe/10ms/800 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer "+key+"\r\nContent-Length: 4\r\n\r\n{")
			time.Sleep(100 * time.Millisecond) // the lobby reads it
			p.signal(t, syscall.SIGTERM)
			if tc.after > 0 {
				time.Sleep(tc.after)
				c.sendRest(t, "  }")
			}
			c.expectAnswer(t, tc.want)
			<-p.exited
		})
	}
}

// sendPart sends the start of a request on a new connection.
func sendPart(t *testing.T, p *lobbyProcess, text string) *caller {
	t.Helper()
	c, err := dialCaller(p.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.conn.Close() })
	if err := c.conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	return c
}

// sendRest sends the rest of a request.
func (c *caller) sendRest(t *testing.T, text string) {
	t.Helper()
	if _, err := c.conn.Write([]byte(text)); err != nil {
		t.Error(err)
	}
}

// expectAnswer checks the status of the answer.
func (c *caller) expectAnswer(t *testing.T, want int) {
	t.Helper()
	c.reader = bufio.NewReader(c.conn)
	status, _, err := c.read()
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if diff := cmp.Diff(want, status); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

// signal sends a signal to the process.
func (p *lobbyProcess) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}
