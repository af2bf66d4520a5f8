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

	"sesamewell.example/commons/backstage"
	"sesamewell.example/commons/register"
)

const (
	step           = 10 * time.Millisecond
	requestTimeout = 2 * time.Second // until a request to a side that is silent fails
	linkDelay      = step
	faultAt        = 10 * time.Second
	settleTime     = 3 * time.Second // beyond the list's lag, after which the invariant must hold
)

// TestMain fixes what rapid draws.
func TestMain(m *testing.M) { backstage.Run(m, "1", map[string]string{"checks": "60"}) }

// process is one side as it is.
type simSide struct {
	incarnation int
	up          bool
	hung        bool // down without closing its connections
	leaving     bool // announced by the process
	accepted    []time.Duration
	sent        []time.Duration
}

// delayed is a message on its way to the core.
type delayedMessage struct {
	due     time.Duration
	message Message
}

// fleet drives a core against sides that fail, in virtual time.
type simulation struct {
	core     *Core
	random   *rand.Rand
	sides    map[string]*simSide
	names    []string
	actual   map[string]State // of the platform, now
	history  map[time.Duration]map[string]State
	lag      time.Duration
	closed   []string
	inFlight []delayedMessage
	faults   map[time.Duration]func(f *simulation)
	now      time.Duration
}

func newSimulation(t testing.TB, seed uint64, lag time.Duration) *simulation {
	t.Helper()
	f := &simulation{
		core: NewCore(), random: rand.New(rand.NewPCG(seed, 1)), sides: make(map[string]*simSide),
		actual: make(map[string]State), history: make(map[time.Duration]map[string]State),
		lag: lag, faults: make(map[time.Duration]func(f *simulation)),
	}
	var text strings.Builder
	for i := range 3 {
		name := fmt.Sprintf("side-%d", i)
		fmt.Fprintf(&text, "[instance %s]\nrole = side\nlink = 127.0.0.1:%d\ndomain = a\nbackend = b%d\n[backend b%d]\nkind = engine\nmemory = 1GiB\nslots = 4\n", name, i+1, i, i)
		f.names, f.sides[name], f.actual[name] = append(f.names, name), &simSide{up: true}, Live
	}
	inventory, err := register.Parse("inv.ini", []byte(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	f.execute(f.core.Handle(f.clock(), NewInventoryChanged(inventory)))
	return f
}

func (f *simulation) clock() time.Time { return time.Unix(1_000_000, 0).Add(f.now) }

// run lets virtual time pass: the list is read each second and a request is
// sent to a random side that is not closed at every step.
func (f *simulation) run(until time.Duration) {
	for ; f.now < until; f.now += step {
		if fault, ok := f.faults[f.now]; ok {
			fault(f)
		}
		f.history[f.now] = cloneStates(f.actual)
		if shown, ok := f.history[f.now-f.lag]; ok && f.now%listPeriod == 0 {
			f.execute(f.core.Handle(f.clock(), NewListUpdated(shown)))
		}
		f.receive()
		f.execute(f.core.Tick(f.clock()))
		if open := f.open(); len(open) > 0 {
			f.send(open[f.random.IntN(len(open))])
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

func (f *simulation) receive() {
	transit := f.inFlight
	f.inFlight = nil
	for _, d := range transit {
		if d.due > f.now {
			f.inFlight = append(f.inFlight, d)
			continue
		}
		f.execute(f.core.Handle(f.clock(), d.message))
	}
}

func (f *simulation) open() []string {
	return slices.DeleteFunc(slices.Clone(f.names), func(name string) bool { return slices.Contains(f.closed, name) })
}

func (f *simulation) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case CloseSides:
			f.closed = a.sides
		case Probe:
			f.scheduleAnswer(a.side)
		}
	}
}

// send gives a side a request, which it takes unless it is leaving or down.
func (f *simulation) send(name string) {
	p := f.sides[name]
	p.sent = append(p.sent, f.now)
	if p.up && !p.leaving {
		p.accepted = append(p.accepted, f.now)
	}
	f.scheduleAnswer(name)
}

// ask sends a side anything; its answer, or the lack of one, comes later.
func (f *simulation) scheduleAnswer(name string) {
	p := f.sides[name]
	switch {
	case p.up:
		f.inFlight = append(f.inFlight, delayedMessage{f.now + linkDelay, NewSideAnswered(name, fmt.Sprint(p.incarnation), p.leaving)})
	case p.hung:
		f.inFlight = append(f.inFlight, delayedMessage{f.now + requestTimeout, NewSideUnreachable(name)})
	default:
		f.inFlight = append(f.inFlight, delayedMessage{f.now + linkDelay, NewSideUnreachable(name)})
	}
}

func (p *simSide) restart() {
	*p = simSide{incarnation: p.incarnation + 1, up: true, accepted: p.accepted, sent: p.sent}
}

// within counts the times from one time to another.
func countBetween(times []time.Duration, from, to time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

func TestLeavingSideGetsNoNewWork(t *testing.T) {
	const victim, end = "side-1", 40 * time.Second
	cases := map[string]struct {
		faults map[time.Duration]func(f *simulation, p *simSide)
		from   func(lag time.Duration) time.Duration // when the invariant begins to hold
		to     func(lag time.Duration) time.Duration
		opens  bool // the side gets work again in the end
	}{
		"the list shows it as leaving, late": {
			faults: map[time.Duration]func(f *simulation, p *simSide){
				faultAt: func(f *simulation, _ *simSide) { f.actual[victim] = Leaving },
			},
			from: func(lag time.Duration) time.Duration { return faultAt + lag + settleTime },
			to:   func(time.Duration) time.Duration { return end },
		},
		"the process says so, the list never does": {
			faults: map[time.Duration]func(f *simulation, p *simSide){
				faultAt: func(_ *simulation, p *simSide) { p.leaving = true },
			},
			from: func(time.Duration) time.Duration { return faultAt + settleTime },
			to:   func(time.Duration) time.Duration { return end },
		},
		"it dies without a word": {
			faults: map[time.Duration]func(f *simulation, p *simSide){
				faultAt: func(_ *simulation, p *simSide) { p.up = false },
			},
			from: func(time.Duration) time.Duration { return faultAt + settleTime },
			to:   func(time.Duration) time.Duration { return end },
		},
		"it falls silent with its connections open": {
			faults: map[time.Duration]func(f *simulation, p *simSide){
				faultAt: func(_ *simulation, p *simSide) { p.up, p.hung = false, true },
			},
			from: func(time.Duration) time.Duration { return faultAt + settleTime },
			to:   func(time.Duration) time.Duration { return end },
		},
		"it says so, ends, and is replaced at the same address": {
			faults: map[time.Duration]func(f *simulation, p *simSide){
				faultAt:                 func(_ *simulation, p *simSide) { p.leaving = true },
				faultAt + 5*time.Second: func(f *simulation, p *simSide) { p.up = false; f.actual[victim] = Leaving },
				faultAt + 8*time.Second: func(f *simulation, p *simSide) { p.restart(); f.actual[victim] = Live },
			},
			from:  func(time.Duration) time.Duration { return faultAt + settleTime },
			to:    func(time.Duration) time.Duration { return faultAt + 8*time.Second },
			opens: true,
		},
		"it dies, and comes back while the list shows it as leaving": {
			faults: map[time.Duration]func(f *simulation, p *simSide){
				faultAt:                 func(f *simulation, p *simSide) { p.up = false; f.actual[victim] = Leaving },
				faultAt + 3*time.Second: func(_ *simulation, p *simSide) { p.restart() },
			},
			from: func(lag time.Duration) time.Duration { return faultAt + lag + settleTime },
			to:   func(time.Duration) time.Duration { return end },
		},
		"it is gone from the list, but still answers": {
			faults: map[time.Duration]func(f *simulation, p *simSide){
				faultAt: func(f *simulation, _ *simSide) { delete(f.actual, victim) },
			},
			from: func(lag time.Duration) time.Duration { return faultAt + lag + settleTime },
			to:   func(time.Duration) time.Duration { return end },
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				lag := time.Duration(rapid.IntRange(0, 10).Draw(rt, "lag")) * time.Second
				f := newSimulation(t, rapid.Uint64().Draw(rt, "seed"), lag)
				p := f.sides[victim]
				for at, fault := range tc.faults {
					f.faults[at] = func(f *simulation) { fault(f, p) }
				}
				f.run(end)
				if got := countBetween(p.sent, tc.from(lag), tc.to(lag)); got != 0 {
					rt.Errorf("%d requests were sent to the side after it should have had none", got)
				}
				if diff := cmp.Diff(tc.opens, !slices.Contains(f.closed, victim)); diff != "" {
					rt.Errorf("gets work in the end (-want +got):\n%s", diff)
				}
				if others := f.open(); !slices.Contains(others, "side-0") || !slices.Contains(others, "side-2") {
					rt.Errorf("a side that did not fail is closed; open are %v", others)
				}
			})
		})
	}
}
