package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two entries of a worker in the store; entryLifetime is the
// time without one after which the store removes it.
const (
	heartbeat     = 1200 * time.Millisecond
	entryLifetime = 3 * heartbeat
)

// handler answers one request of a connection. It returns false if the connection is to be
// closed.
type handler func(conn net.Conn, state *connState, request *http.Request, body []byte) bool

// connState is what a worker keeps of one connection.
type connState struct {
	late []byte // answer that follows once the next request is there
}

// worker is a stand-in for a backend server, which can crash and start again.
type worker struct {
	id, address, service, zone string
	slots                      int
	store                      *store
	record                     *record
	handle                     handler
	describe                   func() map[string]any // further fields of its entry

	mu       sync.Mutex
	born     int64
	listener net.Listener
	conns    map[net.Conn]struct{}
	downAt   time.Time // time of its end; zero while it runs
	done     chan struct{}
}

// start starts the worker.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener, w.conns, w.downAt, w.done = listener, make(map[net.Conn]struct{}), time.Time{}, make(chan struct{})
	w.born = time.Now().UnixMilli()
	done := w.done
	w.mu.Unlock()
	w.record.printf("worker %s starts, born %d", w.id, w.born)
	w.beat()
	go w.accept(listener)
	go w.beats(done)
	return nil
}

// crash ends the worker: its connections are reset and its entry lapses.
func (w *worker) crash() {
	w.mu.Lock()
	if !w.downAt.IsZero() {
		w.mu.Unlock()
		return
	}
	w.downAt = time.Now()
	_ = w.listener.Close()
	for conn := range w.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	close(w.done)
	born := w.born
	w.mu.Unlock()
	w.record.printf("worker %s crashes", w.id)
	time.AfterFunc(entryLifetime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.downAt.IsZero() && w.born == born {
			w.store.put(serverTopic, w.id, nil)
		}
	})
}

// runs reports whether the worker runs.
func (w *worker) runs() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.downAt.IsZero()
}

// beat writes the worker's entry.
func (w *worker) beat() {
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 0, "born": w.born,
	}
	if w.describe != nil {
		for field, value := range w.describe() {
			entry[field] = value
		}
	}
	_ = w.store.putJSON(serverTopic, w.id, entry)
}

func (w *worker) beats(done chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			w.beat()
		}
	}
}

func (w *worker) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if !w.downAt.IsZero() {
			w.mu.Unlock()
			_ = conn.Close()
			return
		}
		w.conns[conn] = struct{}{}
		w.mu.Unlock()
		go w.serve(conn)
	}
}

func (w *worker) serve(conn net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	state := &connState{}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if len(state.late) > 0 {
			_, _ = conn.Write(state.late)
			state.late = nil
		}
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		if !w.handle(conn, state, request, body) {
			return
		}
	}
}

// notRunAnswer returns the answer to a request that a worker rejects.
func notRunAnswer(id, extra string) []byte {
	return []byte("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Run: 1\r\n" + extra + "Content-Length: 0\r\n\r\n")
}

// answer returns a whole successful answer.
func answer(id, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}
