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

	"sesamewell.example/commons/backstage"
	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/freshness"
	"sesamewell.example/commons/notice"
)

// TestMain fixes what rapid draws.
func TestMain(m *testing.M) { backstage.Run(m, backstage.Seed, nil) }

const (
	limit   = 3 * time.Second
	poll    = 750 * time.Millisecond
	slice   = 25 * time.Millisecond
	horizon = 70 * time.Second
)

var start = time.Unix(1_000_000, 0)

// window is a failure that lasts from one time to another.
type window struct {
	from, until time.Duration
	nodes       []bool // which it hits
}

func (w window) covers(now time.Time, node int) bool {
	at := now.Sub(start)
	return at >= w.from && at < w.until && w.nodes[node]
}

// mail is a message on its way.
type mail struct {
	due    time.Time
	from   int
	to     int
	sent   time.Time // by the clock of the node that asked
	word   notice.Freshness
	answer bool
	asked  bool // an ask of a vouch
}

// read is one read of the log on its way.
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
	id       int
	core     *freshness.Core
	revision *fleetstate.Revision
	read     *read
	next     time.Time // of the next read
	last     map[int]notice.Freshness
	learned  time.Time // when it folded the withdrawal
	number   int64
}

// fleet is a set of processes in virtual time, with the log between them.
type fleet struct {
	now     time.Time
	nodes   []*node
	records []json.RawMessage
	mails   []mail
	outages []window // the log answers nobody
	cuts    []window // nodes that reach neither the log nor the others
	pauses  []window // nodes that stand still
	delay   time.Duration
	draw    func(n int) int
	learned time.Time // when the first process folded the withdrawal
	// lateness is the longest time for which a process acted on a key after
	// another had learned of its withdrawal.
	lateness time.Duration
	reverted bool
}

const inventory = "[tenant lantern]\nrate = 1\nburst = 1\n"

var keyText = fmt.Sprintf("[key k]\ntenant = lantern\nsha256 = %064d\n", 7)

func newFleet(size int, draw func(n int) int) *fleet {
	f := &fleet{now: start, draw: draw, delay: 5 * time.Millisecond}
	for id := range size {
		core := freshness.NewCore(freshness.CoreConfig{Limit: limit, Process: uint64(id + 1), Origin: start.Add(-time.Duration(id) * time.Hour)})
		f.nodes = append(f.nodes, &node{id: id, core: core, revision: fleetstate.InitialRevision(), last: make(map[int]notice.Freshness)})
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
	f.publish(0, inventory+keyText)
	return f
}

// publish appends a change, as an operator does who reaches the log.
func (f *fleet) publish(base int64, text string) {
	record := fleetstate.NewRecord(fleetstate.RecordConfig{Change: fmt.Sprint(len(f.records)), Base: base, Kind: fleetstate.KindReplace, Inventory: text})
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	f.records = append(f.records, data)
}

func hit(windows []window, now time.Time, node int) bool {
	return slices.ContainsFunc(windows, func(w window) bool { return w.covers(now, node) })
}

// connected reports whether two nodes reach each other: nodes that are cut off
// reach only those that are cut off with them.
func (f *fleet) connected(a, b int) bool {
	return !slices.ContainsFunc(f.cuts, func(w window) bool { return w.covers(f.now, a) != w.covers(f.now, b) })
}

// run drives the fleet for a time.
func (f *fleet) run(span time.Duration) {
	for until := f.now.Add(span); f.now.Before(until); f.now = f.now.Add(slice) {
		for _, n := range f.nodes {
			if hit(f.pauses, f.now, n.id) {
				continue
			}
			f.deliver(n)
			f.follow(n)
			f.carryOut(n, n.core.Tick(f.now))
			if f.draw(40) == 0 {
				f.call(n, f.draw(len(f.nodes)), false)
			}
			f.observe(n)
		}
	}
}

// follow does one step of reading the log.
func (f *fleet) follow(n *node) {
	if n.read == nil {
		if f.now.Before(n.next) {
			return
		}
		n.read = f.ask(n)
	}
	r := n.read
	if f.now.Before(r.due) {
		return
	}
	n.read = nil
	if r.failed {
		n.next = f.now.Add(200 * time.Millisecond)
		return
	}
	f.carryOut(n, n.core.Handle(f.now, freshness.NewLogRead(r.sent, r.head)))
	for i, record := range r.records {
		next, _ := n.revision.Apply(r.from+int64(i), record)
		n.revision = next
	}
	f.carryOut(n, n.core.Handle(f.now, freshness.NewApplied(n.revision.StateOffset(), n.revision.Offset())))
}

// ask begins a read. A long poll is modelled by an answer that shows the log as
// it was when the read was sent, which is the oldest that it may show.
func (f *fleet) ask(n *node) *read {
	from := n.revision.Offset()
	head := int64(len(f.records))
	r := &read{sent: f.now, from: from, head: head, records: f.records[from:]}
	wait := poll
	if from < head {
		wait = 0
	}
	r.due = f.now.Add(wait + f.delay)
	if hit(f.outages, f.now, n.id) || hit(f.cuts, f.now, n.id) {
		r.failed, r.due = true, f.now.Add(time.Duration(f.draw(2000))*time.Millisecond)
	}
	return r
}

func (f *fleet) deliver(n *node) {
	var rest, mine []mail
	for _, m := range f.mails {
		if m.to == n.id && !f.now.Before(m.due) {
			mine = append(mine, m)
		} else {
			rest = append(rest, m)
		}
	}
	f.mails = rest
	for _, m := range mine {
		if m.answer {
			name := ""
			if m.asked {
				name = fmt.Sprint(m.from)
			}
			n.last[m.from] = m.word
			f.carryOut(n, n.core.Handle(f.now, freshness.NewAnswered(name, m.sent, m.word)))
			continue
		}
		f.carryOut(n, n.core.Handle(f.now, freshness.NewReceived(m.word)))
		f.post(mail{from: n.id, to: m.from, sent: m.sent, asked: m.asked, answer: true, word: n.core.View().Freshness(f.now, m.word)})
	}
}

func (f *fleet) carryOut(n *node, actions []freshness.Action) {
	for _, action := range actions {
		if ask, ok := action.(freshness.Query); ok {
			var to int
			if _, err := fmt.Sscan(ask.Peer().Name(), &to); err != nil {
				panic(err)
			}
			f.call(n, to, true)
		}
	}
}

func (f *fleet) call(n *node, to int, asked bool) {
	if to != n.id {
		f.post(mail{from: n.id, to: to, sent: f.now, asked: asked, word: n.core.View().Freshness(f.now, n.last[to])})
	}
}

// post sends a message, late now and then. A message to a node that cannot be
// reached is lost.
func (f *fleet) post(m mail) {
	if !f.connected(m.from, m.to) {
		return
	}
	late := 1 + f.draw(20)
	if f.draw(50) == 0 {
		late = f.draw(8000)
	}
	m.due = f.now.Add(time.Duration(late) * time.Millisecond)
	f.mails = append(f.mails, m)
}

// observe notes whether the node acts on a key after another process has
// learned of its withdrawal.
func (f *fleet) observe(n *node) {
	f.reverted = f.reverted || n.revision.Number() < n.number
	n.number = n.revision.Number()
	if n.number >= 2 {
		if n.learned.IsZero() {
			n.learned = f.now
		}
		if f.learned.IsZero() {
			f.learned = f.now
		}
		return
	}
	if !f.learned.IsZero() && n.acts(f.now) {
		f.lateness = max(f.lateness, f.now.Sub(f.learned))
	}
}

func (n *node) acts(now time.Time) bool {
	return n.revision.Number() > 0 && n.core.View().Fresh(now, n.revision.StateOffset())
}

func (f *fleet) acting() int {
	count := 0
	for _, n := range f.nodes {
		if n.acts(f.now) {
			count++
		}
	}
	return count
}

func drawWindows(t *rapid.T, name string, size, longest int) []window {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) window {
		from := time.Duration(rapid.IntRange(4000, 25000).Draw(t, "from")) * time.Millisecond
		span := time.Duration(rapid.IntRange(100, longest).Draw(t, "span")) * time.Millisecond
		return window{from: from, until: from + span, nodes: rapid.SliceOfN(rapid.Bool(), size, size).Draw(t, "nodes")}
	}), 0, 3).Draw(t, name)
}

// TestWithdrawnKeyStopsWithinTheLimit covers entries that are cut off, alone
// and together, pauses of up to 30 s, and outages and slowness of the log, all
// at any time around the withdrawal.
func TestWithdrawnKeyStopsWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 6).Draw(t, "size")
		seed := rapid.Uint64().Draw(t, "seed")
		f := newFleet(size, drawFrom(seed))
		f.cuts = drawWindows(t, "cuts", size, 30000)
		f.pauses = drawWindows(t, "pauses", size, 30000)
		f.outages = drawWindows(t, "outages", size, 20000)
		for i := range f.outages {
			f.outages[i].nodes = slices.Repeat([]bool{true}, size)
		}
		f.delay = time.Duration(rapid.IntRange(1, 2500).Draw(t, "delay")) * time.Millisecond
		f.run(time.Duration(rapid.IntRange(5000, 25000).Draw(t, "withdrawal")) * time.Millisecond)
		f.publish(1, inventory)
		f.run(horizon - f.now.Sub(start))
		if f.lateness >= limit {
			t.Errorf("a process acted on the key %s after another had learned of the withdrawal; the limit is %s", f.lateness, limit)
		}
		if f.reverted {
			t.Error("a process went back to an older revision")
		}
		for _, n := range f.nodes {
			if n.number != 2 {
				t.Errorf("process %d has revision %d at the end", n.id, n.number)
			}
		}
	})
}

// drawFrom returns a generator of numbers below n for the fleet's own chances.
func drawFrom(seed uint64) func(n int) int {
	random := rand.New(rand.NewPCG(seed, 1))
	return random.IntN
}

// TestOutages tells when processes that do not reach the log go on.
func TestOutages(t *testing.T) {
	all := []bool{true, true, true, true}
	cases := map[string]struct {
		outages []window
		cuts    []window
		pauses  []window
		want    []int // processes that act after 4, 8.5, 20 and 40 s
	}{
		"nothing fails":                    {want: []int{4, 4, 4, 4}},
		"log down for all":                 {outages: []window{{from: 5 * time.Second, until: 30 * time.Second, nodes: all}}, want: []int{4, 4, 4, 4}},
		"one cut off":                      {cuts: []window{{from: 4 * time.Second, until: 30 * time.Second, nodes: []bool{true, false, false, false}}}, want: []int{4, 3, 3, 4}},
		"three cut off together":           {cuts: []window{{from: 4 * time.Second, until: 30 * time.Second, nodes: []bool{true, true, true, false}}}, want: []int{4, 1, 1, 4}},
		"three without the log only":       {outages: []window{{from: 4 * time.Second, until: 30 * time.Second, nodes: []bool{true, true, true, false}}}, want: []int{4, 4, 4, 4}},
		"log down, and one is gone":        {outages: []window{{from: 4 * time.Second, until: 30 * time.Second, nodes: all}}, pauses: []window{{from: 5 * time.Second, until: 25 * time.Second, nodes: []bool{true, false, false, false}}}, want: []int{4, 0, 0, 4}},
		"log down, then two are cut off":   {outages: []window{{from: 4 * time.Second, until: 30 * time.Second, nodes: all}}, cuts: []window{{from: 12 * time.Second, until: 30 * time.Second, nodes: []bool{true, true, false, false}}}, want: []int{4, 4, 0, 4}},
		"log back for the others of a cut": {outages: []window{{from: 4 * time.Second, until: 14 * time.Second, nodes: all}}, cuts: []window{{from: 12 * time.Second, until: 30 * time.Second, nodes: []bool{true, true, false, false}}}, want: []int{4, 4, 2, 4}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(4, drawFrom(1))
			f.outages, f.cuts, f.pauses = tc.outages, tc.cuts, tc.pauses
			var got []int
			for _, at := range []time.Duration{4 * time.Second, 8500 * time.Millisecond, 20 * time.Second, 40 * time.Second} {
				f.run(at - f.now.Sub(start))
				got = append(got, f.acting())
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("processes that act (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOnlyAProcessWithoutARecentReadVouches(t *testing.T) {
	cases := map[string]struct {
		age  time.Duration // of the peer's newest log read
		want bool
	}{
		"never read":    {age: notice.NoProof, want: true},
		"recent read":   {age: time.Second, want: false},
		"lapsed read":   {age: limit, want: true},
		"nearly lapsed": {age: limit * 2 / 3, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			core := freshness.NewCore(freshness.CoreConfig{Limit: limit, Process: 1, Origin: start})
			core.Handle(start, freshness.NewPeersListed([]freshness.Peer{freshness.NewPeer("a", "")}))
			core.Handle(start, freshness.NewApplied(1, 1))
			later := start.Add(time.Minute)
			word := notice.NewFreshness(notice.FreshnessConfig{Heard: 1, ReadHead: 1, ReadAge: tc.age})
			core.Handle(later, freshness.NewAnswered("a", later, word))
			_, age := core.View().Freshness(later, notice.Freshness{}).Round()
			if diff := cmp.Diff(tc.want, age != notice.NoProof); diff != "" {
				t.Errorf("round closed (-want +got):\n%s", diff)
			}
		})
	}
}
