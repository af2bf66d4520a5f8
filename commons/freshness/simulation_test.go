package freshness_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/freshness"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/testkit"
)

// TestMain runs rapid with a fixed seed.
func TestMain(m *testing.M) { testkit.RunRapid(m, testkit.RapidSeed, nil) }

const (
	limit   = 3 * time.Second
	poll    = 750 * time.Millisecond
	step    = 25 * time.Millisecond
	horizon = 70 * time.Second
)

var start = time.Unix(1_000_000, 0)

// faultWindow is a fault of some nodes that lasts between two times after the start.
type faultWindow struct {
	from, until time.Duration
	nodes       []bool // true for each node that the fault affects
}

func (w faultWindow) covers(now time.Time, node int) bool {
	at := now.Sub(start)
	return at >= w.from && at < w.until && w.nodes[node]
}

// packet is a request or an answer in transit.
type packet struct {
	due     time.Time
	from    int
	to      int
	sent    time.Time // by the clock of the node that sent the request
	payload protocol.Freshness
	answer  bool
	query   bool // the request is a freshness.Query
}

// read is a log read in progress.
type read struct {
	sent    time.Time
	due     time.Time
	records []json.RawMessage
	from    int64
	head    int64
	failed  bool
}

// node is one process of the fleet.
type node struct {
	id           int
	core         *freshness.Core
	revision     *fleetstate.Revision
	read         *read
	nextRead     time.Time // time of the next log read
	lastReceived map[int]protocol.Freshness
	withdrawnAt  time.Time // when the node applied the withdrawal of the key
	lastRevision int64
}

// fleet simulates processes that share a log, in virtual time.
type fleet struct {
	now         time.Time
	nodes       []*node
	records     []json.RawMessage
	inFlight    []packet
	outages     []faultWindow // the affected nodes cannot read the log
	partitions  []faultWindow // the affected nodes reach neither the log nor the other nodes
	pauses      []faultWindow // the affected nodes do not run
	delay       time.Duration
	draw        func(n int) int
	withdrawnAt time.Time // when the first process applied the withdrawal of the key
	// lateness is the longest time for which a process acted on the key after
	// another process had applied its withdrawal.
	lateness time.Duration
	reverted bool
}

const inventory = "[tenant lantern]\nrate = 1\nburst = 1\n"

var keySection = fmt.Sprintf("[key k]\ntenant = lantern\nsha256 = %064d\n", 7)

func newFleet(size int, draw func(n int) int) *fleet {
	f := &fleet{now: start, draw: draw, delay: 5 * time.Millisecond}
	for id := range size {
		core := freshness.NewCore(freshness.CoreConfig{Limit: limit, Process: uint64(id + 1), Origin: start.Add(-time.Duration(id) * time.Hour)})
		f.nodes = append(f.nodes, &node{id: id, core: core, revision: fleetstate.InitialRevision(), lastReceived: make(map[int]protocol.Freshness)})
	}
	for _, n := range f.nodes {
		var peers []freshness.Peer
		for _, other := range f.nodes {
			if other != n {
				peers = append(peers, freshness.NewPeer(fmt.Sprint(other.id), ""))
			}
		}
		n.core.Handle(f.now, freshness.NewPeersListed(peers))
	}
	f.publish(0, inventory+keySection)
	return f
}

// publish appends a change to the log, as an operator that can reach the log does.
func (f *fleet) publish(base int64, text string) {
	record := fleetstate.NewRecord(fleetstate.RecordConfig{Change: fmt.Sprint(len(f.records)), Base: base, Kind: fleetstate.KindReplace, Inventory: text})
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	f.records = append(f.records, data)
}

func affected(faults []faultWindow, now time.Time, node int) bool {
	return slices.ContainsFunc(faults, func(w faultWindow) bool { return w.covers(now, node) })
}

// connected reports whether two nodes reach each other. Nodes in a partition
// reach only the other nodes of that partition.
func (f *fleet) connected(a, b int) bool {
	return !slices.ContainsFunc(f.partitions, func(w faultWindow) bool { return w.covers(f.now, a) != w.covers(f.now, b) })
}

// run simulates the fleet for span.
func (f *fleet) run(span time.Duration) {
	for until := f.now.Add(span); f.now.Before(until); f.now = f.now.Add(step) {
		for _, n := range f.nodes {
			if affected(f.pauses, f.now, n.id) {
				continue
			}
			f.deliver(n)
			f.readLog(n)
			f.execute(n, n.core.Tick(f.now))
			if f.draw(40) == 0 {
				f.sendRequest(n, f.draw(len(f.nodes)), false)
			}
			f.observe(n)
		}
	}
}

// readLog starts a log read that is due, or applies the result of one that has
// ended.
func (f *fleet) readLog(n *node) {
	if n.read == nil {
		if f.now.Before(n.nextRead) {
			return
		}
		n.read = f.startRead(n)
	}
	r := n.read
	if f.now.Before(r.due) {
		return
	}
	n.read = nil
	if r.failed {
		n.nextRead = f.now.Add(200 * time.Millisecond)
		return
	}
	f.execute(n, n.core.Handle(f.now, freshness.NewLogRead(r.sent, r.head)))
	for i, record := range r.records {
		next, _ := n.revision.Apply(r.from+int64(i), record)
		n.revision = next
	}
	f.execute(n, n.core.Handle(f.now, freshness.NewApplied(n.revision.StateOffset(), n.revision.Offset())))
}

// startRead starts a log read, which is a long poll. Its answer has the log as it
// was when the read was sent, the oldest answer that is allowed.
func (f *fleet) startRead(n *node) *read {
	from := n.revision.Offset()
	head := int64(len(f.records))
	r := &read{sent: f.now, from: from, head: head, records: f.records[from:]}
	wait := poll
	if from < head {
		wait = 0
	}
	r.due = f.now.Add(wait + f.delay)
	if affected(f.outages, f.now, n.id) || affected(f.partitions, f.now, n.id) {
		r.failed, r.due = true, f.now.Add(time.Duration(f.draw(2000))*time.Millisecond)
	}
	return r
}

func (f *fleet) deliver(n *node) {
	var later, due []packet
	for _, m := range f.inFlight {
		if m.to == n.id && !f.now.Before(m.due) {
			due = append(due, m)
		} else {
			later = append(later, m)
		}
	}
	f.inFlight = later
	for _, m := range due {
		if m.answer {
			name := ""
			if m.query {
				name = fmt.Sprint(m.from)
			}
			n.lastReceived[m.from] = m.payload
			f.execute(n, n.core.Handle(f.now, freshness.NewAnswered(name, m.sent, m.payload)))
			continue
		}
		f.execute(n, n.core.Handle(f.now, freshness.NewReceived(m.payload)))
		f.send(packet{from: n.id, to: m.from, sent: m.sent, query: m.query, answer: true, payload: n.core.View().Freshness(f.now, m.payload)})
	}
}

func (f *fleet) execute(n *node, actions []freshness.Action) {
	for _, action := range actions {
		if query, ok := action.(freshness.Query); ok {
			var to int
			if _, err := fmt.Sscan(query.Peer().Name(), &to); err != nil {
				panic(err)
			}
			f.sendRequest(n, to, true)
		}
	}
}

func (f *fleet) sendRequest(n *node, to int, query bool) {
	if to != n.id {
		f.send(packet{from: n.id, to: to, sent: f.now, query: query, payload: n.core.View().Freshness(f.now, n.lastReceived[to])})
	}
}

// send puts a packet in transit: 1 in 50 is delayed for up to 8 s, the others for
// up to 20 ms. A packet to an unreachable node is lost.
func (f *fleet) send(m packet) {
	if !f.connected(m.from, m.to) {
		return
	}
	late := 1 + f.draw(20)
	if f.draw(50) == 0 {
		late = f.draw(8000)
	}
	m.due = f.now.Add(time.Duration(late) * time.Millisecond)
	f.inFlight = append(f.inFlight, m)
}

// observe records how long after its withdrawal the node may still act on the key,
// and whether the node went back to an older revision.
func (f *fleet) observe(n *node) {
	f.reverted = f.reverted || n.revision.Number() < n.lastRevision
	n.lastRevision = n.revision.Number()
	if n.lastRevision >= 2 {
		if n.withdrawnAt.IsZero() {
			n.withdrawnAt = f.now
		}
		if f.withdrawnAt.IsZero() {
			f.withdrawnAt = f.now
		}
		return
	}
	if !f.withdrawnAt.IsZero() && n.mayAct(f.now) {
		f.lateness = max(f.lateness, f.now.Sub(f.withdrawnAt))
	}
}

func (n *node) mayAct(now time.Time) bool {
	return n.revision.Number() > 0 && n.core.View().Fresh(now, n.revision.StateOffset())
}

func (f *fleet) countActing() int {
	count := 0
	for _, n := range f.nodes {
		if n.mayAct(f.now) {
			count++
		}
	}
	return count
}

func drawFaults(t *rapid.T, name string, size, longest int) []faultWindow {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultWindow {
		from := time.Duration(rapid.IntRange(4000, 25000).Draw(t, "from")) * time.Millisecond
		span := time.Duration(rapid.IntRange(100, longest).Draw(t, "span")) * time.Millisecond
		return faultWindow{from: from, until: from + span, nodes: rapid.SliceOfN(rapid.Bool(), size, size).Draw(t, "nodes")}
	}), 0, 3).Draw(t, name)
}

// TestWithdrawnKeyExpiresWithinLimit guards against a process that still acts on a
// key when limit has passed since another one applied its withdrawal. Before and
// after the withdrawal, single processes and groups are partitioned, processes
// pause for up to 30 s, and the log is down or slow.
func TestWithdrawnKeyExpiresWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 6).Draw(t, "size")
		seed := rapid.Uint64().Draw(t, "seed")
		f := newFleet(size, newDraw(seed))
		f.partitions = drawFaults(t, "partitions", size, 30000)
		f.pauses = drawFaults(t, "pauses", size, 30000)
		f.outages = drawFaults(t, "outages", size, 20000)
		for i := range f.outages {
			f.outages[i].nodes = slices.Repeat([]bool{true}, size)
		}
		f.delay = time.Duration(rapid.IntRange(1, 2500).Draw(t, "delay")) * time.Millisecond
		f.run(time.Duration(rapid.IntRange(5000, 25000).Draw(t, "withdrawal")) * time.Millisecond)
		f.publish(1, inventory)
		f.run(horizon - f.now.Sub(start))
		if f.lateness >= limit {
			t.Errorf("a process acted on the key %s after another had applied the withdrawal; the limit is %s", f.lateness, limit)
		}
		if f.reverted {
			t.Error("a process went back to an older revision")
		}
		for _, n := range f.nodes {
			if n.lastRevision != 2 {
				t.Errorf("process %d has revision %d at the end", n.id, n.lastRevision)
			}
		}
	})
}

// newDraw returns a generator of random numbers below n for a fleet.
func newDraw(seed uint64) func(n int) int {
	random := rand.New(rand.NewPCG(seed, 1))
	return random.IntN
}

// TestOutages checks how many processes may act during and after faults.
func TestOutages(t *testing.T) {
	all := []bool{true, true, true, true}
	cases := map[string]struct {
		outages    []faultWindow
		partitions []faultWindow
		pauses     []faultWindow
		want       []int // number of processes that may act after 4, 8.5, 20 and 40 s
	}{
		"no fault":                                 {want: []int{4, 4, 4, 4}},
		"log down for all nodes":                   {outages: []faultWindow{{from: 5 * time.Second, until: 30 * time.Second, nodes: all}}, want: []int{4, 4, 4, 4}},
		"one partitioned":                          {partitions: []faultWindow{{from: 4 * time.Second, until: 30 * time.Second, nodes: []bool{true, false, false, false}}}, want: []int{4, 3, 3, 4}},
		"three partitioned together":               {partitions: []faultWindow{{from: 4 * time.Second, until: 30 * time.Second, nodes: []bool{true, true, true, false}}}, want: []int{4, 1, 1, 4}},
		"log down for three":                       {outages: []faultWindow{{from: 4 * time.Second, until: 30 * time.Second, nodes: []bool{true, true, true, false}}}, want: []int{4, 4, 4, 4}},
		"log down, one paused":                     {outages: []faultWindow{{from: 4 * time.Second, until: 30 * time.Second, nodes: all}}, pauses: []faultWindow{{from: 5 * time.Second, until: 25 * time.Second, nodes: []bool{true, false, false, false}}}, want: []int{4, 0, 0, 4}},
		"log down, then two partitioned":           {outages: []faultWindow{{from: 4 * time.Second, until: 30 * time.Second, nodes: all}}, partitions: []faultWindow{{from: 12 * time.Second, until: 30 * time.Second, nodes: []bool{true, true, false, false}}}, want: []int{4, 4, 0, 4}},
		"two partitioned, log back for the others": {outages: []faultWindow{{from: 4 * time.Second, until: 14 * time.Second, nodes: all}}, partitions: []faultWindow{{from: 12 * time.Second, until: 30 * time.Second, nodes: []bool{true, true, false, false}}}, want: []int{4, 4, 2, 4}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(4, newDraw(1))
			f.outages, f.partitions, f.pauses = tc.outages, tc.partitions, tc.pauses
			var got []int
			for _, at := range []time.Duration{4 * time.Second, 8500 * time.Millisecond, 20 * time.Second, 40 * time.Second} {
				f.run(at - f.now.Sub(start))
				got = append(got, f.countActing())
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("processes that may act (-want +got):\n%s", diff)
			}
		})
	}
}

func TestConfirmationNeedsNoRecentRead(t *testing.T) {
	cases := map[string]struct {
		age  time.Duration // age of the peer's newest log read
		want bool
	}{
		"never read":     {age: protocol.NoProof, want: true},
		"recent read":    {age: time.Second, want: false},
		"expired read":   {age: limit, want: true},
		"nearly expired": {age: limit * 2 / 3, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			core := freshness.NewCore(freshness.CoreConfig{Limit: limit, Process: 1, Origin: start})
			core.Handle(start, freshness.NewPeersListed([]freshness.Peer{freshness.NewPeer("a", "")}))
			core.Handle(start, freshness.NewApplied(1, 1))
			later := start.Add(time.Minute)
			received := protocol.NewFreshness(protocol.FreshnessConfig{NewestHead: 1, ReadHead: 1, ReadAge: tc.age})
			core.Handle(later, freshness.NewAnswered("a", later, received))
			_, age := core.View().Freshness(later, protocol.Freshness{}).Round()
			if diff := cmp.Diff(tc.want, age != protocol.NoProof); diff != "" {
				t.Errorf("round completed (-want +got):\n%s", diff)
			}
		})
	}
}
