package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesamewell.example/commons/backstage"
	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
	"sesamewell.example/lobby/ratelimit"
)

// TestMain fixes what rapid draws.
func TestMain(m *testing.M) { backstage.Run(m, backstage.Seed, nil) }

const (
	step     = 50 * time.Millisecond
	perTell  = 4 // steps between two digests
	rate     = 1000.0
	burst    = 1000.0
	window   = 8 * time.Second
	overshot = 0.1
)

var (
	noon   = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	config = ratelimit.Config{PeerTimeout: time.Second, PeerExpiry: 30 * time.Second, InitialLobbies: 4, InitialFill: 0.1, StartTime: noon}
	tenant = charter.New(charter.Config{Tenants: []charter.TenantConfig{{Name: "t", Keys: []string{"k"}, Rate: rate, Burst: burst}}})
)

// lobby is one of several that share a quota.
type lobby struct {
	purser      *ratelimit.Limiter
	incarnation uint64
	serial      int64
	cut         bool // hears and tells nothing
	dead        bool
}

// fleet is several lobbies in virtual time.
type fleet struct {
	now     time.Time
	lobbies []*lobby
	spends  []spend
}

type spend struct {
	at   time.Time
	cost float64
}

func TestQuotaGrowsFromTheStartOfTheProcess(t *testing.T) {
	p := ratelimit.New(config)
	for i := range 3 {
		p.Heard(noon, notice.NewDigest(notice.DigestConfig{Sender: fmt.Sprint("lobby-", i), Incarnation: 1, Serial: 1}))
	}
	holder, _ := tenant.Holder("k")
	if _, ok := p.Spend(noon.Add(950*time.Millisecond), holder, burst); !ok {
		t.Error("the burst of a tenant whose first request comes late was not granted")
	}
}

func newFleet(n int) *fleet {
	f := &fleet{now: noon}
	for range n {
		f.lobbies = append(f.lobbies, &lobby{purser: ratelimit.New(config), incarnation: 1})
	}
	return f
}

// pass lets time go by while every lobby is asked for so much a second.
func (f *fleet) pass(span time.Duration, demand []float64) (asked, granted float64) {
	holder, _ := tenant.Holder("k")
	for i := range int(span / step) {
		f.now = f.now.Add(step)
		for j, l := range f.lobbies {
			if l.dead {
				continue
			}
			cost := demand[j] * step.Seconds()
			asked += cost
			if _, ok := l.purser.Spend(f.now, holder, cost); ok && cost > 0 {
				granted += cost
				f.spends = append(f.spends, spend{f.now, cost})
			}
			if i%perTell == 0 {
				f.tell(j)
			}
		}
	}
	return asked, granted
}

func (f *fleet) tell(from int) {
	l := f.lobbies[from]
	l.serial++
	digest := notice.NewDigest(notice.DigestConfig{
		Sender: fmt.Sprint("lobby-", from), Incarnation: l.incarnation, Serial: l.serial, Spent: l.purser.Spent(),
	})
	for to, other := range f.lobbies {
		if to != from && !l.cut && !other.cut && !other.dead {
			other.purser.Heard(f.now, digest)
		}
	}
}

func (f *fleet) restart(i int) {
	l := f.lobbies[i]
	l.purser, l.incarnation, l.serial = ratelimit.New(config), l.incarnation+1, 0
}

// most returns the largest sum of spends in a window.
func (f *fleet) most() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, s := range f.spends {
		sum += s.cost
		for s.at.Sub(f.spends[first].at) >= window {
			sum -= f.spends[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

// TestNoTenantGetsMoreThanItsRateAndBurst draws demand, cuts, deaths and
// restarts, a few at a time. A restart forgets what was spent, which the tenth
// beyond the bound is for.
func TestNoTenantGetsMoreThanItsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 6).Draw(t, "lobbies"))
		f.pass(3*time.Second, make([]float64, len(f.lobbies)))
		for range 8 {
			i := rapid.IntRange(0, len(f.lobbies)-1).Draw(t, "lobby")
			switch l := f.lobbies[i]; rapid.SampledFrom([]string{"nothing", "cut", "heal", "die", "start"}).Draw(t, "fault") {
			case "cut":
				l.cut = true
			case "heal":
				l.cut = false
			case "die":
				l.dead = true
			case "start":
				if l.dead {
					l.dead = false
					f.restart(i)
				}
			}
			demand := make([]float64, len(f.lobbies))
			for j := range demand {
				demand[j] = rapid.Float64Range(0, 3*rate).Draw(t, "demand")
			}
			f.pass(time.Duration(rapid.IntRange(200, 4000).Draw(t, "ms"))*time.Millisecond, demand)
		}
		bound := (rate*window.Seconds() + burst) * (1 + overshot)
		if got := f.most(); got > bound {
			t.Fatalf("%.0f tokens in a window, more than %.0f", got, bound)
		}
	})
}

func TestWhatIsWithinTheRateIsGranted(t *testing.T) {
	cases := map[string]struct {
		demand []float64 // of a rate of 1000
		fault  func(f *fleet)
		least  float64 // share of what is asked
	}{
		"even":             {demand: []float64{200, 200, 200, 200}, least: 1},
		"one has all":      {demand: []float64{900, 0, 0, 0}, least: 1},
		"one is dead":      {demand: []float64{250, 250, 250, 0}, fault: func(f *fleet) { f.lobbies[3].dead = true }, least: 1},
		"one is cut":       {demand: []float64{200, 200, 200, 200}, fault: func(f *fleet) { f.lobbies[0].cut = true }, least: 1},
		"two thirds ahead": {demand: []float64{600, 100, 100, 50}, least: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(len(tc.demand))
			f.pass(5*time.Second, make([]float64, len(tc.demand)))
			if tc.fault != nil {
				tc.fault(f)
			}
			asked, granted := f.pass(20*time.Second, tc.demand)
			if granted < tc.least*asked-1 {
				t.Errorf("%.0f of %.0f tokens were granted", granted, asked)
			}
		})
	}
}

func TestTenantBeyondItsRateGetsNearlyAllOfIt(t *testing.T) {
	f := newFleet(4)
	f.pass(5*time.Second, make([]float64, 4))
	_, granted := f.pass(20*time.Second, []float64{1500, 1500, 500, 500})
	if least := 0.9 * rate * 20; granted < least {
		t.Errorf("%.0f tokens were granted, fewer than %.0f", granted, least)
	}
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	p := ratelimit.New(config)
	holder, _ := tenant.Holder("k")
	p.Spend(noon, holder, 100)
	wait, ok := p.Spend(noon, holder, 500)
	if ok || wait < 400*time.Millisecond || wait > 4*time.Second {
		t.Errorf("granted %v, wait %s", ok, wait)
	}
}
