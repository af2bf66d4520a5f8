package loader

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

// tickPeriod is the time between two calls of Tick.
const tickPeriod = 200 * time.Millisecond

// Appender appends claim records to the log.
type Appender interface {
	// Append queues a record without blocking.
	Append(record fleetstate.Record) error
}

// Config holds the construction parameters of a Loader.
type Config struct {
	Core     CoreConfig
	Address  string        // IP:port of the engine
	Timeout  time.Duration // longest time of one call to the engine
	Capacity int           // capacity of each ring in messages
	Proof    FreshnessProof
	Appender Appender
	Log      *logrus.Entry
}

// Loader runs the core on its own thread and executes the core's actions.
type Loader struct {
	config  Config
	inbox   *ring.Ring
	caller  *engineCaller
	core    *Core
	summary atomic.Pointer[Summary]
}

// New returns a loader. Its threads run once Services are added to a supervisor.
func New(config Config) *Loader {
	l := &Loader{config: config, inbox: ring.New(ring.Config{Name: "hall", Capacity: config.Capacity})}
	l.caller = newEngineCaller(config, l.inbox)
	l.summary.Store(&Summary{})
	return l
}

// Inbox returns the ring of the loader's incoming messages.
func (l *Loader) Inbox() *ring.Ring { return l.inbox }

// Jobs returns the ring of the jobs for the thread that calls the engine.
func (l *Loader) Jobs() *ring.Ring { return l.caller.jobs }

// Resident reports whether the backend server can run requests for a model or an
// adapter. A plain service can run every request.
func (l *Loader) Resident(name string) bool { return l.summary.Load().CanRun(name) }

// Summary returns the latest summary of the ledger. It is safe for concurrent use.
func (l *Loader) Summary() Summary { return *l.summary.Load() }

// Services returns the loader's threads, to be added to a supervisor.
func (l *Loader) Services() []supervisor.Service {
	loop := supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "hall", Inbox: l.inbox, Handler: l, Period: tickPeriod})
	return []supervisor.Service{loop, l.caller}
}

// Start creates a new core. It takes a new claim, because orders of the previous
// core may still be in flight.
func (l *Loader) Start(now time.Time) error {
	var revision *fleetstate.Revision
	if l.core != nil {
		revision = l.core.revision
	}
	config := l.config.Core
	config.Incarnation += "/" + uuid.NewString()
	l.core = NewCore(config)
	if revision != nil {
		l.execute(l.core.Handle(now, NewRevisionChanged(revision)))
	}
	return nil
}

// Handle processes one message.
func (l *Loader) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case Message:
		l.execute(l.core.Handle(now, m))
	case statesync.RevisionChanged:
		l.execute(l.core.Handle(now, NewRevisionChanged(m.Revision())))
	}
	return nil
}

// Tick executes the actions that are due at now.
func (l *Loader) Tick(now time.Time) error {
	l.execute(l.core.Tick(now))
	return nil
}

func (l *Loader) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case TakeClaim:
			l.appendClaim(a)
		case PollState, Order:
			// A job that the full ring rejects is treated as lost: the core
			// issues it again.
			if err := l.caller.jobs.Put(a); err != nil {
				l.config.Log.WithField("event", "order").WithError(err).Warn("job for the engine dropped: ring rejected it")
			}
		}
	}
	summary := l.core.Summary()
	l.summary.Store(&summary)
}

func (l *Loader) appendClaim(request TakeClaim) {
	record := fleetstate.NewRecord(fleetstate.RecordConfig{
		Change: uuid.NewString(),
		Kind:   fleetstate.KindClaim,
		Claim:  fleetstate.BackendRole(l.config.Core.Backend),
		Holder: l.core.config.Incarnation,
		Epoch:  request.Epoch(),
	})
	if err := l.config.Appender.Append(record); err != nil {
		l.config.Log.WithField("event", "claim").WithError(err).Warn("claim not queued for the log")
	}
}
