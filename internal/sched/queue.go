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
	// usualSwitchTime is the usual time until a primary that has drained for too
	// long is replaced.
	usualSwitchTime = 500 * time.Millisecond
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
	turn     int    // see setTurns
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
	if at := s.servableAt(now, m.Call); s.tooLate(now, w, at) {
		s.rejectUnservable(now, w, at)
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

// servableAt returns when a call can be served at the earliest, disregarding the
// load: at once, or when the primary or an endpoint is expected back.
func (s *Scheduler) servableAt(now time.Time, c *engine.Call) time.Time {
	required := s.requirements(now, c)
	if required.verifyPrimary {
		return s.primaryUsableAt(now, c)
	}
	var earliest time.Time
	for _, e := range s.sorted {
		at := e.usableAt(now, c.Account)
		if e.readsPausedUntil.After(at) {
			at = e.readsPausedUntil
		}
		if e.ID == s.primary.Endpoint {
			at = s.primaryUsableAt(now, c)
		}
		if !e.leaving() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	if s.noReader() {
		return s.returnExpectedAt(now)
	}
	return earliest
}

// allAvailable reports whether the primary and all endpoints are available.
func (s *Scheduler) allAvailable(now time.Time) bool {
	return s.primary.Usable && !s.evacuationBlocks(now) && !slices.ContainsFunc(s.sorted, func(e *endpoint) bool {
		return now.Before(e.noDialUntil) || now.Before(e.readsPausedUntil) || e.drainExpired(now, s.limits.DrainTime)
	})
}

// primaryUsableAt returns when the primary can serve a call.
func (s *Scheduler) primaryUsableAt(now time.Time, c *engine.Call) time.Time {
	if s.noPrimary(now) {
		return s.returnExpectedAt(now)
	}
	if !s.primary.Usable {
		return s.primary.ExpectedAt
	}
	e := s.endpoints[s.primary.Endpoint]
	switch {
	case e == nil:
		return now
	case s.evacuationExpired(now, e):
		return s.returnExpectedAt(now)
	case e.drainExpired(now, s.limits.DrainTime):
		return now.Add(usualSwitchTime)
	}
	return e.usableAt(now, c.Account)
}

// rejectUnservable rejects a call that can't be served before the given time.
func (s *Scheduler) rejectUnservable(now time.Time, w *waiter, at time.Time) {
	reason, detail := engine.NoEndpoint, "no endpoint of the group can be reached"
	if s.requirements(now, w.call).verifyPrimary {
		reason, detail = engine.NoPrimary, "the group has no primary yet"
	}
	s.reject(now, w, reason, max(minRetry, at.Sub(now)), detail)
}

// expire rejects calls whose queueing time has run out, or will have run out
// before they can be served.
func (s *Scheduler) expire(now time.Time) {
	available := s.allAvailable(now)
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		if now.Before(w.deadline) {
			at := now
			if !available {
				at = s.servableAt(now, w.call)
			}
			late := s.tooLate(now, w, at)
			if late {
				s.rejectUnservable(now, w, at)
			}
			return late
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

// dispatch grants connections by priority, then to the accounts in turn, then by
// arrival.
func (s *Scheduler) dispatch(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	s.setTurns()
	slices.SortFunc(s.waiting, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.call.Priority, b.call.Priority), cmp.Compare(a.turn, b.turn), cmp.Compare(a.arrival, b.arrival))
	})
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return s.place(now, w) })
}

// setTurns sets the turn of each waiting call: the number of connections that
// its account will have in use once the account's earlier calls run. When
// several connections become free at once, an account with many waiting calls
// then gets no more of them than the others.
func (s *Scheduler) setTurns() {
	slices.SortFunc(s.waiting, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.call.Priority, b.call.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	next := make(map[ident.Account]int, len(s.waiting))
	for _, w := range s.waiting {
		account := w.call.Account
		if _, seen := next[account]; !seen {
			next[account] = s.inUse[account]
		}
		w.turn = next[account]
		next[account]++
	}
}
