package main

import (
	"encoding/json"
	"slices"
	"sync"
	"time"
)

// engine is the part of a worker that holds models and adapters.
type engine struct {
	weightsMB    float64
	adapterSlots int
	modelMB      map[string]float64
	adapterMB    float64
	loadTime     time.Duration
	adapterTime  time.Duration
	crashed      func(reason string)

	mu       sync.Mutex
	sequence int
	busy     bool
	models   []string
	loading  string              // model that is being loaded
	adapters map[string]*adapter // by MODEL/NAME
}

// adapter is one adapter that takes a place.
type adapter struct {
	coming  bool // it is on its way
	leaving bool // it is unloaded when its runs have ended
	runs    int
}

// entry returns the fields of the worker's entry in the list.
func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{"models": e.holdings(), "sequence": e.sequence, "at_hand": map[string]any{"in_memory": []string{}, "on_disk": e.models}}
}

func (e *engine) holdings() []any {
	list := []any{}
	for _, model := range e.models {
		names := []string{}
		for key, a := range e.adapters {
			if name, ok := cutModel(key, model); ok && !a.coming {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		list = append(list, map[string]any{"name": model, "version": 1, "adapters": names})
	}
	return list
}

func cutModel(key, model string) (string, bool) {
	if len(key) > len(model)+1 && key[:len(model)+1] == model+"/" {
		return key[len(model)+1:], true
	}
	return "", false
}

// reportOf returns the body of a report.
func (e *engine) reportOf(w *worker) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	coming := []string{}
	running := 0
	for key, a := range e.adapters {
		if a.coming {
			coming = append(coming, key+"@1")
		}
		running += a.runs
	}
	return map[string]any{
		"stage": "both", "models": e.holdings(), "busy": e.busy, "sequence": e.sequence, "queued": 0, "running": running,
		"kv_used": 1000, "kv_total": 100000, "handles": 0, "coming": coming, "born": w.born,
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": e.models},
	}
}

// used returns the memory that models and adapters take, in MB.
func (e *engine) used() float64 {
	sum := float64(len(e.adapters)) * e.adapterMB
	for _, model := range e.models {
		sum += e.modelMB[model]
	}
	if e.loading != "" {
		sum += e.modelMB[e.loading]
	}
	return sum
}

// order carries out an order and returns the status of the answer.
func (e *engine) order(w *worker, body []byte) int {
	var order struct {
		Operation, Model, Adapter, Holder string
		Expect                            *int
		FencingToken                      *int `json:"fencing_token"`
	}
	if err := json.Unmarshal(body, &order); err != nil || order.Holder == "" || order.FencingToken == nil {
		return 400
	}
	e.mu.Lock()
	status := 0
	switch {
	case order.Expect != nil && *order.Expect != e.sequence:
		status = 409
	case order.Adapter != "":
		status = e.adapterOrder(w, order.Operation, order.Model, order.Adapter)
	default:
		status = e.modelOrder(w, order.Operation, order.Model)
	}
	over := ""
	switch {
	case len(e.adapters) > e.adapterSlots:
		over = "adapter_slots"
	case e.used() > e.weightsMB:
		over = "weights_mb"
	}
	adapters := make(map[string]string)
	for key, a := range e.adapters {
		adapters[key] = map[bool]string{true: "coming", false: "loaded"}[a.coming] + map[bool]string{true: ", leaving"}[a.leaving] + map[bool]string{true: ", in use"}[a.runs > 0]
	}
	e.mu.Unlock()
	w.fleet.note("worker %s: order %s -> %d; adapters %s", w.id, body, status, encode(adapters))
	if over != "" {
		e.crashed(over)
	}
	return status
}

func (e *engine) adapterOrder(w *worker, operation, model, name string) int {
	key := model + "/" + name
	a, held := e.adapters[key]
	switch {
	case !slices.Contains(e.models, model):
		return 400
	case operation == "load" && held && !a.leaving:
		return 200
	case operation == "load" && held: // it stays
		a.leaving = false
		e.sequence++
		return 202
	case operation == "load":
		e.sequence++
		a := &adapter{coming: true}
		e.adapters[key] = a
		time.AfterFunc(e.adapterTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			a.coming = false
		})
		return 202
	case !held:
		return 200
	case a.leaving:
		return 200
	case a.runs == 0:
		e.sequence++
		delete(e.adapters, key)
		return 200
	default: // an unload waits for its runs
		e.sequence++
		a.leaving = true
		return 202
	}
}

func (e *engine) modelOrder(w *worker, operation, model string) int {
	held := slices.Contains(e.models, model)
	switch {
	case e.busy:
		return 409
	case operation == "load" && held, operation == "unload" && !held:
		return 200
	case operation == "load":
		e.sequence++
		e.busy, e.loading = true, model
		time.AfterFunc(e.loadTime, func() {
			e.mu.Lock()
			e.busy, e.loading = false, ""
			e.models = append(e.models, model)
			e.mu.Unlock()
			w.report()
		})
		return 202
	default:
		e.sequence++
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == model })
		for key := range e.adapters {
			if _, ok := cutModel(key, model); ok {
				delete(e.adapters, key)
			}
		}
		return 202
	}
}

// begin begins a run that needs a model and an adapter, and reports the status of the
// answer if it cannot.
func (e *engine) begin(model, name string) (status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.models, model) {
		return 421
	}
	if name == "" {
		return 0
	}
	a, ok := e.adapters[model+"/"+name]
	switch {
	case !ok || a.coming:
		return 421
	case a.leaving:
		return 503
	}
	a.runs++
	return 0
}

// finish ends a run.
func (e *engine) finish(model, name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.adapters[model+"/"+name]
	if !ok {
		return
	}
	if a.runs--; a.runs == 0 && a.leaving {
		delete(e.adapters, model+"/"+name)
	}
}
