package membership

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
	inboxCapacity  = 4096
	probesCapacity = 1024
	proberCount    = 4
	tickPeriod     = 250 * time.Millisecond
	putTimeout     = 5 * time.Second // longest wait for room in the usher's ring
)

// Usher receives what the lines learn, and which sides are closed.
type Router interface {
	PutWithin(ctx context.Context, message router.Message, limit time.Duration) error
}

// Config holds the construction parameters of a Roster.
type Config struct {
	Incarnation string // of this entry
	ListAddress string // IP:port of the platform's list; empty for none
	Router      Router
	Identity    *porter.Identity
	Log         *logrus.Entry
}

// Roster is responsible for running the core on its own thread and carrying out
// its actions. It stands between the lines and the usher, which gets every
// message unchanged.
type Tracker struct {
	config     Config
	inbox      *ring.Ring
	probes     *ring.Ring
	core       *Core
	removed    atomic.Pointer[map[string]struct{}]
	readNumber atomic.Uint64 // number of the last read, over all probers
}

// New returns a roster.
func New(config Config) *Tracker {
	r := &Tracker{
		config: config,
		inbox:  ring.New(ring.Config{Name: "roster", Capacity: inboxCapacity}),
		probes: ring.New(ring.Config{Name: "roster probes", Capacity: probesCapacity}),
		core:   NewCore(),
	}
	r.removed.Store(&map[string]struct{}{})
	return r
}

// Inbox returns the ring that feeds the roster.
func (r *Tracker) Inbox() *ring.Ring { return r.inbox }

// Services returns the threads, to be added to a crew.
func (r *Tracker) Services() []crew.Service {
	services := []crew.Service{crew.NewDuty(crew.DutyConfig{Name: "roster", Inbox: r.inbox, Handler: r, Period: tickPeriod})}
	for range proberCount {
		services = append(services, r.newProber())
	}
	if r.config.ListAddress != "" {
		services = append(services, &lister{config: r.config, inbox: r.inbox})
	}
	return services
}

func (r *Tracker) newProber() *prober {
	lines := porter.NewLines(func(address string) *porter.Line {
		return porter.NewLine(porter.LineConfig{Address: address, DialTimeout: probeTimeout, Identity: r.config.Identity})
	})
	return &prober{config: r.config, probes: r.probes, inbox: r.inbox, readNumber: &r.readNumber, conns: lines}
}

// PutWithin passes a message of the lines on and notes what it tells about its
// side. What finds the roster's ring full is dropped: it comes again.
func (r *Tracker) PutWithin(ctx context.Context, message router.Message, limit time.Duration) error {
	if evidence, ok := router.LivenessOf(message); ok {
		_ = r.inbox.Put(messageOf(evidence))
	}
	return r.config.Router.PutWithin(ctx, message, limit)
}

func messageOf(evidence router.Liveness) Message {
	if evidence.Incarnation() == "" {
		return NewSideUnreachable(evidence.Side())
	}
	return NewSideAnswered(evidence.Side(), evidence.Incarnation(), evidence.Leaving())
}

// Live reports whether the list holds an instance live, or has never shown it.
func (r *Tracker) Live(instance string) bool {
	_, gone := (*r.removed.Load())[instance]
	return !gone
}

// Start keeps the core: what it knows stays true when the duty is restarted.
func (r *Tracker) Start(time.Time) error { return nil }

// Alarm returns the time at which the next probe is due.
func (r *Tracker) Alarm() time.Time { return r.core.Alarm() }

// Handle processes one message.
func (r *Tracker) Handle(now time.Time, message any) error {
	if m, ok := message.(registrar.Revised); ok {
		message = NewInventoryChanged(m.Revision().Inventory())
	}
	m, ok := message.(Message)
	if !ok {
		return nil
	}
	err := r.execute(r.core.Handle(now, m))
	r.publishRemoved(now)
	return err
}

// Tick does what is due by time alone.
func (r *Tracker) Tick(now time.Time) error {
	r.publishRemoved(now)
	return r.execute(r.core.Tick(now))
}

// show publishes the instances that are gone to other threads.
func (r *Tracker) publishRemoved(now time.Time) {
	gone := make(map[string]struct{})
	for _, name := range r.core.Removed(now) {
		gone[name] = struct{}{}
	}
	r.removed.Store(&gone)
}

func (r *Tracker) execute(actions []Action) error {
	for _, action := range actions {
		switch a := action.(type) {
		case Probe:
			// A refused probe is due again after its wait.
			_ = r.probes.Put(a)
		case CloseSides:
			r.config.Log.WithFields(logrus.Fields{"event": "sides_closed", "sides": len(a.sides)}).Info("sides that get no new work changed")
			if err := r.config.Router.PutWithin(context.Background(), router.NewClosedSides(a.sides), putTimeout); err != nil {
				return err
			}
		}
	}
	return nil
}
