package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/testkit"
	"sesamewell.example/lobby/ratelimit"
)

// TestMain fixes the seed of rapid.
func TestMain(m *testing.M) { testkit.RunRapid(m, testkit.RapidSeed, nil) }

const (
	step           = 50 * time.Millisecond
	stepsPerDigest = 4
	acceptPeriod   = 2500 * time.Millisecond // time for which a lobby that drains accepts requests
	rate           = 1000.0
	burst          = 1000.0
	window         = 8 * time.Second
	slack          = 80.0 // tokens by which a window may exceed it besides, 0.08 s of the rate
	tolerance      = 0.1  // fraction by which a window may exceed the quota, since a restart loses the record of what was spent
)

var (
	noon          = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	config        = ratelimit.Config{PeerTimeout: time.Second, PeerExpiry: 30 * time.Second, LeaveTime: 3500 * time.Millisecond, InitialLobbies: 4, InitialFill: 0.1, DiscoveryTime: 3 * time.Second, StartTime: noon}
	configuration = deployment.NewConfiguration(deployment.Config{Tenants: []deployment.TenantConfig{{Name: "t", Keys: []string{"k"}, Rate: rate, Burst: burst}}})
)

// lobby is one lobby of a fleet.
type lobby struct {
	limiter     *ratelimit.Limiter
	incarnation uint64
	serial      int64
	partitioned bool // sends and receives no digests
	crashed     bool
	drainStart  time.Time // zero unless it drains; it spends nothing from acceptPeriod after it on
}

// accepts reports whether the lobby still accepts requests.
func (l *lobby) accepts(now time.Time) bool {
	return !l.crashed && (l.drainStart.IsZero() || now.Sub(l.drainStart) < acceptPeriod)
}

// fleet is a group of lobbies that share a quota, in virtual time.
type fleet struct {
	tenant  deployment.Tenant
	now     time.Time
	lobbies []*lobby
	spends  []spend
	steps   int // steps from one digest of a lobby to the next
}

type spend struct {
	at   time.Time
	cost float64
}

func TestQuotaGrowsFromTheStartOfTheProcess(t *testing.T) {
	limiter := ratelimit.New(config)
	for i := range 3 {
		limiter.UpdatePeer(noon, protocol.NewDigest(protocol.DigestConfig{Sender: fmt.Sprint("lobby-", i), Incarnation: 1, Serial: 1}))
	}
	tenant, _ := configuration.TenantByKey("k")
	if _, ok := limiter.Spend(noon.Add(950*time.Millisecond), tenant, burst); !ok {
		t.Error("the burst of a tenant whose first request comes late was not granted")
	}
}

func newFleet(n int) *fleet {
	tenant, _ := configuration.TenantByKey("k")
	f := &fleet{tenant: tenant, now: noon, steps: stepsPerDigest}
	for range n {
		f.lobbies = append(f.lobbies, &lobby{limiter: ratelimit.New(config), incarnation: 1})
	}
	return f
}

// advance runs the fleet for the given time, while requests of the given cost per
// second arrive at each lobby. It returns the requested and the granted cost.
func (f *fleet) advance(span time.Duration, demand []float64) (requested, granted float64) {
	for i := range int(span / step) {
		f.now = f.now.Add(step)
		for j, l := range f.lobbies {
			if l.crashed {
				continue
			}
			cost := 0.0
			if l.accepts(f.now) {
				cost = demand[j] * step.Seconds()
			}
			requested += cost
			if _, ok := l.limiter.Spend(f.now, f.tenant, cost); ok && cost > 0 {
				granted += cost
				f.spends = append(f.spends, spend{f.now, cost})
			}
			if i%f.steps == 0 {
				f.sendDigest(j)
			}
		}
	}
	return requested, granted
}

func (f *fleet) sendDigest(from int) {
	l := f.lobbies[from]
	l.serial++
	digest := protocol.NewDigest(protocol.DigestConfig{
		Sender: fmt.Sprint("lobby-", from), Incarnation: l.incarnation, Serial: l.serial, Spent: l.limiter.Spent(), Draining: !l.drainStart.IsZero(),
	})
	for to, other := range f.lobbies {
		if to != from && !l.partitioned && !other.partitioned && !other.crashed {
			other.limiter.UpdatePeer(f.now, digest)
		}
	}
}

func (f *fleet) restart(i int) {
	l := f.lobbies[i]
	started := config
	started.StartTime = f.now
	l.drainStart = time.Time{}
	l.limiter, l.incarnation, l.serial = ratelimit.New(started), l.incarnation+1, 0
}

// maxInWindow returns the largest sum of spends in a window.
func (f *fleet) maxInWindow() float64 {
	largest, sum, first := 0.0, 0.0, 0
	for _, s := range f.spends {
		sum += s.cost
		for s.at.Sub(f.spends[first].at) >= window {
			sum -= f.spends[first].cost
			first++
		}
		largest = max(largest, sum)
	}
	return largest
}

// TestNoTenantGetsMoreThanItsRateAndBurst guards against overspent quotas under
// random demand, partitions, crashes and restarts. The bound exceeds the quota by
// a tenth, since a restart loses the record of what was spent.
func TestNoTenantGetsMoreThanItsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 6).Draw(t, "lobbies"))
		f.advance(3*time.Second, make([]float64, len(f.lobbies)))
		for range 8 {
			i := rapid.IntRange(0, len(f.lobbies)-1).Draw(t, "lobby")
			switch l := f.lobbies[i]; rapid.SampledFrom([]string{"nothing", "cut", "heal", "die", "start", "leave"}).Draw(t, "fault") {
			case "cut":
				l.partitioned = true
			case "heal":
				l.partitioned = false
			case "die":
				l.crashed = true
			case "leave":
				if l.drainStart.IsZero() {
					l.drainStart = f.now
				}
			case "start":
				if l.crashed {
					l.crashed = false
					f.restart(i)
				}
			}
			demand := make([]float64, len(f.lobbies))
			for j := range demand {
				demand[j] = rapid.Float64Range(0, 3*rate).Draw(t, "demand")
			}
			f.advance(time.Duration(rapid.IntRange(200, 4000).Draw(t, "ms"))*time.Millisecond, demand)
		}
		bound := (rate*window.Seconds() + burst) * (1 + tolerance)
		if got := f.maxInWindow(); got > bound {
			t.Fatalf("%.0f tokens in a window, more than %.0f", got, bound)
		}
	})
}

// TestQuotaHoldsWhenAllLobbiesRestart guards against an overspent quota in a large
// fleet: restarted lobbies have heard from no other one yet, and must not each spend as
// if they were few.
func TestQuotaHoldsWhenAllLobbiesRestart(t *testing.T) {
	cases := map[string]struct{ lobbies, steps int }{ // steps between two digests, as lobbies send them
		"two-lobbies": {2, 1}, "four-lobbies": {4, 1}, "ten-lobbies": {10, 2}, "27-lobbies": {27, 6}, "100-lobbies": {100, 8},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f, lobbies := newFleet(tc.lobbies), tc.lobbies
			f.steps = tc.steps
			demand := make([]float64, lobbies)
			f.advance(3*time.Second, demand)
			for i := range demand {
				demand[i] = 5 * rate / float64(lobbies)
			}
			f.advance(4*time.Second, demand)
			for i, l := range f.lobbies {
				f.restart(i)
				l.limiter.SetLobbies(lobbies)
				l.partitioned = true // no digest has arrived yet
			}
			f.advance(500*time.Millisecond, demand)
			for _, l := range f.lobbies {
				l.partitioned = false
			}
			f.advance(8*time.Second, demand)
			bound := (rate*window.Seconds()+burst)*(1+tolerance) + slack
			if got := f.maxInWindow(); got > bound {
				t.Errorf("%.0f tokens in a window, more than %.0f", got, bound)
			}
			_, granted := f.advance(8*time.Second, demand)
			if least := 0.9 * rate * 8; granted < least {
				t.Errorf("%.0f tokens were granted after the restart, fewer than %.0f", granted, least)
			}
		})
	}
}

func TestDemandWithinTheRateIsGranted(t *testing.T) {
	leave := func(f *fleet) {
		for _, l := range f.lobbies[1:] {
			l.drainStart = f.now
		}
		f.advance(4*time.Second, make([]float64, len(f.lobbies)))
		for _, l := range f.lobbies[1:] {
			l.crashed = true
		}
	}
	cases := map[string]struct {
		demand []float64 // tokens per second, by lobby
		fault  func(f *fleet)
		least  float64 // smallest granted share of the demand
	}{
		"even":              {demand: []float64{200, 200, 200, 200}, least: 1},
		"all at one lobby":  {demand: []float64{900, 0, 0, 0}, least: 1},
		"one crashed":       {demand: []float64{250, 250, 250, 0}, fault: func(f *fleet) { f.lobbies[3].crashed = true }, least: 1},
		"one partitioned":   {demand: []float64{200, 200, 200, 200}, fault: func(f *fleet) { f.lobbies[0].partitioned = true }, least: 1},
		"most at one lobby": {demand: []float64{600, 100, 100, 50}, least: 1},
		"all but one left":  {demand: []float64{900, 0, 0, 0}, fault: leave, least: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(len(tc.demand))
			f.advance(5*time.Second, make([]float64, len(tc.demand)))
			if tc.fault != nil {
				tc.fault(f)
			}
			requested, granted := f.advance(20*time.Second, tc.demand)
			if granted < tc.least*requested-1 {
				t.Errorf("%.0f of %.0f tokens were granted", granted, requested)
			}
		})
	}
}

func TestTenantBeyondItsRateGetsNearlyItsRate(t *testing.T) {
	f := newFleet(4)
	f.advance(5*time.Second, make([]float64, 4))
	_, granted := f.advance(20*time.Second, []float64{1500, 1500, 500, 500})
	if least := 0.9 * rate * 20; granted < least {
		t.Errorf("%.0f tokens were granted, fewer than %.0f", granted, least)
	}
}

func TestRefusalReturnsTimeUntilRetry(t *testing.T) {
	limiter := ratelimit.New(config)
	tenant, _ := configuration.TenantByKey("k")
	limiter.Spend(noon, tenant, 100)
	wait, ok := limiter.Spend(noon, tenant, 500)
	if ok || wait < 400*time.Millisecond || wait > 4*time.Second {
		t.Errorf("granted %v, wait %s", ok, wait)
	}
}

// TestLargeRequestsAreGrantedInALargeFleet guards against a tenant with a small quota
// whose larger requests are never granted because of the reserve.
func TestLargeRequestsAreGrantedInALargeFleet(t *testing.T) {
	f := newFleet(60)
	f.advance(5*time.Second, make([]float64, 60))
	tenant, _ := configuration.TenantByKey("k")
	if wait, ok := f.lobbies[0].limiter.Spend(f.now, tenant, burst); !ok {
		t.Errorf("a request for the whole burst was refused for %v", wait)
	}
}

// TestRequestsBeyondTheBurst guards against a tenant of which everything is refused because its
// quota has no burst, or a smaller one than its requests cost, and against an overspent quota.
func TestRequestsBeyondTheBurst(t *testing.T) {
	const (
		lobbies      = 4
		tokenSlack   = 11000 // by which a window may exceed the quota besides, as the platform's pages allow
		requestSlack = 2 * lobbies
	)
	cases := map[string]struct {
		tenant  deployment.TenantConfig
		cost    float64
		refused bool // all requests
	}{
		"requests, no burst":               {tenant: deployment.TenantConfig{Rate: 5}, cost: 1},
		"less than a request per second":   {tenant: deployment.TenantConfig{Rate: 0.5, Burst: 0.5}, cost: 1},
		"requests, burst":                  {tenant: deployment.TenantConfig{Rate: 5, Burst: 10}, cost: 1},
		"tokens, no burst":                 {tenant: deployment.TenantConfig{CountsTokens: true, Rate: 5000}, cost: 1540},
		"tokens, no burst, low rate":       {tenant: deployment.TenantConfig{CountsTokens: true, Rate: 500}, cost: 1540},
		"tokens, no burst, high rate":      {tenant: deployment.TenantConfig{CountsTokens: true, Rate: 100000}, cost: 8000},
		"tokens, small burst":              {tenant: deployment.TenantConfig{CountsTokens: true, Rate: 5000, Burst: 1000}, cost: 1540},
		"tokens, burst":                    {tenant: deployment.TenantConfig{CountsTokens: true, Rate: 5000, Burst: 10000}, cost: 1540},
		"tokens, no burst, absurd request": {tenant: deployment.TenantConfig{CountsTokens: true, Rate: 5000}, cost: 1 << 24, refused: true},
		"tokens, burst, larger request":    {tenant: deployment.TenantConfig{CountsTokens: true, Rate: 5000, Burst: 10000}, cost: 10001, refused: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tc.tenant.Name, tc.tenant.Keys = "t", []string{"k"}
			f := newFleet(lobbies)
			f.tenant, _ = deployment.NewConfiguration(deployment.Config{Tenants: []deployment.TenantConfig{tc.tenant}}).TenantByKey("k")
			oneEachStep := tc.cost / step.Seconds()
			demand := []float64{oneEachStep, oneEachStep, oneEachStep, oneEachStep}
			_, granted := f.advance(40*time.Second, demand)
			if tc.refused {
				if diff := cmp.Diff(0.0, granted); diff != "" {
					t.Errorf("granted (-want +got):\n%s", diff)
				}
				return
			}
			if least := 0.9 * tc.tenant.Rate * 40; granted < least-tc.cost {
				t.Errorf("%.0f were granted, fewer than %.0f", granted, least)
			}
			for i := range f.lobbies {
				f.restart(i)
			}
			f.advance(20*time.Second, demand)
			bound := (tc.tenant.Rate*window.Seconds()+tc.tenant.Burst)*(1+tolerance) + requestSlack
			if tc.tenant.CountsTokens {
				bound += tokenSlack - requestSlack
			}
			if got := f.maxInWindow(); got > bound {
				t.Errorf("%.0f in a window, more than %.0f", got, bound)
			}
		})
	}
}

// TestNamesAreBounded guards against memory that grows with each tenant that was ever
// configured, and with each lobby that was ever heard from.
func TestNamesAreBounded(t *testing.T) {
	type names struct{ Tenants, Lobbies int }
	cases := map[string]struct{ number, want names }{
		"few":  {number: names{3, 2}, want: names{3, 2}},
		"most": {number: names{4096, 1024}, want: names{4096, 1024}},
		"more": {number: names{5000, 1500}, want: names{4096, 1024}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			limiter, now := ratelimit.New(config), noon
			tenant := func(n int) deployment.Tenant {
				c := deployment.NewConfiguration(deployment.Config{Tenants: []deployment.TenantConfig{{Name: fmt.Sprint("t", n), Keys: []string{"k"}, Rate: 1, Burst: 10}}})
				tenant, _ := c.TenantByKey("k")
				return tenant
			}
			for n := range tc.number.Tenants {
				now = now.Add(time.Second)
				limiter.Spend(now, tenant(n), 1)
				limiter.Spend(now, tenant(0), 0) // in use, so it stays
			}
			for n := range tc.number.Lobbies {
				now = now.Add(time.Second)
				limiter.UpdatePeer(now, protocol.NewDigest(protocol.DigestConfig{Sender: fmt.Sprint("lobby-", n), Incarnation: 1, Serial: 1}))
			}
			var got names
			got.Tenants, got.Lobbies = limiter.Names()
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("names that are kept (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(1.0, limiter.Spent()["t0"]); diff != "" {
				t.Errorf("spent by the first tenant, which is in use (-want +got):\n%s", diff)
			}
		})
	}
}
