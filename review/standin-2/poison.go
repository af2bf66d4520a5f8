package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["query"] = queryCase
	cases["restart"] = restartCase
}

// contact is the time for which a machine must have been calm to be in touch.
const contact = 3 * time.Second

// poisonFleet is a deployment whose workers crash when they begin to run one request, which
// its clients send again and again.
type poisonFleet struct {
	*fleet

	lobbies []*proc
	stop    chan struct{}
	clients sync.WaitGroup

	mu       sync.Mutex
	crashes  []time.Time
	lost     int // sound requests that were accepted and ended with a worker
	restarts []time.Time
}

// newPoisonFleet starts the deployment and clients of sound requests.
func newPoisonFleet(f *fleet, workers, lobbies int) (*poisonFleet, error) {
	p := &poisonFleet{fleet: f, stop: make(chan struct{})}
	f.configure(configuration(
		[]any{route("book", "/book/", "unsafe", "pitch-desk", 1500, 300, 1)}, []any{plainService("pitch-desk")}))
	for range workers {
		if err := p.startWorker(""); err != nil {
			return nil, err
		}
	}
	var err error
	if p.lobbies, err = startLobbies(f, lobbies); err != nil {
		return nil, err
	}
	time.Sleep(contact + time.Second)
	for i := range 16 {
		p.clients.Go(func() { p.sendSound(i) })
	}
	return p, nil
}

func (p *poisonFleet) startWorker(ip string) error {
	_, err := p.newWorker(&worker{service: "pitch-desk", zone: "z1", ip: ip, slots: 6, handle: p.handle})
	return err
}

// handle runs a request at a worker.
func (p *poisonFleet) handle(w *worker, c *workerConn, r *http.Request, body []byte) {
	if string(body) != "poison" {
		time.Sleep(60 * time.Millisecond)
		w.answerBody(c, r, 200, []byte("booked"), w.stamp())
		return
	}
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	n := len(p.crashes)
	p.mu.Unlock()
	p.note("worker %s begins request %s %s, which crashes it: crash %d", w.id, r.Header.Get("Request-Id"), r.RequestURI, n)
	w.crash()
	time.AfterFunc(2*time.Second, func() { _ = p.startWorker(w.ip) })
}

// post sends a request to the lobby with a number.
func (p *poisonFleet) post(i int, path, body string) incoming {
	id, lobby := newID(), p.lobbies[i%len(p.lobbies)]
	answer := send(outgoing{address: lobby.front(), method: "POST", path: path, body: body, timeout: 2 * time.Second,
		header: []string{"Request-Id: " + id, "Deadline-Ms: 1500", "Authorization: Bearer key-sellers"}})
	if body == "poison" || answer.status != 200 {
		p.note("client: %s %s, request %s at %s -> %d, Retry-After %q, error %v", body, path, id, lobby.name, answer.status, answer.header.Get("Retry-After"), answer.err)
	}
	return answer
}

// sendSound sends sound requests until the case ends.
func (p *poisonFleet) sendSound(i int) {
	for n := i; ; n++ {
		select {
		case <-p.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if answer := p.post(n, "/book/seat", fmt.Sprintf("seat %d", n)); answer.status == 502 {
			p.mu.Lock()
			p.lost++
			p.mu.Unlock()
		}
	}
}

func (p *poisonFleet) crashCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.crashes)
}

// crashThree sends the request until it has crashed three workers.
func (p *poisonFleet) crashThree() error {
	for i := 0; i < 12 && p.crashCount() < 3; i++ {
		p.post(i, "/book/seat", "poison")
		time.Sleep(700 * time.Millisecond)
	}
	if n := p.crashCount(); n != 3 {
		return fmt.Errorf("%d crashes instead of 3", n)
	}
	return nil
}

// sendAgain sends the request at one lobby after the other, until it has crashed four more
// workers or the time is over.
func (p *poisonFleet) sendAgain(body string, limit time.Duration) {
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end) && p.crashCount() < 7; i++ {
		p.post(i, "/book/seat", body)
		time.Sleep(450 * time.Millisecond)
	}
}

// end ends the clients and returns the verdict: retries that lobbies in touch sent later than
// contact after the third crash.
func (p *poisonFleet) end() verdict {
	close(p.stop)
	p.clients.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for _, at := range p.crashes {
		if len(p.crashes) >= 3 && at.Sub(p.crashes[2]) > contact && p.inTouch(at) {
			late++
		}
	}
	return verdict{broken: late > 3, what: fmt.Sprintf(
		"%d crashes; %d retries reached workers from machines in touch later than %v after the third (3 allowed); %d accepted sound requests were lost with workers",
		len(p.crashes), late, contact, p.lost)}
}

// inTouch reports whether no lobby was killed or started within contact before a time.
func (p *poisonFleet) inTouch(at time.Time) bool {
	for _, restart := range p.restarts {
		if since := at.Sub(restart); since >= 0 && since < contact {
			return false
		}
	}
	return true
}

// queryCase sends the request with the same path, caller and body, and with another query
// each time. With QUERY=same the query stays the same, too.
func queryCase(f *fleet, trouble bool) (verdict, error) {
	p, err := newPoisonFleet(f, 4, 2)
	if err != nil {
		return verdict{}, err
	}
	body := map[bool]string{true: "poison", false: "harmless"}[trouble]
	for i := range 14 {
		path := fmt.Sprintf("/book/seat?attempt=%d", i+1)
		if os.Getenv("QUERY") == "same" {
			path = "/book/seat?attempt=1"
		}
		p.post(i, path, body)
		time.Sleep(1200 * time.Millisecond)
	}
	return p.end(), nil
}

// restartCase kills all lobbies at the same moment after the request has crashed three
// workers. Without the disruption they go on.
func restartCase(f *fleet, trouble bool) (verdict, error) {
	p, err := newPoisonFleet(f, 4, 2)
	if err != nil {
		return verdict{}, err
	}
	if err := p.crashThree(); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, lobby := range p.lobbies {
			lobby.signal(syscall.SIGKILL)
		}
		time.Sleep(500 * time.Millisecond)
		for _, lobby := range p.lobbies {
			if err := lobby.awaitReady(10 * time.Second); err != nil {
				return verdict{}, err
			}
		}
		p.mu.Lock()
		p.restarts = append(p.restarts, time.Now())
		p.mu.Unlock()
	}
	time.Sleep(contact + time.Second)
	p.note("it comes again")
	p.sendAgain("poison", 36*time.Second)
	return p.end(), nil
}
