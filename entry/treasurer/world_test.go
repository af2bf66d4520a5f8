package treasurer

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

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// worldConfig describes a fleet of entries and its network.
type worldConfig struct {
	domains []string // of each entry
	tenants int
	rate    int64
	burst   int64
	copies  float64 // share of messages that arrive twice
	late    float64 // share of messages that arrive up to 4 s late
	floor   int
	seed    uint64
}

// world runs many cores in virtual time over a faulty network and compares what
// they admit with one exact bucket for each tenant.
type world struct {
	config   worldConfig
	random   *rand.Rand
	now      time.Time
	agenda   agenda
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
	world  *world
	index  int
	name   string
	core   *Core
	skew   time.Duration // of its clock
	starts int

	bytes    int  // sent and received for control
	replaced bool // another node has its name
	alive    bool
	paused   bool
	held     []func()
	revised  *register.Revision
	known    time.Time // by its own clock
	asked    map[string]request
}

type request struct {
	index  int // of its arrival
	ask    router.Request
	at     time.Time
	unused int64
	length time.Duration
}

func newWorld(t testing.TB, config worldConfig) *world {
	t.Helper()
	w := &world{
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
		w.exact[tenantName(i)] = &bucket{share: total, level: total.burst, at: w.now}
	}
	w.append(t, register.RecordConfig{Change: "i", Kind: register.Replace, Inventory: text.String()})
	for i := range config.domains {
		n := &node{world: w, index: i, name: fmt.Sprintf("e%d", i), skew: time.Duration(w.random.IntN(1000)) * time.Hour}
		w.nodes = append(w.nodes, n)
		n.start()
		w.every(tickPeriod, n, n.tick)
		w.every(logPeriod, n, n.readLog)
	}
	return w
}

func tenantName(i int) string { return fmt.Sprintf("t%d", i) }

func (w *world) append(t testing.TB, config register.RecordConfig) {
	data, err := register.NewRecord(config).Encode()
	if err != nil {
		t.Fatal(err)
	}
	w.log = append(w.log, data)
}

func (w *world) after(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.agenda, event{at: w.now.Add(delay), order: w.order, run: run})
}

func (w *world) every(period time.Duration, n *node, run func()) {
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
func (w *world) run(span time.Duration) {
	end := w.now.Add(span)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		next := heap.Pop(&w.agenda).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// reached reports whether two ends are connected.
func (w *world) reached(a, b int) bool { return !w.cut[[2]int{min(a, b), max(a, b)}] }

// send carries a message: late, twice or never, as the network's faults have
// it.
func (w *world) send(from, to int, run func()) {
	if !w.reached(from, to) {
		return
	}
	times := 1
	if w.random.Float64() < w.config.copies {
		times = 2
	}
	for range times {
		delay := time.Duration(200+w.random.IntN(2000)) * time.Microsecond
		if w.random.Float64() < w.config.late {
			delay += time.Duration(w.random.Int64N(int64(4 * time.Second)))
		}
		w.after(delay, run)
	}
}

// start begins a new incarnation of the node.
func (n *node) start() {
	n.starts++
	n.alive, n.paused, n.held, n.revised, n.known = true, false, nil, nil, time.Time{}
	n.asked = make(map[string]request)
	n.core = NewCore(CoreConfig{
		Instance: n.name, Incarnation: fmt.Sprintf("%s/%d", n.name, n.starts),
		Freshness: testFreshness, Allowance: testAllowance, Floor: n.world.config.floor, Proof: n,
	})
}

func (n *node) kill() { n.alive, n.held = false, nil }

func (n *node) clock() time.Time { return n.world.now.Add(n.skew) }

// Fresh is the freshness proof as the log's readers keep it.
func (n *node) Fresh(now time.Time, _ int64) bool {
	return !n.known.IsZero() && now.Sub(n.known) <= testFreshness
}

// do runs something at the node: now, once it is resumed, or never.
func (n *node) do(run func()) {
	switch {
	case !n.alive:
	case n.paused:
		n.held = append(n.held, run)
	default:
		run()
	}
}

func (n *node) pause() { n.paused = n.alive }

func (n *node) resume() {
	if !n.paused {
		return
	}
	held := n.held
	n.paused, n.held = false, nil
	for _, run := range held {
		n.do(run)
	}
}

func (n *node) tick() { n.carryOut(n.core.Tick(n.clock())) }

func (n *node) handle(message Message) { n.carryOut(n.core.Handle(n.clock(), message)) }

// readLog reads the whole log. The proof counts from before the read was sent.
func (n *node) readLog() {
	w, sent, start := n.world, n.clock(), n.starts
	w.send(n.index, -1, func() {
		records := w.log
		w.send(n.index, -1, func() {
			n.do(func() {
				if n.starts == start {
					n.fold(records, sent)
				}
			})
		})
	})
}

func (n *node) fold(records [][]byte, sent time.Time) {
	revision := n.revised
	if revision == nil {
		revision = register.Initial()
	}
	for offset := revision.Offset(); offset < int64(len(records)); offset++ {
		revision, _ = revision.Fold(offset, records[offset])
	}
	if revision != n.revised {
		n.revised = revision
		n.handle(NewRevised(revision))
	}
	if sent.After(n.known) {
		n.known = sent
	}
}

func (n *node) carryOut(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Admit:
			n.admitted(a.ask)
		case Refuse:
			n.world.stats.Refused++
			delete(n.asked, a.request)
		case Call:
			n.call(a)
		case Pass:
			n.pass(a)
		case Append:
			n.append(a.record)
		case Reply:
			_ = a.reply.Put(a.answer)
		}
	}
}

func (n *node) append(record register.Record) {
	w := n.world
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	w.send(n.index, -1, func() {
		w.log = append(w.log, data)
		w.stats.Appends++
	})
}

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name && !n.replaced {
			return n
		}
	}
	return nil
}

func size(message interface{ MarshalBinary() ([]byte, error) }) int {
	data, err := message.MarshalBinary()
	if err != nil {
		panic(err)
	}
	return len(data)
}

func (n *node) call(a Call) {
	w, to, start := n.world, n.world.node(a.peer), n.starts
	w.stats.Calls++
	w.stats.Bytes += size(a.lend)
	n.bytes += size(a.lend) + envelope
	to.bytes += size(a.lend) + envelope
	back := func(loans notice.Loans, err error) {
		n.do(func() {
			if n.starts == start {
				n.handle(NewLent(a.peer, a.lend.Serial(), loans, err))
			}
		})
	}
	w.after(callLimit, func() { back(notice.Loans{}, errTest) })
	w.send(n.index, to.index, func() {
		to.do(func() {
			reply := ring.New(ring.Config{Capacity: 1})
			to.handle(NewLendArrived(a.lend, reply))
			answer, ok := take(reply).(notice.Loans)
			if !ok {
				return
			}
			w.stats.Bytes += size(answer)
			n.bytes += size(answer) + envelope
			to.bytes += size(answer) + envelope
			w.send(n.index, to.index, func() { back(answer, nil) })
		})
	})
}

func (n *node) pass(a Pass) {
	w, to, start := n.world, n.world.node(a.peer), n.starts
	back := func(taken bool) {
		n.do(func() {
			if n.starts == start {
				n.handle(NewHandedOver(a.handOver.Role(), taken))
			}
		})
	}
	w.after(callLimit, func() { back(false) })
	w.send(n.index, to.index, func() {
		to.do(func() {
			reply := ring.New(ring.Config{Capacity: 1})
			to.handle(NewHandOverArrived(a.handOver, reply))
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
func (w *world) offer(index int, tenant string, size, unused int64, length time.Duration) {
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
	r := request{index: w.requests - 1, ask: ask, at: w.now, unused: unused, length: length}
	n.do(func() {
		n.asked[id] = r
		n.handle(NewAsk(ask))
	})
}

// admitted counts a request against the exact bucket; when its answer ends, its
// unused tokens go back to both.
func (n *node) admitted(ask router.Request) {
	w, r, start := n.world, n.asked[ask.ID()], n.starts
	delete(n.asked, ask.ID())
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
		w.stats.Overspent += missing(-exact.level)
		exact.level = 0
	}
	w.after(r.length, func() {
		n.do(func() {
			if n.starts != start {
				return
			}
			exact.advance(w.now)
			exact.add(tokens(r.unused))
			n.handle(NewRefund(ask.Tenant(), r.unused))
		})
	})
}

// owner returns the node that holds the claim to a tenant's bucket, or nil.
func (w *world) owner(tenant string) *node {
	revision := register.Initial()
	for offset, data := range w.log {
		revision, _ = revision.Fold(int64(offset), data)
	}
	claim, ok := revision.Claim(groupRole(tenant))
	if !ok {
		return nil
	}
	return w.node(holderName(claim.Holder()))
}

// load offers a tenant's requests at a rate of tokens a second, to the nodes
// that pick returns.
func (w *world) load(tenant string, rate float64, size int64, span time.Duration, pick func() int) {
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
func testAsk(tenant string) router.Request {
	return router.NewRequest(router.RequestConfig{ID: "r", Tenant: tenant, Tokens: 460})
}
