package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// waitShare is the fraction of a caller's timeout that a call may spend in
	// the queue. The rest is reserved for running it.
	waitShare = 0.6
	// minRetry is the minimum retry delay that a rejection reports.
	minRetry = 25 * time.Millisecond
	// maxWaiting limits the waiting calls of one group.
	maxWaiting = 1024
)

// waiter is a queued call without a connection.
type waiter struct {
	id       WaiterID
	call     *engine.Call
	avoid    []ident.Endpoint
	since    time.Time
	deadline time.Time
	arrival  uint64
	dial     ConnID // the connection most recently opened for this call
}

// acquire queues a call, or rejects it immediately if it can't be served in
// time.
func (s *Scheduler) acquire(now time.Time, m Acquire) {
	maxWait := time.Duration(waitShare * float64(m.Deadline.Sub(now)))
	w := &waiter{id: m.Waiter, call: m.Call, avoid: m.Avoid, since: now, deadline: now.Add(maxWait), arrival: s.nextArrival}
	s.nextArrival++
	if len(s.endpoints) == 0 {
		s.reject(now, w, engine.NoEndpoint, minRetry, "no endpoint of the group is known")
		return
	}
	if m.Call.PrimaryOnly && !s.primary.Usable && s.primary.ExpectedAt.After(w.deadline) {
		s.reject(now, w, engine.NoPrimary, max(minRetry, s.primary.ExpectedAt.Sub(now)), "the group has no primary yet")
		return
	}
	if m.Call.MayCommit() && s.primary.NoWrites {
		s.reject(now, w, engine.NoPrimary, max(minRetry, s.primary.ExpectedAt.Sub(now)), "the primary can't acknowledge commits")
		return
	}
	wait := s.estimateWait(m.Call)
	if wait > maxWait || len(s.waiting) >= maxWaiting {
		s.reject(now, w, engine.Overloaded, max(minRetry, wait-maxWait), "the wait queue is too long")
		return
	}
	s.waiting = append(s.waiting, w)
}

// estimateWait estimates the queueing time of a new call: the number of calls
// ahead of it times the average service time, divided by the slots that can
// serve them.
func (s *Scheduler) estimateWait(c *engine.Call) time.Duration {
	slots, ahead := 0, 0
	for id, e := range s.endpoints {
		if !c.PrimaryOnly || id == s.primary.Endpoint {
			slots += max(1, e.Slots)
		}
	}
	for _, w := range s.waiting {
		if w.call.PrimaryOnly == c.PrimaryOnly && w.call.Priority <= c.Priority {
			ahead++
		}
	}
	return time.Duration(ahead) * s.serviceTime / time.Duration(max(1, slots))
}

// expire rejects calls whose queueing time has run out.
func (s *Scheduler) expire(now time.Time) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		if now.Before(w.deadline) {
			return false
		}
		s.reject(now, w, s.timeoutReason(w), max(minRetry, s.primary.ExpectedAt.Sub(now)), "no connection became free in time")
		return true
	})
}

// timeoutReason returns the reason for rejecting a call that waited too long.
func (s *Scheduler) timeoutReason(w *waiter) engine.Reason {
	if w.call.PrimaryOnly && !s.primary.Usable {
		return engine.NoPrimary
	}
	return engine.Overloaded
}

func (s *Scheduler) cancel(id WaiterID) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return w.id == id })
}

// dispatch grants connections by priority, then to the account with the fewest
// connections in use, then by arrival.
func (s *Scheduler) dispatch(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	slices.SortFunc(s.waiting, func(a, b *waiter) int {
		return cmp.Or(
			cmp.Compare(a.call.Priority, b.call.Priority),
			cmp.Compare(s.inUse[a.call.Account], s.inUse[b.call.Account]),
			cmp.Compare(a.arrival, b.arrival),
		)
	})
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return s.place(now, w) })
}
