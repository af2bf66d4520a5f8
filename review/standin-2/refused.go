package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused"] = refusedCase }

// refusedCase lets a worker turn requests away for a moment with a time after which they may
// return. A few of these answers are sent twice, the second one late.
func refusedCase(f *fleet, trouble bool) (verdict, error) {
	var mu sync.Mutex
	ran := make(map[string]bool)
	answers, doubled := 0, 0
	quiet := false // only one client of each lobby sends
	var fullUntil time.Time
	handle := func(w *worker, c *workerConn, r *http.Request, body []byte) {
		id := r.Header.Get("Request-Id")
		mu.Lock()
		full := time.Now().Before(fullUntil)
		answers++
		double := trouble && full && doubled*34 < answers
		if double {
			doubled++
		}
		mu.Unlock()
		if full {
			header := []string{"Not-Run: 1", "Retry-After: 0.2"}
			f.note("worker %s is full: request %s -> 503, not run; sent twice %t", w.id, id, double)
			w.answer(c, r, 503, header...)
			if double { // the second one comes where the next answer is expected
				c.extra = encodeAnswer(r, 503, nil, header...)
			}
			return
		}
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		if c.extra != nil {
			f.note("worker %s runs request %s; the late second answer leaves before its own", w.id, id)
			_, _ = c.Write(c.extra)
			c.extra = nil
		}
		time.Sleep(60 * time.Millisecond)
		w.answerBody(c, r, 200, []byte("booked"), w.stamp())
	}
	f.configure(configuration(
		[]any{
			route("book", "/book/", "unsafe", "pitch-desk", 1500, 300, 2),
			route("stock", "/stock/", "safe", "stock-desk", 1500, 300, 2),
		}, []any{plainService("pitch-desk"), plainService("stock-desk")}))
	if _, err := f.newWorker(&worker{service: "pitch-desk", zone: "z1", slots: 6, handle: handle}); err != nil {
		return verdict{}, err
	}
	sound := func(w *worker, c *workerConn, r *http.Request, body []byte) {
		w.answerBody(c, r, 200, []byte("3 left"), w.stamp())
	}
	if _, err := f.newWorker(&worker{service: "stock-desk", zone: "z2", slots: 6, handle: sound}); err != nil {
		return verdict{}, err
	}
	lobbies, err := startLobbies(f, 2)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	falsely := 0
	end := time.Now().Add(12 * time.Second)
	for i := range 6 {
		clients.Go(func() {
			lobby := lobbies[i%2]
			for time.Now().Before(end) {
				mu.Lock()
				waits := quiet && i >= len(lobbies)
				mu.Unlock()
				if waits {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				id := newID()
				answer := send(outgoing{address: lobby.front(), method: "POST", path: "/book/seat", body: "seat", timeout: 3 * time.Second,
					header: []string{"Request-Id: " + id, "Deadline-Ms: 1500", "Authorization: Bearer key-sellers"}})
				mu.Lock()
				if answer.status != 200 {
					f.note("client: request %s at %s -> %d; it has run: %t", id, lobby.name, answer.status, ran[id])
				}
				if answer.status == 503 && ran[id] {
					falsely++
				}
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	for range 6 { // all within 6 s
		mu.Lock()
		quiet = true
		mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		mu.Lock()
		fullUntil = time.Now().Add(150 * time.Millisecond)
		mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		mu.Lock()
		quiet = false
		mu.Unlock()
		time.Sleep(300 * time.Millisecond)
	}
	clients.Wait()
	if answer := send(outgoing{address: lobbies[0].front(), method: "GET", path: "/stock/x", timeout: 2 * time.Second,
		header: []string{"Request-Id: " + newID(), "Deadline-Ms: 1500", "Authorization: Bearer key-sellers"}}); answer.status != 200 {
		return verdict{}, fmt.Errorf("the sound worker's service answers %d", answer.status)
	}
	mu.Lock()
	defer mu.Unlock()
	return verdict{broken: falsely > 0, what: fmt.Sprintf("%d requests were answered 503 and had run; %d of %d answers were sent twice", falsely, doubled, answers)}, nil
}
