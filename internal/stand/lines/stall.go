package lines

import (
	"context"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

// stallPoll is the interval at which the callers' process checks whether it runs
// on time.
const stallPoll = 5 * time.Millisecond

// measureStall records how late the callers' process runs, until ctx ends.
func (l *load) measureStall(ctx context.Context) error {
	for began := time.Now(); tasks.Pause(ctx, stallPoll); began = time.Now() {
		late := time.Since(began) - stallPoll
		l.mu.Lock()
		l.report.Stall = max(l.report.Stall, late)
		l.mu.Unlock()
	}
	return nil
}
