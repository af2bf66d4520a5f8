package booking

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/register"
	"sesamewell.example/commons/registrar"
	"sesamewell.example/commons/ring"
	"sesamewell.example/entry/usher"
)

// Usher routes the runs, and the requests that need no booking.
type Usher interface {
	Put(message usher.Message) error
}

// Gate receives the answers that are not those of runs.
type Gate interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Config holds the construction parameters of a Booking.
type Config struct {
	Core     CoreConfig
	Capacity int // messages in each inbox
	Appends  int // appends per second of all entries together
	Service  Log
	Usher    Usher
	Gate     Gate
	Log      *logrus.Entry
	Drained  func() // called once, when a drain has ended
}

// Booking is responsible for running the core on its own thread and carrying
// out its actions. It stands between the gate and the usher: requests that
// need no booking pass through on the caller's thread.
type Booking struct {
	config   Config
	inbox    *ring.Ring
	core     *Core
	appender *appender
	draining atomic.Bool
	drainEnd time.Time
}

// New returns a booking.
func New(config Config) *Booking {
	inbox := ring.New(ring.Config{Name: "booking", Capacity: config.Capacity})
	return &Booking{config: config, inbox: inbox, core: NewCore(config.Core), appender: newAppender(config, inbox)}
}

// Inbox returns the ring that feeds the booking, which follows the log and the
// revisions of the register.
func (b *Booking) Inbox() *ring.Ring { return b.inbox }

// Appends returns the ring that feeds the appender.
func (b *Booking) Appends() *ring.Ring { return b.appender.inbox }

// Attach sets the usher, before the booking is served.
func (b *Booking) Attach(router Usher) { b.config.Usher = router }

// Services returns the threads, to be added to a crew.
func (b *Booking) Services() []crew.Service {
	duty := crew.NewDuty(crew.DutyConfig{Name: "booking", Inbox: b.inbox, Handler: b, Period: tickPeriod})
	return []crew.Service{duty, b.appender}
}

// Put takes a message of the gate without blocking.
func (b *Booking) Put(message usher.Message) error {
	switch m := message.(type) {
	case usher.Ask:
		if m.Key() != "" {
			return b.inbox.Put(NewAsked(m))
		}
	case usher.Leave:
		// A refused Put is harmless: the caller's wait ends by itself.
		_ = b.inbox.Put(NewLeft(m.Request()))
	}
	return b.config.Usher.Put(message)
}

// PutWithin takes an answer of the usher and gives it to the core or to the
// gate.
func (b *Booking) PutWithin(ctx context.Context, item any, limit time.Duration) error {
	switch m := item.(type) {
	case usher.Deliver:
		if IsRun(m.Request()) {
			return b.inbox.PutWithin(ctx, NewDelivered(m), limit)
		}
	case usher.Refuse:
		if IsRun(m.Request()) {
			return b.inbox.PutWithin(ctx, NewFailed(m), limit)
		}
	}
	return b.config.Gate.PutWithin(ctx, item, limit)
}

// Drain asks the booking to report when the outcomes of all runs are in the
// log, or when the time for that is over.
func (b *Booking) Drain() { b.draining.Store(true) }

// Start does nothing: the table and the runs outlive a restart of the duty,
// since the log's records do not come a second time.
func (b *Booking) Start(time.Time) error { return nil }

// Handle processes one message.
func (b *Booking) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case registrar.Recorded:
		if batch, ok := DecodeBatch(m.Record()); ok {
			return b.carryOut(now, b.core.Handle(now, NewFolded(m.Offset(), batch)))
		}
	case registrar.Revised:
		b.pace(m.Revision().Inventory())
	case Message:
		return b.carryOut(now, b.core.Handle(now, m))
	}
	return nil
}

// Tick does what is due by time alone.
func (b *Booking) Tick(now time.Time) error {
	b.settleDrain(now)
	return b.carryOut(now, b.core.Tick(now))
}

// pace gives each entry its share of the appends that the log takes.
func (b *Booking) pace(inventory *register.Inventory) {
	entries := 0
	for _, instance := range inventory.Instances() {
		if instance.Role() == register.Entry {
			entries++
		}
	}
	b.appender.setSpacing(time.Duration(entries) * time.Second / time.Duration(b.config.Appends))
}

func (b *Booking) settleDrain(now time.Time) {
	if !b.draining.Load() {
		return
	}
	if b.drainEnd.IsZero() {
		b.drainEnd = now.Add(drainLimit)
	}
	if b.core.Open() == 0 || (b.core.Running() == 0 && now.After(b.drainEnd)) {
		b.config.Drained()
	}
}

func (b *Booking) carryOut(now time.Time, actions []Action) error {
	for _, action := range actions {
		if err := b.carryOutOne(now, action); err != nil {
			return err
		}
	}
	return nil
}

func (b *Booking) carryOutOne(now time.Time, action Action) error {
	switch a := action.(type) {
	case Announce:
		if err := b.appender.inbox.Put(a); err != nil {
			return b.carryOut(now, b.core.Handle(now, NewNotAppended([]string{a.intent.Run()})))
		}
	case Report:
		// A refused Put is harmless: the core has the outcome appended again.
		_ = b.appender.inbox.Put(a)
	case Dispatch:
		if err := b.config.Usher.Put(a.ask); err != nil {
			return b.carryOut(now, b.core.Handle(now, NewFailed(usher.NewRefuse(a.ask.Request(), errTooMany, retryAfter))))
		}
	case Pass:
		return b.config.Gate.PutWithin(context.Background(), a.piece, handOver)
	case Refuse:
		return b.config.Gate.PutWithin(context.Background(), a.refuse, handOver)
	}
	return nil
}
