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
	"sesamewell.example/entry/usher"
)

// Usher routes the requests.
type Usher interface {
	Put(message usher.Message) error
}

// Gate receives the answers.
type Gate interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Scribe appends records to the log without blocking.
type Scribe interface {
	Append(record register.Record) error
}

// Config holds the construction parameters of a Quarantine.
type Config struct {
	Core     CoreConfig
	Capacity int // messages in the inbox
	Usher    Usher
	Gate     Gate
	Scribe   Scribe
	Log      *logrus.Entry
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
	q.publish()
	return q
}

// Attach sets the usher, before the quarantine is served.
func (q *Quarantine) Attach(router Usher) { q.config.Usher = router }

// Inbox returns the ring that feeds the quarantine, which follows the log.
func (q *Quarantine) Inbox() *ring.Ring { return q.inbox }

// Duty returns the quarantine's thread, to be added to a crew.
func (q *Quarantine) Duty() *crew.Duty {
	return crew.NewDuty(crew.DutyConfig{Name: "quarantine", Inbox: q.inbox, Handler: q, Period: tickPeriod})
}

// Put takes a message for the usher without blocking.
func (q *Quarantine) Put(message usher.Message) error {
	watched := *q.watched.Load()
	if len(watched) > 0 {
		switch m := message.(type) {
		case usher.Ask:
			if _, ok := watched[Fingerprint(m)]; ok {
				return q.inbox.Put(NewAsked(m))
			}
		case usher.Leave:
			// A refused Put is harmless: the suspect's turn ends with its time.
			_ = q.inbox.Put(NewSettled(m.Request(), false))
		}
	}
	return q.config.Usher.Put(message)
}

// PutWithin takes an action of the usher.
func (q *Quarantine) PutWithin(ctx context.Context, item any, limit time.Duration) error {
	switch m := item.(type) {
	case usher.Crashed:
		return q.inbox.PutWithin(ctx, NewCrashed(m), limit)
	case usher.Deliver:
		if m.Whole() && m.Request() == *q.running.Load() {
			_ = q.inbox.Put(NewSettled(m.Request(), true))
		}
	case usher.Refuse:
		if m.Request() == *q.running.Load() {
			_ = q.inbox.Put(NewSettled(m.Request(), false))
		}
	}
	return q.config.Gate.PutWithin(ctx, item, limit)
}

// Start does nothing: the core outlives a restart of the duty, since the log's
// records do not come a second time.
func (q *Quarantine) Start(time.Time) error { return nil }

// Handle processes one message.
func (q *Quarantine) Handle(now time.Time, message any) error {
	if m, ok := message.(registrar.Recorded); ok {
		sentence, ok := DecodeSentence(m.Record())
		if !ok {
			return nil
		}
		message = NewFolded(sentence)
	}
	if m, ok := message.(Message); ok {
		return q.carryOut(now, q.core.Handle(now, m))
	}
	return nil
}

// Tick does what is due by time alone.
func (q *Quarantine) Tick(now time.Time) error { return q.carryOut(now, q.core.Tick(now)) }

// publish shows the callers' threads which requests the core has to see.
func (q *Quarantine) publish() {
	watched, running := q.core.Watched(), q.core.Running()
	q.watched.Store(&watched)
	q.running.Store(&running)
}

func (q *Quarantine) carryOut(now time.Time, actions []Action) error {
	q.publish()
	for _, action := range actions {
		if err := q.carryOutOne(now, action); err != nil {
			return err
		}
	}
	return nil
}

func (q *Quarantine) carryOutOne(now time.Time, action Action) error {
	switch a := action.(type) {
	case Append:
		record, err := a.sentence.Record(uuid.NewString())
		if err != nil {
			return err
		}
		log := q.config.Log.WithFields(logrus.Fields{"event": "quarantined", "fingerprint": a.sentence.Fingerprint()})
		if err := q.config.Scribe.Append(record); err != nil {
			log.WithError(err).Warn("request barred at this entry only")
			return nil
		}
		log.Warn("request barred after its second crash")
	case Dispatch:
		if err := q.config.Usher.Put(a.ask); err != nil {
			refusal := usher.NewRefuse(a.ask.Request(), outcome(a.ask, errTooMany), retryAfter)
			if err := q.config.Gate.PutWithin(context.Background(), refusal, handOver); err != nil {
				return err
			}
			return q.carryOut(now, q.core.Handle(now, NewSettled(a.ask.Request(), false)))
		}
	case Refuse:
		return q.config.Gate.PutWithin(context.Background(), a.refuse, handOver)
	}
	return nil
}
