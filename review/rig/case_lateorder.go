package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Parameters of the late order.
const (
	leaseTime      = 3 * time.Second  // for which the keeper keeps an adapter that was asked for, by its default settings
	orderDelay     = 11 * time.Second // the pages allow 2 to 12 s
	outage         = 2 * time.Second  // from the crash of the engine to its next start
	generationTime = 8 * time.Second  // deadline of a generation
	chatEngines    = 4                // of which one crashes
	chatModel      = "m1"             // of the first engine, to which the requests of the cases go
)

func init() { cases["late-order"] = lateOrder }

// lateOrder checks that no order makes an engine load more adapters than it has places for.
// An order for an adapter gets no answer and is carried out late; the engine crashes and
// starts again under its ID meanwhile.
func lateOrder(r *rig) int {
	e, lobby, err := r.startChat(chatEngines, nil)
	if err != nil {
		return r.notRun(err)
	}
	clients := &generators{rig: r, address: lobby.front()}
	adapters := make([]string, adapterSlots)
	for i := range adapters {
		adapters[i] = fmt.Sprintf("a%d", i+1)
	}
	if !clients.untilServed(adapters...) {
		return r.notRun(fmt.Errorf("the adapters are not served at the start"))
	}
	// a1 is not asked for any more, so that it makes way for a9.
	for end := time.Now().Add(leaseTime + time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		clients.ask(adapters[1:]...)
	}
	armed := make(chan time.Time, 1)
	if r.trouble {
		e.late = func(o order) time.Duration {
			if o.Operation != "load" || o.Adapter != "a9" || len(armed) > 0 {
				return 0
			}
			armed <- time.Now()
			return orderDelay
		}
	}
	clients.ask("a9")
	sentAt := time.Now()
	if r.trouble {
		select {
		case sentAt = <-armed:
			armed <- sentAt
		case <-time.After(3 * time.Second):
			return r.notRun(fmt.Errorf("no order for a9"))
		}
		time.Sleep(500 * time.Millisecond)
		e.worker.crash()
		time.Sleep(outage)
		if err := e.restart(); err != nil {
			return r.notRun(err)
		}
	}
	served := false
	for time.Since(sentAt) < orderDelay+time.Second && e.worker.runs() {
		served = clients.ask(adapters...) == len(adapters) || served
		time.Sleep(500 * time.Millisecond)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !served {
		return r.notRun(fmt.Errorf("the adapters are not served at the end"))
	}
	return r.verdict(len(e.overload) > 0, "orders to load more than there is room for: %d %v", len(e.overload), e.overload)
}

// generators are clients that ask for generations.
type generators struct {
	*rig
	address string
	sent    int
}

// ask asks for one generation of each adapter at once. It returns how many were served.
func (g *generators) ask(adapters ...string) int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for _, adapter := range adapters {
		g.sent++
		id := fmt.Sprintf("gen-%d", g.sent)
		wait.Add(1)
		go func() {
			defer wait.Done()
			got := send(g.address, call{
				method: "POST", path: "/chat/x", id: id, key: "key1", body: "prompt", deadline: generationTime,
				headers: fmt.Sprintf("Model: %s/%s\r\nToken-Counts: 60,9\r\nPrompt-Prefix: aa:20,%x:40\r\n", chatModel, adapter, id),
			})
			g.printf("client of %s, %s: status %d, error %v", id, adapter, got.status, got.err)
			mu.Lock()
			defer mu.Unlock()
			if got.status == http.StatusOK {
				served++
			}
		}()
	}
	wait.Wait()
	return served
}

// untilServed asks until each adapter has been served.
func (g *generators) untilServed(adapters ...string) bool {
	for range 20 {
		if g.ask(adapters...) == len(adapters) {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}
