package main

import (
	"context"
	"time"

	"sesamewell.example/commons/ring"
)

// farewellConfig holds the construction parameters of a farewell.
type farewellConfig struct {
	Stay  time.Duration // for which a leaving process goes on to take requests
	Limit time.Duration // after which open requests are given up
	Open  func() int    // number of open requests
	Close func()        // gives all open requests up
}

// farewell is responsible for the end of a drain. Its thread waits on a ring
// until one begins.
type farewell struct {
	config farewellConfig
	drains *ring.Ring
}

// drain is one drain under way.
type drain struct {
	began time.Time
	done  chan struct{}
}

func newFarewell(config farewellConfig) *farewell {
	return &farewell{config: config, drains: ring.New(ring.Config{Name: "drains", Capacity: 1})}
}

// begin returns a channel that is closed when no request is open.
func (f *farewell) begin(now time.Time) (<-chan struct{}, error) {
	done := make(chan struct{})
	if err := f.drains.Put(drain{began: now, done: done}); err != nil {
		return nil, err
	}
	return done, nil
}

// String returns the thread's name.
func (*farewell) String() string { return "farewell" }

// Serve sees drains to their end until ctx ends.
func (f *farewell) Serve(ctx context.Context) error {
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
func (f *farewell) await(ctx context.Context, d drain) error {
	looks := time.NewTicker(drainPoll)
	defer looks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-looks.C:
			if f.look(now.Sub(d.began)) {
				close(d.done)
				return nil
			}
		}
	}
}

// look reports whether a drain of this age has ended, and gives up what is open
// after the limit.
func (f *farewell) look(age time.Duration) bool {
	if f.config.Open() == 0 && age > f.config.Stay {
		return true
	}
	if age > f.config.Limit {
		f.config.Close()
	}
	return false
}
