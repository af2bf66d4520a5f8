package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Parameters of the request that crashes workers.
const (
	poisonPeriod  = 6 * time.Second // between two such requests
	poisonOutage  = 2 * time.Second // of a crashed worker
	poisonRounds  = 12
	contactTime   = 3 * time.Second // contact_ms
	allowedCopies = 3
	herdPause     = 300 * time.Millisecond // from such a request to the kill
	herdDown      = time.Second            // from the kill of all lobbies to their start
	deskWorkers   = 3
	poisonPath    = "/book/poison"
	poisonTimeout = bookingTimeout
)

// killAfter are the rounds after which all lobbies are killed.
var killAfter = map[int]bool{3: true, 7: true}

func init() { cases["poison"] = poison }

// reach is a request that crashes workers and has reached one.
type reach struct {
	id string
	at time.Time
}

// desks are the workers of a service, each of which ends when it begins to run the request.
type desks struct {
	*rig
	mu      sync.Mutex
	reached []reach
}

func (d *desks) handler(w *worker) handler {
	return func(conn net.Conn, _ *connState, request *http.Request, _ []byte) bool {
		id := request.Header.Get("Request-Id")
		if request.URL.Path == poisonPath {
			d.mu.Lock()
			d.reached = append(d.reached, reach{id: id, at: time.Now()})
			d.mu.Unlock()
			d.printf("%s reaches worker %s", id, w.id)
			w.crash()
			time.AfterFunc(poisonOutage, func() { _ = w.start() })
			return false
		}
		time.Sleep(20 * time.Millisecond)
		_, err := conn.Write(answer(id, "booked"))
		return err == nil
	}
}

// poison checks how often a request that crashes the workers which run it still reaches
// workers after it has crashed the third. All lobbies are killed at once meanwhile, twice.
func poison(r *rig) int {
	d := &desks{rig: r}
	for n := range deskWorkers {
		w := &worker{id: fmt.Sprintf("i-desk%d", n+1), address: fmt.Sprintf("%s%d:8080", r.prefix, 11+n), service: "desk", zone: "zone-a", slots: 6, store: r.store, record: r.record}
		w.handle = d.handler(w)
		if err := w.start(); err != nil {
			return r.notRun(err)
		}
	}
	if err := r.store.putJSON(operatorTopic, "config", deskConfiguration()); err != nil {
		return r.notRun(err)
	}
	var lobbies []*process
	started := make(map[*process]time.Time)
	for n := range 2 {
		lobby, err := r.fleet.start(machine{name: fmt.Sprintf("front-%d", n+1), ip: fmt.Sprintf("%s%d", r.prefix, 21+n), zone: "zone-a", role: "lobby"})
		if err != nil {
			return r.notRun(err)
		}
		if err := lobby.awaitReady(); err != nil {
			return r.notRun(err)
		}
		lobbies = append(lobbies, lobby)
	}
	time.Sleep(contactTime + time.Second)
	inTouch := make(map[string]bool) // by request ID, whether the lobby that got it was in touch
	served := 0
	for round := range poisonRounds {
		began := time.Now()
		lobby := lobbies[round%len(lobbies)]
		id := fmt.Sprintf("poison-%d", round)
		inTouch[id] = time.Since(started[lobby]) > contactTime
		got := send(lobby.front(), call{method: "POST", path: poisonPath, id: id, key: "key1", body: "p", deadline: poisonTimeout})
		r.printf("client of %s at %s, in touch %v: status %d, error %v", id, lobby.machine.name, inTouch[id], got.status, got.err)
		if send(lobby.front(), call{method: "POST", path: "/book/seat", id: fmt.Sprintf("ordinary-%d", round), key: "key1", body: fmt.Sprint(round), deadline: poisonTimeout}).status == http.StatusOK {
			served++
		}
		if r.trouble && killAfter[round] {
			time.Sleep(herdPause)
			for _, l := range lobbies {
				l.kill()
			}
			time.Sleep(herdDown)
			for _, l := range lobbies {
				if err := l.launch(); err != nil {
					return r.notRun(err)
				}
				started[l] = time.Now()
			}
			for _, l := range lobbies {
				if err := l.awaitReady(); err != nil {
					return r.notRun(err)
				}
			}
		}
		time.Sleep(time.Until(began.Add(poisonPeriod)))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if served < poisonRounds/2 || len(d.reached) < allowedCopies {
		return r.notRun(fmt.Errorf("%d ordinary requests served, %d crashes", served, len(d.reached)))
	}
	late := 0
	third := d.reached[allowedCopies-1].at
	for _, a := range d.reached {
		if inTouch[a.id] && a.at.Sub(third) > contactTime {
			late++
			r.printf("%s counts: %.1f s after the third crash", a.id, a.at.Sub(third).Seconds())
		}
	}
	return r.verdict(late > allowedCopies, "of %d requests that reached workers and crashed them, %d did so later than %v after the third crash, sent by lobbies in touch; %d are allowed", len(d.reached), late, contactTime, allowedCopies)
}
