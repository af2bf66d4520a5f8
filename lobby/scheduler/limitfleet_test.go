package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/quarantine"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/lobby/resumption"
	"sesamewell.example/lobby/scheduler"
)

// What a backend server that names a rate tolerates within limitWindow, and from when on.
const (
	limitWindow   = 4 * time.Second
	limitExcess   = 1.5
	limitSlack    = 5
	limitContact  = 3 * time.Second        // time after the first such answer of the backend server
	limitPassedOn = 500 * time.Millisecond // time after the first one that a lobby has passed on
)

// limitFleetConfig holds the construction parameters of a limitFleet.
type limitFleetConfig struct {
	seed         uint64
	lobbies      int
	rate         float64 // named by the first backend server from named on
	named, ended time.Duration
	load         float64       // requests a second, of all callers
	paths        []string      // of the requests
	lost         float64       // fraction of digests that are lost
	faults       float64       // fraction of requests that are refused as not run, or of streams that break off
	spare        bool          // another backend server names no rate
	quiet, loud  time.Duration // no requests arrive from quiet to loud
}

// limitFleet plays lobbies, which read a list of themselves and exchange delayed digests,
// before a backend server that names a rate in its answers, in virtual time.
type limitFleet struct {
	config    limitFleetConfig
	random    *rand.Rand
	events    events
	serial    int
	now       time.Duration
	lobbies   []*limitLobby
	servers   []deployment.Backend
	announced map[string]int // store: number of the newest announcement by lobby
	first     time.Duration  // time of the first answer that named the rate; negative before
	arrivals  []limitArrival // at the first backend server
	refused   int            // requests
	hinted    []time.Duration
}

// limitArrival is a request that has reached a backend server.
type limitArrival struct {
	at    time.Duration
	heard bool // its lobby had passed on an answer that names the rate for limitPassedOn
}

// limitLobby is a lobby with the part of its discovery that matters here.
type limitLobby struct {
	address     string
	core        *scheduler.Core
	incarnation int
	numbers     uint64
	frozenUntil time.Duration
	cutUntil    time.Duration // neither the store nor other lobbies are reached before
	heard       time.Duration // time of the first answer that named the rate; negative before
	announcedAt time.Duration
	hurry       bool
	seen        map[string]limitSeen
}

type limitSeen struct {
	serial int
	since  time.Duration
}

func newLimitFleet(config limitFleetConfig) *limitFleet {
	f := &limitFleet{config: config, random: rand.New(rand.NewPCG(config.seed, 2)), announced: make(map[string]int), first: -1}
	entries := []deployment.BackendConfig{{ID: "limited", StartTime: 7, Address: "10.0.2.1:80", Domain: "d1"}}
	if config.spare {
		entries = append(entries, deployment.BackendConfig{ID: "spare", Address: "10.0.2.2:80", Domain: "d2"})
	}
	for _, entry := range entries {
		entry.Service, entry.Slots, entry.Holdings = "engine", 64, engineServer("").Holdings
		f.servers = append(f.servers, deployment.NewBackend(entry))
	}
	for range config.lobbies {
		f.join()
	}
	f.arrive()
	return f
}

// join adds a lobby.
func (f *limitFleet) join() {
	l := &limitLobby{address: fmt.Sprintf("10.0.1.%d:7000", len(f.lobbies))}
	f.lobbies = append(f.lobbies, l)
	f.start(l)
}

// start starts a lobby, or restarts it: all that it knew is lost.
func (f *limitFleet) start(l *limitLobby) {
	l.incarnation++
	l.heard, l.announcedAt, l.hurry, l.seen = -1, -time.Hour, true, make(map[string]limitSeen)
	l.core = scheduler.NewCore(scheduler.CoreConfig{
		Domain: "d1", MinLobbies: 1, Stop: supervisor.NewStopSchedule(8 * time.Second), Limiter: &fakeLimiter{remaining: 1 << 30},
		Streams: resumption.New(), Quarantine: quarantine.New(quarantine.Config{}), Random: rand.New(rand.NewPCG(f.config.seed, f.random.Uint64())),
		RetryBudget: scheduler.RetryBudgetConfig{Ratio: 0.2, Extra: 20, Window: 10 * time.Second},
		Cold:        scheduler.ColdConfig{Self: l.address, Overshoot: 1},
	})
	f.handle(l, l.incarnation, scheduler.NewConfigurationChanged(fixtureConfiguration()))
	f.handle(l, l.incarnation, scheduler.NewLobbyCountChanged(len(f.lobbies)))
	f.handle(l, l.incarnation, scheduler.NewBackendsChanged(noon.Add(f.now), f.servers))
	f.after(f.delay(50*time.Millisecond), func() { f.tick(l, l.incarnation) })
	f.after(f.delay(500*time.Millisecond), func() { f.read(l, l.incarnation) })
}

// after schedules an event.
func (f *limitFleet) after(delay time.Duration, do func()) {
	f.serial++
	heap.Push(&f.events, event{at: f.now + delay, serial: f.serial, do: do})
}

func (f *limitFleet) delay(longest time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(longest)))
}

// advance plays a time.
func (f *limitFleet) advance(span time.Duration) {
	end := f.now + span
	for len(f.events) > 0 && f.events[0].at < end {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.do()
	}
	f.now = end
}

func (f *limitFleet) time() time.Time { return noon.Add(f.now) }

// handle lets a lobby handle a message, once it is not frozen, unless it has restarted.
func (f *limitFleet) handle(l *limitLobby, incarnation int, message scheduler.Message) {
	switch {
	case l.incarnation != incarnation:
	case f.now < l.frozenUntil:
		f.after(l.frozenUntil-f.now, func() { f.handle(l, incarnation, message) })
	default:
		f.execute(l, l.core.Handle(f.time(), message))
	}
}

func (f *limitFleet) tick(l *limitLobby, incarnation int) {
	if l.incarnation != incarnation {
		return
	}
	if f.now >= l.frozenUntil {
		f.execute(l, l.core.Tick(f.time()))
	}
	f.after(50*time.Millisecond, func() { f.tick(l, incarnation) })
}

// read announces a lobby and reads the list of lobbies, as its watcher does.
func (f *limitFleet) read(l *limitLobby, incarnation int) {
	if l.incarnation != incarnation {
		return
	}
	period := 8 * time.Second
	if l.hurry || f.now < l.cutUntil || f.now < l.frozenUntil {
		period = time.Second
	}
	f.after(period, func() { f.read(l, incarnation) })
	if f.now < l.cutUntil || f.now < l.frozenUntil {
		return
	}
	if f.now-l.announcedAt >= 8*time.Second {
		f.serial++
		l.announcedAt, f.announced[l.address] = f.now, f.serial
	}
	var alive []string
	for address, serial := range f.announced {
		if seen, ok := l.seen[address]; !ok || seen.serial != serial {
			l.seen[address] = limitSeen{serial: serial, since: f.now}
		}
		if f.now-l.seen[address].since < 24*time.Second {
			alive = append(alive, address)
		}
	}
	f.handle(l, incarnation, scheduler.NewLobbiesListed(f.time(), noon.Add(l.announcedAt), alive))
}

// arrive lets a request arrive at a lobby, and the next one later.
func (f *limitFleet) arrive() {
	f.after(time.Duration(f.random.ExpFloat64()/f.config.load*float64(time.Second)), f.arrive)
	if f.now >= f.config.quiet && f.now < f.config.loud {
		return
	}
	l := f.lobbies[f.random.IntN(len(f.lobbies))]
	l.numbers++
	request := httpmeta.NewRequest(httpmeta.RequestConfig{
		ID: fmt.Sprint("r", l.numbers), Host: "h", Path: f.config.paths[f.random.IntN(len(f.config.paths))], APIKey: "k", Model: "m", Arrived: f.time(), PromptTokens: 200, MaxOutputTokens: 20,
	})
	f.handle(l, l.incarnation, scheduler.NewArrived(l.numbers, request))
}

// execute plays the actions of a lobby.
func (f *limitFleet) execute(l *limitLobby, actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Send:
			f.send(l, a)
		case scheduler.Refuse:
			f.refused++
			f.hinted = append(f.hinted, a.RetryAfter())
		case scheduler.Broadcast:
			l.hurry = a.Joining()
			f.broadcast(l, a)
		}
	}
}

// send lets a request leave, sometimes only after a wait for a connection.
func (f *limitFleet) send(l *limitLobby, a scheduler.Send) {
	wait := time.Duration(0)
	if f.random.IntN(10) == 0 {
		wait = f.delay(400 * time.Millisecond)
	}
	incarnation := l.incarnation
	if !a.SendBefore().IsZero() && f.time().Add(wait).After(a.SendBefore()) {
		f.after(wait, func() { f.handle(l, incarnation, scheduler.NewSendEnded(a.Number(), scheduler.Deferred, 0)) })
		return
	}
	f.after(wait, func() {
		sent := f.time()
		f.after(f.delay(40*time.Millisecond), func() { f.receive(l, incarnation, a, sent) })
	})
}

// receive plays a backend server that gets a request.
func (f *limitFleet) receive(l *limitLobby, incarnation int, a scheduler.Send, sent time.Time) {
	limited := a.Forwarding().Backend() == "limited"
	if limited {
		f.arrivals = append(f.arrivals, limitArrival{at: f.now, heard: l.heard >= 0 && f.now-l.heard >= limitPassedOn})
	}
	fault := f.random.Float64() < f.config.faults
	f.after(20*time.Millisecond+f.delay(200*time.Millisecond), func() {
		rate := 0.0
		if limited && f.now >= f.config.named && f.now < f.config.ended {
			rate = f.config.rate
		}
		f.after(f.delay(40*time.Millisecond), func() { f.answer(l, incarnation, a, sent, rate, fault) })
	})
}

// answer lets a lobby receive an answer.
func (f *limitFleet) answer(l *limitLobby, incarnation int, a scheduler.Send, sent time.Time, rate float64, fault bool) {
	if l.incarnation != incarnation {
		return
	}
	if rate > 0 && l.heard < 0 && f.now >= l.frozenUntil {
		l.heard = f.now
	}
	if rate > 0 && f.first < 0 {
		f.first = f.now
	}
	if rate > 0 || a.Limited() {
		f.handle(l, incarnation, scheduler.NewBackendLimit(a.Origin(), rate, sent))
	}
	switch {
	case fault && !a.Stream():
		f.handle(l, incarnation, scheduler.NewSendEnded(a.Number(), scheduler.Rejected, 503))
	case fault:
		f.handle(l, incarnation, scheduler.NewStreamStarted(a.Number()))
		f.handle(l, incarnation, scheduler.NewSendEnded(a.Number(), scheduler.Truncated, 200))
	default:
		if a.Stream() {
			f.handle(l, incarnation, scheduler.NewStreamStarted(a.Number()))
		}
		f.handle(l, incarnation, scheduler.NewSendEnded(a.Number(), scheduler.Complete, 200))
	}
}

// broadcast sends a lobby's digest to the others.
func (f *limitFleet) broadcast(l *limitLobby, a scheduler.Broadcast) {
	f.serial++
	digest := protocol.NewDigest(protocol.DigestConfig{Sender: l.address, Incarnation: uint64(l.incarnation), Serial: int64(f.serial), Loads: a.Loads(), Limits: a.Limits()})
	for _, other := range f.lobbies {
		if other == l || f.now < l.cutUntil || f.now < other.cutUntil || f.random.Float64() < f.config.lost {
			continue
		}
		incarnation := other.incarnation
		f.after(f.delay(600*time.Millisecond), func() { f.handle(other, incarnation, scheduler.NewDigestReceived(digest)) })
	}
}

// disturb lets something happen to a lobby.
func (f *limitFleet) disturb(t *rapid.T) {
	l := f.lobbies[rapid.IntRange(0, len(f.lobbies)-1).Draw(t, "lobby")]
	long := time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second
	switch rapid.SampledFrom([]string{"restart", "restart half", "leave", "freeze", "cut", "join", "nothing"}).Draw(t, "event") {
	case "restart":
		f.start(l)
	case "restart half":
		for _, each := range f.lobbies[:len(f.lobbies)/2] {
			f.start(each)
		}
	case "leave":
		l.frozenUntil = time.Hour
	case "freeze":
		l.frozenUntil = f.now + long
	case "cut":
		l.cutUntil = f.now + long
	case "join":
		f.join()
	}
}

// most returns the largest number of requests within limitWindow from limitContact after the
// first answer that named the rate on, of the lobbies that had passed on such an answer.
func (f *limitFleet) most() int {
	var times []time.Duration
	for _, a := range f.arrivals {
		if a.heard && a.at >= f.first+limitContact && a.at < f.config.ended {
			times = append(times, a.at)
		}
	}
	slices.Sort(times)
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestNamedRateIsKeptByAllLobbies guards against more requests to a backend server than the
// rate that it names allows, from all lobbies together, whatever happens to them.
func TestNamedRateIsKeptByAllLobbies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.3, 2, 2, 6, 13, 40}).Draw(t, "rate")
		f := newLimitFleet(limitFleetConfig{
			seed: rapid.Uint64().Draw(t, "seed"), lobbies: rapid.SampledFrom([]int{1, 2, 3, 5, 9, 14, 27}).Draw(t, "lobbies"), rate: rate,
			named: time.Duration(rapid.IntRange(1, 30).Draw(t, "named")) * time.Second, ended: 90 * time.Second,
			load:  rate * rapid.SampledFrom([]float64{2, 5, 20}).Draw(t, "load"),
			paths: rapid.SampledFrom([][]string{{"/stream/a"}, {"/stream/a", "/resumable/a"}}).Draw(t, "paths"),
			lost:  rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "lost"), faults: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "faults"), spare: rapid.Bool().Draw(t, "spare"),
		})
		f.advance(f.config.named + time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			f.advance(time.Duration(rapid.IntRange(1, 8).Draw(t, "pause")) * time.Second)
			f.disturb(t)
		}
		f.advance(20 * time.Second)
		if bound := int(rate*limitExcess*limitWindow.Seconds() + limitSlack); f.most() > bound {
			t.Errorf("%d requests within %v, more than %d", f.most(), limitWindow, bound)
		}
	})
}

// TestNamedRateIsKeptAfterALull guards against lobbies without turns that ask all at once
// whether a rate still holds.
func TestNamedRateIsKeptAfterALull(t *testing.T) {
	for name, tc := range map[string]struct{ rate, lost float64 }{
		"a low rate":                   {rate: 2},
		"a low rate, digests are lost": {rate: 2, lost: 1},
		"a tiny rate":                  {rate: 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLimitFleet(limitFleetConfig{seed: 1, lobbies: 27, rate: tc.rate, named: 20 * time.Second, ended: time.Hour, load: 60, paths: []string{"/stream/a"}, lost: tc.lost, quiet: 30 * time.Second, loud: 200 * time.Second})
			f.advance(220 * time.Second)
			if bound := int(tc.rate*limitExcess*limitWindow.Seconds() + limitSlack); f.most() > bound {
				t.Errorf("%d requests within %v, more than %d", f.most(), limitWindow, bound)
			}
		})
	}
}

// TestSinkingRateIsKept guards against lobbies, with turns or without, that go on with a rate
// that the backend server named before.
func TestSinkingRateIsKept(t *testing.T) {
	for name, tc := range map[string]struct {
		lobbies  int
		from, to float64
	}{
		"one lobby":                {lobbies: 1, from: 10, to: 1},
		"8 lobbies":                {lobbies: 8, from: 40, to: 2},
		"8 lobbies, a low rate":    {lobbies: 8, from: 2, to: 0.3},
		"27 lobbies":               {lobbies: 27, from: 10, to: 1},
		"27 lobbies, steep":        {lobbies: 27, from: 40, to: 0.3},
		"27 lobbies, turns remain": {lobbies: 27, from: 40, to: 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLimitFleet(limitFleetConfig{seed: 1, lobbies: tc.lobbies, rate: tc.from, named: 10 * time.Second, ended: time.Hour, load: 5 * tc.from, paths: []string{"/stream/a"}, lost: 0.3})
			f.advance(40 * time.Second)
			f.config.rate, f.first = tc.to, f.now
			f.advance(30 * time.Second)
			if bound := int(tc.to*limitExcess*limitWindow.Seconds() + limitSlack); f.most() > bound {
				t.Errorf("%d requests within %v, more than %d", f.most(), limitWindow, bound)
			}
		})
	}
}

// TestNamedRateIsUsed guards against lobbies that leave a backend server idle which names a
// rate, and against refusals that name no time or an absurd one.
func TestNamedRateIsUsed(t *testing.T) {
	for name, tc := range map[string]struct {
		lobbies int
		rate    float64
	}{
		"one lobby":               {lobbies: 1, rate: 10},
		"8 lobbies":               {lobbies: 8, rate: 10},
		"27 lobbies":              {lobbies: 27, rate: 10},
		"27 lobbies, a low rate":  {lobbies: 27, rate: 2},
		"27 lobbies, a high rate": {lobbies: 27, rate: 60},
		"one lobby, a low rate":   {lobbies: 1, rate: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLimitFleet(limitFleetConfig{seed: 1, lobbies: tc.lobbies, rate: tc.rate, named: 20 * time.Second, ended: time.Hour, load: 5 * tc.rate, paths: []string{"/stream/a"}})
			f.advance(30 * time.Second)
			f.arrivals, f.refused, f.hinted = nil, 0, nil
			f.advance(60 * time.Second)
			use := float64(len(f.arrivals)) / 60 / tc.rate
			t.Logf("%.2f of the rate is used", use)
			if use < 0.7 || use > 1.1 {
				t.Errorf("%.2f of the rate is used, want 0.7 to 1.1", use)
			}
			for _, hint := range f.hinted {
				if hint <= 0 || hint > time.Minute {
					t.Errorf("refused with Retry-After %v", hint)
				}
			}
		})
	}
}

// TestLimitEnds guards against lobbies that go on to hold back when a backend server names no
// rate any more, also those that had no turn at it.
func TestLimitEnds(t *testing.T) {
	for name, lost := range map[string]float64{"digests arrive": 0, "digests are lost": 1} {
		t.Run(name, func(t *testing.T) {
			f := newLimitFleet(limitFleetConfig{seed: 1, lobbies: 27, rate: 2, named: 20 * time.Second, ended: 40 * time.Second, load: 20, paths: []string{"/stream/a"}, lost: lost})
			f.advance(40 * time.Second)
			f.advance(time.Minute)
			f.arrivals, f.refused = nil, 0
			f.advance(20 * time.Second)
			if got := float64(len(f.arrivals)) / 20; got < 18 || f.refused > 0 {
				t.Errorf("%.1f requests a second and %d refusals, want 20 and none", got, f.refused)
			}
		})
	}
}
