package supervisor

import (
	"context"
	"time"

	"sesamewell.example/commons/ring"
)

// Handler is the work of one duty. All calls come from the duty's own thread.
type Handler interface {
	// Start builds the handler's state anew; it runs before anything else
	// each time the duty is started or restarted.
	Start(now time.Time) error
	// Handle processes one message from the duty's inbox.
	Handle(now time.Time, message any) error
	// Tick does the periodic work.
	Tick(now time.Time) error
}

// Alarm is implemented by handlers whose periodic work may be due earlier than
// the next tick.
type Alarm interface {
	// Alarm returns the time at which Tick is due, or the zero time when
	// nothing is due before the regular tick.
	Alarm() time.Time
}

// DutyConfig holds the construction parameters of a Duty.
type EventLoopConfig struct {
	Name    string
	Inbox   *ring.Ring
	Handler Handler
	Period  time.Duration // time between ticks
}

// Duty is responsible for running a handler on one thread, fed by one inbox.
type EventLoop struct {
	config EventLoopConfig
}

// NewDuty returns a duty that is ready to be added to a crew.
func NewEventLoop(config EventLoopConfig) *EventLoop { return &EventLoop{config: config} }

// String returns the duty's name, which supervision events carry.
func (d *EventLoop) String() string { return d.config.Name }

// Serve feeds the handler until ctx ends or the handler fails.
func (d *EventLoop) Serve(ctx context.Context) error {
	if err := d.config.Handler.Start(time.Now()); err != nil {
		return err
	}
	next := time.Now().Add(d.config.Period)
	for {
		due := d.nextTick(next)
		message, err := d.config.Inbox.TakeWithin(ctx, time.Until(due))
		if err != nil {
			return err
		}
		now := time.Now()
		if message != nil {
			if err := d.config.Handler.Handle(now, message); err != nil {
				return err
			}
		}
		if now.Before(due) {
			continue
		}
		if err := d.config.Handler.Tick(now); err != nil {
			return err
		}
		next = now.Add(d.config.Period)
	}
}

func (d *EventLoop) nextTick(next time.Time) time.Time {
	alarm, ok := d.config.Handler.(Alarm)
	if !ok {
		return next
	}
	if at := alarm.Alarm(); !at.IsZero() && at.Before(next) {
		return at
	}
	return next
}
