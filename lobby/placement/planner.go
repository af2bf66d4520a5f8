package placement

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
)

const (
	decisionPeriod = 500 * time.Millisecond // between two decisions
	inboxCapacity  = 1024                   // messages in the inbox
	putTimeout     = 5 * time.Second        // longest wait for room in the inbox
)

// Keepers are called to tell them what their backend servers shall hold.
type KeeperClient interface {
	// Assign hands the message over without blocking.
	Assign(backend string, assign notice.Assign) error
}

// Audience learns of the plan.
type Observer interface {
	// Planned takes a plan that this lobby has made, nil if it makes none.
	Planned(plan map[string][]string)
}

// Config holds the construction parameters of a Planner.
type Config struct {
	Core     CoreConfig
	Keepers  KeeperClient
	Observer Observer
	Log      *logrus.Entry
}

// Planner is responsible for running the core on its own thread.
type Planner struct {
	config Config
	inbox  *ring.Ring
	core   *Core
}

// New returns a planner.
func New(config Config) *Planner {
	return &Planner{config: config, inbox: ring.New(ring.Config{Name: "planner", Capacity: inboxCapacity}), core: NewCore(config.Core)}
}

// Inbox returns the ring that feeds the planner.
func (p *Planner) Inbox() *ring.Ring { return p.inbox }

// Put hands news over: a *charter.Charter, a []charter.Backend or a
// notice.Digest.
func (p *Planner) Put(news any) error {
	return p.inbox.PutWithin(context.Background(), news, putTimeout)
}

// Duty returns the planner's thread, to be added to a crew.
func (p *Planner) Duty() *crew.Duty {
	return crew.NewDuty(crew.DutyConfig{Name: "planner", Inbox: p.inbox, Handler: p, Period: decisionPeriod})
}

// Start does nothing: what is known outlives a restart of the duty.
func (p *Planner) Start(time.Time) error { return nil }

// Handle processes one piece of news.
func (p *Planner) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case *charter.Charter:
		p.core.SetConfiguration(m)
	case []charter.Backend:
		p.core.SetBackends(m)
	case notice.Digest:
		p.core.UpdatePeer(now, m)
	}
	return nil
}

// Tick decides.
func (p *Planner) Tick(now time.Time) error {
	plan, assigns := p.core.Decide(now)
	for _, change := range p.core.Changes() {
		p.config.Log.WithFields(logrus.Fields{
			"event": "planned", "backend": change.Backend(), "model": change.Model(), "dropped": change.Dropped(),
			"asked": change.Demand(), "copies": change.Copies(), "on_hand": change.OnHand(),
		}).Info("model planned")
	}
	p.config.Observer.Planned(plan)
	for address, assign := range assigns {
		if err := p.config.Keepers.Assign(address, assign); err != nil {
			p.config.Log.WithFields(logrus.Fields{"event": "assign", "backend": assign.Backend()}).WithError(err).Warn("keeper not told")
		}
	}
	return nil
}
