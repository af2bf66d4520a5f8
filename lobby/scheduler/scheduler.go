package scheduler

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
)

// Proxy executes actions on the connections of callers and backend servers.
type Proxy interface {
	Put(action any) error
}

// Fetcher requests adapters from keepers.
type Fetcher interface {
	Fetch(fetch Fetch) error
}

// Broadcaster sends this lobby's digest to the other lobbies.
type Broadcaster interface {
	Broadcast(digest Broadcast) error
}

// Config holds the construction parameters of a Scheduler.
type Config struct {
	Core        CoreConfig
	Capacity    int // capacity of the inbox in messages
	Proxy       Proxy
	Fetcher     Fetcher
	Broadcaster Broadcaster

	Log *logrus.Entry
}

// Scheduler runs the Core on its own thread and executes its actions.
type Scheduler struct {
	config Config
	inbox  *ring.Ring
	core   *Core
	stats  *stats
	ready  atomic.Bool
	open   atomic.Int64
}

// New returns a Scheduler. Unless config contains the proxy, the fetcher and the
// broadcaster, Attach must be called before the scheduler runs.
func New(config Config) *Scheduler {
	s := &Scheduler{
		config: config,
		inbox:  ring.New(ring.Config{Name: "steward", Capacity: config.Capacity}),
		core:   NewCore(config.Core),
		stats:  newStats(),
	}
	registerGauges(s.Open, s.Ready)
	return s
}

// Inbox returns the ring that takes messages for the scheduler.
func (s *Scheduler) Inbox() *ring.Ring { return s.inbox }

// Attach sets the components that execute the scheduler's actions. It must be
// called before the scheduler runs.
func (s *Scheduler) Attach(proxy Proxy, fetcher Fetcher, broadcaster Broadcaster) {
	s.config.Proxy, s.config.Fetcher, s.config.Broadcaster = proxy, fetcher, broadcaster
}

// Ready reports whether the process accepts callers' connections. It is safe to
// call from any thread.
func (s *Scheduler) Ready() bool { return s.ready.Load() }

// Open returns the number of requests that have not been completely answered.
// It is safe to call from any thread.
func (s *Scheduler) Open() int { return int(s.open.Load()) }

// EventLoop returns the scheduler's thread, to be added to a supervisor.
func (s *Scheduler) EventLoop() *supervisor.EventLoop {
	return supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "steward", Inbox: s.inbox, Handler: s, Period: tickPeriod})
}

// Start does nothing: open requests survive a restart of the thread.
func (s *Scheduler) Start(time.Time) error { return nil }

// Handle processes one message. It ignores values that are not a Message.
func (s *Scheduler) Handle(now time.Time, message any) error {
	if m, ok := message.(Message); ok {
		return s.execute(s.core.Handle(now, m))
	}
	return nil
}

// Tick executes the actions that are due without a message.
func (s *Scheduler) Tick(now time.Time) error { return s.execute(s.core.Tick(now)) }

func (s *Scheduler) execute(actions []Action) error {
	s.ready.Store(s.core.Ready())
	s.open.Store(int64(s.core.Open()))
	for _, action := range actions {
		if err := s.executeAction(action); err != nil {
			return err
		}
	}
	return nil
}

// executeAction passes an action to the component that executes it, and updates
// log and metrics.
func (s *Scheduler) executeAction(action Action) error {
	switch a := action.(type) {
	case Fetch:
		s.stats.fetches.Inc()
		return s.config.Fetcher.Fetch(a)
	case Broadcast:
		return s.config.Broadcaster.Broadcast(a)
	case RecordSend:
		s.recordSend(a)
		return nil
	case RecordHold:
		s.recordHold(a)
		return nil
	case RecordLeaving:
		s.recordLeaving(a)
		return nil
	case RecordQuarantine:
		s.recordQuarantine(a.Change())
		return nil
	case Send:
		s.logSend(a)
	case Refuse:
		s.stats.refusals[a.Cause()].Inc()
		s.logRefusal(a)
	}
	return s.config.Proxy.Put(action)
}
