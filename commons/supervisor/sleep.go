package supervisor

import (
	"context"
	"time"
)

// Sleep pauses the caller for the duration, or until ctx is done, in which case it
// returns the error of ctx. It returns at once if the duration is not positive.
func Sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
