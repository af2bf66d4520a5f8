package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Parameters of the late copy.
const (
	ordinaryCalls  = 60 // answered before each refusal, so that the copy is one of more than 50 answers
	refusals       = 4
	refusalPause   = 400 * time.Millisecond // time for which the refusing worker wants no requests
	bookingRunTime = 60 * time.Millisecond
	bookingTimeout = 4 * time.Second
)

func init() { cases["late-copy"] = lateCopy }

// bookings is a worker of a booking service. It refuses single requests for want of room.
// While it is in trouble, it sends the answer to a refused request a second time, late: where
// the next answer on that connection is expected.
type bookings struct {
	*rig
	trouble bool

	mu     sync.Mutex
	refuse map[string]bool // IDs of the requests to refuse at their first arrival
	runs   map[string]int  // by request ID
}

func newBookings(r *rig) *bookings {
	return &bookings{rig: r, trouble: r.trouble, refuse: make(map[string]bool), runs: make(map[string]int)}
}

func (b *bookings) start(id, address, service string) error {
	w := &worker{id: id, address: address, service: service, zone: "zone-a", slots: 6, store: b.store, record: b.record, handle: b.handle}
	return w.start()
}

func (b *bookings) handle(conn net.Conn, state *connState, request *http.Request, _ []byte) bool {
	id := request.Header.Get("Request-Id")
	b.mu.Lock()
	refuse := b.refuse[id]
	delete(b.refuse, id)
	if !refuse {
		b.runs[id]++
	}
	b.mu.Unlock()
	if refuse {
		b.printf("worker refuses %s: 503, Not-Run, Retry-After", id)
		refusal := notRunAnswer(id, fmt.Sprintf("Retry-After: %.1f\r\n", refusalPause.Seconds()))
		if b.trouble {
			state.late = refusal
		}
		_, err := conn.Write(refusal)
		return err == nil
	}
	b.printf("worker runs %s", id)
	time.Sleep(bookingRunTime)
	_, err := conn.Write(answer(id, "booked "+id))
	return err == nil
}

// lateCopy checks that no booking that a client is told was not run has run, and that none
// runs twice.
func lateCopy(r *rig) int {
	b := newBookings(r)
	stock := newBookings(r)
	stock.trouble = false // one of the two workers is in trouble
	if err := b.start("i-desk1", r.prefix+"11:8080", "desk"); err != nil {
		return r.notRun(err)
	}
	if err := stock.start("i-stock1", r.prefix+"12:8080", "stock"); err != nil {
		return r.notRun(err)
	}
	if err := r.store.putJSON(operatorTopic, "config", deskConfiguration()); err != nil {
		return r.notRun(err)
	}
	lobby, err := r.fleet.start(machine{name: "front-1", ip: r.prefix + "21", zone: "zone-a", role: "lobby"})
	if err != nil {
		return r.notRun(err)
	}
	if err := lobby.awaitReady(); err != nil {
		return r.notRun(err)
	}
	told := make(map[string]int) // status that the client got, by request ID
	book := func(path, id string) {
		got := send(lobby.front(), call{method: "POST", path: path, id: id, key: "key1", body: "seat", deadline: bookingTimeout})
		told[id] = got.status
		r.printf("client of %s gets status %d, error %v", id, got.status, got.err)
	}
	for round := range refusals {
		path := "/book/seat" // may be sent to two workers
		if round%2 == 1 {
			path = "/hold/seat" // to three
		}
		for n := range ordinaryCalls {
			book(path, fmt.Sprintf("ordinary-%d-%d", round, n))
			if n%4 == 0 {
				send(lobby.front(), call{method: "GET", path: "/stock/x", id: fmt.Sprintf("stock-%d-%d", round, n), key: "key1", deadline: bookingTimeout})
			}
		}
		id := fmt.Sprintf("refused-%d", round)
		b.mu.Lock()
		b.refuse[id] = true
		b.mu.Unlock()
		book(path, id)
		time.Sleep(time.Second) // for runs that come later
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	twice, refused, served := 0, 0, 0
	for id, status := range told {
		switch {
		case status == http.StatusOK:
			served++
		case (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && b.runs[id] > 0:
			refused++
			r.printf("%s was answered %d, and ran", id, status)
		}
		if b.runs[id] > 1 {
			twice++
			r.printf("%s ran %d times", id, b.runs[id])
		}
	}
	if served < refusals*ordinaryCalls/2 {
		return r.notRun(fmt.Errorf("only %d of %d bookings were served", served, len(told)))
	}
	return r.verdict(refused+twice > 0, "of %d bookings %d were served; %d were answered as not run and ran; %d ran twice", len(told), served, refused, twice)
}

// deskConfiguration returns the operator's configuration with two routes to a booking service,
// whose requests may run once, and one to a service for look-ups.
func deskConfiguration() map[string]any {
	route := func(name, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "route_kind": kind, "timeout_ms": bookingTimeout.Milliseconds(),
			"target_latency_ms": 300, "priority": 2, "service": service, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}
	}
	return map[string]any{
		"version":  1,
		"routes":   []any{route("book", "unsafe", "desk", 2), route("hold", "unsafe", "desk", 3), route("stock", "safe", "stock", 2)},
		"services": []any{service("desk"), service("stock")},
		"limits":   limitsOfClients(),
		"tenants":  []any{map[string]any{"name": "tenant1", "api_keys": []string{"key1"}, "priority": 1}},
	}
}

// limitsOfClients returns the limits of the operator's configuration.
func limitsOfClients() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}
