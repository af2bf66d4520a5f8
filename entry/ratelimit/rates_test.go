package ratelimit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/backstage"
)

// TestMain fixes what rapid draws.
func TestMain(m *testing.M) { backstage.Run(m, "1", map[string]string{"checks": "40"}) }

const (
	testRate  = 1000
	testBurst = 4000
	testSize  = 60
	testSpan  = 25 * time.Second
)

func testConfig(seed uint64) clusterConfig {
	return clusterConfig{domains: []string{"a", "b", "c", "a"}, tenants: 1, rate: testRate, burst: testBurst, floor: testFloor, seed: seed}
}

// drawFleet draws a fleet whose tenant refills within seconds or much later, and
// whose limits lie mostly with the owner or mostly in the floors.
func drawConfig(rt *rapid.T) clusterConfig {
	config := testConfig(rapid.Uint64().Draw(rt, "seed"))
	config.burst = rapid.SampledFrom([]int64{2 * testRate, 4 * testRate, 40 * testRate}).Draw(rt, "burst")
	config.floor = rapid.SampledFrom([]int{testFloor, 95}).Draw(rt, "floor")
	return config
}

// faults of the invariant's table. Each gets a running world and the tenant's
// owner; the load goes on for 20 seconds.
var faults = map[string]struct {
	copies, late float64
	inject       func(w *cluster, owner *node)
}{
	"none": {inject: func(*cluster, *node) {}},
	"owner killed": {inject: func(w *cluster, owner *node) {
		w.after(5*time.Second, owner.kill)
		w.after(9*time.Second, owner.start)
	}},
	"owner killed and restarted at once": {inject: func(w *cluster, owner *node) {
		w.after(5*time.Second, owner.kill)
		w.after(5*time.Second+time.Millisecond, owner.start)
	}},
	"owner paused past its claim": {inject: func(w *cluster, owner *node) {
		w.after(5*time.Second, owner.pause)
		w.after(14*time.Second, owner.resume)
	}},
	"owner cut off from the entries, not from the log": {inject: func(w *cluster, owner *node) {
		w.after(5*time.Second, func() { w.isolate(owner.index, false, true) })
		w.after(15*time.Second, func() { w.isolate(owner.index, false, false) })
	}},
	"owner cut off from the log, not from the entries": {inject: func(w *cluster, owner *node) {
		w.after(5*time.Second, func() { w.cut[[2]int{-1, owner.index}] = true })
		w.after(15*time.Second, func() { w.cut[[2]int{-1, owner.index}] = false })
	}},
	"two believe they own": {inject: func(w *cluster, owner *node) {
		// The owner keeps its callers and its proof for a while, but learns
		// nothing of the claim that its silence brings on.
		w.after(5*time.Second, func() { w.isolate(owner.index, true, true) })
		w.after(16*time.Second, func() { w.isolate(owner.index, true, false) })
	}},
	"owner replaced, but still running": {inject: func(w *cluster, owner *node) {
		w.after(5*time.Second, owner.replace)
	}},
	"claims without a reason": {inject: func(w *cluster, owner *node) {
		w.after(4*time.Second, func() { w.cut[[2]int{-1, owner.index}] = true })
		for i := range 4 {
			w.after(time.Duration(4+3*i)*time.Second+100*time.Millisecond, func() { w.nodes[(owner.index+1+i)%4].claimSpuriously("t0") })
		}
		w.after(14*time.Second, func() { w.cut[[2]int{-1, owner.index}] = false })
	}},
	"messages twice and late": {copies: 0.5, late: 0.2, inject: func(*cluster, *node) {}},
	"planned stop of the owner": {inject: func(w *cluster, owner *node) {
		w.after(5*time.Second, func() { owner.do(func() { owner.handle(Drain{}) }) })
		w.after(8*time.Second, owner.kill)
		w.after(10*time.Second, owner.start)
	}},
	"planned stop with messages twice and late": {copies: 0.5, late: 0.2, inject: func(w *cluster, owner *node) {
		w.after(5*time.Second, func() { owner.do(func() { owner.handle(Drain{}) }) })
		w.after(12*time.Second, owner.kill)
		w.after(13*time.Second, owner.start)
	}},
}

// isolate cuts a node off from the other nodes, and from the log if wanted.
func (w *cluster) isolate(index int, log, cut bool) {
	for other := range w.nodes {
		if other != index {
			w.cut[[2]int{min(index, other), max(index, other)}] = cut
		}
	}
	if log {
		w.cut[[2]int{-1, index}] = cut
	}
}

// balancers are the ways in which the platform spreads requests over entries.
var balancers = map[string]func(w *cluster) func() int{
	"even": func(w *cluster) func() int { return func() int { return w.random.IntN(len(w.nodes)) } },
	"one entry, then another": func(w *cluster) func() int {
		began := w.now
		return func() int { return int(w.now.Sub(began)/(3*time.Second)) % len(w.nodes) }
	},
}

func TestNoTenantGetsMoreThanRateAndBurst(t *testing.T) {
	for name, tc := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				config := drawConfig(rt)
				config.duplicated, config.delayed = tc.copies, tc.late
				w := newCluster(t, config)
				w.run(2 * time.Second)
				owner := w.owner("t0")
				if owner == nil {
					rt.Fatal("nobody owns the tenant's bucket after 2 s")
				}
				tc.inject(w, owner)
				w.drawLoad(rt)
				w.run(testSpan)
				if diff := cmp.Diff(int64(0), w.stats.Overspent); diff != "" {
					rt.Errorf("overspent tokens (-want +got):\n%s", diff)
				}
				if w.stats.Admitted == 0 {
					rt.Error("nothing was admitted")
				}
			})
		})
	}
}

// drawLoad offers nothing, little, or many times the tenant's rate, in turn.
func (w *cluster) drawLoad(rt *rapid.T) {
	pick := balancers[rapid.SampledFrom([]string{"even", "one entry, then another"}).Draw(rt, "balancer")](w)
	for at := time.Duration(0); at < testSpan; {
		times := rapid.SampledFrom([]float64{0, 0.3, 1, 6, 30}).Draw(rt, "load")
		span := time.Duration(rapid.IntRange(500, 6000).Draw(rt, "span")) * time.Millisecond
		if times > 0 {
			w.after(at, func() { w.offerLoad("t0", times*testRate, testSize, span, pick) })
		}
		at += span
	}
}

// TestAnyFaultsTogether draws faults of any node at any time.
func TestAnyFaultsTogether(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		config := drawConfig(rt)
		config.duplicated = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "copies")
		config.delayed = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "late")
		w := newCluster(t, config)
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(rt, "node")]
			at := time.Duration(rapid.IntRange(0, 20000).Draw(rt, "at")) * time.Millisecond
			length := time.Duration(rapid.IntRange(1, 12000).Draw(rt, "length")) * time.Millisecond
			kind := rapid.IntRange(0, 7).Draw(rt, "kind")
			w.after(at, func() { n.fault(kind, true) })
			w.after(at+length, func() { n.fault(kind, false) })
		}
		w.drawLoad(rt)
		w.run(30 * time.Second)
		if diff := cmp.Diff(int64(0), w.stats.Overspent); diff != "" {
			rt.Errorf("overspent tokens (-want +got):\n%s", diff)
		}
	})
}

// fault begins or ends a fault of one kind.
func (n *node) fault(kind int, begin bool) {
	w := n.cluster
	switch {
	case kind == 0 && begin:
		n.kill()
	case kind == 0 && !n.alive:
		n.start()
	case kind == 1 && begin:
		n.pause()
	case kind == 1:
		n.resume()
	case kind == 2:
		w.isolate(n.index, true, begin)
	case kind == 3:
		w.isolate(n.index, false, begin)
	case kind == 4:
		w.cut[[2]int{-1, n.index}] = begin
	case kind == 5 && begin:
		n.do(func() { n.handle(Drain{}) })
	case kind == 5 && n.alive:
		n.kill()
		n.start()
	case kind == 6 && begin:
		n.replace()
	case kind == 7 && begin:
		n.claimSpuriously("t0")
	}
}

// replace starts a new instance in the node's place, while the old one, which
// the platform believes dead, goes on with its callers and reaches nobody.
func (n *node) replace() {
	w := n.cluster
	old := *n
	old.index, old.replaced = len(w.nodes), true
	w.nodes = append(w.nodes, &old)
	old.core.config.Proof = &old
	w.isolate(old.index, true, true)
	w.repeat(tickPeriod, &old, old.tick)
	n.start()
}

// usurp claims a tenant's bucket without a reason.
func (n *node) claimSpuriously(tenant string) {
	n.do(func() {
		if t := n.core.groupClaims[ownerRole(tenant)]; !t.held && n.core.fresh(n.clock()) {
			n.core.appendClaim(n.clock(), t)
			n.perform(n.core.takeActions())
		}
	})
}
