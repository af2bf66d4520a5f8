package ratelimit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/testkit"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testkit.RunRapid(m, "1", map[string]string{"checks": "40"}) }

const (
	testRate  = 1000
	testBurst = 4000
	testSize  = 60
	testSpan  = 25 * time.Second
)

func testConfig(seed uint64) clusterConfig {
	return clusterConfig{domains: []string{"a", "b", "c", "a"}, tenants: 1, rate: testRate, burst: testBurst, floor: testFloor, seed: seed}
}

// drawConfig draws a cluster whose tenant's bucket refills within seconds or much
// later, and whose rate and burst are mostly the owner's or mostly divided among
// the floors.
func drawConfig(rt *rapid.T) clusterConfig {
	config := testConfig(rapid.Uint64().Draw(rt, "seed"))
	config.burst = rapid.SampledFrom([]int64{2 * testRate, 4 * testRate, 40 * testRate}).Draw(rt, "burst")
	config.floor = rapid.SampledFrom([]int{testFloor, 95}).Draw(rt, "floor")
	return config
}

// faults are the cases of TestNoTenantGetsMoreThanRateAndBurst. Each gets a
// running cluster and the tenant's owner, and injects its faults while the load
// runs for testSpan.
var faults = map[string]struct {
	duplicated, delayed float64
	inject              func(c *cluster, owner *node)
}{
	"none": {inject: func(*cluster, *node) {}},
	"owner killed": {inject: func(c *cluster, owner *node) {
		c.after(5*time.Second, owner.kill)
		c.after(9*time.Second, owner.start)
	}},
	"owner killed and restarted at once": {inject: func(c *cluster, owner *node) {
		c.after(5*time.Second, owner.kill)
		c.after(5*time.Second+time.Millisecond, owner.start)
	}},
	"owner paused past its claim": {inject: func(c *cluster, owner *node) {
		c.after(5*time.Second, owner.pause)
		c.after(14*time.Second, owner.resume)
	}},
	"owner cut off from the entries, not from the log": {inject: func(c *cluster, owner *node) {
		c.after(5*time.Second, func() { c.isolate(owner.index, false, true) })
		c.after(15*time.Second, func() { c.isolate(owner.index, false, false) })
	}},
	"owner cut off from the log, not from the entries": {inject: func(c *cluster, owner *node) {
		c.after(5*time.Second, func() { c.disconnected[[2]int{-1, owner.index}] = true })
		c.after(15*time.Second, func() { c.disconnected[[2]int{-1, owner.index}] = false })
	}},
	"two entries act as owner": {inject: func(c *cluster, owner *node) {
		// The owner keeps its callers, and for a while its freshness proof, but
		// does not see the claim that another entry appends meanwhile.
		c.after(5*time.Second, func() { c.isolate(owner.index, true, true) })
		c.after(16*time.Second, func() { c.isolate(owner.index, true, false) })
	}},
	"owner replaced while still running": {inject: func(c *cluster, owner *node) {
		c.after(5*time.Second, owner.replace)
	}},
	"spurious claims": {inject: func(c *cluster, owner *node) {
		c.after(4*time.Second, func() { c.disconnected[[2]int{-1, owner.index}] = true })
		for i := range 4 {
			c.after(time.Duration(4+3*i)*time.Second+100*time.Millisecond, func() { c.nodes[(owner.index+1+i)%4].claimSpuriously("t0") })
		}
		c.after(14*time.Second, func() { c.disconnected[[2]int{-1, owner.index}] = false })
	}},
	"messages duplicated and delayed": {duplicated: 0.5, delayed: 0.2, inject: func(*cluster, *node) {}},
	"planned stop of the owner": {inject: func(c *cluster, owner *node) {
		c.after(5*time.Second, func() { owner.do(func() { owner.handle(Drain{}) }) })
		c.after(8*time.Second, owner.kill)
		c.after(10*time.Second, owner.start)
	}},
	"planned stop with messages duplicated and delayed": {duplicated: 0.5, delayed: 0.2, inject: func(c *cluster, owner *node) {
		c.after(5*time.Second, func() { owner.do(func() { owner.handle(Drain{}) }) })
		c.after(12*time.Second, owner.kill)
		c.after(13*time.Second, owner.start)
	}},
}

// isolate cuts or restores the connections between a node and the other nodes, and
// also the log if log is set.
func (c *cluster) isolate(index int, log, disconnected bool) {
	for other := range c.nodes {
		if other != index {
			c.disconnected[[2]int{min(index, other), max(index, other)}] = disconnected
		}
	}
	if log {
		c.disconnected[[2]int{-1, index}] = disconnected
	}
}

// balancers are the ways in which load is distributed over the entries.
var balancers = map[string]func(c *cluster) func() int{
	"even": func(c *cluster) func() int { return func() int { return c.random.IntN(len(c.nodes)) } },
	"one entry, then another": func(c *cluster) func() int {
		began := c.now
		return func() int { return int(c.now.Sub(began)/(3*time.Second)) % len(c.nodes) }
	},
}

// TestNoTenantGetsMoreThanRateAndBurst guards against tokens that are admitted
// beyond a tenant's rate and burst under each of the faults.
func TestNoTenantGetsMoreThanRateAndBurst(t *testing.T) {
	for name, tc := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				config := drawConfig(rt)
				config.duplicated, config.delayed = tc.duplicated, tc.delayed
				c := newCluster(t, config)
				c.run(2 * time.Second)
				owner := c.owner("t0")
				if owner == nil {
					rt.Fatal("the tenant's bucket has no owner after 2 s")
				}
				tc.inject(c, owner)
				c.drawLoad(rt)
				c.run(testSpan)
				if diff := cmp.Diff(int64(0), c.stats.Overspent); diff != "" {
					rt.Errorf("overspent tokens (-want +got):\n%s", diff)
				}
				if c.stats.Admitted == 0 {
					rt.Error("nothing was admitted")
				}
			})
		})
	}
}

// drawLoad draws consecutive periods of no load, light load, or many times the
// tenant's rate.
func (c *cluster) drawLoad(rt *rapid.T) {
	pickNode := balancers[rapid.SampledFrom([]string{"even", "one entry, then another"}).Draw(rt, "balancer")](c)
	for at := time.Duration(0); at < testSpan; {
		load := rapid.SampledFrom([]float64{0, 0.3, 1, 6, 30}).Draw(rt, "load")
		span := time.Duration(rapid.IntRange(500, 6000).Draw(rt, "span")) * time.Millisecond
		if load > 0 {
			c.after(at, func() { c.offerLoad("t0", load*testRate, testSize, span, pickNode) })
		}
		at += span
	}
}

// TestAnyFaultsTogether checks the limits under random faults of any nodes at any
// times.
func TestAnyFaultsTogether(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		config := drawConfig(rt)
		config.duplicated = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "copies")
		config.delayed = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "late")
		c := newCluster(t, config)
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			n := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(rt, "node")]
			at := time.Duration(rapid.IntRange(0, 20000).Draw(rt, "at")) * time.Millisecond
			length := time.Duration(rapid.IntRange(1, 12000).Draw(rt, "length")) * time.Millisecond
			kind := rapid.IntRange(0, 7).Draw(rt, "kind")
			c.after(at, func() { n.fault(kind, true) })
			c.after(at+length, func() { n.fault(kind, false) })
		}
		c.drawLoad(rt)
		c.run(30 * time.Second)
		if diff := cmp.Diff(int64(0), c.stats.Overspent); diff != "" {
			rt.Errorf("overspent tokens (-want +got):\n%s", diff)
		}
	})
}

// fault begins or ends a fault of one kind.
func (n *node) fault(kind int, begin bool) {
	c := n.cluster
	switch {
	case kind == 0 && begin:
		n.kill()
	case kind == 0 && !n.running:
		n.start()
	case kind == 1 && begin:
		n.pause()
	case kind == 1:
		n.resume()
	case kind == 2:
		c.isolate(n.index, true, begin)
	case kind == 3:
		c.isolate(n.index, false, begin)
	case kind == 4:
		c.disconnected[[2]int{-1, n.index}] = begin
	case kind == 5 && begin:
		n.do(func() { n.handle(Drain{}) })
	case kind == 5 && n.running:
		n.kill()
		n.start()
	case kind == 6 && begin:
		n.replace()
	case kind == 7 && begin:
		n.claimSpuriously("t0")
	}
}

// replace starts a new instance in the node's place, as if the old one were dead.
// The old one keeps running and serving its callers, without connections to the
// other nodes and the log.
func (n *node) replace() {
	c := n.cluster
	old := *n
	old.index, old.replaced = len(c.nodes), true
	c.nodes = append(c.nodes, &old)
	old.core.config.Proof = &old
	c.isolate(old.index, true, true)
	c.repeat(tickPeriod, &old, old.tick)
	n.start()
}

// claimSpuriously claims a tenant's bucket although its owner has not failed.
func (n *node) claimSpuriously(tenant string) {
	n.do(func() {
		if t := n.core.groupClaims[ownerRole(tenant)]; !t.held && n.core.fresh(n.clock()) {
			n.core.appendClaim(n.clock(), t)
			n.execute(n.core.takeActions())
		}
	})
}
