package routingsim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesamewell.example/entry/router"
)

// faults are the chances, in per cent, of what the network does to a message.
type networkFaults struct {
	lost       int
	duplicated int
	delayed    int           // delayed by up to two seconds, so that it comes after later ones
	silence    time.Duration // for so long, once for each pair, nothing arrives
}

func (f networkFaults) deliveryDelays(w *simulation) func(from, to string) []time.Duration {
	silentAt := make(map[string]time.Time)
	return func(from, to string) []time.Duration {
		pair := min(from, to) + max(from, to)
		if _, ok := silentAt[pair]; !ok {
			silentAt[pair] = w.now.Add(time.Duration(w.random.IntN(8000)) * time.Millisecond)
		}
		if since := w.now.Sub(silentAt[pair]); since > 0 && since < f.silence {
			return nil
		}
		if w.random.IntN(100) < f.lost {
			return nil
		}
		copies := 1
		if w.random.IntN(100) < f.duplicated {
			copies = 2
		}
		delays := make([]time.Duration, copies)
		for i := range delays {
			delays[i] = time.Duration(1+w.random.IntN(5)) * time.Millisecond
			if w.random.IntN(100) < f.delayed {
				delays[i] = time.Duration(w.random.IntN(2000)) * time.Millisecond
			}
		}
		return delays
	}
}

// TestAnswersAndRefusalsAreTrue drives entries and sides through a network that
// loses, delays, doubles and reorders calls, while sides restart, callers leave
// and queues are full.
func TestAnswersAndRefusalsAreCorrect(t *testing.T) {
	cases := map[string]struct {
		faults   networkFaults
		restarts bool
		leaves   bool
		slots    int
		queue    int
		whole    bool // every request must get its whole answer
	}{
		"calm network":       {slots: 4, queue: queueLimit, whole: true},
		"silent connections": {faults: networkFaults{silence: time.Second}, slots: 4, queue: queueLimit, whole: true},
		"lost":               {faults: networkFaults{lost: 5}, slots: 4, queue: queueLimit},
		"doubled":            {faults: networkFaults{duplicated: 20}, slots: 4, queue: queueLimit, whole: true},
		"late and crossed":   {faults: networkFaults{delayed: 10}, slots: 4, queue: queueLimit},
		"full queues":        {restarts: true, slots: 1, queue: 1},
		"sides restart":      {restarts: true, slots: 4, queue: queueLimit},
		"callers leave":      {leaves: true, slots: 4, queue: queueLimit},
		"everything at once": {faults: networkFaults{lost: 3, duplicated: 10, delayed: 5}, restarts: true, leaves: true, slots: 2, queue: 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config := fleetConfig{domains: []string{"a", "b"}, sides: 3, slots: tc.slots, queue: tc.queue, entries: 2}
			config.inventory = buildInventory(t, config)
			rapid.Check(t, func(rt *rapid.T) {
				w := newSimulation(rapid.Uint64().Draw(rt, "seed"))
				w.deliveryDelays = tc.faults.deliveryDelays(w)
				f := newFleet(w, config)
				f.sendRandomRequests(60)
				if tc.restarts {
					for range 2 {
						s := f.sides[f.sideNames[w.random.IntN(len(f.sideNames))]]
						w.after(time.Duration(w.random.IntN(8000))*time.Millisecond, s.start)
					}
				}
				if tc.leaves {
					f.abandonSome()
				}
				w.runUntil(w.now.Add(75 * time.Second))
				for id, r := range f.requests {
					if fault := f.check(r); fault != "" {
						rt.Fatalf("request %s %s", id, fault)
					}
					if tc.whole && !r.complete {
						rt.Fatalf("request %s was refused: %s, %s", id, r.code, r.outcome)
					}
				}
			})
		})
	}
}

// sendRandom spreads requests over ten seconds.
func (f *fleet) sendRandomRequests(requests int) {
	for i := range requests {
		r := &request{prompt: prompt{tokens: 100}, outputTokens: 1 + f.sim.random.IntN(60), config: router.RequestConfig{
			ID: fmt.Sprint("r", i), Tenant: fmt.Sprint("t", i%3), Model: "m", Stream: true,
			Idempotent: i%3 != 0, Urgent: i%4 == 0, Tokens: 100,
		}}
		e := f.entries[f.sim.random.IntN(len(f.entries))]
		f.sim.after(time.Duration(f.sim.random.IntN(10000))*time.Millisecond, func() { f.send(e, r) })
	}
}

func (f *fleet) abandonSome() {
	f.sim.after(5*time.Second, func() {
		for i := range 60 {
			r, ok := f.requests[fmt.Sprint("r", i)]
			if !ok || i%5 != 0 || r.complete || r.refused {
				continue
			}
			r.abandoned = true
			r.entry.handle(router.NewAbandoned(r.config.ID))
		}
	})
}
