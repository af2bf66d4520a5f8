package quarantine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/register"
	"sesamewell.example/commons/registrar"
	"sesamewell.example/commons/ring"
	"sesamewell.example/entry/router"
)

// Usher routes the requests.
type Router interface {
	Put(message router.Message) error
}

// Gate receives the answers.
type Responder interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Scribe appends records to the log without blocking.
type Appender interface {
	Append(record register.Record) error
}

// Config holds the construction parameters of a Quarantine.
type Config struct {
	Core      CoreConfig
	Capacity  int // messages in the inbox
	Router    Router
	Responder Responder
	Appender  Appender
	Log       *logrus.Entry
}

// Quarantine is responsible for running the core on its own thread and carrying
// out its actions. It stands before the usher: requests and answers that it
// need not see pass through on the caller's thread.
type Quarantine struct {
	config  Config
	inbox   *ring.Ring
	core    *Core
	watched atomic.Pointer[map[string]struct{}]
	running atomic.Pointer[string]
}

// New returns a quarantine.
func New(config Config) *Quarantine {
	q := &Quarantine{config: config, inbox: ring.New(ring.Config{Name: "quarantine", Capacity: config.Capacity}), core: NewCore(config.Core)}
	q.publishWatched()
	return q
}

// Attach sets the usher, before the quarantine is served.
func (q *Quarantine) SetRouter(router Router) { q.config.Router = router }

// Inbox returns the ring that feeds the quarantine, which follows the log.
func (q *Quarantine) Inbox() *ring.Ring { return q.inbox }

// Duty returns the quarantine's thread, to be added to a crew.
func (q *Quarantine) Duty() *crew.Duty {
	return crew.NewDuty(crew.DutyConfig{Name: "quarantine", Inbox: q.inbox, Handler: q, Period: tickPeriod})
}

// Put takes a message for the usher without blocking.
func (q *Quarantine) Put(message router.Message) error {
	watched := *q.watched.Load()
	if len(watched) > 0 {
		switch m := message.(type) {
		case router.Request:
			if _, ok := watched[Fingerprint(m)]; ok {
				return q.inbox.Put(NewIntercepted(m))
			}
		case router.Abandoned:
			// A refused Put is harmless: the suspect's turn ends with its time.
			_ = q.inbox.Put(NewFinished(m.RequestID(), false))
		}
	}
	return q.config.Router.Put(message)
}

// PutWithin takes an action of the usher.
func (q *Quarantine) PutWithin(ctx context.Context, item any, limit time.Duration) error {
	switch m := item.(type) {
	case router.CrashReport:
		return q.inbox.PutWithin(ctx, NewCrashed(m), limit)
	case router.Deliver:
		if m.Complete() && m.RequestID() == *q.running.Load() {
			_ = q.inbox.Put(NewFinished(m.RequestID(), true))
		}
	case router.Refuse:
		if m.RequestID() == *q.running.Load() {
			_ = q.inbox.Put(NewFinished(m.RequestID(), false))
		}
	}
	return q.config.Responder.PutWithin(ctx, item, limit)
}

// Start does nothing: the core outlives a restart of the duty, since the log's
// records do not come a second time.
func (q *Quarantine) Start(time.Time) error { return nil }

// Handle processes one message.
func (q *Quarantine) Handle(now time.Time, message any) error {
	if m, ok := message.(registrar.Recorded); ok {
		sentence, ok := DecodeBan(m.Record())
		if !ok {
			return nil
		}
		message = NewBanLogged(sentence)
	}
	if m, ok := message.(Message); ok {
		return q.execute(now, q.core.Handle(now, m))
	}
	return nil
}

// Tick does what is due by time alone.
func (q *Quarantine) Tick(now time.Time) error { return q.execute(now, q.core.Tick(now)) }

// publish shows the callers' threads which requests the core has to see.
func (q *Quarantine) publishWatched() {
	watched, running := q.core.Watched(), q.core.Running()
	q.watched.Store(&watched)
	q.running.Store(&running)
}

func (q *Quarantine) execute(now time.Time, actions []Action) error {
	q.publishWatched()
	for _, action := range actions {
		if err := q.executeOne(now, action); err != nil {
			return err
		}
	}
	return nil
}

func (q *Quarantine) executeOne(now time.Time, action Action) error {
	switch a := action.(type) {
	case Append:
		record, err := a.ban.Record(uuid.NewString())
		if err != nil {
			return err
		}
		log := q.config.Log.WithFields(logrus.Fields{"event": "quarantined", "fingerprint": a.ban.Fingerprint()})
		if err := q.config.Appender.Append(record); err != nil {
			log.WithError(err).Warn("request barred at this entry only")
			return nil
		}
		log.Warn("request barred after its second crash")
	case Dispatch:
		if err := q.config.Router.Put(a.request); err != nil {
			refusal := router.NewRefuse(a.request.ID(), withOutcome(a.request, errTooMany), retryAfter)
			if err := q.config.Responder.PutWithin(context.Background(), refusal, putTimeout); err != nil {
				return err
			}
			return q.execute(now, q.core.Handle(now, NewFinished(a.request.ID(), false)))
		}
	case Refuse:
		return q.config.Responder.PutWithin(context.Background(), a.action, putTimeout)
	}
	return nil
}
