package soak

import (
	"context"
	"iter"
	"time"
)

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ticks yields the present time at once and then after each pause, until ctx
// ends.
func ticks(ctx context.Context, pause time.Duration) iter.Seq[time.Time] {
	return func(yield func(time.Time) bool) {
		for ctx.Err() == nil && yield(time.Now()) {
			sleepUntil(ctx, time.Now().Add(pause))
		}
	}
}
