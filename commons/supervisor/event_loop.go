package supervisor

import (
	"context"
	"time"

	"sesamewell.example/commons/ring"
)

// Handler does the work of an event loop. All its methods are called from the
// thread of the loop.
type Handler interface {
	// Start builds the state of the handler from scratch. It is called
	// before any other method each time the loop is started or restarted.
	Start(now time.Time) error
	// Handle processes one message from the inbox.
	Handle(now time.Time, message any) error
	// Tick does periodic work.
	Tick(now time.Time) error
}

// Alarm is implemented by handlers whose Tick may be due before the end of the
// current period.
type Alarm interface {
	// Alarm returns the time at which Tick is due, or the zero time if the
	// regular tick is early enough.
	Alarm() time.Time
}

// EventLoopConfig holds the construction parameters of an EventLoop.
type EventLoopConfig struct {
	Name    string // name in supervision events
	Inbox   *ring.Ring
	Handler Handler
	Period  time.Duration // longest time between ticks
}

// EventLoop runs a handler on one thread and passes it the messages of one inbox.
type EventLoop struct {
	config EventLoopConfig
}

// NewEventLoop returns an event loop, which is to be added to a Supervisor.
func NewEventLoop(config EventLoopConfig) *EventLoop { return &EventLoop{config: config} }

// String returns the loop's name, which supervision events carry.
func (l *EventLoop) String() string { return l.config.Name }

// Serve calls the handler until ctx is done or the handler returns an error.
func (l *EventLoop) Serve(ctx context.Context) error {
	if err := l.config.Handler.Start(time.Now()); err != nil {
		return err
	}
	regular := time.Now().Add(l.config.Period)
	for {
		deadline := l.nextTick(regular)
		message, err := l.config.Inbox.TakeWithin(ctx, time.Until(deadline))
		if err != nil {
			return err
		}
		now := time.Now()
		if message != nil {
			if err := l.config.Handler.Handle(now, message); err != nil {
				return err
			}
		}
		if now.Before(deadline) {
			continue
		}
		if err := l.config.Handler.Tick(now); err != nil {
			return err
		}
		regular = now.Add(l.config.Period)
	}
}

func (l *EventLoop) nextTick(regular time.Time) time.Time {
	alarm, ok := l.config.Handler.(Alarm)
	if !ok {
		return regular
	}
	if at := alarm.Alarm(); !at.IsZero() && at.Before(regular) {
		return at
	}
	return regular
}
