package rehearsal

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesamewell.example/entry/router"
)

// faults are the chances, in per cent, of what the network does to a message.
type faults struct {
	lost    int
	doubled int
	slow    int           // delayed by up to two seconds, so that it comes after later ones
	silent  time.Duration // for so long, once for each pair, nothing arrives
}

func (f faults) travel(w *world) func(from, to string) []time.Duration {
	silentAt := make(map[string]time.Time)
	return func(from, to string) []time.Duration {
		pair := min(from, to) + max(from, to)
		if _, ok := silentAt[pair]; !ok {
			silentAt[pair] = w.now.Add(time.Duration(w.random.IntN(8000)) * time.Millisecond)
		}
		if since := w.now.Sub(silentAt[pair]); since > 0 && since < f.silent {
			return nil
		}
		if w.random.IntN(100) < f.lost {
			return nil
		}
		copies := 1
		if w.random.IntN(100) < f.doubled {
			copies = 2
		}
		delays := make([]time.Duration, copies)
		for i := range delays {
			delays[i] = time.Duration(1+w.random.IntN(5)) * time.Millisecond
			if w.random.IntN(100) < f.slow {
				delays[i] = time.Duration(w.random.IntN(2000)) * time.Millisecond
			}
		}
		return delays
	}
}

// TestAnswersAndRefusalsAreTrue drives entries and sides through a network that
// loses, delays, doubles and reorders calls, while sides restart, callers leave
// and queues are full.
func TestAnswersAndRefusalsAreTrue(t *testing.T) {
	cases := map[string]struct {
		faults   faults
		restarts bool
		leaves   bool
		slots    int
		queue    int
		whole    bool // every request must get its whole answer
	}{
		"calm network":       {slots: 4, queue: sideQueue, whole: true},
		"silent connections": {faults: faults{silent: time.Second}, slots: 4, queue: sideQueue, whole: true},
		"lost":               {faults: faults{lost: 5}, slots: 4, queue: sideQueue},
		"doubled":            {faults: faults{doubled: 20}, slots: 4, queue: sideQueue, whole: true},
		"late and crossed":   {faults: faults{slow: 10}, slots: 4, queue: sideQueue},
		"full queues":        {restarts: true, slots: 1, queue: 1},
		"sides restart":      {restarts: true, slots: 4, queue: sideQueue},
		"callers leave":      {leaves: true, slots: 4, queue: sideQueue},
		"everything at once": {faults: faults{lost: 3, doubled: 10, slow: 5}, restarts: true, leaves: true, slots: 2, queue: 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config := fleetConfig{domains: []string{"a", "b"}, sides: 3, slots: tc.slots, queue: tc.queue, entries: 2}
			config.inventory = describe(t, config)
			rapid.Check(t, func(rt *rapid.T) {
				w := newWorld(rapid.Uint64().Draw(rt, "seed"))
				w.travel = tc.faults.travel(w)
				f := newFleet(w, config)
				f.sendRandom(60)
				if tc.restarts {
					for range 2 {
						s := f.sides[f.names[w.random.IntN(len(f.names))]]
						w.after(time.Duration(w.random.IntN(8000))*time.Millisecond, s.start)
					}
				}
				if tc.leaves {
					f.leaveRandomly()
				}
				w.runUntil(w.now.Add(75 * time.Second))
				for id, r := range f.records {
					if fault := f.check(r); fault != "" {
						rt.Fatalf("request %s %s", id, fault)
					}
					if tc.whole && !r.whole {
						rt.Fatalf("request %s was refused: %s, %s", id, r.code, r.outcome)
					}
				}
			})
		})
	}
}

// sendRandom spreads requests over ten seconds.
func (f *fleet) sendRandom(requests int) {
	for i := range requests {
		r := &record{prompt: prompt{tokens: 100}, want: 1 + f.world.random.IntN(60), config: router.RequestConfig{
			ID: fmt.Sprint("r", i), Tenant: fmt.Sprint("t", i%3), Model: "m", Stream: true,
			Idempotent: i%3 != 0, Urgent: i%4 == 0, Tokens: 100,
		}}
		e := f.entries[f.world.random.IntN(len(f.entries))]
		f.world.after(time.Duration(f.world.random.IntN(10000))*time.Millisecond, func() { f.ask(e, r) })
	}
}

func (f *fleet) leaveRandomly() {
	f.world.after(5*time.Second, func() {
		for i := range 60 {
			r, ok := f.records[fmt.Sprint("r", i)]
			if !ok || i%5 != 0 || r.whole || r.refused {
				continue
			}
			r.left = true
			r.entry.handle(router.NewAbandoned(r.config.ID))
		}
	})
}
