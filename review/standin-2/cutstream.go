package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["cutstream"] = cutStreamCase }

// cutStreamCase lets one of two workers cut off a few of its streams in the middle of an
// event, in a body that is complete as HTTP.
func cutStreamCase(f *fleet, trouble bool) (verdict, error) {
	const (
		events  = 20
		streams = 200
		// cutEvery is the number of streams of the faulty worker of which one is cut off.
		cutEvery = 34
	)
	var mu sync.Mutex
	runs := make(map[string]int) // by worker
	handle := func(w *worker, c *workerConn, r *http.Request, body []byte) {
		id := r.Header.Get("Request-Id")
		first := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
		mu.Lock()
		runs[w.id]++
		cut := trouble && w.zone == "z1" && runs[w.id]%cutEvery == 0
		mu.Unlock()
		if first > 0 {
			f.note("worker %s resumes request %s after event %d", w.id, id, first)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: %s\r\n%s\r\n\r\n", id, w.stamp())
		for n := first + 1; n <= events; n++ {
			time.Sleep(5 * time.Millisecond)
			event := fmt.Sprintf("id: %d\ndata: piece-%d-of-%d\n\n", n, n, events)
			if cut && n == events/2 {
				event = event[:len(event)/2]
				f.note("worker %s ends request %s inside event %d: %q", w.id, id, n, event)
				fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(event), event)
				return
			}
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
		}
		fmt.Fprint(c, "0\r\n\r\n")
	}
	resumable := route("summary", "/summary/", "streaming", "assistant", 25000, 6000, 2)
	resumable["resumable"] = true
	f.configure(configuration(
		[]any{resumable, route("notice", "/notice/", "streaming", "assistant", 15000, 600, 1)}, []any{plainService("assistant")}))
	for i := range 2 {
		if _, err := f.newWorker(&worker{service: "assistant", zone: fmt.Sprintf("z%d", i+1), slots: 16, handle: handle}); err != nil {
			return verdict{}, err
		}
	}
	lobbies, err := startLobbies(f, 2)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	var cutOff, whole, broken int
	var clients sync.WaitGroup
	for client := range 4 {
		clients.Go(func() {
			for n := range streams / 4 {
				id, path := newID(), []string{"/summary/x", "/notice/x"}[n%2]
				lobby := lobbies[client%2]
				answer := send(outgoing{address: lobby.front(), method: "POST", path: path, body: "draft", timeout: 15 * time.Second,
					header: []string{"Request-Id: " + id, "Deadline-Ms: 15000", "Authorization: Bearer key-sellers", "Token-Counts: 500,60", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:300,%s:200", id[:8])}})
				last := strings.HasSuffix(string(answer.body), fmt.Sprintf("data: piece-%d-of-%d\n\n", events, events))
				mu.Lock()
				switch {
				case answer.status == 200 && answer.err == nil && !last:
					cutOff++
					f.note("client: request %s on %s at %s -> 200, complete, but ends with %q", id, path, lobby.name, answer.body[max(len(answer.body)-40, 0):])
				case answer.status == 200 && answer.err == nil:
					whole++
				default:
					broken++
					f.note("client: request %s on %s at %s -> %d, error %v", id, path, lobby.name, answer.status, answer.err)
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return verdict{broken: cutOff > 0, what: fmt.Sprintf("%d streams were passed on as complete without their last pieces; %d whole, %d broken off or refused", cutOff, whole, broken)}, nil
}
