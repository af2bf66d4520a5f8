package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused"] = playRefused }

// playRefused lets one of three workers fail a part of the requests that it has run,
// with status 503 and without Not-Run.
func playRefused(f *fleet, trouble bool) (outcome, error) {
	const (
		share     = 0.4 // part of the requests of the worker that fail
		length    = 12 * time.Second
		failsFrom = 3 * time.Second
		failsTo   = 9 * time.Second
	)
	began := time.Now()
	var mu sync.Mutex
	runs := make(map[string]string) // worker by request
	for i := range 3 {
		w, err := startWorker(f, fmt.Sprintf("i-%d", i+1), "bookings")
		if err != nil {
			return outcome{}, err
		}
		w.answer = func(conn net.Conn, request *http.Request, _ []byte) bool {
			id := request.Header.Get("Request-Id")
			mu.Lock()
			runs[id] = w.id
			mu.Unlock()
			f.record.add("%s runs %s", w.id, id)
			time.Sleep(30 * time.Millisecond)
			age := time.Since(began)
			if trouble && i == 0 && age > failsFrom && age < failsTo && rand.Float64() < share {
				f.record.add("%s has run %s and answers 503 without Not-Run", w.id, id)
				return write(conn, w.head(request, "503 Service Unavailable", "Content-Length: 0"))
			}
			return w.answerBytes(conn, request, 800)
		}
		w.serve()
		defer w.stop()
	}
	f.store.putJSON("keyed.op", "config", configuration(1))
	l, err := f.startLobby("front-1")
	if err != nil {
		return outcome{}, err
	}
	if err := awaitReady(l); err != nil {
		return outcome{}, err
	}
	began = time.Now()
	var results []result
	attempts := make(map[string]int) // attempts of a booking, by its first request
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			c := &client{front: l.front}
			for time.Since(began) < length {
				var first string
				for attempt := 0; attempt < 2; attempt++ {
					r := c.send("POST", "/deposit/1", 1500*time.Millisecond, "deposit")
					f.record.add("a client sends %s to %s and gets %v", r.id, l.name, r)
					mu.Lock()
					results = append(results, r)
					if first == "" {
						first = r.id
					}
					attempts[first]++
					mu.Unlock()
					if r.status != http.StatusServiceUnavailable && r.status != http.StatusTooManyRequests {
						break
					}
					c.hangUp() // a promise that it has not run: again, on a new connection
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
			}
			c.hangUp()
		})
	}
	group.Wait()
	got := outcome{summary: []string{fmt.Sprintf("%d attempts of unsafe requests", len(results))}}
	mu.Lock()
	defer mu.Unlock()
	for _, r := range results {
		switch r.status {
		case 408, 421, 429, 503:
			if w, ran := runs[r.id]; ran {
				got.broken = append(got.broken, fmt.Sprintf("REFUSED: unsafe request %s was answered %d, and %s has run it", r.id, r.status, w))
			}
		}
	}
	return got, nil
}
