package relay

import (
	"context"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

const (
	// tickInterval is the interval between checks of the calls and connections
	// of a group.
	tickInterval = 20 * time.Millisecond
	// electorTicks is the number of those intervals between two ticks of the
	// elector of a group.
	electorTicks = 2
	// idleTicks is the same number for a group that this instance neither owns
	// nor uses. Most instances of a large fleet use few of its groups.
	idleTicks = 25
	// expireTicks is the number between two checks for abandoned calls.
	expireTicks = 250
	// disconnectTicks is the number between two checks for callers that have
	// left during a statement.
	disconnectTicks = 2
)

// tickGroups advances the time of all groups. One goroutine serves them all,
// because wake-ups of a goroutine for each group would dominate the processor
// time of an instance without load.
func (n *Node) tickGroups(ctx context.Context) error {
	for tick := 1; ctx.Err() == nil; tick++ {
		tasks.Pause(ctx, tickInterval)
		now := clock.Now()
		for _, r := range n.view.Load().runners {
			r.tickAt(now, tick)
		}
		if tick%disconnectTicks == 0 {
			n.front.withdrawDisconnected(now)
		}
		if tick%expireTicks == 0 {
			n.router.Expire(now)
		}
	}
	return nil
}

// tickAt does what is due for a group in one of the intervals, which are
// numbered.
func (rn *groupRunner) tickAt(now time.Time, tick int) {
	idleTick := tick%idleTicks == 0
	if !idleTick && rn.idle(now) {
		return
	}
	rn.pool.Tick(now)
	if idleTick || tick%electorTicks == 0 {
		rn.tick(now)
	}
}
