package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// holdShare is the part of a caller's time that a call may wait. The rest
	// is for running it.
	holdShare = 0.6
	// retryLeast is the shortest time to come back that a refusal names.
	retryLeast = 25 * time.Millisecond
	// queueLimit bounds the calls that wait for one group.
	queueLimit = 1024
)

// waiter is a call without a connection.
type waiter struct {
	ticket WaiterID
	call   *engine.Call
	avoid  []ident.Endpoint
	since  time.Time
	until  time.Time
	order  uint64
	dial   ConnID // the connection that was last opened for it
}

// ask queues a call, or refuses it at once when it can't be served in time.
func (g *Scheduler) ask(now time.Time, m Acquire) {
	hold := time.Duration(holdShare * float64(m.Deadline.Sub(now)))
	w := &waiter{ticket: m.Waiter, call: m.Call, avoid: m.Avoid, since: now, until: now.Add(hold), order: g.order}
	g.order++
	if len(g.endpoints) == 0 {
		g.deny(now, w, engine.NoEndpoint, retryLeast, "no endpoint of the group is known")
		return
	}
	if m.Call.PrimaryOnly && !g.leader.Usable && g.leader.ExpectedAt.After(w.until) {
		g.deny(now, w, engine.NoPrimary, max(retryLeast, g.leader.ExpectedAt.Sub(now)), "the group has no primary yet")
		return
	}
	if m.Call.MayCommit() && g.leader.NoWrites {
		g.deny(now, w, engine.NoPrimary, max(retryLeast, g.leader.ExpectedAt.Sub(now)), "the primary has no replica to commit with")
		return
	}
	wait := g.expected(m.Call)
	if wait > hold || len(g.waiting) >= queueLimit {
		g.deny(now, w, engine.Overloaded, max(retryLeast, wait-hold), "the queue is too long")
		return
	}
	g.waiting = append(g.waiting, w)
}

// expected estimates how long a new call would wait: the calls ahead of it, at
// the measured time of a call, over the slots that can take them.
func (g *Scheduler) expected(c *engine.Call) time.Duration {
	slots, ahead := 0, 0
	for id, e := range g.endpoints {
		if !c.PrimaryOnly || id == g.leader.Endpoint {
			slots += max(1, e.Slots)
		}
	}
	for _, w := range g.waiting {
		if w.call.PrimaryOnly == c.PrimaryOnly && w.call.Priority <= c.Priority {
			ahead++
		}
	}
	return time.Duration(ahead) * g.service / time.Duration(max(1, slots))
}

// expire refuses calls whose waiting time is over.
func (g *Scheduler) expire(now time.Time) {
	g.waiting = slices.DeleteFunc(g.waiting, func(w *waiter) bool {
		if now.Before(w.until) {
			return false
		}
		g.deny(now, w, g.blame(w), max(retryLeast, g.leader.ExpectedAt.Sub(now)), "no connection came free in time")
		return true
	})
}

// blame says what a call waited for in vain.
func (g *Scheduler) blame(w *waiter) engine.Reason {
	if w.call.PrimaryOnly && !g.leader.Usable {
		return engine.NoPrimary
	}
	return engine.Overloaded
}

func (g *Scheduler) forget(t WaiterID) {
	g.waiting = slices.DeleteFunc(g.waiting, func(w *waiter) bool { return w.ticket == t })
}

// dispatch grants connections in order of priority, then to the account that
// has fewest in use, then by arrival.
func (g *Scheduler) dispatch(now time.Time) {
	if len(g.waiting) == 0 {
		return
	}
	slices.SortFunc(g.waiting, func(a, b *waiter) int {
		return cmp.Or(
			cmp.Compare(a.call.Priority, b.call.Priority),
			cmp.Compare(g.busy[a.call.Account], g.busy[b.call.Account]),
			cmp.Compare(a.order, b.order),
		)
	})
	g.waiting = slices.DeleteFunc(g.waiting, func(w *waiter) bool { return g.place(now, w) })
}
