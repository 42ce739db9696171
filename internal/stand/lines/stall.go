package lines

import (
	"context"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

const (
	// stallPoll is the interval at which the callers' process checks whether it
	// runs on time.
	stallPoll = 5 * time.Millisecond
	// minStall is the shortest delay that is recorded.
	minStall = 10 * time.Millisecond
)

// Stall is a time in which the callers' process did not run. A caller sees the
// end of a connection late by as much.
type Stall struct {
	At   time.Time
	Late time.Duration
}

// within returns how much of the stall lies between two times.
func (s Stall) within(from, to time.Time) time.Duration {
	end := s.At.Add(s.Late)
	if end.After(to) {
		end = to
	}
	if s.At.After(from) {
		from = s.At
	}
	return max(0, end.Sub(from))
}

// recordStalls records when the callers' process runs late, until ctx ends.
func (l *load) recordStalls(ctx context.Context) error {
	for due := time.Now().Add(stallPoll); tasks.Pause(ctx, stallPoll); due = time.Now().Add(stallPoll) {
		if late := time.Since(due); late >= minStall {
			l.mu.Lock()
			l.report.Stalls = append(l.report.Stalls, Stall{At: due, Late: late})
			l.mu.Unlock()
		}
	}
	return nil
}
