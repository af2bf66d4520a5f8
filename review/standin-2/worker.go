package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in of one start of a worker.
type worker struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	ip      string
	slots   int
	born    int64
	handle  func(w *worker, c *workerConn, r *http.Request, body []byte)

	mu       sync.Mutex
	listener net.Listener
	conns    map[*workerConn]struct{}
	ended    bool
	state    string
	engine   *engine // nil for a plain service
}

// workerConn is a connection to a worker. A worker serves one request at a time on it.
type workerConn struct {
	net.Conn

	served int
	extra  []byte // sent before the next answer
}

// newWorker starts a worker at an IP of its own.
func (f *fleet) newWorker(w *worker) (*worker, error) {
	w.fleet, w.conns, w.state = f, make(map[*workerConn]struct{}), "ready"
	if w.id == "" {
		w.id = "i-" + newID()[:8]
	}
	if w.ip == "" {
		w.ip = f.nextIP()
	}
	w.born = time.Now().UnixMilli()
	listener, err := net.Listen("tcp", w.address())
	if err != nil {
		return nil, err
	}
	w.listener = listener
	go w.accept()
	go w.beat()
	f.note("worker %s of %s starts at %s", w.id, w.service, w.address())
	return w, nil
}

func (w *worker) address() string { return fmt.Sprintf("%s:%d", w.ip, w.fleet.ports.app) }

func (w *worker) gone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// beat writes the worker's entry every 1.2 s and at each change.
func (w *worker) beat() {
	for !w.gone() {
		w.report()
		time.Sleep(1200 * time.Millisecond)
	}
}

// report writes the worker's entry.
func (w *worker) report() {
	entry := map[string]any{
		"service": w.service, "address": w.address(), "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": w.state, "cold_remaining_ms": 0, "sequence": 0, "born": w.born, "stage": "both", "models": []any{},
	}
	if w.engine != nil {
		for key, value := range w.engine.entry() {
			entry[key] = value
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.fleet.store.putJSON("keyed.servers", w.id, entry)
	}
}

// crash ends the worker: its connections are reset. Its entry leaves the list after three
// beats.
func (w *worker) crash() {
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	w.ended = true
	conns := w.conns
	w.conns = nil
	w.mu.Unlock()
	_ = w.listener.Close()
	for c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	time.AfterFunc(3600*time.Millisecond, func() { w.fleet.store.put("keyed.servers", w.id, nil) })
}

func (w *worker) accept() {
	for {
		raw, err := w.listener.Accept()
		if err != nil {
			return
		}
		c := &workerConn{Conn: raw}
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			_ = raw.Close()
			return
		}
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *worker) serve(c *workerConn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || w.gone() {
			return
		}
		c.served++
		expected := r.Header.Get("Expect-Instance")
		switch {
		case expected != "" && expected != w.id:
			w.answer(c, r, 421, "Instance-Id: "+w.id, "Not-Run: 1")
		case r.URL.Path == "/health":
			w.answer(c, r, 200, "Instance-Id: "+w.id)
		case r.URL.Path == "/sesamewell/report" && w.engine != nil:
			encoded, _ := json.Marshal(w.engine.reportOf(w))
			w.answerBody(c, r, 200, encoded, "Content-Type: application/json")
		case r.URL.Path == "/sesamewell/order" && w.engine != nil:
			w.answer(c, r, w.engine.order(w, body))
		default:
			w.handle(w, c, r, body)
		}
		if w.gone() {
			return
		}
	}
}

// answer sends an answer without a body.
func (w *worker) answer(c *workerConn, r *http.Request, status int, header ...string) {
	w.answerBody(c, r, status, nil, header...)
}

// answerBody sends a whole answer.
func (w *worker) answerBody(c *workerConn, r *http.Request, status int, body []byte, header ...string) {
	if w.gone() {
		return
	}
	_, _ = c.Write(append(c.extra, encodeAnswer(r, status, body, header...)...))
	c.extra = nil
}

// encodeAnswer returns the bytes of a whole answer to a request.
func encodeAnswer(r *http.Request, status int, body []byte, header ...string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if id := r.Header.Get("Request-Id"); id != "" {
		fmt.Fprintf(&out, "Request-Id: %s\r\n", id)
	}
	for _, line := range header {
		out.WriteString(line + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(body)
	return out.Bytes()
}

// stamp returns the worker's signature of an answer.
func (w *worker) stamp() string { return "Server-Stamp: " + w.id + "." + newID()[:8] }
