package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// engineWorker starts a worker whose engine has loaded models, and its keeper.
func engineWorker(s *scene, id, version string, machine int, loaded ...string) (*worker, error) {
	e := &engine{models: slices.Clone(loaded), loadTime: storeLoadTime}
	stream := streamEvents(60, 100*time.Millisecond)
	w := &worker{
		store: s.store, log: s.log, id: id, version: version, service: engineService, models: slices.Clone(loaded), slots: 64,
		address: fmt.Sprintf("%s:%d", s.fleet.ip(machine), appPort), orders: e.serve,
	}
	w.handler = func(w *worker, c *workerConn, r *http.Request, body []byte) {
		w.mu.Lock()
		has := slices.Contains(e.models, r.Header.Get("Model"))
		w.mu.Unlock()
		if !has {
			w.misdirected(c, r)
			return
		}
		stream(w, c, r, body)
	}
	if err := w.start(); err != nil {
		return nil, err
	}
	return w, s.fleet.start("keeper", machine)
}

// playTakeUps: of two software versions, one worker of the first and one of the second have a
// model; two more workers of the second serve without it. The worker of the second that has it
// crashes. Its streams are not resumed, and their clients' take-ups are refused, while new streams
// of the same model begin at the first version.
func playTakeUps(s *scene) (bool, error) {
	lobbies := []int{11, 12, 13, 14}
	var models []object
	for _, name := range []string{"m0", "m1", "m2", "m3"} {
		m := model(name)
		m["weights_mb"], m["load_time_s"] = 34300.0, storeLoadTime.Seconds()
		models = append(models, m)
	}
	s.store.put("keyed.op", "config", configuration(1, []object{
		route("extract", "/notice/", "streaming", engineService, 15000, 1000, 2, object{"resumable": true, "sticky": true, "gap_target_ms": 300}),
	}, models, 83000))
	if _, err := engineWorker(s, "i-a0", "v1", 100, "m0", "m1"); err != nil {
		return false, err
	}
	holder, err := engineWorker(s, "i-b0", "v2", 110, "m0", "m2")
	if err != nil {
		return false, err
	}
	for i := range 2 {
		if _, err := engineWorker(s, fmt.Sprintf("i-b%d", i+1), "v2", 111+i, "m3"); err != nil {
			return false, err
		}
	}
	var fronts []string
	for _, machine := range lobbies {
		fronts = append(fronts, s.fleet.front(machine))
		if err := s.fleet.start("lobby", machine); err != nil {
			return false, err
		}
	}
	if err := s.fleet.awaitReady(5*time.Second, lobbies...); err != nil {
		return false, err
	}
	time.Sleep(7 * time.Second)
	var wait sync.WaitGroup
	ask := func(first, count int, tries int, pause time.Duration) []*reader {
		readers := make([]*reader, count)
		for i := range readers {
			readers[i] = &reader{number: first + i, lobbies: fronts, deadline: time.Now().Add(15 * time.Second), tries: tries}
			wait.Add(1)
			go func() {
				defer wait.Done()
				readers[i].read(s)
			}()
			time.Sleep(pause)
		}
		return readers
	}
	readers := ask(0, 32, 2, 20*time.Millisecond) // with one retry, as on the sheet
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		holder.crash()
	}
	others := ask(1000, 24, 1, 200*time.Millisecond)
	wait.Wait()
	takenUp, wentOn, began := 0, 0, 0
	for _, c := range readers {
		if c.first != "" && c.attempts > 1 {
			takenUp++
			if c.complete {
				wentOn++
			}
		}
	}
	for _, c := range others {
		if c.first != "" {
			began++
		}
	}
	s.log.add("%d of %d new streams began; of %d streams that were taken up %d went on; of 12 or more, less than half of the share of new streams breaks the rule", began, len(others), takenUp, wentOn)
	return takenUp >= 12 && 2*wentOn*len(others) < began*takenUp, nil
}
