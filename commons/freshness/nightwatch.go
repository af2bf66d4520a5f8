package freshness

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/ring"
)

// Named limits of the watch.
const (
	inboxCapacity   = 4096
	queriesCapacity = 4096
	querierCount    = 8
	tickPeriod      = 50 * time.Millisecond
	// AskMethod is the name of Desk.Ask in net/rpc.
	AskMethod = Service + ".Ask"
	// Service is the name under which a Desk is registered.
	Service = "Nightwatch"
)

// Roster tells what the platform's lagging list of instances shows.
type Membership interface {
	// Live reports whether the list holds the instance live.
	Live(instance string) bool
}

// Config holds the construction parameters of a Watch.
type Config struct {
	Instance   string // name of this instance in the inventory
	Core       CoreConfig
	Membership Membership // nil counts every instance of the inventory as live
	Identity   *porter.Identity
	Log        *logrus.Entry
}

// Watch is responsible for running the core on its own thread and for showing
// its state to the process's other threads.
type Monitor struct {
	config      Config
	inbox       *ring.Ring
	queries     *ring.Ring
	core        *Core
	crew        *crew.Crew
	view        atomic.Pointer[View]
	newestHead  atomic.Int64                      // newest head heard of, ahead of the view
	addresses   atomic.Pointer[map[string]string] // address of the door by instance
	loggedFresh bool
}

// New returns a watch.
func New(config Config) *Monitor {
	w := &Monitor{
		config:  config,
		inbox:   ring.New(ring.Config{Name: "nightwatch", Capacity: inboxCapacity}),
		queries: ring.New(ring.Config{Name: "nightwatch asks", Capacity: queriesCapacity}),
		core:    NewCore(config.Core),
		crew:    crew.New(crew.Config{Name: "nightwatch", Log: config.Log}),
	}
	w.view.Store(&View{config: config.Core})
	w.crew.Add(crew.NewDuty(crew.DutyConfig{Name: "nightwatch", Inbox: w.inbox, Handler: w, Period: tickPeriod}))
	for range querierCount {
		w.crew.Add(&querier{monitor: w, conns: make(map[string]*porter.Line)})
	}
	return w
}

// Inbox returns the ring that feeds the watch.
func (w *Monitor) Inbox() *ring.Ring { return w.inbox }

// Serve runs the watch and its askers until ctx ends.
func (w *Monitor) Serve(ctx context.Context) error { return w.crew.Serve(ctx) }

// String returns the supervisor's name.
func (w *Monitor) String() string { return "nightwatch" }

// Fresh reports whether a duty may act on a state of the register.
func (w *Monitor) Fresh(now time.Time, state int64) bool { return w.view.Load().Fresh(now, state) }

// Heard returns the newest head of the log that the process has heard of.
func (w *Monitor) NewestHead() int64 { return max(w.view.Load().newestHead, w.newestHead.Load()) }

// Word returns what the process can tell another one, whose newest word was
// last.
func (w *Monitor) Freshness(now time.Time, last notice.Freshness) notice.Freshness {
	view := *w.view.Load()
	view.newestHead = w.NewestHead()
	return view.Freshness(now, last)
}

// LogRead takes the head that a read of the log, begun at sent, returned. The
// head is heard of at once, so that no vouch is given past it. A word that finds
// the ring full is dropped, here and below: it proves nothing.
func (w *Monitor) LogRead(sent time.Time, head int64) {
	for heard := w.newestHead.Load(); heard < head && !w.newestHead.CompareAndSwap(heard, head); heard = w.newestHead.Load() {
	}
	_ = w.inbox.Put(NewLogRead(sent, head))
}

// Folded takes the state that the register has reached, and the instances that
// it describes with the addresses of their doors.
func (w *Monitor) Applied(state, known int64, instances map[string]string) {
	w.addresses.Store(&instances)
	_ = w.inbox.Put(NewApplied(state, known))
}

// Received takes the word that rode on another process's request.
func (w *Monitor) Received(word notice.Freshness) { _ = w.inbox.Put(NewReceived(word)) }

// Answered takes the word that came with the answer to a call begun at sent.
func (w *Monitor) Answered(sent time.Time, word notice.Freshness) {
	_ = w.inbox.Put(NewAnswered("", sent, word))
}

// Start keeps the core: what it knows stays true when the duty is restarted.
func (w *Monitor) Start(time.Time) error { return nil }

// Handle processes one message.
func (w *Monitor) Handle(now time.Time, message any) error {
	if m, ok := message.(Message); ok {
		w.execute(w.core.Handle(now, m))
	}
	return nil
}

// Tick takes over the list of instances and asks for what is due.
func (w *Monitor) Tick(now time.Time) error {
	w.execute(w.core.Handle(now, NewPeersListed(w.peers())))
	w.logChange(now)
	return nil
}

// Attach sets the roster, before the watch is served.
func (w *Monitor) SetMembership(roster Membership) { w.config.Membership = roster }

// peers returns the live instances apart from this one.
func (w *Monitor) peers() []Peer {
	instances := w.addresses.Load()
	if instances == nil {
		return nil
	}
	var peers []Peer
	for _, name := range slices.Sorted(maps.Keys(*instances)) {
		if name != w.config.Instance && (w.config.Membership == nil || w.config.Membership.Live(name)) {
			peers = append(peers, NewPeer(name, (*instances)[name]))
		}
	}
	return peers
}

func (w *Monitor) execute(actions []Action) {
	view := w.core.View()
	w.view.Store(&view)
	for _, action := range actions {
		if ask, ok := action.(Query); ok {
			// A refused ask is due again after its period.
			_ = w.queries.Put(ask)
		}
	}
}

// report logs when the newest state begins or ceases to be fresh.
func (w *Monitor) logChange(now time.Time) {
	fresh := w.core.Fresh(now)
	if fresh == w.loggedFresh {
		return
	}
	w.loggedFresh = fresh
	w.config.Log.WithFields(logrus.Fields{"event": "freshness", "fresh": fresh, "heard": w.core.newestHead}).Info("freshness proof changed")
}

// asker is responsible for calling other processes, one at a time.
type querier struct {
	monitor *Monitor
	conns   map[string]*porter.Line
}

// String returns the duty's name.
func (*querier) String() string { return "nightwatch asker" }

// Serve calls the processes that the watch names until ctx ends.
func (a *querier) Serve(ctx context.Context) error {
	for {
		item, err := a.monitor.queries.Take(ctx)
		if err != nil {
			return err
		}
		if ask, ok := item.(Query); ok {
			a.query(ask.peer)
		}
	}
}

// ask calls one process. A process that gives no answer gives no vouch.
func (a *querier) query(peer Peer) {
	limit := a.monitor.config.Core.Limit / 3
	line, ok := a.conns[peer.address]
	if !ok {
		line = porter.NewLine(porter.LineConfig{Address: peer.address, DialTimeout: limit, Identity: a.monitor.config.Identity})
		a.conns[peer.address] = line
	}
	sent := time.Now()
	var word notice.Freshness
	if err := line.Call(AskMethod, a.monitor.Freshness(sent, notice.Freshness{}), &word, limit); err != nil {
		a.monitor.config.Log.WithFields(logrus.Fields{"event": "vouch_missing", "peer": peer.name}).WithError(err).Debug("process did not answer")
		return
	}
	_ = a.monitor.inbox.Put(NewAnswered(peer.name, sent, word))
}

// Desk is the net/rpc receiver of asks.
type RPCServer struct {
	monitor *Monitor
}

// NewDesk returns the receiver for a watch.
func NewRPCServer(watch *Monitor) *RPCServer { return &RPCServer{monitor: watch} }

// Ask returns the word of this process.
func (d *RPCServer) Ask(word notice.Freshness, answer *notice.Freshness) error {
	d.monitor.Received(word)
	*answer = d.monitor.Freshness(time.Now(), word)
	return nil
}
