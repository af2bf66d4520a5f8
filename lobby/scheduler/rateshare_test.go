package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const (
	coldStep         = 20 * time.Millisecond
	coldAnnouncement = 8 * time.Second  // time between two announcements of a lobby
	coldExpiry       = 24 * time.Second // time without a new announcement after which a list lacks a lobby
	coldDigestPeriod = 400 * time.Millisecond
	coldTransit      = maxSendDelay + 40*time.Millisecond // longest time from the turn of a request to its arrival
)

var coldNoon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// coldFleet is a fleet of lobbies in virtual time, in front of one backend server, for
// which every lobby has more requests than it may send.
type coldFleet struct {
	t         *rapid.T // nil in tables
	random    *rand.Rand
	now       time.Time
	rate      float64
	config    ColdConfig
	lobbies   []*coldLobby
	announced map[string]int // store: number of the newest announcement by lobby
	serial    int
	storeDown bool
	arrivals  []time.Time // at the backend server
	sends     map[standing][]time.Time
}

// coldLobby is one lobby of the fleet with the part of its discovery that matters here.
type coldLobby struct {
	address     string
	shares      *rateShares
	gate        *coldGate
	frozenUntil time.Time
	dead        bool
	cutUntil    time.Time // neither the store nor other lobbies are reached before
	deafUntil   time.Time // no digests arrive before
	announcedAt time.Time
	nextRead    time.Time
	pending     *LobbiesListed // read that this lobby has not handled yet
	seen        map[string]coldSeen
}

type coldSeen struct {
	serial int
	since  time.Time
}

func newColdFleet(lobbies int, rate float64, config ColdConfig, random *rand.Rand) *coldFleet {
	f := &coldFleet{now: coldNoon, rate: rate, config: config, random: random, announced: make(map[string]int), sends: make(map[standing][]time.Time)}
	for i := range lobbies {
		f.lobbies = append(f.lobbies, &coldLobby{address: fmt.Sprintf("10.0.0.%d:7000", i)})
		f.start(f.lobbies[i])
	}
	return f
}

// start starts a lobby, or restarts it: all that it knew is lost. The backend server is
// reported cold for long.
func (f *coldFleet) start(l *coldLobby) {
	config := f.config
	config.Self = l.address
	shares := newRateShares(config)
	gate := newColdGate(coldGateConfig{Backend: "b", Start: 3 * time.Second, Rate: f.rate, Shares: shares})
	gate.reported(f.now, time.Hour)
	*l = coldLobby{address: l.address, shares: shares, gate: gate, cutUntil: l.cutUntil, deafUntil: l.deafUntil, nextRead: f.now, seen: make(map[string]coldSeen)}
}

func (l *coldLobby) runs(now time.Time) bool { return !l.dead && !now.Before(l.frozenUntil) }

// advance runs the fleet for a time.
func (f *coldFleet) advance(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(coldStep) {
		for _, l := range f.lobbies {
			if l.runs(f.now) {
				f.step(l)
			}
		}
	}
}

func (f *coldFleet) step(l *coldLobby) {
	if l.pending != nil {
		l.shares.list(f.now, *l.pending)
		l.pending = nil
	}
	if !f.now.Before(l.nextRead) {
		f.read(l)
	}
	if f.random.Int64N(int64(coldDigestPeriod/coldStep)) == 0 {
		f.tell(l)
	}
	for l.gate.admits(f.now) {
		l.gate.sent(f.now)
		standing := l.shares.standing(f.now)
		f.sends[standing] = append(f.sends[standing], f.now)
		f.arrivals = append(f.arrivals, f.now.Add(time.Duration(f.random.Int64N(int64(coldTransit)))))
	}
}

// read announces a lobby and reads the list, as its watcher does.
func (f *coldFleet) read(l *coldLobby) {
	l.nextRead = f.now.Add(time.Second)
	if f.storeDown || f.now.Before(l.cutUntil) {
		return
	}
	if f.now.Sub(l.announcedAt) >= coldAnnouncement {
		f.serial++
		l.announcedAt, f.announced[l.address] = f.now, f.serial
	}
	listed := NewLobbiesListed(f.now, l.announcedAt, nil)
	for address, serial := range f.announced {
		if seen, ok := l.seen[address]; !ok || seen.serial != serial {
			l.seen[address] = coldSeen{serial: serial, since: f.now}
		}
		if f.now.Sub(l.seen[address].since) < coldExpiry {
			listed.addresses = append(listed.addresses, address)
		}
	}
	l.pending = &listed
	if !l.shares.settles(f.now) {
		l.nextRead = f.now.Add(coldAnnouncement)
	}
}

// tell sends a lobby's digest to the others.
func (f *coldFleet) tell(l *coldLobby) {
	for _, other := range f.lobbies {
		if other != l && other.runs(f.now) && !f.now.Before(l.cutUntil) && !f.now.Before(other.cutUntil) && !f.now.Before(other.deafUntil) && f.random.IntN(4) > 0 {
			other.shares.digestArrived(f.now, l.address)
		}
	}
}

// most returns the largest number of times within a second.
func most(times []time.Time) int {
	times = slices.SortedFunc(slices.Values(times), time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// disturb lets something happen to a lobby or the store.
func (f *coldFleet) disturb() {
	l := f.lobbies[rapid.IntRange(0, len(f.lobbies)-1).Draw(f.t, "lobby")]
	long := time.Duration(rapid.IntRange(1, 40).Draw(f.t, "seconds")) * time.Second
	switch event := rapid.SampledFrom([]string{"restart", "die", "start", "freeze", "cut", "deaf", "join", "store", "restart all", "freeze half", "nothing"}).Draw(f.t, "event"); event {
	case "restart":
		f.start(l)
	case "die":
		l.dead = true
	case "start":
		if l.dead {
			f.start(l)
		}
	case "freeze":
		l.frozenUntil = f.now.Add(long)
	case "cut":
		l.cutUntil = f.now.Add(long)
	case "deaf":
		l.deafUntil = f.now.Add(long)
	case "join":
		if len(f.lobbies) < 60 {
			joined := &coldLobby{address: fmt.Sprintf("10.0.1.%d:7000", len(f.lobbies))}
			f.lobbies = append(f.lobbies, joined)
			f.start(joined)
		}
	case "store":
		f.storeDown = !f.storeDown
	case "restart all":
		for _, each := range f.lobbies {
			f.start(each)
		}
	case "freeze half":
		for _, each := range f.lobbies[:len(f.lobbies)/2] {
			each.frozenUntil = f.now.Add(long)
		}
	}
}

// TestColdServerIsNeverOverrun guards against more requests to a cold backend server in
// any second than it tolerates, from all lobbies together, whatever happens to them.
func TestColdServerIsNeverOverrun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := ColdConfig{Overshoot: 1.5, Slack: 5}
		rate := rapid.SampledFrom([]float64{2, 13, 13, 40}).Draw(t, "rate")
		seed := rapid.Uint64().Draw(t, "seed")
		f := newColdFleet(rapid.IntRange(2, 60).Draw(t, "lobbies"), rate, config, rand.New(rand.NewPCG(seed, 0)))
		f.t = t
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			f.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "pause")) * time.Second)
			f.disturb()
		}
		f.advance(30 * time.Second)
		if bound := int(rate*config.Overshoot + config.Slack); most(f.arrivals) > bound {
			t.Errorf("%d requests in one second, more than %d", most(f.arrivals), bound)
		}
		for _, standing := range []standing{joining, established} {
			if limit := int((rate*config.Overshoot + config.Slack) * coldParts[standing]); most(f.sends[standing]) > limit {
				t.Errorf("%d requests in one second of the lobbies with standing %d, more than %d", most(f.sends[standing]), standing, limit)
			}
		}
	})
}

// TestColdServerGetsItsRate guards against shares that leave a cold backend server idle.
func TestColdServerGetsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := rapid.SampledFrom([]ColdConfig{{Overshoot: 1.5, Slack: 5}, {Overshoot: 1}}).Draw(t, "bounds")
		rate := rapid.SampledFrom([]float64{6, 13, 40}).Draw(t, "rate")
		f := newColdFleet(rapid.IntRange(1, 60).Draw(t, "lobbies"), rate, config, rand.New(rand.NewPCG(1, 0)))
		f.advance(30 * time.Second)
		f.arrivals = nil
		f.advance(10 * time.Second)
		if got := float64(len(f.arrivals)) / 10; got < rate/2 || got > rate*1.1 {
			t.Errorf("%.1f requests a second, want %v to %v", got, rate/2, rate)
		}
		if limit := int((rate*config.Overshoot + config.Slack) * coldParts[established]); most(f.arrivals) > limit {
			t.Errorf("%d requests of established lobbies in one second, more than %d", most(f.arrivals), limit)
		}
	})
}

// TestStandingOfLobby guards against a lobby that sends before the others know it, or
// after they may have dropped it.
func TestStandingOfLobby(t *testing.T) {
	list := func(s *rateShares, at time.Duration) {
		s.list(coldNoon.Add(at), NewLobbiesListed(coldNoon.Add(at), coldNoon.Add(at), []string{"a", "b"}))
	}
	cases := map[string]struct {
		lists    []time.Duration // times of complete reads with an announcement
		restored time.Duration   // time at which the list was restored to an older state, after those reads; zero if never
		at       time.Duration
		want     standing
	}{
		"restored while it joins":  {lists: []time.Duration{0, 4 * time.Second}, restored: 4500 * time.Millisecond, at: 5 * time.Second, want: unannounced},
		"restored, known to all":   {lists: []time.Duration{0, 8 * time.Second, 15 * time.Second}, restored: 16 * time.Second, at: 17 * time.Second, want: established},
		"no list":                  {at: time.Minute, want: unannounced},
		"just listed":              {lists: []time.Duration{0}, at: time.Second, want: unannounced},
		"known to those that join": {lists: []time.Duration{0, 4 * time.Second}, at: 5 * time.Second, want: joining},
		"joins with an old list":   {lists: []time.Duration{0}, at: 5 * time.Second, want: unannounced},
		"known to all":             {lists: []time.Duration{0, 8 * time.Second}, at: 16 * time.Second, want: established},
		"silent":                   {lists: []time.Duration{0, 8 * time.Second}, at: 22 * time.Second, want: lapsed},
		"back after a silence":     {lists: []time.Duration{0, 8 * time.Second, 30 * time.Second}, at: 35 * time.Second, want: unannounced},
		"back for long":            {lists: []time.Duration{0, 8 * time.Second, 30 * time.Second, 38 * time.Second}, at: 46 * time.Second, want: established},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newRateShares(ColdConfig{Self: "a"})
			for _, at := range tc.lists {
				list(s, at)
			}
			if tc.restored > 0 {
				s.directoryRestored(coldNoon.Add(tc.restored))
			}
			if diff := cmp.Diff(tc.want, s.standing(coldNoon.Add(tc.at))); diff != "" {
				t.Errorf("standing (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMembersShrinkByListsOnly guards against a lobby that forgets others which it can't
// reach.
func TestMembersShrinkByListsOnly(t *testing.T) {
	s := newRateShares(ColdConfig{Self: "a"})
	s.digestArrived(coldNoon, "c")
	s.list(coldNoon, NewLobbiesListed(coldNoon, coldNoon, []string{"a", "b"}))
	sizes := []int{s.lobbies()}
	later := coldNoon.Add(time.Hour)
	s.standing(later)
	sizes = append(sizes, s.lobbies())
	s.list(later, NewLobbiesListed(later, later, []string{"a"}))
	sizes = append(sizes, s.lobbies())
	if diff := cmp.Diff([]int{3, 3, 1}, sizes); diff != "" {
		t.Errorf("members with a digest, an hour later, with another list (-want +got):\n%s", diff)
	}
}
