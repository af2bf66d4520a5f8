package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// crossing is the time within which a request and the end of its connection may cross.
const crossing = time.Second

// TestStopAnswersRequestsInRandomPieces guards against requests that are whole on the wire
// and get no answer, or another one than they are due, around a stop.
func TestStopAnswersRequestsInRandomPieces(t *testing.T) {
	const stopAfter, grace = 300 * time.Millisecond, 4 * time.Second
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			b := &workingBackend{ran: make(map[string]bool)}
			p := startProcess(t, newStore(t, stopConfig, map[string]string{"i-1": listEntry(newScriptedBackend(t, b.serve))}), testDescriptors, grace)
			var callers sync.WaitGroup
			for n := range uint64(12) {
				s := &piecewiseSender{random: rand.New(rand.NewPCG(seed, n)), backend: b}
				callers.Go(func() { s.callUntilGone(t, p.address, fmt.Sprint("r-", n)) })
			}
			time.Sleep(stopAfter)
			p.signal(t, syscall.SIGTERM)
			<-p.exited
			callers.Wait()
		})
	}
}

// piecewiseSender is a caller whose requests arrive in random pieces.
type piecewiseSender struct {
	random  *rand.Rand
	backend *workingBackend
}

// callUntilGone sends requests, on kept and on new connections, until the lobby accepts no
// connection any more.
func (s *piecewiseSender) callUntilGone(t *testing.T, address, name string) {
	for n := 0; ; n++ {
		c, err := dialCaller(address)
		if err != nil {
			return
		}
		for i := 0; err == nil; i++ {
			err = s.call(t, c, fmt.Sprintf("%s-%d-%d", name, n, i))
		}
		_ = c.conn.Close()
	}
}

// call sends a request and checks its answer. It returns an error if the connection has
// ended.
func (s *piecewiseSender) call(t *testing.T, c *caller, id string) error {
	if err := c.conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return err
	}
	for text := s.request(id); len(text) > 0; {
		size := 1 + s.random.IntN(min(len(text), 80))
		if _, err := c.conn.Write(text[:size]); err != nil {
			return err
		}
		text = text[size:]
		time.Sleep(time.Duration(s.random.IntN(8)) * time.Millisecond)
	}
	sent := time.Now()
	status, _, err := c.read()
	switch {
	case err != nil && (s.backend.hasRun(id) || time.Since(sent) > crossing):
		t.Errorf("%s: %v, %s after the last byte", id, err, time.Since(sent))
	case err == nil && !slices.Contains([]int{200, 503}, status):
		t.Errorf("%s: status %d", id, status)
	case status == 503:
		if diff := cmp.Diff(false, s.backend.hasRun(id)); diff != "" {
			t.Errorf("%s: refused as not run, run (-want +got):\n%s", id, diff)
		}
	}
	return err
}

// request returns a request whose body has line ends, sized or in chunks.
func (s *piecewiseSender) request(id string) []byte {
	body := make([]byte, 1+s.random.IntN(60))
	for i := range body {
		body[i] = "\r\nab"[s.random.IntN(4)]
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST /unsafe/%dms/800 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer %s\r\n", s.random.IntN(100), id, key)
	if s.random.IntN(2) == 0 {
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
		return text.Bytes()
	}
	text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		size := 1 + s.random.IntN(len(body))
		fmt.Fprintf(&text, "%x\r\n%s\r\n", size, body[:size])
		body = body[size:]
	}
	text.WriteString("0\r\n\r\n")
	return text.Bytes()
}
