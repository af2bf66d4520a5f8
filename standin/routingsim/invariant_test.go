package routingsim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesamewell.example/entry/router"
)

// networkFaults are the faults of the fake network. lost, duplicated and delayed
// are probabilities for each message, in percent.
type networkFaults struct {
	lost       int           // message does not arrive
	duplicated int           // message arrives twice
	delayed    int           // message is delayed by up to two seconds, so that later ones overtake it
	silence    time.Duration // duration of one outage for each pair of processes; within it nothing arrives
}

// deliveryDelays returns a network with the faults, for simulation.deliveryDelays.
func (f networkFaults) deliveryDelays(sim *simulation) func(from, to string) []time.Duration {
	silenceStart := make(map[string]time.Time)
	return func(from, to string) []time.Duration {
		pair := min(from, to) + max(from, to)
		if _, ok := silenceStart[pair]; !ok {
			silenceStart[pair] = sim.now.Add(time.Duration(sim.random.IntN(8000)) * time.Millisecond)
		}
		if since := sim.now.Sub(silenceStart[pair]); since > 0 && since < f.silence {
			return nil
		}
		if sim.random.IntN(100) < f.lost {
			return nil
		}
		copies := 1
		if sim.random.IntN(100) < f.duplicated {
			copies = 2
		}
		delays := make([]time.Duration, copies)
		for i := range delays {
			delays[i] = time.Duration(1+sim.random.IntN(5)) * time.Millisecond
			if sim.random.IntN(100) < f.delayed {
				delays[i] = time.Duration(sim.random.IntN(2000)) * time.Millisecond
			}
		}
		return delays
	}
}

// TestAnswersAndRefusalsAreCorrect runs entries and sides over a network that
// loses, delays, duplicates and reorders calls, while sides restart, callers abandon
// requests and queues are full. Every request must get its own answer or a refusal
// whose outcome is true, and only requests that are idempotent may run twice.
func TestAnswersAndRefusalsAreCorrect(t *testing.T) {
	cases := map[string]struct {
		faults   networkFaults
		restarts bool // sides restart
		abandons bool // some callers abandon their requests
		slots    int
		queue    int
		complete bool // every request must get its complete answer
	}{
		"calm network":                   {slots: 4, queue: queueLimit, complete: true},
		"silent connections":             {faults: networkFaults{silence: time.Second}, slots: 4, queue: queueLimit, complete: true},
		"lost messages":                  {faults: networkFaults{lost: 5}, slots: 4, queue: queueLimit},
		"duplicated messages":            {faults: networkFaults{duplicated: 20}, slots: 4, queue: queueLimit, complete: true},
		"delayed and reordered messages": {faults: networkFaults{delayed: 10}, slots: 4, queue: queueLimit},
		"full queues":                    {restarts: true, slots: 1, queue: 1},
		"sides restart":                  {restarts: true, slots: 4, queue: queueLimit},
		"callers abandon requests":       {abandons: true, slots: 4, queue: queueLimit},
		"everything at once":             {faults: networkFaults{lost: 3, duplicated: 10, delayed: 5}, restarts: true, abandons: true, slots: 2, queue: 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config := fleetConfig{domains: []string{"a", "b"}, sides: 3, slots: tc.slots, queue: tc.queue, entries: 2}
			config.inventory = buildInventory(t, config)
			rapid.Check(t, func(rt *rapid.T) {
				sim := newSimulation(rapid.Uint64().Draw(rt, "seed"))
				sim.deliveryDelays = tc.faults.deliveryDelays(sim)
				f := newFleet(sim, config)
				f.sendRandomRequests(60)
				if tc.restarts {
					for range 2 {
						s := f.sides[f.sideNames[sim.random.IntN(len(f.sideNames))]]
						sim.after(time.Duration(sim.random.IntN(8000))*time.Millisecond, s.start)
					}
				}
				if tc.abandons {
					f.abandonSome()
				}
				sim.runUntil(sim.now.Add(75 * time.Second))
				for id, r := range f.requests {
					if fault := f.check(r); fault != "" {
						rt.Fatalf("request %s %s", id, fault)
					}
					if tc.complete && !r.complete {
						rt.Fatalf("request %s was refused: %s, %s", id, r.code, r.outcome)
					}
				}
			})
		})
	}
}

// sendRandomRequests sends requests at random times within ten seconds.
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

// abandonSome abandons every fifth request that is unfinished after five seconds.
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
