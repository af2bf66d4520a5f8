package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["stop"] = playStop }

// playStop stops one of two lobbies with SIGTERM while clients get answers that are
// larger than what the kernel takes at once.
func playStop(f *fleet, trouble bool) (outcome, error) {
	const (
		size   = 400 << 10
		length = 14 * time.Second
		stopAt = 3 * time.Second
	)
	var mu sync.Mutex
	runs := make(map[string]string)
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
			return w.answerBytes(conn, request, size)
		}
		w.serve()
		defer w.stop()
	}
	f.store.putJSON("keyed.op", "config", configuration(1))
	var lobbies []*lobby
	for i := range 2 {
		l, err := f.startLobby(fmt.Sprintf("front-%d", i+1))
		if err != nil {
			return outcome{}, err
		}
		if err := awaitReady(l); err != nil {
			return outcome{}, err
		}
		lobbies = append(lobbies, l)
	}
	began := time.Now()
	var results []result
	var group sync.WaitGroup
	for i := range 6 {
		l := lobbies[i%2]
		group.Go(func() {
			c := &client{front: l.front, segment: 1460}
			for time.Since(began) < length {
				method, path := "POST", "/deposit/1"
				if i >= 4 {
					method, path = "GET", "/seat/1"
				}
				r := c.send(method, path, 1500*time.Millisecond, "")
				f.record.add("a client sends %s %s %s to %s and gets %v", method, path, r.id, l.name, r)
				if r.status == 0 && c.conn == nil && r.err != nil && !r.kept {
					if _, ok := runs[r.id]; !ok {
						return // the process is gone
					}
				}
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
			c.hangUp()
		})
	}
	var stoppedAt time.Time
	time.Sleep(stopAt)
	if trouble {
		stoppedAt = time.Now()
		lobbies[0].terminate()
	}
	group.Wait()
	got := outcome{summary: []string{fmt.Sprintf("%d requests", len(results))}}
	mu.Lock()
	defer mu.Unlock()
	for _, r := range results {
		w, ran := runs[r.id]
		if trouble && !r.complete && ran && !r.gaveUp && r.ended.After(stoppedAt) && r.ended.Before(stoppedAt.Add(graceTime+time.Second)) {
			got.broken = append(got.broken, fmt.Sprintf("LOST: %s was passed on to %s, and the connection ended after %d of %d bytes of its answer, %.3f s after SIGTERM", r.id, w, len(r.body), size, r.ended.Sub(stoppedAt).Seconds()))
		}
		if !r.complete && !trouble {
			got.broken = append(got.broken, fmt.Sprintf("%s: %v", r.id, r))
		}
	}
	return got, nil
}
