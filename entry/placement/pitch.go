package placement

import (
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
	"sesamewell.example/commons/registrar"
	"sesamewell.example/commons/ring"
)

// tickPeriod is the time between two looks at what is due.
const tickPeriod = 250 * time.Millisecond

// Scribe appends records to the log.
type Appender interface {
	// Append hands a record over without blocking.
	Append(record register.Record) error
}

// Config holds the construction parameters of a Pitch.
type Config struct {
	Core     CoreConfig
	Capacity int           // messages in each ring
	Threads  int           // calls to other processes at once
	Timeout  time.Duration // limit on one call
	Conn     func(address string) Conn
	Appender Appender
	Log      *logrus.Entry
}

// Pitch is responsible for running the core on its own thread and carrying out
// its actions.
type Planner struct {
	config      Config
	inbox       *ring.Ring
	calls       *ring.Ring
	core        *Core
	incarnation atomic.Value // string, the incarnation of the duty
}

// New returns a planner.
func New(config Config) *Planner {
	p := &Planner{
		config: config,
		inbox:  ring.New(ring.Config{Name: "pitch", Capacity: config.Capacity}),
		calls:  ring.New(ring.Config{Name: "pitch calls", Capacity: config.Capacity}),
	}
	p.incarnation.Store("")
	return p
}

// Inbox returns the ring that feeds the planner.
func (p *Planner) Inbox() *ring.Ring { return p.inbox }

// Calls returns the ring that feeds the threads that call other processes.
func (p *Planner) Calls() *ring.Ring { return p.calls }

// Services returns the planner's threads, to be added to a crew.
func (p *Planner) Services() []crew.Service {
	services := []crew.Service{crew.NewDuty(crew.DutyConfig{Name: "pitch", Inbox: p.inbox, Handler: p, Period: tickPeriod})}
	for range p.config.Threads {
		services = append(services, &caller{config: p.config, calls: p.calls, replies: p.inbox})
	}
	return services
}

// Start builds the core anew, under an incarnation of its own.
func (p *Planner) Start(now time.Time) error {
	var revision *register.Revision
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

// Handle processes one message.
func (p *Planner) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case Message:
		p.execute(p.core.Handle(now, m))
	case registrar.Revised:
		p.execute(p.core.Handle(now, NewRevisionChanged(m.Revision())))
	}
	return nil
}

// Tick does what is due by time alone.
func (p *Planner) Tick(now time.Time) error {
	p.execute(p.core.Tick(now))
	return nil
}

func (p *Planner) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case PollSide, PollPlanner:
			// A call that the ring refuses counts as not answered.
			if err := p.calls.Put(a); err != nil {
				p.config.Log.WithField("event", "planner_call").WithError(err).Warn("call not handed over")
			}
		case TakeClaim:
			p.append(register.NewRecord(register.RecordConfig{
				Change: uuid.NewString(), Kind: register.Take, Claim: register.PlannerRole,
				Holder: p.core.config.Incarnation, Epoch: a.Epoch(),
			}))
		case ChangePlan:
			p.appendChange(a)
		}
	}
}

func (p *Planner) appendChange(change ChangePlan) {
	record, err := register.NewPlanRecord(register.PlanConfig{
		Change: uuid.NewString(), Epoch: change.Epoch(), Base: change.Base(), Changes: change.Changes(),
	})
	if err != nil {
		p.config.Log.WithField("event", "plan").WithError(err).Error("plan cannot be encoded")
		return
	}
	p.append(record)
}

func (p *Planner) append(record register.Record) {
	if err := p.config.Appender.Append(record); err != nil {
		p.config.Log.WithField("event", "plan").WithError(err).Warn("record not handed over")
	}
}

// Desk is responsible for the method by which other entries watch the planner.
type RPCServer struct {
	planner *Planner
}

// NewDesk returns a desk before a planner.
func NewRPCServer(pitch *Planner) *RPCServer { return &RPCServer{planner: pitch} }

// Pulse tells which incarnation of the planner's duty is at work here.
func (d *RPCServer) Pulse(_ notice.StockAsk, answer *notice.Pulse) error {
	*answer = notice.NewPulse(notice.PulseConfig{Planner: d.planner.incarnation.Load().(string)})
	return nil
}
