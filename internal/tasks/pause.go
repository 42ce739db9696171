package tasks

import (
	"context"
	"time"
)

// Pause waits for d. It returns false if ctx ends first.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// PauseUntil waits until at. It returns false if ctx ends first.
func PauseUntil(ctx context.Context, at time.Time) bool {
	return Pause(ctx, time.Until(at))
}
