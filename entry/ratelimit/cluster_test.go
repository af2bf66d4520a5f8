package ratelimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/entry/router"
)

const (
	testFreshness = 3 * time.Second
	testAllowance = 2 * time.Second
	testFloor     = 20
	logPeriod     = 100 * time.Millisecond
)

// event is a scheduled function call in virtual time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// clusterConfig describes a cluster of entries and its network.
type clusterConfig struct {
	domains    []string // failure domain of each entry
	tenants    int
	rate       int64
	burst      int64
	duplicated float64 // fraction of messages that arrive twice
	delayed    float64 // fraction of messages that are delayed by up to 4 s
	floor      int
	seed       uint64
}

// cluster simulates entries in virtual time over an unreliable network and
// compares what they admit with one exact bucket for each tenant.
type cluster struct {
	config       clusterConfig
	random       *rand.Rand
	now          time.Time
	events       eventQueue
	order        int
	log          [][]byte
	nodes        []*node
	disconnected map[[2]int]bool // by pair of nodes; node -1 is the log
	exact        map[string]*bucket
	requests     int
	stats        stats
	arrivals     []arrival
}

// stats are the counters of a run.
type stats struct {
	Offered, Admitted, Refused int
	Overspent                  int64 // tokens admitted beyond rate and burst
	Calls, Bytes, Appends      int
	Delayed                    int           // requests admitted after a wait
	Waited                     time.Duration // total wait of admitted requests
}

// node is one entry.
type node struct {
	cluster     *cluster
	index       int
	name        string
	core        *Core
	skew        time.Duration // offset of its clock
	incarnation int

	bytes    int  // control traffic sent and received
	replaced bool // another node has taken its name
	running  bool
	paused   bool
	deferred []func()
	revision *fleetstate.Revision
	freshAt  time.Time // time of the last completed log read, by the node's clock
	open     map[string]openRequest
}

type openRequest struct {
	index   int // index of its arrival
	request router.Request
	at      time.Time
	unused  int64
	length  time.Duration
}

func newCluster(t testing.TB, config clusterConfig) *cluster {
	t.Helper()
	c := &cluster{
		config: config, random: rand.New(rand.NewPCG(config.seed, 7)), now: time.Unix(1_000_000, 0),
		disconnected: make(map[[2]int]bool), exact: make(map[string]*bucket),
	}
	var text strings.Builder
	for i, domain := range config.domains {
		fmt.Fprintf(&text, "[instance e%d]\nrole = entry\nlink = 127.0.0.1:%d\ndomain = %s\n", i, i+1, domain)
	}
	for i := range config.tenants {
		fmt.Fprintf(&text, "[tenant t%d]\nrate = %d\nburst = %d\n", i, config.rate, config.burst)
		total := share{rate: milliRate(config.rate * milli), burst: tokens(config.burst)}
		c.exact[tenantName(i)] = &bucket{share: total, level: total.burst, updated: c.now}
	}
	c.append(t, fleetstate.RecordConfig{Change: "i", Kind: fleetstate.KindReplace, Inventory: text.String()})
	for i := range config.domains {
		n := &node{cluster: c, index: i, name: fmt.Sprintf("e%d", i), skew: time.Duration(c.random.IntN(1000)) * time.Hour}
		c.nodes = append(c.nodes, n)
		n.start()
		c.repeat(tickPeriod, n, n.tick)
		c.repeat(logPeriod, n, n.readLog)
	}
	return c
}

func tenantName(i int) string { return fmt.Sprintf("t%d", i) }

func (c *cluster) append(t testing.TB, config fleetstate.RecordConfig) {
	data, err := fleetstate.NewRecord(config).Encode()
	if err != nil {
		t.Fatal(err)
	}
	c.log = append(c.log, data)
}

func (c *cluster) after(delay time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, event{at: c.now.Add(delay), order: c.order, run: run})
}

func (c *cluster) repeat(period time.Duration, n *node, run func()) {
	var runAndReschedule func()
	runAndReschedule = func() {
		if n.running && !n.paused {
			run()
		}
		c.after(period, runAndReschedule)
	}
	c.after(time.Duration(c.random.Int64N(int64(period))), runAndReschedule)
}

// run advances virtual time by span and runs the events that are due.
func (c *cluster) run(span time.Duration) {
	end := c.now.Add(span)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// connected reports whether two nodes can communicate.
func (c *cluster) connected(a, b int) bool { return !c.disconnected[[2]int{min(a, b), max(a, b)}] }

// send delivers a message between connected nodes, possibly delayed or twice.
func (c *cluster) send(from, to int, run func()) {
	if !c.connected(from, to) {
		return
	}
	times := 1
	if c.random.Float64() < c.config.duplicated {
		times = 2
	}
	for range times {
		delay := time.Duration(200+c.random.IntN(2000)) * time.Microsecond
		if c.random.Float64() < c.config.delayed {
			delay += time.Duration(c.random.Int64N(int64(4 * time.Second)))
		}
		c.after(delay, run)
	}
}

// start starts a new incarnation of the node.
func (n *node) start() {
	n.incarnation++
	n.running, n.paused, n.deferred, n.revision, n.freshAt = true, false, nil, nil, time.Time{}
	n.open = make(map[string]openRequest)
	n.core = NewCore(CoreConfig{
		Instance: n.name, Incarnation: fmt.Sprintf("%s/%d", n.name, n.incarnation),
		Freshness: testFreshness, AllowanceTTL: testAllowance, FloorPercent: n.cluster.config.floor, Proof: n,
	})
}

func (n *node) kill() { n.running, n.deferred = false, nil }

func (n *node) clock() time.Time { return n.cluster.now.Add(n.skew) }

// Fresh implements FreshnessProof.
func (n *node) Fresh(now time.Time, _ int64) bool {
	return !n.freshAt.IsZero() && now.Sub(n.freshAt) <= testFreshness
}

// do runs a function at the node: at once, after resume if the node is paused, or
// not at all if it is not running.
func (n *node) do(run func()) {
	switch {
	case !n.running:
	case n.paused:
		n.deferred = append(n.deferred, run)
	default:
		run()
	}
}

func (n *node) pause() { n.paused = n.running }

func (n *node) resume() {
	if !n.paused {
		return
	}
	held := n.deferred
	n.paused, n.deferred = false, nil
	for _, run := range held {
		n.do(run)
	}
}

func (n *node) tick() { n.execute(n.core.Tick(n.clock())) }

func (n *node) handle(message Message) { n.execute(n.core.Handle(n.clock(), message)) }

// readLog reads the whole log. The node's freshness counts from the time at which
// the read was sent.
func (n *node) readLog() {
	c, sent, start := n.cluster, n.clock(), n.incarnation
	c.send(n.index, -1, func() {
		records := c.log
		c.send(n.index, -1, func() {
			n.do(func() {
				if n.incarnation == start {
					n.applyLog(records, sent)
				}
			})
		})
	})
}

func (n *node) applyLog(records [][]byte, sent time.Time) {
	revision := n.revision
	if revision == nil {
		revision = fleetstate.InitialRevision()
	}
	for offset := revision.Offset(); offset < int64(len(records)); offset++ {
		revision, _ = revision.Apply(offset, records[offset])
	}
	if revision != n.revision {
		n.revision = revision
		n.handle(NewRevisionChanged(revision))
	}
	if sent.After(n.freshAt) {
		n.freshAt = sent
	}
}

func (n *node) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Admit:
			n.admitted(a.request)
		case Refuse:
			n.cluster.stats.Refused++
			delete(n.open, a.request)
		case SendLend:
			n.sendLend(a)
		case SendHandOver:
			n.sendHandOver(a)
		case Append:
			n.appendClaim(a.record)
		case Reply:
			_ = a.reply.Put(a.answer)
		}
	}
}

func (n *node) appendClaim(record fleetstate.Record) {
	c := n.cluster
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	c.send(n.index, -1, func() {
		c.log = append(c.log, data)
		c.stats.Appends++
	})
}

func (c *cluster) node(name string) *node {
	for _, n := range c.nodes {
		if n.name == name && !n.replaced {
			return n
		}
	}
	return nil
}

func encodedSize(message interface{ MarshalBinary() ([]byte, error) }) int {
	data, err := message.MarshalBinary()
	if err != nil {
		panic(err)
	}
	return len(data)
}

func (n *node) sendLend(a SendLend) {
	c, to, start := n.cluster, n.cluster.node(a.peer), n.incarnation
	c.stats.Calls++
	c.stats.Bytes += encodedSize(a.lend)
	n.bytes += encodedSize(a.lend) + messageOverhead
	to.bytes += encodedSize(a.lend) + messageOverhead
	answered := func(loans protocol.Loans, err error) {
		n.do(func() {
			if n.incarnation == start {
				n.handle(NewLendAnswered(a.peer, a.lend.Serial(), loans, err))
			}
		})
	}
	c.after(callTimeout, func() { answered(protocol.Loans{}, errTest) })
	c.send(n.index, to.index, func() {
		to.do(func() {
			reply := ring.New(ring.Config{Capacity: 1})
			to.handle(NewLendRequested(a.lend, reply))
			answer, ok := take(reply).(protocol.Loans)
			if !ok {
				return
			}
			c.stats.Bytes += encodedSize(answer)
			n.bytes += encodedSize(answer) + messageOverhead
			to.bytes += encodedSize(answer) + messageOverhead
			c.send(n.index, to.index, func() { answered(answer, nil) })
		})
	})
}

func (n *node) sendHandOver(a SendHandOver) {
	c, to, start := n.cluster, n.cluster.node(a.peer), n.incarnation
	answered := func(taken bool) {
		n.do(func() {
			if n.incarnation == start {
				n.handle(NewHandOverAnswered(a.handOver.Role(), taken))
			}
		})
	}
	c.after(callTimeout, func() { answered(false) })
	c.send(n.index, to.index, func() {
		to.do(func() {
			reply := ring.New(ring.Config{Capacity: 1})
			to.handle(NewHandOverRequested(a.handOver, reply))
			if answer, ok := take(reply).(protocol.HandedOver); ok {
				c.send(n.index, to.index, func() { answered(answer.Accepted()) })
			}
		})
	})
}

func take(reply *ring.Ring) any {
	var item [1]any
	reply.Drain(item[:])
	return item[0]
}

var errTest = fmt.Errorf("no answer")

// offer sends a new request to a node.
func (c *cluster) offer(index int, tenant string, size, unused int64, length time.Duration) {
	c.requests++
	c.stats.Offered++
	n := c.nodes[index]
	id := fmt.Sprintf("r%d", c.requests)
	request := router.NewRequest(router.RequestConfig{ID: id, Tenant: tenant, Tokens: size})
	c.arrivals = append(c.arrivals, arrival{at: c.now, node: index, tenant: tenant, size: size, unused: unused, length: length})
	if !n.running {
		c.stats.Refused++
		return
	}
	r := openRequest{index: c.requests - 1, request: request, at: c.now, unused: unused, length: length}
	n.do(func() {
		n.open[id] = r
		n.handle(NewAdmissionRequested(request))
	})
}

// admitted counts a request against the exact bucket. When its answer ends, its
// unused tokens are returned to both buckets.
func (n *node) admitted(request router.Request) {
	c, r, start := n.cluster, n.open[request.ID()], n.incarnation
	delete(n.open, request.ID())
	c.stats.Admitted++
	c.arrivals[r.index].admitted = true
	if c.now.After(r.at) {
		c.stats.Delayed++
	}
	c.stats.Waited += c.now.Sub(r.at)
	exact := c.exact[request.Tenant()]
	exact.advance(c.now)
	exact.level -= tokens(request.Tokens())
	if exact.level < 0 {
		c.stats.Overspent += ceilTokens(-exact.level)
		exact.level = 0
	}
	c.after(r.length, func() {
		n.do(func() {
			if n.incarnation != start {
				return
			}
			exact.advance(c.now)
			exact.add(tokens(r.unused))
			n.handle(NewRefund(request.Tenant(), r.unused))
		})
	})
}

// owner returns the node that holds the claim to a tenant's bucket, or nil.
func (c *cluster) owner(tenant string) *node {
	revision := fleetstate.InitialRevision()
	for offset, data := range c.log {
		revision, _ = revision.Apply(int64(offset), data)
	}
	claim, ok := revision.Claim(ownerRole(tenant))
	if !ok {
		return nil
	}
	return c.node(instanceName(claim.Holder()))
}

// offerLoad offers a tenant's requests at a rate in tokens per second to the
// nodes that pickNode returns.
func (c *cluster) offerLoad(tenant string, rate float64, size int64, span time.Duration, pickNode func() int) {
	end := c.now.Add(span)
	var next func()
	next = func() {
		if !c.now.Before(end) {
			return
		}
		n := 1 + c.random.Int64N(2*size-1)
		c.offer(pickNode(), tenant, n, c.random.Int64N(n), time.Duration(c.random.IntN(3000))*time.Millisecond)
		c.after(time.Duration(c.random.ExpFloat64()*float64(size)/rate*float64(time.Second)), next)
	}
	next()
}

// testRequest returns a request of typical size.
func testRequest(tenant string) router.Request {
	return router.NewRequest(router.RequestConfig{ID: "r", Tenant: tenant, Tokens: 460})
}
