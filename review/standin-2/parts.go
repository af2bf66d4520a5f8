package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["parts"] = partsCase }

// partsCase lets a quarter of the engines crash while requests run whose prompts have as many
// parts as fit a head of the largest size. It looks at what the callers of another service
// get meanwhile.
func partsCase(f *fleet, trouble bool) (verdict, error) {
	const (
		engines    = 16
		crashing   = 4 // a quarter
		parts      = 1300
		events     = 17
		streamers  = 320
		bookers    = 32
		timeout    = 800 * time.Millisecond // of the bookings' route
		grace      = 500 * time.Millisecond
		perTokenNS = int64(time.Millisecond) * 10 / 191 // 19.1 prompt tokens are read in a ms
	)
	var mu sync.Mutex
	var late, overdue, answered int
	var longest time.Duration
	reading := make(map[string]*sync.Mutex) // by worker: prompts are read one after the other
	streams := func(w *worker, c *workerConn, r *http.Request, body []byte) {
		model, name, _ := strings.Cut(r.Header.Get("Model"), "/")
		if status := w.engine.begin(model, name); status != 0 {
			w.answer(c, r, status, "Not-Run: 1", "Instance-Id: "+w.id)
			return
		}
		defer w.engine.finish(model, name)
		mu.Lock()
		lock, ok := reading[w.id]
		if !ok {
			lock = &sync.Mutex{}
			reading[w.id] = lock
		}
		mu.Unlock()
		lock.Lock()
		time.Sleep(time.Duration(parts * perTokenNS))
		lock.Unlock()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: %s\r\n%s\r\n\r\n", r.Header.Get("Request-Id"), w.stamp())
		for n := range events {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", n+1)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil || w.gone() {
				return
			}
			time.Sleep(27 * time.Millisecond)
		}
		fmt.Fprint(c, "0\r\n\r\n")
	}
	bookings := func(w *worker, c *workerConn, r *http.Request, body []byte) {
		time.Sleep(15 * time.Millisecond)
		w.answerBody(c, r, 200, []byte("booked"), w.stamp())
	}
	service := map[string]any{
		"name": "assistant", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kv_cache_tokens": 121069, "weights_mb": 220000.0, "adapter_slots": 8, "loads_per_s": 1.1,
			"models": []any{map[string]any{"name": "m0", "weights_mb": 72700.0, "load_time_s": 8.6, "adapters": 0, "adapter_size_mb": 66.0, "disk_s": 1.7}},
		},
	}
	f.configure(configuration([]any{
		route("notice", "/notice/", "streaming", "assistant", 15000, 600, 1),
		route("book", "/book/", "unsafe", "pitch-desk", int(timeout.Milliseconds()), 100, 1),
	}, []any{service, plainService("pitch-desk")}))
	var workers []*worker
	for i := range engines {
		e := &engine{weightsMB: 220000, adapterSlots: 8, modelMB: map[string]float64{"m0": 72700}, adapterMB: 66,
			loadTime: 8600 * time.Millisecond, models: []string{"m0"}, adapters: make(map[string]*adapter), crashed: func(string) {}}
		w, err := f.newWorker(&worker{service: "assistant", zone: fmt.Sprintf("z%d", 1+i%2), slots: 64, engine: e, handle: streams})
		if err != nil {
			return verdict{}, err
		}
		workers = append(workers, w)
		if _, err := f.start("keeper", fmt.Sprintf("side-%d", i+1), w.zone, w.ip); err != nil {
			return verdict{}, err
		}
	}
	for range 4 {
		if _, err := f.newWorker(&worker{service: "pitch-desk", zone: "z1", slots: 6, handle: bookings}); err != nil {
			return verdict{}, err
		}
	}
	lobbies, err := startLobbies(f, 2)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(contact + time.Second)
	stop := make(chan struct{})
	ended := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	var clients sync.WaitGroup
	for i := range streamers {
		clients.Go(func() {
			for n := 0; !ended(); n++ {
				id := newID()
				list := make([]string, parts)
				for part := range list {
					list[part] = fmt.Sprintf("%x:1", (i*1000+n)*parts+part)
				}
				send(outgoing{address: lobbies[i%2].front(), method: "POST", path: "/notice/x", body: "draft", timeout: 15 * time.Second,
					header: []string{"Request-Id: " + id, "Deadline-Ms: 15000", "Authorization: Bearer key-sellers", "Model: m0",
						fmt.Sprintf("Token-Counts: %d,60", parts), "Prompt-Prefix: " + strings.Join(list, ",")}})
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for i := range bookers {
		clients.Go(func() {
			for !ended() {
				id, began := newID(), time.Now()
				answer := send(outgoing{address: lobbies[i%2].front(), method: "POST", path: "/book/x", body: "seat", timeout: 30 * time.Second,
					header: []string{"Request-Id: " + id, "Deadline-Ms: 1500", "Authorization: Bearer key-sellers"}})
				took := time.Since(began)
				mu.Lock()
				answered++
				longest = max(longest, took)
				if took > timeout {
					late++
				}
				if took > timeout+grace {
					overdue++
					f.note("client: request %s at %s -> %d after %v", id, lobbies[i%2].name, answer.status, took.Round(time.Millisecond))
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for _, w := range workers[:crashing] {
			f.note("worker %s crashes", w.id)
			w.crash()
		}
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	return verdict{broken: overdue >= 8 && 4*overdue > late, what: fmt.Sprintf(
		"%d bookings; %d took longer than their route's %v, %d of them had no answer %v later; the longest took %v", answered, late, timeout, overdue, grace, longest.Round(time.Millisecond))}, nil
}
