package placement

import (
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/statesync"
	"sesamewell.example/commons/supervisor"
)

// tickPeriod is the time between two checks for due actions.
const tickPeriod = 250 * time.Millisecond

// Appender appends records to the log.
type Appender interface {
	// Append queues a record without blocking. It fails if the queue is full.
	Append(record fleetstate.Record) error
}

// Config holds the construction parameters of a Planner.
type Config struct {
	Core      CoreConfig
	Capacity  int           // capacity of each ring in messages
	Threads   int           // number of concurrent calls to other processes
	Timeout   time.Duration // limit on one call
	RPCClient func(address string) RPCClient
	Appender  Appender
	Log       *logrus.Entry
}

// Planner runs a Core on its own thread and executes its actions.
type Planner struct {
	config      Config
	inbox       *ring.Ring
	calls       *ring.Ring
	core        *Core
	incarnation atomic.Value // string; empty before the first start
}

// New returns a Planner.
func New(config Config) *Planner {
	p := &Planner{
		config: config,
		inbox:  ring.New(ring.Config{Name: "pitch", Capacity: config.Capacity}),
		calls:  ring.New(ring.Config{Name: "pitch calls", Capacity: config.Capacity}),
	}
	p.incarnation.Store("")
	return p
}

// Inbox returns the ring from which the planner takes its messages.
func (p *Planner) Inbox() *ring.Ring { return p.inbox }

// Calls returns the ring from which the caller threads take their calls.
func (p *Planner) Calls() *ring.Ring { return p.calls }

// Services returns the planner's threads, to be added to a supervisor.
func (p *Planner) Services() []supervisor.Service {
	services := []supervisor.Service{supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "pitch", Inbox: p.inbox, Handler: p, Period: tickPeriod})}
	for range p.config.Threads {
		services = append(services, &caller{config: p.config, calls: p.calls, replies: p.inbox})
	}
	return services
}

// Start replaces the core by a new one with a new incarnation, so a planner that
// is restarted does not hold the claim of its predecessor. The revision of the
// fleet state is kept.
func (p *Planner) Start(now time.Time) error {
	var revision *fleetstate.Revision
	if p.core != nil {
		revision = p.core.revision
	}
	config := p.config.Core
	config.Incarnation = config.Instance + "/" + uuid.NewString()
	p.core = NewCore(config)
	p.incarnation.Store(config.Incarnation)
	if revision != nil {
		p.execute(p.core.Handle(now, NewRevisionChanged(revision)))
	}
	return nil
}

// Handle processes one message of the inbox.
func (p *Planner) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case Message:
		p.execute(p.core.Handle(now, m))
	case statesync.RevisionChanged:
		p.execute(p.core.Handle(now, NewRevisionChanged(m.Revision())))
	}
	return nil
}

// Tick executes the actions that are due.
func (p *Planner) Tick(now time.Time) error {
	p.execute(p.core.Tick(now))
	return nil
}

func (p *Planner) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case PollSide, PollPlanner:
			// A call dropped because the ring is full is due again
			// after the poll period.
			if err := p.calls.Put(a); err != nil {
				p.config.Log.WithField("event", "planner_call").WithError(err).Warn("call not queued")
			}
		case TakeClaim:
			p.append(fleetstate.NewRecord(fleetstate.RecordConfig{
				Change: uuid.NewString(), Kind: fleetstate.KindClaim, Claim: fleetstate.PlannerRole,
				Holder: p.core.config.Incarnation, Epoch: a.Epoch(),
			}))
		case ChangePlan:
			p.appendChange(a)
		}
	}
}

// appendChange queues a change of the plan for the log.
func (p *Planner) appendChange(change ChangePlan) {
	record, err := fleetstate.NewPlanRecord(fleetstate.PlanConfig{
		Change: uuid.NewString(), Epoch: change.Epoch(), Base: change.Base(), Changes: change.Changes(),
	})
	if err != nil {
		p.config.Log.WithField("event", "plan").WithError(err).Error("failed to encode plan")
		return
	}
	p.append(record)
}

func (p *Planner) append(record fleetstate.Record) {
	if err := p.config.Appender.Append(record); err != nil {
		p.config.Log.WithField("event", "plan").WithError(err).Warn("record not queued for the log")
	}
}
