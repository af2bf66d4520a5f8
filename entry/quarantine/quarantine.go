package quarantine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/statesync"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/entry/router"
)

// Router routes requests to sides. Put does not block.
type Router interface {
	Put(message router.Message) error
}

// Responder receives the actions that answer callers. PutWithin waits up to limit
// for room.
type Responder interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Appender appends records to the log without blocking.
type Appender interface {
	Append(record fleetstate.Record) error
}

// Config holds the construction parameters of a Quarantine.
type Config struct {
	Core      CoreConfig
	Capacity  int // capacity of the inbox in messages
	Router    Router
	Responder Responder
	Appender  Appender
	Log       *logrus.Entry
}

// Quarantine runs a Core on its own thread and executes its actions. It sits
// between the front end and the router: requests and answers that do not concern
// the core pass through on the caller's thread.
type Quarantine struct {
	config  Config
	inbox   *ring.Ring
	core    *Core
	watched atomic.Pointer[map[string]struct{}] // copy of Core.Watched for other threads
	running atomic.Pointer[string]              // copy of Core.Running for other threads
}

// New returns a quarantine. Its thread runs once EventLoop is added to a supervisor.
func New(config Config) *Quarantine {
	q := &Quarantine{config: config, inbox: ring.New(ring.Config{Name: "quarantine", Capacity: config.Capacity}), core: NewCore(config.Core)}
	q.publishWatched()
	return q
}

// SetRouter sets the router. It must be called before the thread starts and before
// the first call of Put.
func (q *Quarantine) SetRouter(to Router) { q.config.Router = to }

// Inbox returns the ring that holds the quarantine's messages, among them the
// records of the log.
func (q *Quarantine) Inbox() *ring.Ring { return q.inbox }

// EventLoop returns the quarantine's thread, to be added to a supervisor.
func (q *Quarantine) EventLoop() *supervisor.EventLoop {
	return supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "quarantine", Inbox: q.inbox, Handler: q, Period: tickPeriod})
}

// Put passes a message to the router without blocking. It diverts requests whose
// fingerprint is watched to the inbox.
func (q *Quarantine) Put(message router.Message) error {
	watched := *q.watched.Load()
	if len(watched) > 0 {
		switch m := message.(type) {
		case router.Request:
			if _, ok := watched[Fingerprint(m)]; ok {
				return q.inbox.Put(NewIntercepted(m))
			}
		case router.Abandoned:
			// A full inbox does no harm: the core stops waiting for the request at
			// its deadline.
			_ = q.inbox.Put(NewFinished(m.RequestID(), false))
		}
	}
	return q.config.Router.Put(message)
}

// PutWithin passes an action of the router to the responder. It diverts crash
// reports to the inbox and reports the end of the running request to the core.
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

// Start does nothing. The core is kept when the thread restarts, because the log's
// records are not delivered a second time.
func (q *Quarantine) Start(time.Time) error { return nil }

// Handle processes one message.
func (q *Quarantine) Handle(now time.Time, message any) error {
	if m, ok := message.(statesync.RecordForwarded); ok {
		ban, ok := DecodeBan(m.Record())
		if !ok {
			return nil
		}
		message = NewBanLogged(ban)
	}
	if m, ok := message.(Message); ok {
		return q.execute(now, q.core.Handle(now, m))
	}
	return nil
}

// Tick executes the actions that are due by time.
func (q *Quarantine) Tick(now time.Time) error { return q.execute(now, q.core.Tick(now)) }

// publishWatched makes the watched fingerprints and the running request visible to
// the threads that call Put and PutWithin.
func (q *Quarantine) publishWatched() {
	watched, running := q.core.Watched(), q.core.Running()
	q.watched.Store(&watched)
	q.running.Store(&running)
}

// execute executes the core's actions.
func (q *Quarantine) execute(now time.Time, actions []Action) error {
	q.publishWatched()
	for _, action := range actions {
		if err := q.executeAction(now, action); err != nil {
			return err
		}
	}
	return nil
}

func (q *Quarantine) executeAction(now time.Time, action Action) error {
	switch a := action.(type) {
	case Append:
		record, err := a.ban.Record(uuid.NewString())
		if err != nil {
			return err
		}
		log := q.config.Log.WithFields(logrus.Fields{"event": "quarantined", "fingerprint": a.ban.Fingerprint()})
		if err := q.config.Appender.Append(record); err != nil {
			log.WithError(err).Warn("request banned on this entry only: ban not appended to the log")
			return nil
		}
		log.Warn("request banned after its second crash")
	case Dispatch:
		if err := q.config.Router.Put(a.request); err != nil {
			refusal := router.NewRefuse(a.request.ID(), withOutcome(a.request, errTooMany), retryAfter)
			if err := q.config.Responder.PutWithin(context.Background(), refusal, putTimeout); err != nil {
				return err
			}
			return q.execute(now, q.core.Handle(now, NewFinished(a.request.ID(), false)))
		}
	case Refuse:
		return q.config.Responder.PutWithin(context.Background(), a.refusal, putTimeout)
	}
	return nil
}
