package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
)

// leave lists an endpoint as leaving for a while.
func (i *injector) leave(ctx context.Context, h *Happened, e layout.Endpoint) error {
	i.book.begin(h, time.Now())
	defer func() { i.book.end(h, time.Now()) }()
	if err := i.set.setLeaving(ctx, e, true); err != nil {
		h.Skipped = err.Error()
		return nil
	}
	i.watchLeaving(ctx, h, e)
	i.repeat(ctx, func(ctx context.Context) error { return i.set.setLeaving(ctx, e, false) })
	return nil
}

// work counts the statements of callers that an endpoint ran.
func work(c endpt.Counters) int64 {
	total := c.Statements["insert"]
	for _, n := range c.Reads {
		total += n
	}
	return total
}

// watchLeaving checks that an endpoint that was listed as leaving for a while
// gets no new work.
func (i *injector) watchLeaving(ctx context.Context, h *Happened, e layout.Endpoint) {
	until := h.From.Add(h.Length)
	if !tasks.PauseUntil(ctx, h.From.Add(min(spreadBound, h.Length))) {
		return
	}
	pid, _ := i.set.pid(h.Target)
	before, errBefore := i.set.counters(ctx, e)
	tasks.PauseUntil(ctx, until)
	after, errAfter := i.set.counters(ctx, e)
	next, _ := i.set.pid(h.Target)
	if errBefore == nil && errAfter == nil && pid == next && work(after) > work(before) && !i.spread.storeFaultSince(h.From) {
		i.book.violate(time.Now(), LeavingIdle, fmt.Sprintf("%s ran %d statements later than %s after it was listed as leaving",
			h.Target, work(after)-work(before), spreadBound))
	}
}
