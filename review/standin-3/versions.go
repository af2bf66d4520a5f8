package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// streamEvents returns a handler that streams a number of events, one in a period, from the one
// after Last-Event-Id on. Each event names the worker's software version.
func streamEvents(events int, period time.Duration) func(w *worker, c *workerConn, r *http.Request, _ []byte) {
	return func(w *worker, c *workerConn, r *http.Request, _ []byte) {
		from := 0
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			n, err := strconv.Atoi(last)
			if err != nil {
				return
			}
			from = n + 1
		}
		w.log.add("worker %s (%s): runs %s from event %d", w.id, w.version, r.Header.Get("Request-Id"), from)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", w.stamp(r))
		for n := from; n < events; n++ {
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", n, w.version)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				return
			}
			time.Sleep(period)
		}
		fmt.Fprintf(c, "0\r\n\r\n")
	}
}

// reader is a client that reads one stream, over several attempts.
type reader struct {
	number   int
	lobbies  []string
	deadline time.Time

	first    string // ID of the attempt that brought the first event
	last     int    // ID of the last event, -1 before the first
	versions []string
	complete bool
	attempts int
	tries    int // attempts that it makes at most; zero for any number
}

// read reads the stream until it is complete or the deadline has passed.
func (c *reader) read(s *scene) {
	c.last = -1
	for time.Now().Before(c.deadline) && !c.complete && (c.tries == 0 || c.attempts < c.tries) {
		left := time.Until(c.deadline)
		a := call{
			lobby: c.lobbies[(c.number+c.attempts)%len(c.lobbies)], method: "POST", path: "/notice/x", id: fmt.Sprintf("%04x%04x", c.number, c.attempts),
			headers: []string{"Model: m0", "Token-Counts: 100,60", fmt.Sprintf("Prompt-Prefix: %x:100", 0x1000+c.number)}, limit: left,
			body: fmt.Sprintf("{\"client\":%d}", c.number), // the same in all attempts
		}
		c.attempts++
		if c.first != "" {
			a.headers = append(a.headers, "Resumes: "+c.first, fmt.Sprintf("Last-Event-Id: %d", c.last))
		}
		status, header, complete, err := a.stream(func(e event) {
			if c.first == "" {
				c.first = a.id
			}
			if len(c.versions) == 0 || c.versions[len(c.versions)-1] != e.data {
				c.versions = append(c.versions, e.data)
			}
			c.last = e.id
		})
		if status != 0 || err == nil {
			s.log.add("client %d, attempt %s at %s: status %d, complete %t, last event %d, versions %s, %v", c.number, a.id, a.lobby, status, complete, c.last, strings.Join(c.versions, "+"), err)
		}
		c.complete = status == http.StatusOK && complete
		pause := 200 * time.Millisecond
		if after, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil {
			pause = time.Duration(after * float64(time.Second))
		}
		if !c.complete {
			time.Sleep(pause)
		}
	}
}

// playVersions: two software versions serve side by side. In a drill the store comes back from
// a copy that is older than the second one; at that moment all lobbies are killed. Streams that
// began at the second version go on at the first one.
func playVersions(s *scene) (bool, error) {
	lobbies := []int{11, 12, 13, 14}
	config := configuration(1, []object{
		route("notice", "/notice/", "streaming", engineService, 25000, 6000, 2, object{"resumable": true, "sticky": true, "gap_target_ms": 300}),
	}, []object{model("m0")}, 220000)
	s.store.put("keyed.op", "config", config)
	var workers []*worker
	add := func(id, version string, machine int) error {
		w := &worker{
			store: s.store, log: s.log, id: id, version: version, service: engineService, models: []string{"m0"}, slots: 64,
			address: fmt.Sprintf("%s:%d", s.fleet.ip(machine), appPort), handler: streamEvents(60, 200*time.Millisecond),
		}
		workers = append(workers, w)
		return w.start()
	}
	for i := range 2 {
		if err := add(fmt.Sprintf("i-a%d", i), "v1", 100+i); err != nil {
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
	time.Sleep(6 * time.Second)
	backup := s.store.snapshot()
	s.log.add("store: the copy is taken")
	time.Sleep(300 * time.Millisecond)
	for i := range 2 {
		if err := add(fmt.Sprintf("i-b%d", i), "v2", 110+i); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	var wait sync.WaitGroup
	readers := make([]*reader, 24)
	for i := range readers {
		readers[i] = &reader{number: i, lobbies: fronts, deadline: time.Now().Add(25 * time.Second)}
		wait.Add(1)
		go func() {
			defer wait.Done()
			readers[i].read(s)
		}()
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if s.trouble {
		s.store.goAway()
		s.log.add("store: away")
		for _, machine := range lobbies {
			s.fleet.kill("lobby", machine)
		}
		time.Sleep(500 * time.Millisecond)
		s.store.restore(backup)
		s.store.put("keyed.op", "config", config)
		s.log.add("store: back from the copy; the operator has written the configuration again")
		for _, w := range workers {
			w.register()
		}
		for _, machine := range lobbies {
			if err := s.fleet.start("lobby", machine); err != nil {
				return false, err
			}
		}
	}
	wait.Wait()
	mixed, done := 0, 0
	for _, c := range readers {
		if len(c.versions) > 1 {
			mixed++
		}
		if c.complete {
			done++
		}
	}
	s.log.add("%d of %d streams complete, %d hold events of two software versions; more than two break the rule", done, len(readers), mixed)
	return mixed > 2, nil
}
