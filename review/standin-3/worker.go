package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in for a worker. It registers itself in the store and serves requests
// with a handler.
type worker struct {
	store   *store
	log     *record
	service string
	address string
	id      string
	version string
	slots   int
	models  []string
	// firstEntry is the time from the start to the first entry in the store.
	firstEntry time.Duration
	handler    func(w *worker, c *workerConn, r *http.Request, body []byte) // nil for an ordinary answer
	orders     func(w *worker, c *workerConn, r *http.Request, body []byte)

	mu       sync.Mutex
	born     int64
	sequence int64
	listener net.Listener
	conns    map[net.Conn]struct{}
	stopped  chan struct{}
}

// workerConn is a connection to a worker.
type workerConn struct {
	net.Conn
	requests int // that it has carried
}

const heartbeat = 1200 * time.Millisecond

// start starts the worker's process.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener, w.conns, w.stopped = listener, make(map[net.Conn]struct{}), make(chan struct{})
	w.born, w.sequence = time.Now().UnixMilli(), 0
	stopped := w.stopped
	w.mu.Unlock()
	w.log.add("worker %s: started, version %s, at %s", w.id, w.version, w.address)
	go w.accept(listener)
	go w.beat(stopped)
	return nil
}

// crash ends the worker's process: all its connections and its listener.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.stopped)
	_ = w.listener.Close()
	for conn := range w.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	w.log.add("worker %s: crashed", w.id)
}

func (w *worker) beat(stopped chan struct{}) {
	for wait := w.firstEntry; ; wait = heartbeat {
		select {
		case <-stopped:
			return
		case <-time.After(wait):
			w.register()
		}
	}
}

// register writes the worker's entry.
func (w *worker) register() {
	w.mu.Lock()
	models := []map[string]any{}
	for _, name := range w.models {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": zoneName, "version": w.version, "slots": w.slots, "state": "ready",
		"cold_remaining_ms": 0, "stage": "both", "models": models, "sequence": w.sequence, "born": w.born,
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": w.models},
	}
	w.mu.Unlock()
	value, _ := json.Marshal(entry)
	w.store.put("keyed.servers", w.id, value)
}

func (w *worker) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = struct{}{}
		w.mu.Unlock()
		go w.serve(&workerConn{Conn: conn})
	}
}

func (w *worker) serve(c *workerConn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c.Conn)
		w.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		c.requests++
		handler := w.handler
		if request.URL.Path == "/sesamewell/order" || request.URL.Path == "/sesamewell/report" {
			handler = w.orders
		}
		if handler == nil {
			handler = answerPlainly
		}
		expected := request.Header.Get("Expect-Instance")
		if expected != "" && expected != w.id {
			w.misdirected(c, request)
			continue
		}
		handler(w, c, request, body)
	}
}

// misdirected answers a request that this worker does not run: it is for another one, or for a
// model that is not loaded.
func (w *worker) misdirected(c *workerConn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nNot-Run: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id, r.Header.Get("Request-Id"))
}

// stamp returns the headers that each answer of a worker has.
func (w *worker) stamp(r *http.Request) string {
	return fmt.Sprintf("Request-Id: %s\r\nServer-Stamp: %s.%s\r\nInstance-Id: %s\r\n", r.Header.Get("Request-Id"), w.id, r.Header.Get("Request-Id"), w.id)
}

// answerPlainly answers a request at once.
func answerPlainly(w *worker, c *workerConn, r *http.Request, _ []byte) {
	body := "done by " + w.id + "\n"
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sKeep-Alive: timeout=5\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", w.stamp(r), len(body), body)
}
