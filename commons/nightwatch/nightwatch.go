package nightwatch

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
	inboxCapacity = 4096
	jobsCapacity  = 4096
	askers        = 8
	tickPeriod    = 50 * time.Millisecond
	// AskMethod is the name of Desk.Ask in net/rpc.
	AskMethod = Service + ".Ask"
	// Service is the name under which a Desk is registered.
	Service = "Nightwatch"
)

// Roster tells what the platform's lagging list of instances shows.
type Roster interface {
	// Live reports whether the list holds the instance live.
	Live(instance string) bool
}

// Config holds the construction parameters of a Watch.
type Config struct {
	Instance string // name of this instance in the inventory
	Core     CoreConfig
	Roster   Roster // nil counts every instance of the inventory as live
	Identity *porter.Identity
	Log      *logrus.Entry
}

// Watch is responsible for running the core on its own thread and for showing
// its state to the process's other threads.
type Watch struct {
	config    Config
	inbox     *ring.Ring
	jobs      *ring.Ring
	core      *Core
	crew      *crew.Crew
	view      atomic.Pointer[View]
	heard     atomic.Int64                      // newest head heard of, ahead of the view
	instances atomic.Pointer[map[string]string] // address of the door by instance
	fresh     bool
}

// New returns a watch.
func New(config Config) *Watch {
	w := &Watch{
		config: config,
		inbox:  ring.New(ring.Config{Name: "nightwatch", Capacity: inboxCapacity}),
		jobs:   ring.New(ring.Config{Name: "nightwatch asks", Capacity: jobsCapacity}),
		core:   NewCore(config.Core),
		crew:   crew.New(crew.Config{Name: "nightwatch", Log: config.Log}),
	}
	w.view.Store(&View{config: config.Core})
	w.crew.Add(crew.NewDuty(crew.DutyConfig{Name: "nightwatch", Inbox: w.inbox, Handler: w, Period: tickPeriod}))
	for range askers {
		w.crew.Add(&asker{watch: w, lines: make(map[string]*porter.Line)})
	}
	return w
}

// Inbox returns the ring that feeds the watch.
func (w *Watch) Inbox() *ring.Ring { return w.inbox }

// Serve runs the watch and its askers until ctx ends.
func (w *Watch) Serve(ctx context.Context) error { return w.crew.Serve(ctx) }

// String returns the supervisor's name.
func (w *Watch) String() string { return "nightwatch" }

// Fresh reports whether a duty may act on a state of the register.
func (w *Watch) Fresh(now time.Time, state int64) bool { return w.view.Load().Fresh(now, state) }

// Heard returns the newest head of the log that the process has heard of.
func (w *Watch) Heard() int64 { return max(w.view.Load().heard, w.heard.Load()) }

// Word returns what the process can tell another one, whose newest word was
// last.
func (w *Watch) Word(now time.Time, last notice.Freshness) notice.Freshness {
	view := *w.view.Load()
	view.heard = w.Heard()
	return view.Word(now, last)
}

// LogRead takes the head that a read of the log, begun at sent, returned. The
// head is heard of at once, so that no vouch is given past it. A word that finds
// the ring full is dropped, here and below: it proves nothing.
func (w *Watch) LogRead(sent time.Time, head int64) {
	for heard := w.heard.Load(); heard < head && !w.heard.CompareAndSwap(heard, head); heard = w.heard.Load() {
	}
	_ = w.inbox.Put(NewLogRead(sent, head))
}

// Folded takes the state that the register has reached, and the instances that
// it describes with the addresses of their doors.
func (w *Watch) Folded(state, known int64, instances map[string]string) {
	w.instances.Store(&instances)
	_ = w.inbox.Put(NewFolded(state, known))
}

// Received takes the word that rode on another process's request.
func (w *Watch) Received(word notice.Freshness) { _ = w.inbox.Put(NewReceived(word)) }

// Answered takes the word that came with the answer to a call begun at sent.
func (w *Watch) Answered(sent time.Time, word notice.Freshness) {
	_ = w.inbox.Put(NewAnswered("", sent, word))
}

// Start keeps the core: what it knows stays true when the duty is restarted.
func (w *Watch) Start(time.Time) error { return nil }

// Handle processes one message.
func (w *Watch) Handle(now time.Time, message any) error {
	if m, ok := message.(Message); ok {
		w.carryOut(w.core.Handle(now, m))
	}
	return nil
}

// Tick takes over the list of instances and asks for what is due.
func (w *Watch) Tick(now time.Time) error {
	w.carryOut(w.core.Handle(now, NewListed(w.peers())))
	w.report(now)
	return nil
}

// Attach sets the roster, before the watch is served.
func (w *Watch) Attach(roster Roster) { w.config.Roster = roster }

// peers returns the live instances apart from this one.
func (w *Watch) peers() []Peer {
	instances := w.instances.Load()
	if instances == nil {
		return nil
	}
	var peers []Peer
	for _, name := range slices.Sorted(maps.Keys(*instances)) {
		if name != w.config.Instance && (w.config.Roster == nil || w.config.Roster.Live(name)) {
			peers = append(peers, NewPeer(name, (*instances)[name]))
		}
	}
	return peers
}

func (w *Watch) carryOut(actions []Action) {
	view := w.core.View()
	w.view.Store(&view)
	for _, action := range actions {
		if ask, ok := action.(Ask); ok {
			// A refused ask is due again after its period.
			_ = w.jobs.Put(ask)
		}
	}
}

// report logs when the newest state begins or ceases to be fresh.
func (w *Watch) report(now time.Time) {
	fresh := w.core.Fresh(now)
	if fresh == w.fresh {
		return
	}
	w.fresh = fresh
	w.config.Log.WithFields(logrus.Fields{"event": "freshness", "fresh": fresh, "heard": w.core.heard}).Info("freshness proof changed")
}

// asker is responsible for calling other processes, one at a time.
type asker struct {
	watch *Watch
	lines map[string]*porter.Line
}

// String returns the duty's name.
func (*asker) String() string { return "nightwatch asker" }

// Serve calls the processes that the watch names until ctx ends.
func (a *asker) Serve(ctx context.Context) error {
	for {
		item, err := a.watch.jobs.Take(ctx)
		if err != nil {
			return err
		}
		if ask, ok := item.(Ask); ok {
			a.ask(ask.peer)
		}
	}
}

// ask calls one process. A process that gives no answer gives no vouch.
func (a *asker) ask(peer Peer) {
	limit := a.watch.config.Core.Limit / 3
	line, ok := a.lines[peer.address]
	if !ok {
		line = porter.NewLine(porter.LineConfig{Address: peer.address, DialTimeout: limit, Identity: a.watch.config.Identity})
		a.lines[peer.address] = line
	}
	sent := time.Now()
	var word notice.Freshness
	if err := line.Call(AskMethod, a.watch.Word(sent, notice.Freshness{}), &word, limit); err != nil {
		a.watch.config.Log.WithFields(logrus.Fields{"event": "vouch_missing", "peer": peer.name}).WithError(err).Debug("process did not answer")
		return
	}
	_ = a.watch.inbox.Put(NewAnswered(peer.name, sent, word))
}

// Desk is the net/rpc receiver of asks.
type Desk struct {
	watch *Watch
}

// NewDesk returns the receiver for a watch.
func NewDesk(watch *Watch) *Desk { return &Desk{watch: watch} }

// Ask returns the word of this process.
func (d *Desk) Ask(word notice.Freshness, answer *notice.Freshness) error {
	d.watch.Received(word)
	*answer = d.watch.Word(time.Now(), word)
	return nil
}
