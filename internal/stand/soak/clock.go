package soak

import (
	"context"
	"iter"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

// ticks yields the current time immediately and then after each pause, until
// ctx ends.
func ticks(ctx context.Context, pause time.Duration) iter.Seq[time.Time] {
	return func(yield func(time.Time) bool) {
		for ctx.Err() == nil && yield(time.Now()) {
			tasks.PauseUntil(ctx, time.Now().Add(pause))
		}
	}
}
