package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	adapterSlots  = 8
	diskLoadTime  = 1700 * time.Millisecond
	storeLoadTime = 4 * time.Second
	adapterTime   = 19 * time.Millisecond
)

// engine is the part of a worker that carries out orders. Its methods hold the worker's lock.
type engine struct {
	models   []string
	adapters []string // MODEL/NAME
	coming   []string
	busy     bool
	crashes  []string      // orders that the engine had no room for
	loadTime time.Duration // of a model
	lose     func(order orderJSON) (late time.Duration, lost bool)
	start    int // number of starts
}

type orderJSON struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expect    *int64 `json:"expect"`
	Holder    string `json:"holder"`
}

func (o orderJSON) String() string {
	name := o.Model
	if o.Adapter != "" {
		name += "/" + o.Adapter
	}
	return fmt.Sprintf("%s %s, expect %d, holder %s", o.Operation, name, *o.Expect, o.Holder)
}

// serveEngine serves the calls of the keeper.
func (e *engine) serve(w *worker, c *workerConn, r *http.Request, body []byte) {
	if r.URL.Path == "/sesamewell/report" {
		e.report(w, c)
		return
	}
	var order orderJSON
	if err := json.Unmarshal(body, &order); err != nil || order.Expect == nil {
		fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if e.lose != nil {
		if late, lost := e.lose(order); lost {
			w.log.add("worker %s: order without an answer, carried out in %s: %s", w.id, late, order)
			time.AfterFunc(late, func() {
				status := e.execute(w, order)
				w.log.add("worker %s: late order, status %d: %s", w.id, status, order)
			})
			time.Sleep(time.Minute)
			return
		}
	}
	status := e.execute(w, order)
	w.log.add("worker %s: order, status %d: %s", w.id, status, order)
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

func (e *engine) report(w *worker, c *workerConn) {
	w.mu.Lock()
	models := []map[string]any{}
	for _, name := range e.models {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": e.adaptersOf(name)})
	}
	coming := []string{}
	for _, name := range e.coming {
		coming = append(coming, name+"@1")
	}
	text, _ := json.Marshal(map[string]any{
		"stage": "both", "models": models, "busy": e.busy, "sequence": w.sequence, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 121069,
		"handles": 0, "coming": coming, "born": w.born, "at_hand": map[string]any{"in_memory": []string{}, "on_disk": []string{"m0"}},
	})
	w.mu.Unlock()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func (e *engine) adaptersOf(model string) []string {
	names := []string{}
	for _, key := range e.adapters {
		if name, ok := strings.CutPrefix(key, model+"/"); ok {
			names = append(names, name)
		}
	}
	return names
}

// execute carries out an order and returns the status of the answer.
func (e *engine) execute(w *worker, order orderJSON) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.stopped:
		return 0 // the process is down
	default:
	}
	key := order.Model
	if order.Adapter != "" {
		key += "/" + order.Adapter
	}
	held := slices.Contains(e.models, key) || slices.Contains(e.adapters, key) || slices.Contains(e.coming, key)
	switch {
	case held == (order.Operation == "load"):
		return http.StatusOK
	case *order.Expect != w.sequence, order.Adapter == "" && e.busy:
		return http.StatusConflict
	}
	w.sequence++
	start := e.start
	switch {
	case order.Operation == "unload":
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == key })
		e.adapters = slices.DeleteFunc(e.adapters, func(a string) bool { return a == key })
	case order.Adapter == "":
		e.busy = true
		time.AfterFunc(e.loadTime, func() {
			w.mu.Lock()
			if e.start == start {
				e.models, e.busy = append(e.models, key), false
			}
			w.mu.Unlock()
			w.models = e.models
			w.register()
		})
	default:
		if len(e.adapters)+len(e.coming) >= adapterSlots {
			e.crashes = append(e.crashes, order.String())
			w.log.add("worker %s: ordered to load adapter number %d, %d fit: it crashes", w.id, len(e.adapters)+len(e.coming)+1, adapterSlots)
			go w.crash()
			return http.StatusAccepted
		}
		e.coming = append(e.coming, key)
		time.AfterFunc(adapterTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if e.start == start {
				e.coming = slices.DeleteFunc(e.coming, func(a string) bool { return a == key })
				e.adapters = append(e.adapters, key)
			}
		})
	}
	return http.StatusAccepted
}

// restart forgets all that the engine holds.
func (e *engine) restart(w *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.models, e.adapters, e.coming, e.busy = nil, nil, nil, false
	e.start++
}
