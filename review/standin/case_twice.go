package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["twice"] = playTwice }

// playTwice stops one of two lobbies with SIGTERM. With the disruption, the signal comes
// a second time while the lobby still answers the requests that it has accepted.
func playTwice(f *fleet, trouble bool) (outcome, error) {
	const (
		work    = 300 * time.Millisecond // of a request
		stopAt  = 3 * time.Second
		again   = 700 * time.Millisecond // from the first SIGTERM to the second
		length  = 14 * time.Second
		clients = 16
	)
	var mu sync.Mutex
	runs := make(map[string]string)
	for i := range 3 {
		w, err := startWorker(f, fmt.Sprintf("i-%d", i+1), "bookings")
		if err != nil {
			return outcome{}, err
		}
		w.answer = func(conn net.Conn, request *http.Request, _ []byte) bool {
			mu.Lock()
			runs[request.Header.Get("Request-Id")] = w.id
			mu.Unlock()
			f.record.add("%s runs %s", w.id, request.Header.Get("Request-Id"))
			time.Sleep(work)
			return w.answerBytes(conn, request, 800)
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
	machines := make(map[string]*lobby) // by request
	var group sync.WaitGroup
	for i := range clients {
		l := lobbies[i%2]
		group.Go(func() {
			c := &client{front: l.front}
			for time.Since(began) < length {
				r := c.send("POST", "/deposit/1", 1500*time.Millisecond, "deposit")
				f.record.add("a client sends %s to %s and gets %v", r.id, l.name, r)
				mu.Lock()
				results = append(results, r)
				machines[r.id] = l
				_, ran := runs[r.id]
				mu.Unlock()
				if r.status == 0 && !r.kept && !ran {
					return // the process is gone
				}
				time.Sleep(20 * time.Millisecond)
			}
			c.hangUp()
		})
	}
	time.Sleep(stopAt)
	stoppedAt := time.Now()
	lobbies[0].terminate()
	if trouble {
		time.Sleep(again)
		f.record.add("%s gets SIGTERM again", lobbies[0].name)
		_ = syscall.Kill(lobbies[0].cmd.Process.Pid, syscall.SIGTERM)
	}
	group.Wait()
	got := outcome{summary: []string{fmt.Sprintf("%d requests", len(results))}}
	mu.Lock()
	defer mu.Unlock()
	for _, r := range results {
		w, ran := runs[r.id]
		inPlannedWork := r.ended.After(stoppedAt) && r.ended.Before(stoppedAt.Add(graceTime*5/6))
		if ran && !r.complete && !r.gaveUp && inPlannedWork && machines[r.id] == lobbies[0] {
			got.broken = append(got.broken, fmt.Sprintf("LOST: %s was passed on to %s, and the connection ended without a complete answer %.3f s after the first SIGTERM", r.id, w, r.ended.Sub(stoppedAt).Seconds()))
		}
	}
	return got, nil
}
