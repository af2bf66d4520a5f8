package freshness

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
)

const (
	inboxCapacity   = 4096
	queriesCapacity = 4096
	querierCount    = 8
	tickPeriod      = 50 * time.Millisecond
	// AskMethod is the name of RPCServer.Ask in net/rpc.
	AskMethod = Service + ".Ask"
	// Service is the name under which RPCServer is registered in net/rpc.
	Service = "Nightwatch"
)

// Membership is the platform's list of live instances, which shows changes late.
type Membership interface {
	// Live reports whether the list shows the instance as live.
	Live(instance string) bool
}

// Config holds the construction parameters of a Monitor.
type Config struct {
	Instance   string // name of this instance in the inventory
	Core       CoreConfig
	Membership Membership // nil counts every instance of the inventory as live
	Identity   *peerrpc.Identity
	Log        *logrus.Entry
}

// Monitor runs a Core on its own thread and publishes its state to the other
// threads of the process.
type Monitor struct {
	config      Config
	inbox       *ring.Ring
	queries     *ring.Ring
	core        *Core
	supervisor  *supervisor.Supervisor
	view        atomic.Pointer[View]
	newestHead  atomic.Int64                      // newest head from any source; may be ahead of view
	addresses   atomic.Pointer[map[string]string] // IP:port for calls, by instance
	loggedFresh bool
}

// New returns a monitor.
func New(config Config) *Monitor {
	m := &Monitor{
		config:     config,
		inbox:      ring.New(ring.Config{Name: "nightwatch", Capacity: inboxCapacity}),
		queries:    ring.New(ring.Config{Name: "nightwatch asks", Capacity: queriesCapacity}),
		core:       NewCore(config.Core),
		supervisor: supervisor.New(supervisor.Config{Name: "nightwatch", Log: config.Log}),
	}
	m.view.Store(&View{config: config.Core})
	m.supervisor.Add(supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "nightwatch", Inbox: m.inbox, Handler: m, Period: tickPeriod}))
	for range querierCount {
		m.supervisor.Add(&querier{monitor: m, conns: make(map[string]*peerrpc.Client)})
	}
	return m
}

// Inbox returns the ring of messages to the monitor.
func (m *Monitor) Inbox() *ring.Ring { return m.inbox }

// Serve runs the monitor and its queriers until ctx ends.
func (m *Monitor) Serve(ctx context.Context) error { return m.supervisor.Serve(ctx) }

// String returns the supervisor's name.
func (m *Monitor) String() string { return "nightwatch" }

// Fresh reports whether a thread may act on the fleet state with the given state
// offset.
func (m *Monitor) Fresh(now time.Time, stateOffset int64) bool {
	return m.view.Load().Fresh(now, stateOffset)
}

// NewestHead returns the newest head of the log that the process has read or
// received from another process.
func (m *Monitor) NewestHead() int64 { return max(m.view.Load().newestHead, m.newestHead.Load()) }

// Freshness returns the freshness to send to another process, whose newest
// freshness was last.
func (m *Monitor) Freshness(now time.Time, last protocol.Freshness) protocol.Freshness {
	view := *m.view.Load()
	view.newestHead = m.NewestHead()
	return view.Freshness(now, last)
}

// LogRead records the head returned by a log read that started at sent. NewestHead
// includes the head at once, so that every later confirmation by this process
// includes it too. Here and below, a message is dropped if the ring is full, which
// is safe because a dropped message adds no proof.
func (m *Monitor) LogRead(sent time.Time, head int64) {
	for newest := m.newestHead.Load(); newest < head && !m.newestHead.CompareAndSwap(newest, head); newest = m.newestHead.Load() {
	}
	_ = m.inbox.Put(NewLogRead(sent, head))
}

// Applied records how far the log has been applied to the fleet state, and the
// IP:port for calls of each instance in that state.
func (m *Monitor) Applied(stateOffset, covered int64, addresses map[string]string) {
	m.addresses.Store(&addresses)
	_ = m.inbox.Put(NewApplied(stateOffset, covered))
}

// Received records the freshness that came with another process's request.
func (m *Monitor) Received(freshness protocol.Freshness) { _ = m.inbox.Put(NewReceived(freshness)) }

// Answered records the freshness that came with the answer to a call that
// started at sent.
func (m *Monitor) Answered(sent time.Time, freshness protocol.Freshness) {
	_ = m.inbox.Put(NewAnswered("", sent, freshness))
}

// Start keeps the core: its proofs stay valid when the thread is restarted.
func (m *Monitor) Start(time.Time) error { return nil }

// Handle processes one message.
func (m *Monitor) Handle(now time.Time, message any) error {
	if event, ok := message.(Message); ok {
		m.execute(m.core.Handle(now, event))
	}
	return nil
}

// Tick updates the list of peers and enqueues the queries that are due.
func (m *Monitor) Tick(now time.Time) error {
	m.execute(m.core.Handle(now, NewPeersListed(m.peers())))
	m.logChange(now)
	return nil
}

// SetMembership sets the membership. It must be called before Serve.
func (m *Monitor) SetMembership(membership Membership) { m.config.Membership = membership }

// peers returns the live instances except this one.
func (m *Monitor) peers() []Peer {
	addresses := m.addresses.Load()
	if addresses == nil {
		return nil
	}
	var peers []Peer
	for _, name := range slices.Sorted(maps.Keys(*addresses)) {
		if name != m.config.Instance && (m.config.Membership == nil || m.config.Membership.Live(name)) {
			peers = append(peers, NewPeer(name, (*addresses)[name]))
		}
	}
	return peers
}

func (m *Monitor) execute(actions []Action) {
	view := m.core.View()
	m.view.Store(&view)
	for _, action := range actions {
		if query, ok := action.(Query); ok {
			// A query that does not fit is due again after queryPeriod.
			_ = m.queries.Put(query)
		}
	}
}

// logChange logs when the newest state becomes fresh or stops being fresh.
func (m *Monitor) logChange(now time.Time) {
	fresh := m.core.Fresh(now)
	if fresh == m.loggedFresh {
		return
	}
	m.loggedFresh = fresh
	m.config.Log.WithFields(logrus.Fields{"event": "freshness", "fresh": fresh, "heard": m.core.newestHead}).Info("freshness of the newest fleet state changed")
}

// querier is a thread that sends queries to other processes, one at a time.
type querier struct {
	monitor *Monitor
	conns   map[string]*peerrpc.Client
}

// String returns the thread's name, which supervision events carry.
func (*querier) String() string { return "nightwatch asker" }

// Serve sends the monitor's queries until ctx ends.
func (q *querier) Serve(ctx context.Context) error {
	for {
		item, err := q.monitor.queries.Take(ctx)
		if err != nil {
			return err
		}
		if query, ok := item.(Query); ok {
			q.query(query.peer)
		}
	}
}

// query calls one process. Without an answer there is no confirmation.
func (q *querier) query(peer Peer) {
	limit := q.monitor.config.Core.Limit / 3
	conn, ok := q.conns[peer.address]
	if !ok {
		conn = peerrpc.NewClient(peerrpc.ClientConfig{Address: peer.address, DialTimeout: limit, Identity: q.monitor.config.Identity})
		q.conns[peer.address] = conn
	}
	sent := time.Now()
	var freshness protocol.Freshness
	if err := conn.Call(AskMethod, q.monitor.Freshness(sent, protocol.Freshness{}), &freshness, limit); err != nil {
		q.monitor.config.Log.WithFields(logrus.Fields{"event": "vouch_missing", "peer": peer.name}).WithError(err).Debug("process did not answer the freshness query")
		return
	}
	_ = q.monitor.inbox.Put(NewAnswered(peer.name, sent, freshness))
}
