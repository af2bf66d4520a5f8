package supervisor

import (
	"context"
	"time"
)

// Pause waits for a time, or until ctx ends, whose error it returns then. A time
// that is over already is not waited for.
func Sleep(ctx context.Context, span time.Duration) error {
	if span <= 0 {
		return nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
