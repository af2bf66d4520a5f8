package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playLimit: an order to load an adapter gets no answer and is carried out seconds later. In
// between the side machine loses power, so that keeper and worker start again. The new keeper
// knows nothing of the order and fills the worker's places, so that the late order exceeds them.
func playLimit(s *scene) (bool, error) {
	const lobby, side = 11, 101
	s.store.put("keyed.op", "config", configuration(1, []object{
		route("notice", "/notice/", "streaming", engineService, 15000, 600, 1, object{"sticky": true, "gap_target_ms": 300}),
	}, []object{model("m0")}, 220000))
	e := &engine{models: []string{"m0"}, loadTime: diskLoadTime}
	w := &worker{
		store: s.store, log: s.log, id: "i-1", version: "v1", service: engineService, models: []string{"m0"}, slots: 64,
		address: fmt.Sprintf("%s:%d", s.fleet.ip(side), appPort), orders: e.serve,
	}
	w.handler = func(w *worker, c *workerConn, r *http.Request, _ []byte) {
		w.mu.Lock()
		name := r.Header.Get("Model")
		has := len(e.models) > 0
		for _, a := range e.adapters {
			if a == name {
				name = ""
			}
		}
		w.mu.Unlock()
		if !has || name != "" && name != "m0" {
			w.misdirected(c, r)
			return
		}
		text := "id: 0\ndata: a\n\n"
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", w.stamp(r), len(text), text)
	}
	if err := w.start(); err != nil {
		return false, err
	}
	if err := s.fleet.start("lobby", lobby); err != nil {
		return false, err
	}
	if err := s.fleet.start("keeper", side); err != nil {
		return false, err
	}
	if err := s.fleet.awaitReady(5*time.Second, lobby); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	served := func(adapter int, tag string, limit time.Duration) bool {
		until := time.Now().Add(limit)
		for n := 0; time.Now().Before(until); n++ {
			a := call{lobby: s.fleet.front(lobby), method: "POST", path: "/notice/x", id: fmt.Sprintf("%s-%d-%d", tag, adapter, n), body: fmt.Sprintf("{\"adapter\":%d,\"n\":%d}", adapter, n), limit: 2 * time.Second,
				headers: []string{fmt.Sprintf("Model: m0/a%d", adapter), "Token-Counts: 100,10", "Prompt-Prefix: 1:100"}}
			if r := a.do(); r.status == http.StatusOK {
				return true
			}
			time.Sleep(50 * time.Millisecond)
		}
		s.log.add("client: no answer for adapter a%d", adapter)
		return false
	}
	for adapter := 1; adapter <= adapterSlots; adapter++ {
		if !served(adapter, "first", 5*time.Second) {
			return false, fmt.Errorf("adapter a%d isn't loaded", adapter)
		}
	}
	time.Sleep(4 * time.Second) // the leases end
	lost := make(chan struct{})
	var once sync.Once
	if s.trouble {
		e.lose = func(order orderJSON) (time.Duration, bool) {
			first := false
			if order.Operation == "load" && order.Adapter == "a9" {
				once.Do(func() { first = true; close(lost) })
			}
			return 10 * time.Second, first
		}
	} else {
		close(lost)
	}
	go served(9, "ninth", 2*time.Second)
	select {
	case <-lost:
	case <-time.After(5 * time.Second):
		return false, fmt.Errorf("adapter a9 isn't ordered")
	}
	time.Sleep(300 * time.Millisecond)
	if s.trouble {
		s.log.add("platform: side machine loses power")
		s.fleet.kill("keeper", side)
		w.crash()
		e.restart(w)
		w.models = nil
		time.Sleep(time.Second)
		if err := w.start(); err != nil {
			return false, err
		}
		if err := s.fleet.start("keeper", side); err != nil {
			return false, err
		}
	}
	for adapter := 1; adapter <= adapterSlots; adapter++ {
		served(adapter, "second", 8*time.Second)
	}
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		for adapter := 1; adapter <= adapterSlots; adapter++ { // they stay in use
			served(adapter, fmt.Sprint("use", time.Now().UnixMilli()), time.Second)
		}
		if len(e.crashes) > 0 {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, order := range e.crashes {
		s.log.add("worker %s had no room for: %s", w.id, order)
	}
	return len(e.crashes) > 0, nil
}
