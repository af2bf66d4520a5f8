package placement

import (
	"context"
	"maps"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
)

const (
	decisionPeriod = 250 * time.Millisecond // time between two decisions
	inboxCapacity  = 1024                   // capacity of the inbox in messages
	putTimeout     = 5 * time.Second        // longest wait for room in the inbox
	assignPeriod   = time.Second            // time after which an unchanged assignment is sent again
)

// KeeperClient sends assignments to the keepers of the backend servers.
type KeeperClient interface {
	// Assign queues the message for the keeper of the backend server with the
	// given address. It does not block.
	Assign(backend string, assign protocol.Assign) error
}

// Observer is notified of each decision.
type Observer interface {
	// Planned receives the models by backend server ID, or nil if this lobby
	// made no plan.
	Planned(plan map[string][]string)
}

// Config holds the construction parameters of a Planner.
type Config struct {
	Core     CoreConfig
	Keepers  KeeperClient
	Observer Observer
	Store    DemandStore
	Log      *logrus.Entry
}

// Planner runs the core on its own thread.
type Planner struct {
	config Config
	inbox  *ring.Ring
	core   *Core
	sent   map[string]sentAssign // by address of the backend server

	recorder *recorder
	savedAt  time.Time // time at which the demand was last passed to the recorder
	planned  bool      // no other lobby has planned since the recorder took the demand
}

// sentAssign is the last assignment that was sent to a keeper.
type sentAssign struct {
	assign protocol.Assign
	at     time.Time
}

// due reports whether an assignment has to be sent: it differs from the last one or
// the keeper may have lost that.
func (s sentAssign) due(now time.Time, assign protocol.Assign) bool {
	return now.Sub(s.at) >= assignPeriod || !reflect.DeepEqual(s.assign, assign)
}

// New returns a planner.
func New(config Config) *Planner {
	p := &Planner{config: config, inbox: ring.New(ring.Config{Name: "planner", Capacity: inboxCapacity}), core: NewCore(config.Core), sent: make(map[string]sentAssign)}
	p.recorder = newRecorder(config.Store, p.inbox, config.Log)
	return p
}

// Inbox returns the ring from which the planner reads its messages.
func (p *Planner) Inbox() *ring.Ring { return p.inbox }

// Put adds a message to the inbox: a *deployment.Configuration, a
// []deployment.Backend, a deployment.Evacuations, Limits or a protocol.Digest. It waits up to 5 s
// for room and returns an error if there is none by then.
func (p *Planner) Put(message any) error {
	return p.inbox.PutWithin(context.Background(), message, putTimeout)
}

// Services returns the planner's threads, to be added to a supervisor.
func (p *Planner) Services() []supervisor.Service {
	loop := supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "planner", Inbox: p.inbox, Handler: p, Period: decisionPeriod})
	return []supervisor.Service{loop, p.recorder}
}

// Start does nothing: the core's state is kept when the thread restarts.
func (p *Planner) Start(time.Time) error { return nil }

// Handle processes one message of the inbox.
func (p *Planner) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case *deployment.Configuration:
		p.core.SetConfiguration(m)
	case []deployment.Backend:
		p.core.SetBackends(m)
	case deployment.Evacuations:
		p.core.SetEvacuations(m)
	case protocol.Digest:
		p.core.UpdatePeer(now, m)
	case Limits:
		p.core.SetLimits(m)
	case recalledDemand:
		p.core.Recall(m.demand)
	}
	return nil
}

// Tick makes a decision, logs its changes and sends the assignments that are due.
func (p *Planner) Tick(now time.Time) error {
	plan, assigns := p.core.Decide(now)
	for _, change := range p.core.Changes() {
		p.config.Log.WithFields(logrus.Fields{
			"event": "planned", "backend": change.Backend(), "model": change.Model(), "dropped": change.Dropped(),
			"asked": change.Demand(), "copies": change.Copies(), "on_hand": change.HasLocalCopy(),
		}).Info("model planned")
	}
	p.config.Observer.Planned(plan)
	p.saveDemand(now, plan != nil)
	maps.DeleteFunc(p.sent, func(address string, _ sentAssign) bool {
		_, planned := assigns[address]
		return !planned
	})
	for address, assign := range assigns {
		if p.sent[address].due(now, assign) {
			p.send(now, address, assign)
		}
	}
	return nil
}

// saveDemand passes the demand to the recorder when it is due, if this lobby plans.
func (p *Planner) saveDemand(now time.Time, plans bool) {
	p.planned = p.planned && plans
	if !plans || now.Sub(p.savedAt) < savePeriod {
		return
	}
	p.savedAt = now
	if p.recorder.save(demandSave{demand: p.core.Demand(now), always: !p.planned}) {
		p.planned = true
	}
}

func (p *Planner) send(now time.Time, address string, assign protocol.Assign) {
	if err := p.config.Keepers.Assign(address, assign); err != nil {
		p.config.Log.WithFields(logrus.Fields{"event": "assign", "backend": assign.Backend()}).WithError(err).Warn("assignment not queued for the keeper")
		return
	}
	p.sent[address] = sentAssign{assign: assign, at: now}
}
