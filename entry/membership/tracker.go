package membership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/statesync"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/entry/router"
)

const (
	inboxCapacity  = 4096
	probesCapacity = 1024
	proberCount    = 4
	tickPeriod     = 250 * time.Millisecond
	putTimeout     = 5 * time.Second // longest wait for room in the router's ring
)

// Router receives the results of calls to the sides, and the set of closed
// sides.
type Router interface {
	PutWithin(ctx context.Context, message router.Message, limit time.Duration) error
}

// Config holds the construction parameters of a Tracker.
type Config struct {
	Incarnation string // incarnation of this entry
	ListAddress string // IP:port of the platform's list of instances; empty if there is none
	Router      Router
	Identity    *peerrpc.Identity
	Log         *logrus.Entry
}

// Tracker runs a Core on its own thread and executes its actions. It sits
// between the transport and the router: it evaluates each message of the
// transport and forwards it unchanged.
type Tracker struct {
	config     Config
	inbox      *ring.Ring
	probes     *ring.Ring
	core       *Core
	removed    atomic.Pointer[map[string]struct{}] // instances no longer in the list, for other threads
	readNumber atomic.Uint64                       // number of the last read, shared by all probers
}

// New returns a Tracker.
func New(config Config) *Tracker {
	t := &Tracker{
		config: config,
		inbox:  ring.New(ring.Config{Name: "roster", Capacity: inboxCapacity}),
		probes: ring.New(ring.Config{Name: "roster probes", Capacity: probesCapacity}),
		core:   NewCore(),
	}
	t.removed.Store(&map[string]struct{}{})
	return t
}

// Inbox returns the ring from which the tracker takes its messages.
func (t *Tracker) Inbox() *ring.Ring { return t.inbox }

// Services returns the tracker's threads, to be added to a supervisor. Without
// the address of a list there is no listPoller.
func (t *Tracker) Services() []supervisor.Service {
	services := []supervisor.Service{supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "roster", Inbox: t.inbox, Handler: t, Period: tickPeriod})}
	for range proberCount {
		services = append(services, t.newProber())
	}
	if t.config.ListAddress != "" {
		services = append(services, &listPoller{config: t.config, inbox: t.inbox})
	}
	return services
}

func (t *Tracker) newProber() *prober {
	conns := peerrpc.NewClients(func(address string) *peerrpc.Client {
		return peerrpc.NewClient(peerrpc.ClientConfig{Address: address, DialTimeout: probeTimeout, Identity: t.config.Identity})
	})
	return &prober{config: t.config, probes: t.probes, inbox: t.inbox, readNumber: &t.readNumber, conns: conns}
}

// PutWithin forwards a message of the transport to the router, waiting up to
// limit for room, and evaluates whether its side answered. If the tracker's own
// ring is full, that evaluation is skipped: later messages repeat it.
func (t *Tracker) PutWithin(ctx context.Context, message router.Message, limit time.Duration) error {
	if evidence, ok := router.LivenessOf(message); ok {
		_ = t.inbox.Put(messageOf(evidence))
	}
	return t.config.Router.PutWithin(ctx, message, limit)
}

// messageOf converts evidence about a side to a message for the core.
func messageOf(evidence router.Liveness) Message {
	if evidence.Incarnation() == "" {
		return NewSideUnreachable(evidence.Side())
	}
	return NewSideAnswered(evidence.Side(), evidence.Incarnation(), evidence.Draining())
}

// Live reports whether an instance is in the platform's list, or has never been
// in it. It may be called from any thread.
func (t *Tracker) Live(instance string) bool {
	_, removed := (*t.removed.Load())[instance]
	return !removed
}

// Start keeps the core: its state stays valid across a restart of the thread.
func (t *Tracker) Start(time.Time) error { return nil }

// Alarm returns the time at which the next probe is due.
func (t *Tracker) Alarm() time.Time { return t.core.Alarm() }

// Handle processes one message of the inbox.
func (t *Tracker) Handle(now time.Time, message any) error {
	if m, ok := message.(statesync.RevisionChanged); ok {
		message = NewInventoryChanged(m.Revision().Inventory())
	}
	m, ok := message.(Message)
	if !ok {
		return nil
	}
	err := t.execute(t.core.Handle(now, m))
	t.publishRemoved(now)
	return err
}

// Tick executes the actions that are due.
func (t *Tracker) Tick(now time.Time) error {
	t.publishRemoved(now)
	return t.execute(t.core.Tick(now))
}

// publishRemoved makes the instances that are no longer listed visible to Live.
func (t *Tracker) publishRemoved(now time.Time) {
	removed := make(map[string]struct{})
	for _, name := range t.core.Removed(now) {
		removed[name] = struct{}{}
	}
	t.removed.Store(&removed)
}

func (t *Tracker) execute(actions []Action) error {
	for _, action := range actions {
		switch a := action.(type) {
		case Probe:
			// A probe dropped because the ring is full is due again
			// after its delay.
			_ = t.probes.Put(a)
		case CloseSides:
			t.config.Log.WithFields(logrus.Fields{"event": "sides_closed", "sides": len(a.sides)}).Info("set of closed sides changed")
			if err := t.config.Router.PutWithin(context.Background(), router.NewClosedSides(a.sides), putTimeout); err != nil {
				return err
			}
		}
	}
	return nil
}
