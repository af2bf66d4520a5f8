package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/testkit"
)

const (
	step           = 10 * time.Millisecond
	requestTimeout = 2 * time.Second // time after which a request to a hung side fails
	networkDelay   = step
	faultAt        = 10 * time.Second
	settleTime     = 3 * time.Second // time, beyond the list's lag, from which the invariant must hold
)

// TestMain fixes the seed and the number of checks of the property tests.
func TestMain(m *testing.M) { testkit.RunRapid(m, "1", map[string]string{"checks": "60"}) }

// simSide is the actual state of one simulated side.
type simSide struct {
	incarnation int
	up          bool
	hung        bool            // down without closing its connections
	leaving     bool            // announces its shutdown in its answers
	accepted    []time.Duration // times of the requests that it accepted
	sent        []time.Duration // times of the requests that were sent to it
}

// delayedMessage is a message that reaches the core at the time due.
type delayedMessage struct {
	due     time.Duration
	message Message
}

// simulation runs a Core in virtual time against sides that fail.
type simulation struct {
	core     *Core
	random   *rand.Rand
	sides    map[string]*simSide
	names    []string
	actual   map[string]State                   // current states of the instances
	history  map[time.Duration]map[string]State // states at each step, from which the lagging list is read
	lag      time.Duration                      // age of the list's contents
	closed   []string
	inFlight []delayedMessage
	faults   map[time.Duration]func(sim *simulation)
	now      time.Duration
}

func newSimulation(t testing.TB, seed uint64, lag time.Duration) *simulation {
	t.Helper()
	sim := &simulation{
		core: NewCore(), random: rand.New(rand.NewPCG(seed, 1)), sides: make(map[string]*simSide),
		actual: make(map[string]State), history: make(map[time.Duration]map[string]State),
		lag: lag, faults: make(map[time.Duration]func(sim *simulation)),
	}
	var text strings.Builder
	for i := range 3 {
		name := fmt.Sprintf("side-%d", i)
		fmt.Fprintf(&text, "[instance %s]\nrole = side\nlink = 127.0.0.1:%d\ndomain = a\nbackend = b%d\n[backend b%d]\nkind = engine\nmemory = 1GiB\nslots = 4\n", name, i+1, i, i)
		sim.names, sim.sides[name], sim.actual[name] = append(sim.names, name), &simSide{up: true}, Live
	}
	inventory, err := fleetstate.ParseInventory("inv.ini", []byte(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	sim.execute(sim.core.Handle(sim.clock(), NewInventoryChanged(inventory)))
	return sim
}

func (sim *simulation) clock() time.Time { return time.Unix(1_000_000, 0).Add(sim.now) }

// run advances virtual time up to until. The core gets the list every
// listPeriod, and at each step a random side that is not closed gets a request.
func (sim *simulation) run(until time.Duration) {
	for ; sim.now < until; sim.now += step {
		if fault, ok := sim.faults[sim.now]; ok {
			fault(sim)
		}
		sim.history[sim.now] = cloneStates(sim.actual)
		if shown, ok := sim.history[sim.now-sim.lag]; ok && sim.now%listPeriod == 0 {
			sim.execute(sim.core.Handle(sim.clock(), NewListUpdated(shown)))
		}
		sim.receive()
		sim.execute(sim.core.Tick(sim.clock()))
		if open := sim.open(); len(open) > 0 {
			sim.send(open[sim.random.IntN(len(open))])
		}
	}
}

func cloneStates(states map[string]State) map[string]State {
	clone := make(map[string]State, len(states))
	for name, state := range states {
		clone[name] = state
	}
	return clone
}

// receive passes the messages that are due to the core.
func (sim *simulation) receive() {
	messages := sim.inFlight
	sim.inFlight = nil
	for _, delayed := range messages {
		if delayed.due > sim.now {
			sim.inFlight = append(sim.inFlight, delayed)
			continue
		}
		sim.execute(sim.core.Handle(sim.clock(), delayed.message))
	}
}

// open returns the sides that are not closed.
func (sim *simulation) open() []string {
	return slices.DeleteFunc(slices.Clone(sim.names), func(name string) bool { return slices.Contains(sim.closed, name) })
}

func (sim *simulation) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case CloseSides:
			sim.closed = a.sides
		case Probe:
			sim.scheduleAnswer(a.side)
		}
	}
}

// send sends a side a request, which it accepts unless it is leaving or down.
func (sim *simulation) send(name string) {
	side := sim.sides[name]
	side.sent = append(side.sent, sim.now)
	if side.up && !side.leaving {
		side.accepted = append(side.accepted, sim.now)
	}
	sim.scheduleAnswer(name)
}

// scheduleAnswer schedules the result of a call to a side: its answer, or the
// failure of the call.
func (sim *simulation) scheduleAnswer(name string) {
	side := sim.sides[name]
	switch {
	case side.up:
		sim.inFlight = append(sim.inFlight, delayedMessage{sim.now + networkDelay, NewSideAnswered(name, fmt.Sprint(side.incarnation), side.leaving)})
	case side.hung:
		sim.inFlight = append(sim.inFlight, delayedMessage{sim.now + requestTimeout, NewSideUnreachable(name)})
	default:
		sim.inFlight = append(sim.inFlight, delayedMessage{sim.now + networkDelay, NewSideUnreachable(name)})
	}
}

func (side *simSide) restart() {
	*side = simSide{incarnation: side.incarnation + 1, up: true, accepted: side.accepted, sent: side.sent}
}

// countBetween returns the number of times in [from, to).
func countBetween(times []time.Duration, from, to time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// TestLeavingSideGetsNoNewWork guards against requests that are sent to a side that
// is leaving, has failed or was removed. They must end within settleTime, plus the
// lag of the list if only the list shows the change. Sides that did not fail must
// stay open.
func TestLeavingSideGetsNoNewWork(t *testing.T) {
	const failing, end = "side-1", 40 * time.Second
	cases := map[string]struct {
		faults map[time.Duration]func(sim *simulation, side *simSide)
		from   func(lag time.Duration) time.Duration // when the invariant begins to hold
		to     func(lag time.Duration) time.Duration // when it ceases to hold
		opens  bool                                  // whether the side gets requests again at the end
	}{
		"leaving in the lagging list": {
			faults: map[time.Duration]func(sim *simulation, side *simSide){
				faultAt: func(sim *simulation, _ *simSide) { sim.actual[failing] = Leaving },
			},
			from: func(lag time.Duration) time.Duration { return faultAt + lag + settleTime },
			to:   func(time.Duration) time.Duration { return end },
		},
		"shutdown announced, never in the list": {
			faults: map[time.Duration]func(sim *simulation, side *simSide){
				faultAt: func(_ *simulation, side *simSide) { side.leaving = true },
			},
			from: func(time.Duration) time.Duration { return faultAt + settleTime },
			to:   func(time.Duration) time.Duration { return end },
		},
		"crash": {
			faults: map[time.Duration]func(sim *simulation, side *simSide){
				faultAt: func(_ *simulation, side *simSide) { side.up = false },
			},
			from: func(time.Duration) time.Duration { return faultAt + settleTime },
			to:   func(time.Duration) time.Duration { return end },
		},
		"hang with open connections": {
			faults: map[time.Duration]func(sim *simulation, side *simSide){
				faultAt: func(_ *simulation, side *simSide) { side.up, side.hung = false, true },
			},
			from: func(time.Duration) time.Duration { return faultAt + settleTime },
			to:   func(time.Duration) time.Duration { return end },
		},
		"shutdown announced, then replaced at the same address": {
			faults: map[time.Duration]func(sim *simulation, side *simSide){
				faultAt:                 func(_ *simulation, side *simSide) { side.leaving = true },
				faultAt + 5*time.Second: func(sim *simulation, side *simSide) { side.up = false; sim.actual[failing] = Leaving },
				faultAt + 8*time.Second: func(sim *simulation, side *simSide) { side.restart(); sim.actual[failing] = Live },
			},
			from:  func(time.Duration) time.Duration { return faultAt + settleTime },
			to:    func(time.Duration) time.Duration { return faultAt + 8*time.Second },
			opens: true,
		},
		"crash and restart while leaving in the list": {
			faults: map[time.Duration]func(sim *simulation, side *simSide){
				faultAt:                 func(sim *simulation, side *simSide) { side.up = false; sim.actual[failing] = Leaving },
				faultAt + 3*time.Second: func(_ *simulation, side *simSide) { side.restart() },
			},
			from: func(lag time.Duration) time.Duration { return faultAt + lag + settleTime },
			to:   func(time.Duration) time.Duration { return end },
		},
		"removed from the list while still answering": {
			faults: map[time.Duration]func(sim *simulation, side *simSide){
				faultAt: func(sim *simulation, _ *simSide) { delete(sim.actual, failing) },
			},
			from: func(lag time.Duration) time.Duration { return faultAt + lag + settleTime },
			to:   func(time.Duration) time.Duration { return end },
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				lag := time.Duration(rapid.IntRange(0, 10).Draw(rt, "lag")) * time.Second
				sim := newSimulation(t, rapid.Uint64().Draw(rt, "seed"), lag)
				side := sim.sides[failing]
				for at, fault := range tc.faults {
					sim.faults[at] = func(sim *simulation) { fault(sim, side) }
				}
				sim.run(end)
				if got := countBetween(side.sent, tc.from(lag), tc.to(lag)); got != 0 {
					rt.Errorf("%d requests were sent to the side while it must get none", got)
				}
				if diff := cmp.Diff(tc.opens, !slices.Contains(sim.closed, failing)); diff != "" {
					rt.Errorf("side open at the end (-want +got):\n%s", diff)
				}
				if others := sim.open(); !slices.Contains(others, "side-0") || !slices.Contains(others, "side-2") {
					rt.Errorf("a side that did not fail is closed; open sides: %v", others)
				}
			})
		})
	}
}

// TestInstancesThatWereListedAreBounded guards against memory that grows with each name that was
// ever on the platform's list, and against work for a side that has left it.
func TestInstancesThatWereListedAreBounded(t *testing.T) {
	inventory, err := fleetstate.ParseInventory("inv.ini", []byte("[instance side-0]\nrole = side\nlink = 127.0.0.1:1\ndomain = a\nbackend = desk-0\n[backend desk-0]\nkind = service\nservice = bookings\nslots = 4\n"))
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		lists, names int // number of lists, and of the other instances on each
		want         int // instances that are remembered
	}{
		"few":  {lists: 10, names: 10, want: 101},
		"many": {lists: 100, names: 1000, want: 15001},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			core, now := NewCore(), time.Unix(1_000_000, 0)
			core.Handle(now, NewInventoryChanged(inventory))
			core.Handle(now, NewListUpdated(map[string]State{"side-0": Live}))
			for list := range tc.lists {
				states := make(map[string]State)
				for n := range tc.names {
					states[fmt.Sprint("other-", list, "-", n)] = Live
				}
				now = now.Add(time.Second)
				core.Handle(now, NewListUpdated(states))
			}
			if diff := cmp.Diff(tc.want, len(core.everListed)); diff != "" {
				t.Errorf("instances that are remembered (-want +got):\n%s", diff)
			}
			if !slices.Contains(core.Removed(now), "side-0") {
				t.Error("a side that has left the list is taken for live")
			}
		})
	}
}
