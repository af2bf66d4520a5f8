package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["adapters"] = adaptersCase }

// adaptersCase runs streams with as many adapters as a worker has places but one, and then
// asks for two rare adapters of the same model at once while those streams go on.
func adaptersCase(f *fleet, trouble bool) (verdict, error) {
	const (
		places = 8
		events = 198
		pause  = 30 * time.Millisecond
	)
	var mu sync.Mutex
	over := ""
	var lost, complete int
	handle := func(w *worker, c *workerConn, r *http.Request, body []byte) {
		model, name, _ := strings.Cut(r.Header.Get("Model"), "/")
		id := r.Header.Get("Request-Id")
		if status := w.engine.begin(model, name); status != 0 {
			f.note("worker %s: request %s for %s -> %d, not run", w.id, id, r.Header.Get("Model"), status)
			w.answer(c, r, status, "Not-Run: 1", "Instance-Id: "+w.id)
			return
		}
		defer w.engine.finish(model, name)
		f.note("worker %s runs request %s for %s", w.id, id, r.Header.Get("Model"))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: %s\r\n%s\r\n\r\n", id, w.stamp())
		for n := range events {
			time.Sleep(pause)
			event := fmt.Sprintf("id: %d\ndata: x\n\n", n+1)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil || w.gone() {
				return
			}
		}
		fmt.Fprint(c, "0\r\n\r\n")
	}
	service := map[string]any{
		"name": "assistant", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kv_cache_tokens": 121069, "weights_mb": 220000.0, "adapter_slots": places, "loads_per_s": 1.1,
			"models": []any{map[string]any{"name": "m0", "weights_mb": 72700.0, "load_time_s": 8.6, "adapters": 22, "adapter_size_mb": 66.0, "disk_s": 1.7}},
		},
	}
	f.configure(configuration(
		[]any{route("notice", "/notice/", "streaming", "assistant", 15000, 600, 1)}, []any{service}))
	var w *worker
	e := &engine{
		weightsMB: 220000, adapterSlots: places, modelMB: map[string]float64{"m0": 72700}, adapterMB: 66,
		loadTime: 2 * time.Second, adapterTime: 19 * time.Millisecond, models: []string{"m0"}, adapters: make(map[string]*adapter),
		crashed: func(reason string) {
			mu.Lock()
			over = reason
			mu.Unlock()
			f.note("worker was ordered to load more than %s: it crashes", reason)
			w.crash()
		},
	}
	w, err := f.newWorker(&worker{service: "assistant", zone: "z1", slots: 64, engine: e, handle: handle})
	if err != nil {
		return verdict{}, err
	}
	if _, err := f.start("keeper", "side-1", "z1", w.ip); err != nil {
		return verdict{}, err
	}
	lobbies, err := startLobbies(f, 2)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	stream := func(i int, name string) {
		id := newID()
		answer := send(outgoing{address: lobbies[i%2].front(), method: "POST", path: "/notice/x", body: "draft", timeout: 15 * time.Second,
			header: []string{"Request-Id: " + id, "Deadline-Ms: 15000", "Authorization: Bearer key-sellers", "Model: m0/" + name,
				"Token-Counts: 500,594", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:300,%s:200", id[:8])}})
		f.note("client: request %s for m0/%s at %s -> %d, %d bytes, error %v", id, name, lobbies[i%2].name, answer.status, len(answer.body), answer.err)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case answer.status == 200 && answer.err == nil:
			complete++
		case answer.status == 200:
			lost++
		}
	}
	var clients sync.WaitGroup
	for i := range places - 1 {
		clients.Go(func() { stream(i, fmt.Sprintf("a%d", i+1)) })
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	rare := 1 // fits
	if trouble {
		rare = 2
	}
	for i := range rare {
		clients.Go(func() { stream(i, fmt.Sprintf("a%d", places+i)) })
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	return verdict{broken: over != "", what: fmt.Sprintf("worker ordered to load more than %q; %d streams broken off, %d complete", over, lost, complete)}, nil
}
