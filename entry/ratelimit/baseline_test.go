package ratelimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
)

const (
	warmUp          = 5 * time.Second  // time before the first arrival in which the claims are made
	faultDelay      = 10 * time.Second // time from the first arrival to the fault
	loadSpan        = 40 * time.Second
	conformingLoad  = 0.8 // load of the conforming tenants, as a fraction of their rate
	messageOverhead = 150 // overhead of each message in bytes: net/rpc, TLS, TCP and IP
)

// arrival is one offered request.
type arrival struct {
	at       time.Time
	node     int
	tenant   string
	size     int64
	unused   int64
	length   time.Duration
	admitted bool
}

// baseline is a rate limiter of another design, with which the cluster is compared.
type baseline interface {
	admit(now time.Time, a arrival) bool
	refund(now time.Time, a arrival)
}

// replay offers the arrivals to a baseline and returns which were admitted.
func replay(arrivals []arrival, limiter baseline) []bool {
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
			limiter.refund(d.at, d.a)
			return true
		})
		if admitted[i] = limiter.admit(a.at, a); admitted[i] {
			pending = append(pending, due{a.at.Add(a.length), a})
		}
	}
	return admitted
}

// bucketBaseline is a baseline with one bucket for each key.
type bucketBaseline struct {
	key       func(a arrival) string
	share     share
	reachable func(now time.Time, node int) bool // whether a node reaches the bucket; nil if always
	resetAt   time.Time                          // time at which a successor starts with an empty bucket
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

// deployment describes a cluster on which the scenarios run.
type deployment struct {
	domains []string
	rate    int64
	burst   int64
}

var deployments = map[string]deployment{
	"viti":   {domains: []string{"a", "b", "c", "a"}, rate: 2000, burst: 8000},
	"kigali": {domains: []string{"a", "b", "c", "d"}, rate: 1000, burst: 4000},
}

// scenario is the load and the fault under which the designs are compared.
type scenario struct {
	load        float64 // offered load as a multiple of the tenant's rate
	skewed      bool    // the load balancer sends all requests to one entry at a time
	inject      func(c *cluster, owner *node)
	outage      time.Duration // period in which every round trip to the owner fails
	isolation   time.Duration // period in which the owner's entry is isolated
	maxWrongful int           // allowed wrongful refusals, in thousandths of the arrivals
}

// ownerReplacement is the time that a design with a round trip to the owner for
// each request takes to replace the owner.
const ownerReplacement = ownerTimeout + testFreshness

var scenarios = map[string]scenario{
	"within the rate, even":             {load: 0.8, maxWrongful: 0},
	"within the rate, skewed":           {load: 0.8, skewed: true, maxWrongful: 5},
	"one tenant at four times its rate": {load: 4, maxWrongful: 0},
	"owner crash": {load: 0.8, outage: ownerReplacement, maxWrongful: 120, inject: func(c *cluster, owner *node) {
		c.after(faultDelay, owner.kill)
		c.after(faultDelay+15*time.Second, owner.start)
	}},
	"owner paused past its claim": {load: 0.8, outage: ownerReplacement, maxWrongful: 120, inject: func(c *cluster, owner *node) {
		c.after(faultDelay, owner.pause)
		c.after(faultDelay+15*time.Second, owner.resume)
	}},
	"partition": {load: 0.8, outage: ownerReplacement, isolation: 15 * time.Second, maxWrongful: 160, inject: func(c *cluster, owner *node) {
		c.after(faultDelay, func() { c.isolate(owner.index, true, true) })
		c.after(faultDelay+15*time.Second, func() { c.isolate(owner.index, true, false) })
	}},
}

// TestMeasuredAgainstBaselines offers the same requests to the cluster, to a
// static split and to an owner that is called for each request. A refusal is
// wrongful if a single exact bucket would have admitted the request.
func TestMeasuredAgainstBaselines(t *testing.T) {
	for deploymentName, d := range deployments {
		for scenarioName, sc := range scenarios {
			t.Run(deploymentName+", "+scenarioName, func(t *testing.T) { compareWithBaselines(t, d, sc) })
		}
	}
}

func compareWithBaselines(t *testing.T, d deployment, sc scenario) {
	c := newCluster(t, clusterConfig{domains: d.domains, tenants: 5, rate: d.rate, burst: d.burst, floor: testFloor, seed: 1})
	c.run(warmUp)
	owner := c.owner(tenantName(0))
	before := c.stats
	start := c.now
	if sc.inject != nil {
		sc.inject(c, owner)
	}
	for i := range 5 {
		load := sc.load
		if load > 1 && i > 0 {
			load = conformingLoad
		}
		c.offerLoad(tenantName(i), load*float64(d.rate), d.rate/10, loadSpan, c.balancer(start, sc.skewed))
	}
	c.run(loadSpan + 5*time.Second)

	total := share{rate: milliRate(d.rate * milli), burst: tokens(d.burst)}
	perNode := share{rate: total.rate / milliRate(len(d.domains)), burst: total.burst / nanotokens(len(d.domains))}
	byTenant := func(a arrival) string { return a.tenant }
	byNode := func(a arrival) string { return fmt.Sprint(a.tenant, a.node) }
	ideal := replay(c.arrivals, &bucketBaseline{key: byTenant, share: total, byKey: map[string]*bucket{}})
	static := replay(c.arrivals, &bucketBaseline{key: byNode, share: perNode, byKey: map[string]*bucket{}})
	roundTrip := &bucketBaseline{key: byTenant, share: total, byKey: map[string]*bucket{}}
	if sc.outage > 0 {
		down := start.Add(faultDelay)
		roundTrip.resetAt = down.Add(sc.outage)
		roundTrip.reachable = func(now time.Time, node int) bool {
			isolated := node == owner.index && now.After(down) && now.Before(down.Add(sc.isolation))
			return !isolated && (now.Before(down) || !now.Before(roundTrip.resetAt))
		}
	}
	fleet := make([]bool, len(c.arrivals))
	for i, a := range c.arrivals {
		fleet[i] = a.admitted
	}
	roundTripAdmits := replay(c.arrivals, roundTrip)
	n, calls := len(c.arrivals), c.stats.Calls-before.Calls
	wrong, wrongStatic, wrongRoundTrip := c.countWrongful(sc, ideal, fleet), c.countWrongful(sc, ideal, static), c.countWrongful(sc, ideal, roundTripAdmits)
	span := (c.now.Sub(start)).Seconds()
	perEntry := 2 * float64(c.stats.Bytes-before.Bytes+2*messageOverhead*calls) / span / float64(len(d.domains))
	best := float64(c.admittedTokens(ideal))
	t.Logf("%d requests; overspent %d tokens; wrongful refusals %d (static split %d, round trips %d); tokens admitted %.3f of the exact bucket's (%.3f, %.3f); admissions that waited %.3f (0, %.3f); calls for each admission %.3f; %.0f bytes/s for each entry",
		n, c.stats.Overspent, wrong, wrongStatic, wrongRoundTrip, float64(c.admittedTokens(fleet))/best, float64(c.admittedTokens(static))/best, float64(c.admittedTokens(roundTripAdmits))/best,
		float64(c.stats.Delayed-before.Delayed)/float64(max(c.stats.Admitted, 1)), float64(len(d.domains)-1)/float64(len(d.domains)),
		float64(calls)/float64(max(c.stats.Admitted, 1)), perEntry)
	if diff := cmp.Diff(int64(0), c.stats.Overspent); diff != "" {
		t.Errorf("overspent tokens (-want +got):\n%s", diff)
	}
	if limit := n * sc.maxWrongful / 1000; wrong > limit {
		t.Errorf("%d wrongful refusals, want at most %d", wrong, limit)
	}
}

// countWrongful counts the refusals of conforming tenants' requests that the
// exact bucket admits.
func (c *cluster) countWrongful(sc scenario, exact, admitted []bool) int {
	sum := 0
	for i, a := range c.arrivals {
		if exact[i] && !admitted[i] && (sc.load <= 1 || a.tenant != tenantName(0)) {
			sum++
		}
	}
	return sum
}

// admittedTokens returns the tokens of the admitted requests.
func (c *cluster) admittedTokens(admitted []bool) int64 {
	var sum int64
	for i, a := range c.arrivals {
		if admitted[i] {
			sum += a.size
		}
	}
	return sum
}

// balancer distributes requests over the entries that are up.
func (c *cluster) balancer(start time.Time, skewed bool) func() int {
	return func() int {
		var up []int
		for _, n := range c.nodes {
			if n.running && !n.paused {
				up = append(up, n.index)
			}
		}
		if skewed {
			return up[int(c.now.Sub(start)/(5*time.Second))%len(up)]
		}
		return up[c.random.IntN(len(up))]
	}
}

// TestControlTrafficBySize logs how control traffic grows with the number of
// entries at a constant load on the cluster.
func TestControlTrafficBySize(t *testing.T) {
	const rate, size, tenants = 100_000, 460, 12
	for _, entries := range []int{4, 16, 64} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			config := clusterConfig{tenants: tenants, rate: rate, burst: 4 * rate, floor: testFloor, seed: 1}
			for i := range entries {
				config.domains = append(config.domains, fmt.Sprint("d", i%6))
			}
			c := newCluster(t, config)
			c.run(warmUp)
			before := c.stats
			first := make([]int, len(c.nodes))
			for i, n := range c.nodes {
				first[i] = n.bytes
			}
			for i := range tenants {
				c.offerLoad(tenantName(i), 1000*size/tenants, size, 10*time.Second, c.balancer(c.now, false))
			}
			c.run(10 * time.Second)
			most := 0
			for i, n := range c.nodes {
				most = max(most, n.bytes-first[i])
			}
			admitted := c.stats.Admitted - before.Admitted
			t.Logf("round trips for each admission %.3f; bytes/s: mean %.0f, busiest entry %d",
				float64(c.stats.Calls-before.Calls)/float64(admitted),
				2*float64(c.stats.Bytes-before.Bytes+2*messageOverhead*(c.stats.Calls-before.Calls))/10/float64(entries), most/10)
		})
	}
}

// BenchmarkAdmission measures the CPU time of a request that is admitted from
// the reserve.
func BenchmarkAdmission(b *testing.B) {
	for _, tenants := range []int{5, 50, 500} {
		b.Run(fmt.Sprintf("%d tenants", tenants), func(b *testing.B) {
			c := newCluster(b, clusterConfig{domains: []string{"a"}, tenants: tenants, rate: 1_000_000_000, burst: 4_000_000_000, floor: testFloor, seed: 1})
			c.run(warmUp)
			n := c.nodes[0]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				n.core.Handle(n.clock(), NewAdmissionRequested(testRequest(tenantName(i%tenants))))
				n.core.Handle(n.clock(), NewRefund(tenantName(i%tenants), 460))
			}
		})
	}
}

// BenchmarkLend measures the CPU time of one call at an owner.
func BenchmarkLend(b *testing.B) {
	c := newCluster(b, clusterConfig{domains: []string{"a"}, tenants: 1, rate: 1_000_000_000, burst: 4_000_000_000, floor: testFloor, seed: 1})
	c.run(warmUp)
	n := c.nodes[0]
	request := protocol.NewLoanRequest(protocol.LoanRequestConfig{Tenant: tenantName(0), Min: 1, Backlog: 1})
	reply := ring.New(ring.Config{Capacity: 1})
	b.ReportAllocs()
	for serial := int64(1); b.Loop(); serial++ {
		returned := protocol.NewReturn(protocol.ReturnConfig{Tenant: tenantName(0), Serial: serial - 1, Tokens: 1})
		lend := protocol.NewLend(protocol.LendConfig{Borrower: "x/1", Serial: serial, Requests: []protocol.LoanRequest{request}, Returns: []protocol.Return{returned}})
		n.core.Handle(n.clock(), NewLendRequested(lend, reply))
	}
}
