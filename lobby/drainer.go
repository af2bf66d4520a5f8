package main

import (
	"context"
	"time"

	"sesamewell.example/commons/ring"
)

// drainerConfig holds the construction parameters of a drainer.
type drainerConfig struct {
	MinDuration time.Duration // time for which a drain goes on although no request is open
	Open        func() int    // number of open requests
}

// drainer waits on its own thread until a drain that was begun has ended.
type drainer struct {
	config drainerConfig
	drains *ring.Ring
}

// drain is a drain in progress.
type drain struct {
	start time.Time
	done  chan struct{}
}

func newDrainer(config drainerConfig) *drainer {
	return &drainer{config: config, drains: ring.New(ring.Config{Name: "drains", Capacity: 1})}
}

// begin starts a drain and returns a channel that is closed at its end. It
// returns an error if another drain is queued already.
func (d *drainer) begin(now time.Time) (<-chan struct{}, error) {
	done := make(chan struct{})
	if err := d.drains.Put(drain{start: now, done: done}); err != nil {
		return nil, err
	}
	return done, nil
}

// String returns the thread's name, which supervision events carry.
func (*drainer) String() string { return "farewell" }

// Serve waits for the end of each drain until ctx ends.
func (d *drainer) Serve(ctx context.Context) error {
	for {
		item, err := d.drains.Take(ctx)
		if err != nil {
			return err
		}
		if err := d.await(ctx, item.(drain)); err != nil {
			return err
		}
	}
}

// await polls until the drain has ended.
func (d *drainer) await(ctx context.Context, current drain) error {
	ticker := time.NewTicker(drainPollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			if d.ended(now.Sub(current.start)) {
				close(current.done)
				return nil
			}
		}
	}
}

// ended reports whether a drain of the given age has ended.
func (d *drainer) ended(age time.Duration) bool {
	return age > d.config.MinDuration && d.config.Open() == 0
}
