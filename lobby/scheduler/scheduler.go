package scheduler

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/protocol"
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

// Journal saves in the store at which software versions streams began.
type Journal interface {
	Save(save protocol.StreamsSave)
}

// Config holds the construction parameters of a Scheduler.
type Config struct {
	Core        CoreConfig
	Capacity    int // capacity of the inbox in messages
	Proxy       Proxy
	Fetcher     Fetcher
	Broadcaster Broadcaster
	Journal     Journal
	Suspects    SuspectRecorder // nil to save nothing

	Log *logrus.Entry
}

// Scheduler runs the Core on its own thread and executes its actions.
type Scheduler struct {
	config      Config
	inbox       *ring.Ring
	core        *Core
	stats       *stats
	ready       atomic.Bool
	open        atomic.Int64
	evacuated   atomic.Int64 // number of failure domains that are to be evacuated
	pauses      pauseGuard
	undelivered []Action // actions for the proxy that wait for room in its inbox, in their order
}

// New returns a Scheduler. Unless config contains the proxy, the fetcher, the broadcaster
// and the journal, Attach must be called before the scheduler runs.
func New(config Config) *Scheduler {
	s := &Scheduler{
		config: config,
		inbox:  ring.New(ring.Config{Name: "steward", Capacity: config.Capacity}),
		core:   NewCore(config.Core),
		stats:  newStats(),
	}
	registerGauges(s.Open, s.Ready)
	metrics.GetOrCreateGauge("sesamewell_evacuated_domains", func() float64 { return float64(s.evacuated.Load()) })
	return s
}

// Inbox returns the ring that takes messages for the scheduler.
func (s *Scheduler) Inbox() *ring.Ring { return s.inbox }

// Attach sets the components that execute the scheduler's actions. It must be
// called before the scheduler runs.
func (s *Scheduler) Attach(proxy Proxy, fetcher Fetcher, broadcaster Broadcaster, journal Journal) {
	s.config.Proxy, s.config.Fetcher, s.config.Broadcaster, s.config.Journal = proxy, fetcher, broadcaster, journal
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
	s.redeliver()
	s.observePause(now)
	if m, ok := message.(Explain); ok {
		s.explain(now, m)
		return nil
	}
	m, ok := message.(Message)
	if !ok || s.pauses.keepsBack(now, m) {
		return nil
	}
	s.handleWaiting(now)
	s.execute(now, s.core.Handle(now, m))
	return nil
}

// observePause records a call of the thread, and logs a pause before it.
func (s *Scheduler) observePause(now time.Time) {
	if pause := s.pauses.observe(now); pause > 0 {
		s.config.Log.WithFields(logrus.Fields{"event": "resumed", "pause": pause}).Warn("process was stopped: requests wait for what backend servers have said meanwhile")
	}
}

// handleWaiting handles the messages that have been kept back since a pause, if it is
// time.
func (s *Scheduler) handleWaiting(now time.Time) {
	if s.pauses.settling(now) {
		return
	}
	for _, m := range s.pauses.take() {
		s.execute(now, s.core.Handle(now, m))
	}
}

// Tick executes the actions that are due without a message.
func (s *Scheduler) Tick(now time.Time) error {
	s.redeliver()
	if s.observePause(now); s.pauses.settling(now) {
		return nil
	}
	s.handleWaiting(now)
	s.execute(now, s.core.Tick(now))
	s.stats.queue.update(s.core.QueueLoads())
	s.stats.shares.update(s.core.ShareLoads())
	s.stats.streams.update(s.core.config.Streams.Size())
	return nil
}

func (s *Scheduler) execute(now time.Time, actions []Action) {
	s.ready.Store(s.core.Ready())
	s.open.Store(int64(s.core.Open()))
	s.evacuated.Store(int64(s.core.Evacuated()))
	for _, action := range actions {
		s.executeAction(now, action)
	}
}

// executeAction passes an action to the component that executes it, and updates
// log and metrics.
func (s *Scheduler) executeAction(now time.Time, action Action) {
	switch a := action.(type) {
	case Fetch:
		s.fetch(now, a)
		return
	case Broadcast:
		if err := s.config.Broadcaster.Broadcast(a); err != nil {
			s.config.Log.WithField("event", "ring_full").WithError(err).Warn("digest not sent; the next one follows")
		}
		return
	case RecordSend:
		s.recordSend(a)
		return
	case RecordHold:
		s.recordHold(a)
		return
	case RecordCold:
		s.recordCold(a)
		return
	case RecordLimit:
		s.recordLimit(a)
		return
	case RecordWithheld:
		s.stats.requestWithheld(a)
		return
	case RecordEvacuation:
		s.recordEvacuation(a)
		return
	case RecordShare:
		s.recordShare(a)
		return
	case RecordLeaving:
		s.recordLeaving(a)
		return
	case RecordTakeUp:
		s.recordTakeUp(a)
		return
	case RecordLateDigest:
		s.config.Log.WithFields(logrus.Fields{"event": "late_digest", "lobby": a.sender, "waited": a.waited}).Warn("digest of another lobby has waited on its way: no news of the moment")
	case RecordDoubt:
		s.recordDoubt(a)
		return
	case SaveStreams:
		s.config.Journal.Save(a.save)
		return
	case RecordQuarantine:
		s.recordQuarantine(a.Change())
		return
	case SaveSuspects:
		if s.config.Suspects != nil {
			s.config.Suspects.Save(now, a.Suspects())
		}
		return
	case Send:
		s.logSend(a)
	case Refuse:
		s.stats.refused(a)
		s.logRefusal(a)
	}
	s.deliver(action)
}

// fetch requests an adapter. If the request cannot be queued, the adapter counts as not
// loaded, so that what waits for it is placed elsewhere.
func (s *Scheduler) fetch(now time.Time, fetch Fetch) {
	s.stats.fetches.Inc()
	if err := s.config.Fetcher.Fetch(fetch); err != nil {
		s.config.Log.WithFields(logrus.Fields{"event": "ring_full", "backend": fetch.Backend()}).WithError(err).Warn("adapter not requested")
		s.execute(now, s.core.Handle(now, NewFetchEnded(fetch, 0)))
	}
}

// deliver passes an action to the proxy, or keeps it while the proxy's inbox is full: a
// request that the core has ended would never be answered without it.
func (s *Scheduler) deliver(action Action) {
	if len(s.undelivered) == 0 {
		err := s.config.Proxy.Put(action)
		if err == nil {
			return
		}
		s.config.Log.WithField("event", "ring_full").WithError(err).Warn("actions wait for room in the inbox of the event loop")
	}
	s.undelivered = append(s.undelivered, action)
}

// redeliver passes the undelivered actions to the proxy as far as it has room for them.
func (s *Scheduler) redeliver() {
	for len(s.undelivered) > 0 && s.config.Proxy.Put(s.undelivered[0]) == nil {
		s.undelivered = s.undelivered[1:]
	}
	if len(s.undelivered) == 0 {
		s.undelivered = nil
	}
}
