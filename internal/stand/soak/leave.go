package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
)

// leave lists an endpoint as leaving for the length of the fault.
func (i *injector) leave(ctx context.Context, injected *InjectedFault, e layout.Endpoint) error {
	i.recorder.begin(injected, time.Now())
	defer func() { i.recorder.end(injected, time.Now()) }()
	if err := i.deployment.setLeaving(ctx, e, true); err != nil {
		injected.Skipped = err.Error()
		return nil
	}
	i.watchLeaving(ctx, injected, e)
	i.repeat(ctx, func(ctx context.Context) error { return i.deployment.setLeaving(ctx, e, false) })
	return nil
}

// callerStatements returns the number of callers' statements that an endpoint
// ran.
func callerStatements(c endpt.Counters) int64 {
	total := c.Statements["insert"]
	for _, n := range c.Reads {
		total += n
	}
	return total
}

// watchLeaving checks that an endpoint receives no new statements once it has
// been listed as leaving for rolloutBound.
func (i *injector) watchLeaving(ctx context.Context, injected *InjectedFault, e layout.Endpoint) {
	until := injected.From.Add(injected.Length)
	if !tasks.PauseUntil(ctx, injected.From.Add(min(rolloutBound, injected.Length))) {
		return
	}
	pid, _ := i.deployment.procs.PID(injected.Target)
	before, errBefore := i.deployment.counters(ctx, e)
	tasks.PauseUntil(ctx, until)
	after, errAfter := i.deployment.counters(ctx, e)
	next, _ := i.deployment.procs.PID(injected.Target)
	if errBefore == nil && errAfter == nil && pid == next && callerStatements(after) > callerStatements(before) && !i.watcher.storeFaultSince(injected.From) {
		i.recorder.violate(time.Now(), LeavingIdle, fmt.Sprintf("%s ran %d statements later than %s after it was listed as leaving",
			injected.Target, callerStatements(after)-callerStatements(before), rolloutBound))
	}
}
