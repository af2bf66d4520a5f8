package main

import (
	"context"
	"time"

	"sesamewell.example/commons/ring"
)

// farewellConfig holds the construction parameters of a farewell.
type drainerConfig struct {
	AcceptPeriod time.Duration // for which a leaving process goes on to take requests
	Timeout      time.Duration // after which open requests are given up
	Open         func() int    // number of open requests
	Close        func()        // gives all open requests up
}

// farewell is responsible for the end of a drain. Its thread waits on a ring
// until one begins.
type drainer struct {
	config drainerConfig
	drains *ring.Ring
}

// drain is one drain under way.
type drain struct {
	start time.Time
	done  chan struct{}
}

func newDrainer(config drainerConfig) *drainer {
	return &drainer{config: config, drains: ring.New(ring.Config{Name: "drains", Capacity: 1})}
}

// begin returns a channel that is closed when no request is open.
func (f *drainer) begin(now time.Time) (<-chan struct{}, error) {
	done := make(chan struct{})
	if err := f.drains.Put(drain{start: now, done: done}); err != nil {
		return nil, err
	}
	return done, nil
}

// String returns the thread's name.
func (*drainer) String() string { return "farewell" }

// Serve sees drains to their end until ctx ends.
func (f *drainer) Serve(ctx context.Context) error {
	for {
		item, err := f.drains.Take(ctx)
		if err != nil {
			return err
		}
		if err := f.await(ctx, item.(drain)); err != nil {
			return err
		}
	}
}

// await looks from time to time whether the last request has ended.
func (f *drainer) await(ctx context.Context, d drain) error {
	looks := time.NewTicker(drainPollPeriod)
	defer looks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-looks.C:
			if f.tryEnd(now.Sub(d.start)) {
				close(d.done)
				return nil
			}
		}
	}
}

// look reports whether a drain of this age has ended, and gives up what is open
// after the limit.
func (f *drainer) tryEnd(age time.Duration) bool {
	if f.config.Open() == 0 && age > f.config.AcceptPeriod {
		return true
	}
	if age > f.config.Timeout {
		f.config.Close()
	}
	return false
}
