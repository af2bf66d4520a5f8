package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silence"] = playSilence }

// playSilence stops one of two lobbies with SIGTERM while it passes on streams. With the
// disruption the worker preempts each stream once, in its middle.
func playSilence(f *fleet, trouble bool) (outcome, error) {
	const (
		objective  = 600 * time.Millisecond // of the route
		gapTarget  = 300 * time.Millisecond // of the route
		preempted  = 2300 * time.Millisecond
		eventPause = 60 * time.Millisecond
		events     = 30
		stopAt     = 3 * time.Second
	)
	clientGap := max(2*time.Second, 4*objective, 8*gapTarget) // after which a client gives up
	var mu sync.Mutex
	runs := make(map[string]string)
	for i := range 2 {
		w, err := startWorker(f, fmt.Sprintf("i-%d", i+1), "storyteller", "model-1")
		if err != nil {
			return outcome{}, err
		}
		w.answer = func(conn net.Conn, request *http.Request, _ []byte) bool {
			id := request.Header.Get("Request-Id")
			mu.Lock()
			runs[id] = w.id
			mu.Unlock()
			f.record.add("%s runs %s", w.id, id)
			if !write(conn, w.head(request, "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked")) {
				return false
			}
			for n := range events {
				if trouble && n == events/2 {
					f.record.add("%s preempts %s and reads it anew", w.id, id)
					time.Sleep(preempted)
				}
				if !write(conn, chunk(fmt.Sprintf("id: %d\ndata: piece %d\n\n", n+1, n+1))) {
					f.record.add("%s: the connection of %s has closed after %d of %d events", w.id, id, n, events)
					return false
				}
				time.Sleep(eventPause)
			}
			f.record.add("%s has written the last event of %s", w.id, id)
			return write(conn, "0\r\n\r\n")
		}
		w.serve()
		defer w.stop()
		if _, err := f.startKeeper(fmt.Sprintf("side-%d", i+1), w.addr); err != nil {
			return outcome{}, err
		}
	}
	f.store.putJSON("keyed.op", "config", configuration(1, "model-1"))
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
	for i := range 8 {
		l := lobbies[i%2]
		group.Go(func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			c := &client{front: l.front, maxGap: clientGap}
			for time.Since(began) < stopAt {
				r := c.send("POST", "/trail/1", 15*time.Second, "prompt", "Model: model-1", "Token-Counts: 100,90", fmt.Sprintf("Prompt-Prefix: aa:40,%x:60", 4096+i))
				f.record.add("a client sends %s to %s and gets %v", r.id, l.name, r)
				mu.Lock()
				results = append(results, r)
				machines[r.id] = l
				mu.Unlock()
			}
			c.hangUp()
		})
	}
	time.Sleep(stopAt)
	stoppedAt := time.Now()
	lobbies[0].terminate()
	group.Wait()
	time.Sleep(time.Until(stoppedAt.Add(graceTime)))
	got := outcome{summary: []string{fmt.Sprintf("%d streams; clients give up after %v without an event", len(results), clientGap)}}
	for _, r := range results {
		inPlannedWork := r.ended.After(stoppedAt) && r.ended.Before(stoppedAt.Add(graceTime*5/6))
		if !r.complete && !r.gaveUp && inPlannedWork && machines[r.id] == lobbies[0] && runs[r.id] != "" {
			got.broken = append(got.broken, fmt.Sprintf("LOST: %s was passed on to %s, and the connection ended without a complete answer (%v) %.3f s after SIGTERM", r.id, runs[r.id], r, r.ended.Sub(stoppedAt).Seconds()))
		}
	}
	return got, nil
}
