package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in for a worker of the users' platform. It is registered in the
// store and sends heartbeats. What a request gets is decided by answer.
type worker struct {
	id, service, addr string
	models            []string
	slots             int
	store             *store
	record            *record
	listener          net.Listener
	serial            atomic.Int64
	born              int64
	// answer writes the answer to a client's request that runs. It returns false to
	// close the connection.
	answer func(conn net.Conn, request *http.Request, body []byte) bool
	// report writes the answer to a call of /sesamewell/report, if not nil.
	report func(conn net.Conn) bool

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// runEntry is one run of a client's request.
type runEntry struct {
	worker string
	began  time.Time
}

func startWorker(f *fleet, id, service string, models ...string) (*worker, error) {
	listener, err := net.Listen("tcp", f.address()+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, addr: listener.Addr().String(), models: models, slots: 6, store: f.store, record: f.record,
		listener: listener, born: time.Now().UnixMilli(), conns: make(map[net.Conn]bool),
	}
	if len(models) > 0 {
		w.slots = 64
	}
	return w, nil
}

// serve registers the worker and takes connections until it is stopped.
func (w *worker) serve() {
	go func() {
		for sequence := 0; !w.isClosed(); sequence++ {
			w.store.putJSON("keyed.servers", w.id, w.entry())
			time.Sleep(beatPeriod)
		}
	}()
	go func() {
		for {
			conn, err := w.listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[conn] = true
			w.mu.Unlock()
			go w.serveConn(conn)
		}
	}()
}

func (w *worker) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	_ = w.listener.Close()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

func (w *worker) holdings() []map[string]any {
	list := make([]map[string]any, 0)
	for _, model := range w.models {
		list = append(list, map[string]any{"name": model, "version": 1, "adapters": []string{}})
	}
	return list
}

func (w *worker) entry() map[string]any {
	return map[string]any{
		"service": w.service, "address": w.addr, "zone": "zone-a", "version": "v1", "slots": w.slots, "state": "ready",
		"cold_remaining_ms": 0, "stage": "both", "models": w.holdings(), "sequence": 0, "born": w.born,
	}
}

func (w *worker) stamp() string { return fmt.Sprintf("%s.%d", w.id, w.serial.Add(1)) }

func (w *worker) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !w.handle(conn, request, body) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (w *worker) handle(conn net.Conn, request *http.Request, body []byte) bool {
	id := request.Header.Get("Request-Id")
	switch path := request.URL.Path; {
	case path == "/sesamewell/report":
		if w.report != nil {
			return w.report(conn)
		}
		return w.writeReport(conn)
	case path == "/sesamewell/order":
		return write(conn, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
	case path == "/health":
		return write(conn, "HTTP/1.1 200 OK\r\nInstance-Id: "+w.id+"\r\nContent-Length: 0\r\n\r\n")
	case request.Header.Get("Expect-Instance") != "" && request.Header.Get("Expect-Instance") != w.id:
		return write(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "+w.id+"\r\nRequest-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
	case id == "":
		return write(conn, "HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	return w.answer(conn, request, body)
}

func (w *worker) writeReport(conn net.Conn) bool {
	body, err := json.Marshal(map[string]any{
		"stage": "both", "models": w.holdings(), "busy": false, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0,
		"kv_total": 90000, "handles": 0, "born": w.born, "coming": []string{},
	})
	if err != nil {
		return false
	}
	return write(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+string(body))
}

// head returns the head of an answer to a request that has run.
func (w *worker) head(request *http.Request, status string, headers ...string) string {
	lines := append([]string{"HTTP/1.1 " + status, "Request-Id: " + request.Header.Get("Request-Id"), "Server-Stamp: " + w.stamp()}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// answerBytes writes a complete answer of n bytes.
func (w *worker) answerBytes(conn net.Conn, request *http.Request, n int) bool {
	return write(conn, w.head(request, "200 OK", "Content-Length: "+strconv.Itoa(n))+string(bytes.Repeat([]byte{'x'}, n)))
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
