package pitch

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
type Scribe interface {
	// Append hands a record over without blocking.
	Append(record register.Record) error
}

// Config holds the construction parameters of a Pitch.
type Config struct {
	Core     CoreConfig
	Capacity int           // messages in each ring
	Threads  int           // calls to other processes at once
	Timeout  time.Duration // limit on one call
	Line     func(address string) Line
	Scribe   Scribe
	Log      *logrus.Entry
}

// Pitch is responsible for running the core on its own thread and carrying out
// its actions.
type Pitch struct {
	config  Config
	inbox   *ring.Ring
	calls   *ring.Ring
	core    *Core
	planner atomic.Value // string, the incarnation of the duty
}

// New returns a planner.
func New(config Config) *Pitch {
	p := &Pitch{
		config: config,
		inbox:  ring.New(ring.Config{Name: "pitch", Capacity: config.Capacity}),
		calls:  ring.New(ring.Config{Name: "pitch calls", Capacity: config.Capacity}),
	}
	p.planner.Store("")
	return p
}

// Inbox returns the ring that feeds the planner.
func (p *Pitch) Inbox() *ring.Ring { return p.inbox }

// Calls returns the ring that feeds the threads that call other processes.
func (p *Pitch) Calls() *ring.Ring { return p.calls }

// Services returns the planner's threads, to be added to a crew.
func (p *Pitch) Services() []crew.Service {
	services := []crew.Service{crew.NewDuty(crew.DutyConfig{Name: "pitch", Inbox: p.inbox, Handler: p, Period: tickPeriod})}
	for range p.config.Threads {
		services = append(services, &caller{config: p.config, calls: p.calls, pitch: p.inbox})
	}
	return services
}

// Start builds the core anew, under an incarnation of its own.
func (p *Pitch) Start(now time.Time) error {
	var revision *register.Revision
	if p.core != nil {
		revision = p.core.revision
	}
	config := p.config.Core
	config.Incarnation = config.Instance + "/" + uuid.NewString()
	p.core = NewCore(config)
	p.planner.Store(config.Incarnation)
	if revision != nil {
		p.carryOut(p.core.Handle(now, NewRevised(revision)))
	}
	return nil
}

// Handle processes one message.
func (p *Pitch) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case Message:
		p.carryOut(p.core.Handle(now, m))
	case registrar.Revised:
		p.carryOut(p.core.Handle(now, NewRevised(m.Revision())))
	}
	return nil
}

// Tick does what is due by time alone.
func (p *Pitch) Tick(now time.Time) error {
	p.carryOut(p.core.Tick(now))
	return nil
}

func (p *Pitch) carryOut(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case AskSide, AskPlanner:
			// A call that the ring refuses counts as not answered.
			if err := p.calls.Put(a); err != nil {
				p.config.Log.WithField("event", "planner_call").WithError(err).Warn("call not handed over")
			}
		case TakeClaim:
			p.append(register.NewRecord(register.RecordConfig{
				Change: uuid.NewString(), Kind: register.Take, Claim: register.PlannerRole,
				Holder: p.core.config.Incarnation, Epoch: a.Epoch(),
			}))
		case Change:
			p.change(a)
		}
	}
}

func (p *Pitch) change(change Change) {
	record, err := register.NewPlanRecord(register.PlanConfig{
		Change: uuid.NewString(), Epoch: change.Epoch(), Base: change.Base(), Changes: change.Changes(),
	})
	if err != nil {
		p.config.Log.WithField("event", "plan").WithError(err).Error("plan cannot be encoded")
		return
	}
	p.append(record)
}

func (p *Pitch) append(record register.Record) {
	if err := p.config.Scribe.Append(record); err != nil {
		p.config.Log.WithField("event", "plan").WithError(err).Warn("record not handed over")
	}
}

// Desk is responsible for the method by which other entries watch the planner.
type Desk struct {
	pitch *Pitch
}

// NewDesk returns a desk before a planner.
func NewDesk(pitch *Pitch) *Desk { return &Desk{pitch: pitch} }

// Pulse tells which incarnation of the planner's duty is at work here.
func (d *Desk) Pulse(_ notice.StockAsk, answer *notice.Pulse) error {
	*answer = notice.NewPulse(notice.PulseConfig{Planner: d.pitch.planner.Load().(string)})
	return nil
}
