package loader

import (
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/statesync"
)

// tickPeriod is the time between two looks at what is due.
const tickPeriod = 200 * time.Millisecond

// Scribe appends records to the log.
type ClaimAppender interface {
	// Append hands a record over without blocking.
	Append(record fleetstate.Record) error
}

// Config holds the construction parameters of a Hall.
type Config struct {
	Core     CoreConfig
	Address  string        // IP:port of the engine
	Timeout  time.Duration // limit on one call to the engine
	Capacity int           // messages in each ring
	Proof    FreshnessProof
	Claims   ClaimAppender
	Log      *logrus.Entry
}

// Hall is responsible for running the core on its own thread and carrying out
// its actions.
type Loader struct {
	config  Config
	inbox   *ring.Ring
	caller  *engineCaller
	core    *Core
	summary atomic.Pointer[Summary]
}

// New returns a hall.
func New(config Config) *Loader {
	h := &Loader{config: config, inbox: ring.New(ring.Config{Name: "hall", Capacity: config.Capacity})}
	h.caller = newEngineCaller(config, h.inbox)
	h.summary.Store(&Summary{})
	return h
}

// Inbox returns the ring that feeds the hall.
func (h *Loader) Inbox() *ring.Ring { return h.inbox }

// Orders returns the ring that feeds the thread that calls the engine.
func (h *Loader) Orders() *ring.Ring { return h.caller.jobs }

// Resident reports whether the backend server can run requests for a model or
// an adapter. Plain services run everything.
func (h *Loader) Resident(name string) bool { return h.summary.Load().CanRun(name) }

// Stock returns the summary of the ledger.
func (h *Loader) Summary() Summary { return *h.summary.Load() }

// Services returns the hall's threads, to be added to a crew.
func (h *Loader) Services() []crew.Service {
	duty := crew.NewDuty(crew.DutyConfig{Name: "hall", Inbox: h.inbox, Handler: h, Period: tickPeriod})
	return []crew.Service{duty, h.caller}
}

// Start builds the core anew. It takes a claim of its own, since the orders of
// an earlier core may still be under way.
func (h *Loader) Start(now time.Time) error {
	var revision *fleetstate.Revision
	if h.core != nil {
		revision = h.core.revision
	}
	config := h.config.Core
	config.Incarnation += "/" + uuid.NewString()
	h.core = NewCore(config)
	if revision != nil {
		h.perform(h.core.Handle(now, NewRevisionChanged(revision)))
	}
	return nil
}

// Handle processes one message.
func (h *Loader) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case Message:
		h.perform(h.core.Handle(now, m))
	case statesync.RevisionChanged:
		h.perform(h.core.Handle(now, NewRevisionChanged(m.Revision())))
	}
	return nil
}

// Tick does what is due by time alone.
func (h *Loader) Tick(now time.Time) error {
	h.perform(h.core.Tick(now))
	return nil
}

func (h *Loader) perform(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case TakeClaim:
			h.appendClaim(a)
		case PollState, Order:
			// What the ring refuses is lost like an order on its way: the
			// core gives it again.
			if err := h.caller.jobs.Put(a); err != nil {
				h.config.Log.WithField("event", "order").WithError(err).Warn("order not handed over")
			}
		}
	}
	stock := h.core.Summary()
	h.summary.Store(&stock)
}

func (h *Loader) appendClaim(take TakeClaim) {
	record := fleetstate.NewRecord(fleetstate.RecordConfig{
		Change: uuid.NewString(),
		Kind:   fleetstate.KindClaim,
		Claim:  fleetstate.BackendRole(h.config.Core.Backend),
		Holder: h.core.config.Incarnation,
		Epoch:  take.Epoch(),
	})
	if err := h.config.Claims.Append(record); err != nil {
		h.config.Log.WithField("event", "claim").WithError(err).Warn("claim not handed over")
	}
}
