package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	bookingTimeout = 1500 * time.Millisecond // timeout_ms of the route
	answerSlack    = 500 * time.Millisecond  // within which an answer must follow
	bookings       = 100
	bookingPeriod  = 100 * time.Millisecond
	firstFlooded   = 20 // number of the booking with which the faulty worker is called
)

// floodConfiguration is that of both cases in which a faulty worker sends bytes without end.
func floodConfiguration() []byte {
	return configuration(1, []object{
		route("summary", "/summary/", "streaming", engineService, 25000, 6000, 2, object{"resumable": true, "sticky": true, "gap_target_ms": 300}),
		route("lookup", "/lookup/", "unsafe", otherService, 15000, 100, 1, nil),
		route("booking", "/booking/", "unsafe", plainService, int(bookingTimeout.Milliseconds()), 100, 1, nil),
	}, []object{model("m0")}, 220000)
}

// pour writes a piece again and again until the connection is closed.
func pour(w *worker, c *workerConn, piece []byte) {
	for n := 0; ; n += len(piece) {
		if _, err := c.Write(piece); err != nil {
			w.log.add("worker %s: its connection was closed after %d KiB", w.id, n>>10)
			return
		}
	}
}

// endlessEvent returns a handler that sends a whole event and then one without an end, four
// bytes a chunk.
func endlessEvent(w *worker, c *workerConn, r *http.Request, _ []byte) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", w.stamp(r))
	begin := "id: 0\ndata: a\n\nid: 1\ndata: "
	fmt.Fprintf(c, "%x\r\n%s\r\n", len(begin), begin)
	w.log.add("worker %s: runs %s, its second event has no end", w.id, r.Header.Get("Request-Id"))
	pour(w, c, bytes.Repeat([]byte("4\r\naaaa\r\n"), 4000))
}

// endlessStatus answers the first request on a connection plainly. The answer to the next ones has
// no length, and in place of a body the start of a status line again and again.
func endlessStatus(w *worker, c *workerConn, r *http.Request, body []byte) {
	if c.requests == 1 {
		answerPlainly(w, c, r, body)
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/plain\r\n\r\n", w.stamp(r))
	w.log.add("worker %s: runs %s, its body has no end", w.id, r.Header.Get("Request-Id"))
	pour(w, c, bytes.Repeat([]byte("HTTP/1.1 200 "), 2000))
}

// playEndlessEvent: a worker of one service sends an event without end to one client. Requests to
// another service at the same machine get no answer.
func playEndlessEvent(s *scene) (bool, error) {
	return playFlood(s, endlessEvent, nil, func(lobby string) {
		for n := range 4 {
			go func() {
				a := call{
					lobby: lobby, method: "POST", path: "/summary/x", id: fmt.Sprintf("stream-%d", n), body: fmt.Sprintf("{\"stream\":%d}", n), limit: 25 * time.Second,
					headers: []string{"Model: m0", "Token-Counts: 100,50", fmt.Sprintf("Prompt-Prefix: %x:100", 0x1000+n)},
				}
				events := 0
				status, _, complete, err := a.stream(func(event) { events++ })
				s.log.add("client of stream %d: status %d, %d events, complete %t, %v", n, status, events, complete, err)
			}()
		}
	})
}

// playEndlessStatus: the same with a worker whose answer has no length and an odd body.
func playEndlessStatus(s *scene) (bool, error) {
	return playFlood(s, nil, endlessStatus, func(lobby string) {
		go func() {
			for n := range 3 {
				a := call{lobby: lobby, method: "POST", path: "/lookup/x", id: fmt.Sprintf("lookup-%d", n), body: fmt.Sprintf("{\"lookup\":%d}", n), limit: 15 * time.Second}
				r := a.do()
				s.log.add("client of lookup %d: status %d after %s, %v", n, r.status, r.took.Round(time.Millisecond), r.err)
				time.Sleep(300 * time.Millisecond)
			}
		}()
	})
}

// playFlood sends bookings to sound workers, and meanwhile calls the faulty one. It counts the
// bookings without an answer at the time-out of their route, and those of them without one half
// a second later.
func playFlood(s *scene, stream, lookup func(w *worker, c *workerConn, r *http.Request, body []byte), callFaulty func(lobby string)) (bool, error) {
	const lobby = 11
	s.store.put("keyed.op", "config", floodConfiguration())
	if !s.trouble {
		stream, lookup = nil, nil
	}
	if stream == nil {
		stream = streamEvents(5, 50*time.Millisecond)
	}
	workers := []*worker{
		{id: "i-faulty", service: engineService, handler: stream, models: []string{"m0"}, slots: 64},
		{id: "i-lookup", service: otherService, handler: lookup, slots: 6},
		{id: "i-desk1", service: plainService, slots: 6},
		{id: "i-desk2", service: plainService, slots: 6},
	}
	for i, w := range workers {
		w.store, w.log, w.version, w.address = s.store, s.log, "v1", fmt.Sprintf("%s:%d", s.fleet.ip(100+i), appPort)
		if err := w.start(); err != nil {
			return false, err
		}
	}
	if err := s.fleet.start("lobby", lobby); err != nil {
		return false, err
	}
	if err := s.fleet.awaitReady(5*time.Second, lobby); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // the machine is in touch from 3 s after its start on
	var wait sync.WaitGroup
	var mu sync.Mutex
	unanswered, late := 0, 0
	for n := range bookings {
		if n == firstFlooded {
			callFaulty(s.fleet.front(lobby))
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			a := call{lobby: s.fleet.front(lobby), method: "POST", path: "/booking/x", id: fmt.Sprintf("booking-%d", n), body: fmt.Sprintf("{\"booking\":%d}", n), limit: 10 * time.Second}
			r := a.do()
			mu.Lock()
			defer mu.Unlock()
			if r.took > bookingTimeout {
				unanswered++
			}
			if r.took > bookingTimeout+answerSlack {
				late++
			}
			s.log.add("client of booking %d: status %d after %s, %v", n, r.status, r.took.Round(time.Millisecond), r.err)
		}()
		time.Sleep(bookingPeriod)
	}
	wait.Wait()
	s.log.add("lobby runs: %t", s.fleet.running("lobby", lobby))
	s.log.add("of %d bookings %d had no answer at timeout_ms, %d of them none half a second later; more than half of them break the rule", bookings, unanswered, late)
	return 2*late > unanswered, nil
}
