package roster

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/registrar"
	"sesamewell.example/commons/ring"
	"sesamewell.example/entry/router"
)

// Named limits of the duty.
const (
	inboxCapacity = 4096
	jobsCapacity  = 1024
	probers       = 4
	tickPeriod    = 250 * time.Millisecond
	handOver      = 5 * time.Second // longest wait for room in the usher's ring
)

// Usher receives what the lines learn, and which sides are closed.
type Usher interface {
	PutWithin(ctx context.Context, message router.Message, limit time.Duration) error
}

// Config holds the construction parameters of a Roster.
type Config struct {
	Incarnation string // of this entry
	List        string // IP:port of the platform's list; empty for none
	Usher       Usher
	Identity    *porter.Identity
	Log         *logrus.Entry
}

// Roster is responsible for running the core on its own thread and carrying out
// its actions. It stands between the lines and the usher, which gets every
// message unchanged.
type Roster struct {
	config Config
	inbox  *ring.Ring
	jobs   *ring.Ring
	core   *Core
	gone   atomic.Pointer[map[string]struct{}]
	reads  atomic.Uint64 // number of the last read, over all probers
}

// New returns a roster.
func New(config Config) *Roster {
	r := &Roster{
		config: config,
		inbox:  ring.New(ring.Config{Name: "roster", Capacity: inboxCapacity}),
		jobs:   ring.New(ring.Config{Name: "roster probes", Capacity: jobsCapacity}),
		core:   NewCore(),
	}
	r.gone.Store(&map[string]struct{}{})
	return r
}

// Inbox returns the ring that feeds the roster.
func (r *Roster) Inbox() *ring.Ring { return r.inbox }

// Services returns the threads, to be added to a crew.
func (r *Roster) Services() []crew.Service {
	services := []crew.Service{crew.NewDuty(crew.DutyConfig{Name: "roster", Inbox: r.inbox, Handler: r, Period: tickPeriod})}
	for range probers {
		services = append(services, r.newProber())
	}
	if r.config.List != "" {
		services = append(services, &lister{config: r.config, inbox: r.inbox})
	}
	return services
}

func (r *Roster) newProber() *prober {
	lines := porter.NewLines(func(address string) *porter.Line {
		return porter.NewLine(porter.LineConfig{Address: address, DialTimeout: probeLimit, Identity: r.config.Identity})
	})
	return &prober{config: r.config, jobs: r.jobs, inbox: r.inbox, reads: &r.reads, lines: lines}
}

// PutWithin passes a message of the lines on and notes what it tells about its
// side. What finds the roster's ring full is dropped: it comes again.
func (r *Roster) PutWithin(ctx context.Context, message router.Message, limit time.Duration) error {
	if evidence, ok := router.LivenessOf(message); ok {
		_ = r.inbox.Put(noteOf(evidence))
	}
	return r.config.Usher.PutWithin(ctx, message, limit)
}

func noteOf(evidence router.Liveness) Message {
	if evidence.Incarnation() == "" {
		return NewSilent(evidence.Side())
	}
	return NewAnswered(evidence.Side(), evidence.Incarnation(), evidence.Leaving())
}

// Live reports whether the list holds an instance live, or has never shown it.
func (r *Roster) Live(instance string) bool {
	_, gone := (*r.gone.Load())[instance]
	return !gone
}

// Start keeps the core: what it knows stays true when the duty is restarted.
func (r *Roster) Start(time.Time) error { return nil }

// Alarm returns the time at which the next probe is due.
func (r *Roster) Alarm() time.Time { return r.core.Alarm() }

// Handle processes one message.
func (r *Roster) Handle(now time.Time, message any) error {
	if m, ok := message.(registrar.Revised); ok {
		message = NewRevised(m.Revision().Inventory())
	}
	m, ok := message.(Message)
	if !ok {
		return nil
	}
	err := r.carryOut(r.core.Handle(now, m))
	r.show(now)
	return err
}

// Tick does what is due by time alone.
func (r *Roster) Tick(now time.Time) error {
	r.show(now)
	return r.carryOut(r.core.Tick(now))
}

// show publishes the instances that are gone to other threads.
func (r *Roster) show(now time.Time) {
	gone := make(map[string]struct{})
	for _, name := range r.core.Gone(now) {
		gone[name] = struct{}{}
	}
	r.gone.Store(&gone)
}

func (r *Roster) carryOut(actions []Action) error {
	for _, action := range actions {
		switch a := action.(type) {
		case Probe:
			// A refused probe is due again after its wait.
			_ = r.jobs.Put(a)
		case Close:
			r.config.Log.WithFields(logrus.Fields{"event": "sides_closed", "sides": len(a.sides)}).Info("sides that get no new work changed")
			if err := r.config.Usher.PutWithin(context.Background(), router.NewClosedSides(a.sides), handOver); err != nil {
				return err
			}
		}
	}
	return nil
}
