package ratelimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
)

const (
	warmUp         = 5 * time.Second  // before arrivals, until claims stand
	faultDelay     = 10 * time.Second // from the first arrival to the fault
	loadSpan       = 40 * time.Second
	conformingLoad = 0.8 // of the rate, by tenants that keep to it
	envelope       = 150 // bytes around each message: net/rpc, TLS, TCP and IP
)

// arrival is one request as it was offered.
type arrival struct {
	at       time.Time
	node     int
	tenant   string
	size     int64
	unused   int64
	length   time.Duration
	admitted bool
}

// limiter admits requests by another design.
type baseline interface {
	admit(now time.Time, a arrival) bool
	refund(now time.Time, a arrival)
}

// replay offers the arrivals to a limiter and returns its answers.
func replay(arrivals []arrival, l baseline) []bool {
	type due struct {
		at time.Time
		a  arrival
	}
	var pending []due
	admitted := make([]bool, len(arrivals))
	for i, a := range arrivals {
		pending = slices.DeleteFunc(pending, func(d due) bool {
			if d.at.After(a.at) {
				return false
			}
			l.refund(d.at, d.a)
			return true
		})
		if admitted[i] = l.admit(a.at, a); admitted[i] {
			pending = append(pending, due{a.at.Add(a.length), a})
		}
	}
	return admitted
}

// buckets is a limiter with one bucket for each key.
type bucketBaseline struct {
	key       func(a arrival) string
	share     share
	reachable func(now time.Time, node int) bool // nil reaches always
	resetAt   time.Time                          // when a successor starts empty
	byKey     map[string]*bucket
}

func (b *bucketBaseline) find(now time.Time, a arrival) *bucket {
	found, ok := b.byKey[b.key(a)]
	if !ok {
		found = &bucket{share: b.share, level: b.share.burst, updated: now}
		b.byKey[b.key(a)] = found
	}
	if !b.resetAt.IsZero() && found.updated.Before(b.resetAt) && !now.Before(b.resetAt) {
		found.level, found.updated = 0, b.resetAt
	}
	found.advance(now)
	return found
}

func (b *bucketBaseline) admit(now time.Time, a arrival) bool {
	if b.reachable != nil && !b.reachable(now, a.node) {
		return false
	}
	found := b.find(now, a)
	if found.level < tokens(a.size) {
		return false
	}
	found.level -= tokens(a.size)
	return true
}

func (b *bucketBaseline) refund(now time.Time, a arrival) {
	if b.reachable == nil || b.reachable(now, a.node) {
		b.find(now, a).add(tokens(a.unused))
	}
}

// deployment is one of the fleets that the measurements are made for.
type deployment struct {
	domains []string
	rate    int64
	burst   int64
}

var deployments = map[string]deployment{
	"viti":   {domains: []string{"a", "b", "c", "a"}, rate: 2000, burst: 8000},
	"kigali": {domains: []string{"a", "b", "c", "d"}, rate: 1000, burst: 4000},
}

// situation is what a measurement exposes the limiters to.
type scenario struct {
	load        float64 // of the tenant's rate that is offered
	skewed      bool    // the balancer sends all to one entry, then to another
	inject      func(w *cluster, owner *node)
	outage      time.Duration // for which an owner round trip fails everywhere
	cut         time.Duration // for which the owner's own entry is cut off
	maxWrongful int           // wrongful refusals allowed, in thousandths of the arrivals
}

// succession is the time in which the owner of a round-trip design is replaced.
const ownerReplacement = ownerTimeout + testFreshness

var scenarios = map[string]scenario{
	"inside the rate, even":   {load: 0.8, maxWrongful: 0},
	"inside the rate, skewed": {load: 0.8, skewed: true, maxWrongful: 5},
	"one at four times":       {load: 4, maxWrongful: 0},
	"owner crash": {load: 0.8, outage: ownerReplacement, maxWrongful: 120, inject: func(w *cluster, owner *node) {
		w.after(faultDelay, owner.kill)
		w.after(faultDelay+15*time.Second, owner.start)
	}},
	"pause beyond the lease": {load: 0.8, outage: ownerReplacement, maxWrongful: 120, inject: func(w *cluster, owner *node) {
		w.after(faultDelay, owner.pause)
		w.after(faultDelay+15*time.Second, owner.resume)
	}},
	"partition": {load: 0.8, outage: ownerReplacement, cut: 15 * time.Second, maxWrongful: 160, inject: func(w *cluster, owner *node) {
		w.after(faultDelay, func() { w.isolate(owner.index, true, true) })
		w.after(faultDelay+15*time.Second, func() { w.isolate(owner.index, true, false) })
	}},
}

// TestMeasuredAgainstBaselines offers the same requests to the fleet, to a
// static split and to an owner that is asked for each request. A refusal is
// wrongful if one exact bucket would have admitted the request.
func TestMeasuredAgainstBaselines(t *testing.T) {
	for place, d := range deployments {
		for name, s := range scenarios {
			t.Run(place+", "+name, func(t *testing.T) { compareWithBaselines(t, d, s) })
		}
	}
}

func compareWithBaselines(t *testing.T, d deployment, s scenario) {
	w := newCluster(t, clusterConfig{domains: d.domains, tenants: 5, rate: d.rate, burst: d.burst, floor: testFloor, seed: 1})
	w.run(warmUp)
	owner := w.owner(tenantName(0))
	before := w.stats
	start := w.now
	if s.inject != nil {
		s.inject(w, owner)
	}
	for i := range 5 {
		times := s.load
		if times > 1 && i > 0 {
			times = conformingLoad
		}
		w.offerLoad(tenantName(i), times*float64(d.rate), d.rate/10, loadSpan, w.balancer(start, s.skewed))
	}
	w.run(loadSpan + 5*time.Second)

	total := share{rate: milliRate(d.rate * milli), burst: tokens(d.burst)}
	part := share{rate: total.rate / milliRate(len(d.domains)), burst: total.burst / nanotokens(len(d.domains))}
	byTenant := func(a arrival) string { return a.tenant }
	byNode := func(a arrival) string { return fmt.Sprint(a.tenant, a.node) }
	ideal := replay(w.arrivals, &bucketBaseline{key: byTenant, share: total, byKey: map[string]*bucket{}})
	split := replay(w.arrivals, &bucketBaseline{key: byNode, share: part, byKey: map[string]*bucket{}})
	asked := &bucketBaseline{key: byTenant, share: total, byKey: map[string]*bucket{}}
	if s.outage > 0 {
		down := start.Add(faultDelay)
		asked.resetAt = down.Add(s.outage)
		asked.reachable = func(now time.Time, node int) bool {
			cut := node == owner.index && now.After(down) && now.Before(down.Add(s.cut))
			return !cut && (now.Before(down) || !now.Before(asked.resetAt))
		}
	}
	ours := make([]bool, len(w.arrivals))
	for i, a := range w.arrivals {
		ours[i] = a.admitted
	}
	answers := replay(w.arrivals, asked)
	n, calls := len(w.arrivals), w.stats.Calls-before.Calls
	wrong, wrongSplit, wrongAsked := w.countWrongful(s, ideal, ours), w.countWrongful(s, ideal, split), w.countWrongful(s, ideal, answers)
	span := (w.now.Sub(start)).Seconds()
	perDaemon := 2 * float64(w.stats.Bytes-before.Bytes+2*envelope*calls) / span / float64(len(d.domains))
	best := float64(w.admittedTokens(ideal))
	t.Logf("%d requests; overspent %d tokens; wrongful refusals %d (static split %d, owner asked %d); tokens admitted %.3f of the exact bucket's (%.3f, %.3f); admissions that waited %.3f (0, %.3f); calls for each admission %.3f; %.0f bytes/s for each daemon",
		n, w.stats.Overspent, wrong, wrongSplit, wrongAsked, float64(w.admittedTokens(ours))/best, float64(w.admittedTokens(split))/best, float64(w.admittedTokens(answers))/best,
		float64(w.stats.Delayed-before.Delayed)/float64(max(w.stats.Admitted, 1)), float64(len(d.domains)-1)/float64(len(d.domains)),
		float64(calls)/float64(max(w.stats.Admitted, 1)), perDaemon)
	if diff := cmp.Diff(int64(0), w.stats.Overspent); diff != "" {
		t.Errorf("overspent tokens (-want +got):\n%s", diff)
	}
	if limit := n * s.maxWrongful / 1000; wrong > limit {
		t.Errorf("%d wrongful refusals, want at most %d", wrong, limit)
	}
}

// wrongful counts the refusals of tenants inside their rate that the exact
// bucket does not make.
func (w *cluster) countWrongful(s scenario, ideal, got []bool) int {
	sum := 0
	for i, a := range w.arrivals {
		if ideal[i] && !got[i] && (s.load <= 1 || a.tenant != tenantName(0)) {
			sum++
		}
	}
	return sum
}

// spent returns the tokens of the requests that were admitted.
func (w *cluster) admittedTokens(admitted []bool) int64 {
	var sum int64
	for i, a := range w.arrivals {
		if admitted[i] {
			sum += a.size
		}
	}
	return sum
}

// balance spreads requests over the entries that the platform's balancer
// reaches.
func (w *cluster) balancer(start time.Time, skewed bool) func() int {
	return func() int {
		var up []int
		for _, n := range w.nodes {
			if n.alive && !n.paused {
				up = append(up, n.index)
			}
		}
		if skewed {
			return up[int(w.now.Sub(start)/(5*time.Second))%len(up)]
		}
		return up[w.random.IntN(len(up))]
	}
}

// TestControlTrafficBySize gives the slope of control traffic with the number
// of entries, at the same requests for the whole fleet.
func TestControlTrafficBySize(t *testing.T) {
	const rate, size, tenants = 100_000, 460, 12
	for _, entries := range []int{4, 16, 64} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			config := clusterConfig{tenants: tenants, rate: rate, burst: 4 * rate, floor: testFloor, seed: 1}
			for i := range entries {
				config.domains = append(config.domains, fmt.Sprint("d", i%6))
			}
			w := newCluster(t, config)
			w.run(warmUp)
			before := w.stats
			first := make([]int, len(w.nodes))
			for i, n := range w.nodes {
				first[i] = n.bytes
			}
			for i := range tenants {
				w.offerLoad(tenantName(i), 1000*size/tenants, size, 10*time.Second, w.balancer(w.now, false))
			}
			w.run(10 * time.Second)
			most := 0
			for i, n := range w.nodes {
				most = max(most, n.bytes-first[i])
			}
			admitted := w.stats.Admitted - before.Admitted
			t.Logf("round trips for each admission %.3f; bytes/s: mean %.0f, busiest daemon %d",
				float64(w.stats.Calls-before.Calls)/float64(admitted),
				2*float64(w.stats.Bytes-before.Bytes+2*envelope*(w.stats.Calls-before.Calls))/10/float64(entries), most/10)
		})
	}
}

// BenchmarkAdmission measures the processor time of one request that is
// admitted from the stock.
func BenchmarkAdmission(b *testing.B) {
	for _, tenants := range []int{5, 50, 500} {
		b.Run(fmt.Sprintf("%d tenants", tenants), func(b *testing.B) {
			w := newCluster(b, clusterConfig{domains: []string{"a"}, tenants: tenants, rate: 1_000_000_000, burst: 4_000_000_000, floor: testFloor, seed: 1})
			w.run(warmUp)
			n := w.nodes[0]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				n.core.Handle(n.clock(), NewAdmissionRequested(testRequest(tenantName(i%tenants))))
				n.core.Handle(n.clock(), NewRefund(tenantName(i%tenants), 460))
			}
		})
	}
}

// BenchmarkLend measures the processor time of one call at an owner.
func BenchmarkLend(b *testing.B) {
	w := newCluster(b, clusterConfig{domains: []string{"a"}, tenants: 1, rate: 1_000_000_000, burst: 4_000_000_000, floor: testFloor, seed: 1})
	w.run(warmUp)
	n := w.nodes[0]
	need := notice.NewNeed(notice.NeedConfig{Tenant: tenantName(0), Least: 1, All: 1})
	reply := ring.New(ring.Config{Capacity: 1})
	b.ReportAllocs()
	for serial := int64(1); b.Loop(); serial++ {
		back := notice.NewGiveBack(notice.GiveBackConfig{Tenant: tenantName(0), Serial: serial - 1, Tokens: 1})
		lend := notice.NewLend(notice.LendConfig{Holder: "x/1", Serial: serial, Needs: []notice.Need{need}, GiveBacks: []notice.GiveBack{back}})
		n.core.Handle(n.clock(), NewLendRequested(lend, reply))
	}
}
