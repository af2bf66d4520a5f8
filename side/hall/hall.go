package hall

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
type Scribe interface {
	// Append hands a record over without blocking.
	Append(record fleetstate.Record) error
}

// Config holds the construction parameters of a Hall.
type Config struct {
	Core     CoreConfig
	Address  string        // IP:port of the engine
	Timeout  time.Duration // limit on one call to the engine
	Capacity int           // messages in each ring
	Proof    Proof
	Scribe   Scribe
	Log      *logrus.Entry
}

// Hall is responsible for running the core on its own thread and carrying out
// its actions.
type Hall struct {
	config Config
	inbox  *ring.Ring
	clerk  *clerk
	core   *Core
	stock  atomic.Pointer[Stock]
}

// New returns a hall.
func New(config Config) *Hall {
	h := &Hall{config: config, inbox: ring.New(ring.Config{Name: "hall", Capacity: config.Capacity})}
	h.clerk = newClerk(config, h.inbox)
	h.stock.Store(&Stock{})
	return h
}

// Inbox returns the ring that feeds the hall.
func (h *Hall) Inbox() *ring.Ring { return h.inbox }

// Orders returns the ring that feeds the thread that calls the engine.
func (h *Hall) Orders() *ring.Ring { return h.clerk.jobs }

// Resident reports whether the backend server can run requests for a model or
// an adapter. Plain services run everything.
func (h *Hall) Resident(name string) bool { return h.stock.Load().Has(name) }

// Stock returns the summary of the ledger.
func (h *Hall) Stock() Stock { return *h.stock.Load() }

// Services returns the hall's threads, to be added to a crew.
func (h *Hall) Services() []crew.Service {
	duty := crew.NewDuty(crew.DutyConfig{Name: "hall", Inbox: h.inbox, Handler: h, Period: tickPeriod})
	return []crew.Service{duty, h.clerk}
}

// Start builds the core anew. It takes a claim of its own, since the orders of
// an earlier core may still be under way.
func (h *Hall) Start(now time.Time) error {
	var revision *fleetstate.Revision
	if h.core != nil {
		revision = h.core.revision
	}
	config := h.config.Core
	config.Incarnation += "/" + uuid.NewString()
	h.core = NewCore(config)
	if revision != nil {
		h.carryOut(h.core.Handle(now, NewRevised(revision)))
	}
	return nil
}

// Handle processes one message.
func (h *Hall) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case Message:
		h.carryOut(h.core.Handle(now, m))
	case statesync.RevisionChanged:
		h.carryOut(h.core.Handle(now, NewRevised(m.Revision())))
	}
	return nil
}

// Tick does what is due by time alone.
func (h *Hall) Tick(now time.Time) error {
	h.carryOut(h.core.Tick(now))
	return nil
}

func (h *Hall) carryOut(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case TakeClaim:
			h.claim(a)
		case Look, Order:
			// What the ring refuses is lost like an order on its way: the
			// core gives it again.
			if err := h.clerk.jobs.Put(a); err != nil {
				h.config.Log.WithField("event", "order").WithError(err).Warn("order not handed over")
			}
		}
	}
	stock := h.core.Stock()
	h.stock.Store(&stock)
}

func (h *Hall) claim(take TakeClaim) {
	record := fleetstate.NewRecord(fleetstate.RecordConfig{
		Change: uuid.NewString(),
		Kind:   fleetstate.KindClaim,
		Claim:  fleetstate.BackendRole(h.config.Core.Backend),
		Holder: h.core.config.Incarnation,
		Epoch:  take.Epoch(),
	})
	if err := h.config.Scribe.Append(record); err != nil {
		h.config.Log.WithField("event", "claim").WithError(err).Warn("claim not handed over")
	}
}
