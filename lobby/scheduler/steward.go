package scheduler

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/ring"
)

// Porch carries out the steward's actions on the callers' connections.
type Proxy interface {
	Put(action any) error
}

// Fetcher asks keepers for adapters.
type Fetcher interface {
	Fetch(fetch Fetch) error
}

// Crier tells the other lobbies of this one.
type Broadcaster interface {
	Broadcast(tell Broadcast) error
}

// Config holds the construction parameters of a Steward.
type Config struct {
	Core        CoreConfig
	Capacity    int // messages in the inbox
	Proxy       Proxy
	Fetcher     Fetcher
	Broadcaster Broadcaster

	Log *logrus.Entry
}

// Steward is responsible for running the core on its own thread.
type Scheduler struct {
	config Config
	inbox  *ring.Ring
	core   *Core
	stats  *stats
	ready  atomic.Bool
	open   atomic.Int64
}

// New returns a steward.
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

// Inbox returns the ring that feeds the steward.
func (s *Scheduler) Inbox() *ring.Ring { return s.inbox }

// Attach sets who carries out the steward's actions, before it is served.
func (s *Scheduler) Attach(porch Proxy, fetcher Fetcher, crier Broadcaster) {
	s.config.Proxy, s.config.Fetcher, s.config.Broadcaster = porch, fetcher, crier
}

// Ready reports whether the process can take callers' connections.
func (s *Scheduler) Ready() bool { return s.ready.Load() }

// Open returns the number of requests whose answers have not ended.
func (s *Scheduler) Open() int { return int(s.open.Load()) }

// Duty returns the steward's thread, to be added to a crew.
func (s *Scheduler) Duty() *crew.Duty {
	return crew.NewDuty(crew.DutyConfig{Name: "steward", Inbox: s.inbox, Handler: s, Period: tickPeriod})
}

// Start does nothing: what is open outlives a restart of the duty.
func (s *Scheduler) Start(time.Time) error { return nil }

// Handle processes one message.
func (s *Scheduler) Handle(now time.Time, message any) error {
	if m, ok := message.(Message); ok {
		return s.execute(s.core.Handle(now, m))
	}
	return nil
}

// Tick does what is due by time alone.
func (s *Scheduler) Tick(now time.Time) error { return s.execute(s.core.Tick(now)) }

func (s *Scheduler) execute(actions []Action) error {
	s.ready.Store(s.core.Ready())
	s.open.Store(int64(s.core.Open()))
	for _, action := range actions {
		if err := s.executeOne(action); err != nil {
			return err
		}
	}
	return nil
}

// give hands an action to whom it concerns.
func (s *Scheduler) executeOne(action Action) error {
	switch a := action.(type) {
	case Fetch:
		s.stats.fetches.Inc()
		return s.config.Fetcher.Fetch(a)
	case Broadcast:
		return s.config.Broadcaster.Broadcast(a)
	case Send:
		s.config.Log.WithFields(logrus.Fields{
			"event": "sent", "request": a.Request().ID(), "backend": a.Sheet().Backend(), "tenant": a.Sheet().Tenant(), "model": a.Request().Model(),
			"adapter": a.Request().Adapter(), "waited": time.Since(a.Request().Arrived()),
		}).Info("request sent")
		return s.config.Proxy.Put(a)
	case RecordSend:
		s.stats.sendEnded(a)

		s.config.Log.WithFields(logrus.Fields{
			"event": "ended", "request": a.Request().ID(), "backend": a.Backend(), "result": a.Result(), "status": a.Status(),
			"waited": a.Waited(), "first": a.FirstEvent(), "pause": a.LongestPause(), "took": a.Took(),
		}).Log(recordLevel(a), "send ended")
		return nil
	case Refuse:
		s.stats.refusals[a.Cause()].Inc()

		s.logRefusal(a)
		return s.config.Proxy.Put(a)
	default:
		return s.config.Proxy.Put(a)
	}
}

func (s *Scheduler) logRefusal(r Refuse) {
	s.config.Log.WithFields(logrus.Fields{
		"event": "refused", "request": r.Request().ID(), "cause": r.Cause(), "status": r.Status(), "model": r.Request().Model(),
		"adapter": r.Request().Adapter(), "retry_after": r.RetryAfter(),
		"waited": r.Waited(), "holders": r.Holders(), "waiting": r.Queued(), "list_age": r.ListAge(),
	}).Warn("request refused")
}

// noteLevel returns the level of the line on the end of a send: what did not go
// well is kept when lines are dropped.
func recordLevel(n RecordSend) logrus.Level {
	if n.Result() == Complete {
		return logrus.InfoLevel
	}
	return logrus.WarnLevel
}
