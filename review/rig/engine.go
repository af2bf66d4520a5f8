package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Limits of an engine, as the operator's configuration states them, and its load times.
const (
	engineMemory    = 230000.0 // MB
	modelMemory     = 65100.0
	adapterMemory   = 12.0
	adapterSlots    = 8
	modelAdapters   = 28
	storeLoadTime   = 3800 * time.Millisecond
	diskLoadTime    = 780 * time.Millisecond
	adapterLoadTime = 10 * time.Millisecond
)

// engine is a worker that runs models. Its state does not outlive its process.
type engine struct {
	*rig
	worker *worker

	mu       sync.Mutex
	start    int                 // number of the present start
	models   map[string][]string // adapters by model
	coming   []string            // adapters being loaded, MODEL/NAME
	busy     bool
	sequence int
	onDisk   []string
	late     func(o order) time.Duration // time after which an order is carried out without an answer, zero for at once
	overload []string                    // orders to load more than there is room for

	shape func(path string) (events int, pause time.Duration) // of the answer to a path; nil for a short one
}

// order is the body of an order.
type order struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Expect       *int   `json:"expect"`
	Holder       string `json:"holder"`
	FencingToken *int   `json:"fencing_token"`
}

func (o order) String() string {
	expect := "none"
	if o.Expect != nil {
		expect = fmt.Sprint(*o.Expect)
	}
	return fmt.Sprintf("%s %s/%s, expect %s", o.Operation, o.Model, o.Adapter, expect)
}

// restart starts the engine with the given models loaded.
func (e *engine) restart(models ...string) error {
	e.mu.Lock()
	e.start++
	e.models, e.coming, e.busy, e.sequence = make(map[string][]string), nil, false, 0
	for _, m := range models {
		e.models[m] = nil
		if !slices.Contains(e.onDisk, m) {
			e.onDisk = append(e.onDisk, m)
		}
	}
	e.mu.Unlock()
	return e.worker.start()
}

// describe returns what the engine says of its models.
func (e *engine) describe() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := []any{}
	for name, adapters := range e.models {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": append([]string{}, adapters...)})
	}
	return map[string]any{"stage": "both", "models": models, "sequence": e.sequence, "at_hand": map[string]any{"in_memory": []string{}, "on_disk": e.onDisk}}
}

func (e *engine) handle(conn net.Conn, _ *connState, request *http.Request, body []byte) bool {
	switch request.URL.Path {
	case "/sesamewell/report":
		report := e.describe()
		e.mu.Lock()
		report["busy"], report["coming"], report["born"] = e.busy, append([]string{}, e.coming...), e.worker.born
		e.mu.Unlock()
		for _, name := range []string{"queued", "running", "kv_used", "handles"} {
			report[name] = 0
		}
		report["kv_total"] = 141591
		return e.reply(conn, http.StatusOK, report)
	case "/sesamewell/order":
		return e.takeOrder(conn, body)
	}
	return e.generate(conn, request)
}

func (e *engine) reply(conn net.Conn, status int, value any) bool {
	text, err := json.Marshal(value)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(text), text)
	return err == nil
}

// takeOrder carries out an order, at once or late.
func (e *engine) takeOrder(conn net.Conn, body []byte) bool {
	var o order
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == "" || o.FencingToken == nil {
		return e.reply(conn, http.StatusBadRequest, struct{}{})
	}
	if e.late != nil {
		if delay := e.late(o); delay > 0 {
			e.printf("order %v gets no answer and is carried out %v later", o, delay)
			time.AfterFunc(delay, func() {
				if e.worker.runs() { // under the ID that the order names
					e.printf("late order %v: status %d", o, e.carryOut(o))
				}
			})
			time.Sleep(delay) // the connection on which an answer is lost returns nothing further
			return false
		}
	}
	status := e.carryOut(o)
	e.printf("order %v: status %d", o, status)
	return e.reply(conn, status, struct{}{})
}

// carryOut carries out an order if its condition holds, and returns the status.
func (e *engine) carryOut(o order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, loaded := e.models[o.Model]
	name := o.Model + "/" + o.Adapter
	switch {
	case o.Expect != nil && *o.Expect != e.sequence, o.Adapter == "" && e.busy:
		return http.StatusConflict
	case o.Adapter != "" && !loaded:
		return http.StatusBadRequest
	case o.Operation == "load" && (o.Adapter == "" && loaded || slices.Contains(adapters, o.Adapter) || slices.Contains(e.coming, name)):
		return http.StatusOK
	case o.Operation == "unload" && (!loaded || o.Adapter != "" && !slices.Contains(adapters, o.Adapter)):
		return http.StatusOK
	}
	e.sequence++
	switch {
	case o.Operation == "unload" && o.Adapter == "":
		delete(e.models, o.Model)
	case o.Operation == "unload":
		e.models[o.Model] = slices.DeleteFunc(adapters, func(a string) bool { return a == o.Adapter })
	case o.Adapter == "":
		e.loadModel(o)
	default:
		e.coming = append(e.coming, name)
		if e.checkRoom(o) {
			e.after(adapterLoadTime, func() {
				e.coming = slices.DeleteFunc(e.coming, func(n string) bool { return n == name })
				e.models[o.Model] = append(e.models[o.Model], o.Adapter)
			})
		}
	}
	return http.StatusAccepted
}

func (e *engine) loadModel(o order) {
	e.busy = true
	took := storeLoadTime
	if slices.Contains(e.onDisk, o.Model) {
		took = diskLoadTime
	}
	if (float64(len(e.models))+1)*modelMemory > engineMemory {
		e.crashOf(o, "weights_mb")
		return
	}
	e.after(took, func() {
		e.busy, e.models[o.Model] = false, nil
		if !slices.Contains(e.onDisk, o.Model) {
			e.onDisk = append(e.onDisk, o.Model)
		}
		go e.worker.beat()
	})
}

// after calls a function that changes the state, unless the engine has started again.
func (e *engine) after(delay time.Duration, change func()) {
	start := e.start
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.start == start {
			change()
		}
	})
}

// checkRoom reports whether there are places for all adapters, and crashes the engine
// otherwise.
func (e *engine) checkRoom(o order) bool {
	taken := len(e.coming)
	for _, adapters := range e.models {
		taken += len(adapters)
	}
	if taken <= adapterSlots {
		return true
	}
	e.crashOf(o, fmt.Sprintf("adapter_slots: %d of %d", taken, adapterSlots))
	return false
}

func (e *engine) crashOf(o order, limit string) {
	e.overload = append(e.overload, o.String())
	e.printf("order %v exceeds %s", o, limit)
	go e.worker.crash()
}

// generate answers a request for a model with a stream of events.
func (e *engine) generate(conn net.Conn, request *http.Request) bool {
	id, name := request.Header.Get("Request-Id"), request.Header.Get("Model")
	if !e.holds(name) {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Run: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, e.worker.id)
		return err == nil
	}
	e.printf("worker runs %s", id)
	events, pause := 3, 20*time.Millisecond
	if e.shape != nil {
		events, pause = e.shape(request.URL.Path)
	}
	out := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s-%s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	for n := 1; n <= events; n++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, name, n)
		out = fmt.Appendf(out, "%x\r\n%s\r\n", len(event), event)
		if n == events {
			out = append(out, "0\r\n\r\n"...)
		}
		if _, err := conn.Write(out); err != nil {
			e.printf("the connection of %s ends before event %d of %d", id, n, events)
			return false
		}
		out = out[:0]
	}
	e.printf("worker has written all of %s", id)
	return true
}

// holds reports whether a model, or an adapter of it, is loaded.
func (e *engine) holds(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for model, adapters := range e.models {
		if name == model || slices.ContainsFunc(adapters, func(a string) bool { return name == model+"/"+a }) {
			return true
		}
	}
	return false
}
