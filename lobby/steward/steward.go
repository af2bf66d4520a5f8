package steward

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/ring"
)

// Porch carries out the steward's actions on the callers' connections.
type Porch interface {
	Put(action any) error
}

// Fetcher asks keepers for adapters.
type Fetcher interface {
	Fetch(fetch Fetch) error
}

// Crier tells the other lobbies of this one.
type Crier interface {
	Tell(tell Tell) error
}

// Config holds the construction parameters of a Steward.
type Config struct {
	Core     CoreConfig
	Capacity int // messages in the inbox
	Porch    Porch
	Fetcher  Fetcher
	Crier    Crier

	Log *logrus.Entry
}

// Steward is responsible for running the core on its own thread.
type Steward struct {
	config Config
	inbox  *ring.Ring
	core   *Core
	meters *meters
	ready  atomic.Bool
	open   atomic.Int64
}

// New returns a steward.
func New(config Config) *Steward {
	s := &Steward{
		config: config,
		inbox:  ring.New(ring.Config{Name: "steward", Capacity: config.Capacity}),
		core:   NewCore(config.Core),
		meters: newMeters(),
	}
	watch(s.Open, s.Ready)
	return s
}

// Inbox returns the ring that feeds the steward.
func (s *Steward) Inbox() *ring.Ring { return s.inbox }

// Attach sets who carries out the steward's actions, before it is served.
func (s *Steward) Attach(porch Porch, fetcher Fetcher, crier Crier) {
	s.config.Porch, s.config.Fetcher, s.config.Crier = porch, fetcher, crier
}

// Ready reports whether the process can take callers' connections.
func (s *Steward) Ready() bool { return s.ready.Load() }

// Open returns the number of requests whose answers have not ended.
func (s *Steward) Open() int { return int(s.open.Load()) }

// Duty returns the steward's thread, to be added to a crew.
func (s *Steward) Duty() *crew.Duty {
	return crew.NewDuty(crew.DutyConfig{Name: "steward", Inbox: s.inbox, Handler: s, Period: tickPeriod})
}

// Start does nothing: what is open outlives a restart of the duty.
func (s *Steward) Start(time.Time) error { return nil }

// Handle processes one message.
func (s *Steward) Handle(now time.Time, message any) error {
	if m, ok := message.(Message); ok {
		return s.carryOut(s.core.Handle(now, m))
	}
	return nil
}

// Tick does what is due by time alone.
func (s *Steward) Tick(now time.Time) error { return s.carryOut(s.core.Tick(now)) }

func (s *Steward) carryOut(actions []Action) error {
	s.ready.Store(s.core.Ready())
	s.open.Store(int64(s.core.Open()))
	for _, action := range actions {
		if err := s.give(action); err != nil {
			return err
		}
	}
	return nil
}

// give hands an action to whom it concerns.
func (s *Steward) give(action Action) error {
	switch a := action.(type) {
	case Fetch:
		s.meters.fetches.Inc()
		return s.config.Fetcher.Fetch(a)
	case Tell:
		return s.config.Crier.Tell(a)
	case Send:
		s.config.Log.WithFields(logrus.Fields{
			"event": "sent", "request": a.Visit().ID(), "backend": a.Sheet().Backend(), "tenant": a.Sheet().Tenant(), "model": a.Visit().Model(),
			"adapter": a.Visit().Adapter(), "waited": time.Since(a.Visit().Arrived()),
		}).Info("request sent")
		return s.config.Porch.Put(a)
	case Note:
		s.meters.ended(a)

		s.config.Log.WithFields(logrus.Fields{
			"event": "ended", "request": a.Visit().ID(), "backend": a.Backend(), "result": a.Result(), "status": a.Status(),
			"waited": a.Waited(), "first": a.First(), "pause": a.Pause(), "took": a.Took(),
		}).Log(noteLevel(a), "send ended")
		return nil
	case Refuse:
		s.meters.refusals[a.Cause()].Inc()

		s.log(a)
		return s.config.Porch.Put(a)
	default:
		return s.config.Porch.Put(a)
	}
}

func (s *Steward) log(r Refuse) {
	s.config.Log.WithFields(logrus.Fields{
		"event": "refused", "request": r.Visit().ID(), "cause": r.Cause(), "status": r.Status(), "model": r.Visit().Model(),
		"adapter": r.Visit().Adapter(), "retry_after": r.RetryAfter(),
		"waited": r.Waited(), "holders": r.Holders(), "waiting": r.Waiting(), "list_age": r.ListAge(),
	}).Warn("request refused")
}

// noteLevel returns the level of the line on the end of a send: what did not go
// well is kept when lines are dropped.
func noteLevel(n Note) logrus.Level {
	if n.Result() == Complete {
		return logrus.InfoLevel
	}
	return logrus.WarnLevel
}
