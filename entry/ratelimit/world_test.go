package ratelimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
	"sesamewell.example/commons/ring"
	"sesamewell.example/entry/router"
)

const (
	testFreshness = 3 * time.Second
	testAllowance = 2 * time.Second
	testFloor     = 20
	logPeriod     = 100 * time.Millisecond
)

// event is something that happens in a world at a virtual time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].order < a[j].order
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// worldConfig describes a fleet of entries and its network.
type clusterConfig struct {
	domains    []string // of each entry
	tenants    int
	rate       int64
	burst      int64
	duplicated float64 // share of messages that arrive twice
	delayed    float64 // share of messages that arrive up to 4 s late
	floor      int
	seed       uint64
}

// world runs many cores in virtual time over a faulty network and compares what
// they admit with one exact bucket for each tenant.
type cluster struct {
	config   clusterConfig
	random   *rand.Rand
	now      time.Time
	events   eventQueue
	order    int
	log      [][]byte
	nodes    []*node
	cut      map[[2]int]bool // pairs of nodes; node -1 is the log
	exact    map[string]*bucket
	requests int
	stats    stats
	arrivals []arrival
}

// stats are what a run has counted.
type stats struct {
	Offered, Admitted, Refused int
	Overspent                  int64 // tokens beyond rate and burst
	Calls, Bytes, Appends      int
	Delayed                    int           // admitted after a wait
	Waited                     time.Duration // of admitted requests
}

// node is one entry.
type node struct {
	cluster     *cluster
	index       int
	name        string
	core        *Core
	skew        time.Duration // of its clock
	incarnation int

	bytes    int  // sent and received for control
	replaced bool // another node has its name
	alive    bool
	paused   bool
	deferred []func()
	revision *register.Revision
	freshAt  time.Time // by its own clock
	open     map[string]openRequest
}

type openRequest struct {
	index   int // of its arrival
	request router.Request
	at      time.Time
	unused  int64
	length  time.Duration
}

func newCluster(t testing.TB, config clusterConfig) *cluster {
	t.Helper()
	w := &cluster{
		config: config, random: rand.New(rand.NewPCG(config.seed, 7)), now: time.Unix(1_000_000, 0),
		cut: make(map[[2]int]bool), exact: make(map[string]*bucket),
	}
	var text strings.Builder
	for i, domain := range config.domains {
		fmt.Fprintf(&text, "[instance e%d]\nrole = entry\nlink = 127.0.0.1:%d\ndomain = %s\n", i, i+1, domain)
	}
	for i := range config.tenants {
		fmt.Fprintf(&text, "[tenant t%d]\nrate = %d\nburst = %d\n", i, config.rate, config.burst)
		total := share{rate: milliRate(config.rate * milli), burst: tokens(config.burst)}
		w.exact[tenantName(i)] = &bucket{share: total, level: total.burst, updated: w.now}
	}
	w.append(t, register.RecordConfig{Change: "i", Kind: register.Replace, Inventory: text.String()})
	for i := range config.domains {
		n := &node{cluster: w, index: i, name: fmt.Sprintf("e%d", i), skew: time.Duration(w.random.IntN(1000)) * time.Hour}
		w.nodes = append(w.nodes, n)
		n.start()
		w.repeat(tickPeriod, n, n.tick)
		w.repeat(logPeriod, n, n.readLog)
	}
	return w
}

func tenantName(i int) string { return fmt.Sprintf("t%d", i) }

func (w *cluster) append(t testing.TB, config register.RecordConfig) {
	data, err := register.NewRecord(config).Encode()
	if err != nil {
		t.Fatal(err)
	}
	w.log = append(w.log, data)
}

func (w *cluster) after(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(delay), order: w.order, run: run})
}

func (w *cluster) repeat(period time.Duration, n *node, run func()) {
	var again func()
	again = func() {
		if n.alive && !n.paused {
			run()
		}
		w.after(period, again)
	}
	w.after(time.Duration(w.random.Int64N(int64(period))), again)
}

// run lets virtual time pass.
func (w *cluster) run(span time.Duration) {
	end := w.now.Add(span)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// reached reports whether two ends are connected.
func (w *cluster) connected(a, b int) bool { return !w.cut[[2]int{min(a, b), max(a, b)}] }

// send carries a message: late, twice or never, as the network's faults have
// it.
func (w *cluster) send(from, to int, run func()) {
	if !w.connected(from, to) {
		return
	}
	times := 1
	if w.random.Float64() < w.config.duplicated {
		times = 2
	}
	for range times {
		delay := time.Duration(200+w.random.IntN(2000)) * time.Microsecond
		if w.random.Float64() < w.config.delayed {
			delay += time.Duration(w.random.Int64N(int64(4 * time.Second)))
		}
		w.after(delay, run)
	}
}

// start begins a new incarnation of the node.
func (n *node) start() {
	n.incarnation++
	n.alive, n.paused, n.deferred, n.revision, n.freshAt = true, false, nil, nil, time.Time{}
	n.open = make(map[string]openRequest)
	n.core = NewCore(CoreConfig{
		Instance: n.name, Incarnation: fmt.Sprintf("%s/%d", n.name, n.incarnation),
		Freshness: testFreshness, AllowanceTTL: testAllowance, FloorPercent: n.cluster.config.floor, Proof: n,
	})
}

func (n *node) kill() { n.alive, n.deferred = false, nil }

func (n *node) clock() time.Time { return n.cluster.now.Add(n.skew) }

// Fresh is the freshness proof as the log's readers keep it.
func (n *node) Fresh(now time.Time, _ int64) bool {
	return !n.freshAt.IsZero() && now.Sub(n.freshAt) <= testFreshness
}

// do runs something at the node: now, once it is resumed, or never.
func (n *node) do(run func()) {
	switch {
	case !n.alive:
	case n.paused:
		n.deferred = append(n.deferred, run)
	default:
		run()
	}
}

func (n *node) pause() { n.paused = n.alive }

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

func (n *node) tick() { n.perform(n.core.Tick(n.clock())) }

func (n *node) handle(message Message) { n.perform(n.core.Handle(n.clock(), message)) }

// readLog reads the whole log. The proof counts from before the read was sent.
func (n *node) readLog() {
	w, sent, start := n.cluster, n.clock(), n.incarnation
	w.send(n.index, -1, func() {
		records := w.log
		w.send(n.index, -1, func() {
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
		revision = register.Initial()
	}
	for offset := revision.Offset(); offset < int64(len(records)); offset++ {
		revision, _ = revision.Fold(offset, records[offset])
	}
	if revision != n.revision {
		n.revision = revision
		n.handle(NewRevised(revision))
	}
	if sent.After(n.freshAt) {
		n.freshAt = sent
	}
}

func (n *node) perform(actions []Action) {
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

func (n *node) appendClaim(record register.Record) {
	w := n.cluster
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	w.send(n.index, -1, func() {
		w.log = append(w.log, data)
		w.stats.Appends++
	})
}

func (w *cluster) node(name string) *node {
	for _, n := range w.nodes {
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
	w, to, start := n.cluster, n.cluster.node(a.peer), n.incarnation
	w.stats.Calls++
	w.stats.Bytes += encodedSize(a.lend)
	n.bytes += encodedSize(a.lend) + envelope
	to.bytes += encodedSize(a.lend) + envelope
	back := func(loans notice.Loans, err error) {
		n.do(func() {
			if n.incarnation == start {
				n.handle(NewLendAnswered(a.peer, a.lend.Serial(), loans, err))
			}
		})
	}
	w.after(callTimeout, func() { back(notice.Loans{}, errTest) })
	w.send(n.index, to.index, func() {
		to.do(func() {
			reply := ring.New(ring.Config{Capacity: 1})
			to.handle(NewLendRequested(a.lend, reply))
			answer, ok := take(reply).(notice.Loans)
			if !ok {
				return
			}
			w.stats.Bytes += encodedSize(answer)
			n.bytes += encodedSize(answer) + envelope
			to.bytes += encodedSize(answer) + envelope
			w.send(n.index, to.index, func() { back(answer, nil) })
		})
	})
}

func (n *node) sendHandOver(a SendHandOver) {
	w, to, start := n.cluster, n.cluster.node(a.peer), n.incarnation
	back := func(taken bool) {
		n.do(func() {
			if n.incarnation == start {
				n.handle(NewHandOverAnswered(a.handOver.Role(), taken))
			}
		})
	}
	w.after(callTimeout, func() { back(false) })
	w.send(n.index, to.index, func() {
		to.do(func() {
			reply := ring.New(ring.Config{Capacity: 1})
			to.handle(NewHandOverRequested(a.handOver, reply))
			if answer, ok := take(reply).(notice.HandedOver); ok {
				w.send(n.index, to.index, func() { back(answer.Taken()) })
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

// offer brings a request to a node and reports its number.
func (w *cluster) offer(index int, tenant string, size, unused int64, length time.Duration) {
	w.requests++
	w.stats.Offered++
	n := w.nodes[index]
	id := fmt.Sprintf("r%d", w.requests)
	ask := router.NewRequest(router.RequestConfig{ID: id, Tenant: tenant, Tokens: size})
	w.arrivals = append(w.arrivals, arrival{at: w.now, node: index, tenant: tenant, size: size, unused: unused, length: length})
	if !n.alive {
		w.stats.Refused++
		return
	}
	r := openRequest{index: w.requests - 1, request: ask, at: w.now, unused: unused, length: length}
	n.do(func() {
		n.open[id] = r
		n.handle(NewAdmissionRequested(ask))
	})
}

// admitted counts a request against the exact bucket; when its answer ends, its
// unused tokens go back to both.
func (n *node) admitted(ask router.Request) {
	w, r, start := n.cluster, n.open[ask.ID()], n.incarnation
	delete(n.open, ask.ID())
	w.stats.Admitted++
	w.arrivals[r.index].admitted = true
	if w.now.After(r.at) {
		w.stats.Delayed++
	}
	w.stats.Waited += w.now.Sub(r.at)
	exact := w.exact[ask.Tenant()]
	exact.advance(w.now)
	exact.level -= tokens(ask.Tokens())
	if exact.level < 0 {
		w.stats.Overspent += ceilTokens(-exact.level)
		exact.level = 0
	}
	w.after(r.length, func() {
		n.do(func() {
			if n.incarnation != start {
				return
			}
			exact.advance(w.now)
			exact.add(tokens(r.unused))
			n.handle(NewRefund(ask.Tenant(), r.unused))
		})
	})
}

// owner returns the node that holds the claim to a tenant's bucket, or nil.
func (w *cluster) owner(tenant string) *node {
	revision := register.Initial()
	for offset, data := range w.log {
		revision, _ = revision.Fold(int64(offset), data)
	}
	claim, ok := revision.Claim(ownerRole(tenant))
	if !ok {
		return nil
	}
	return w.node(instanceName(claim.Holder()))
}

// load offers a tenant's requests at a rate of tokens a second, to the nodes
// that pick returns.
func (w *cluster) offerLoad(tenant string, rate float64, size int64, span time.Duration, pick func() int) {
	end := w.now.Add(span)
	var next func()
	next = func() {
		if !w.now.Before(end) {
			return
		}
		n := 1 + w.random.Int64N(2*size-1)
		w.offer(pick(), tenant, n, w.random.Int64N(n), time.Duration(w.random.IntN(3000))*time.Millisecond)
		w.after(time.Duration(w.random.ExpFloat64()*float64(size)/rate*float64(time.Second)), next)
	}
	next()
}

// testAsk returns a request of the usual size.
func testRequest(tenant string) router.Request {
	return router.NewRequest(router.RequestConfig{ID: "r", Tenant: tenant, Tokens: 460})
}
