package sched

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// waitShare is the fraction of a caller's timeout that a call may spend in the
// queue. The rest is reserved for running it.
const waitShare = 0.6

// targetMargin is the time that a call is expected to need to meet its target,
// in units of its expected service time. Service times vary, and a call may wait
// for a slot at the endpoint. With the average alone, an eighth of the calls that
// were granted in time missed their target.
const targetMargin = 1.5

// waiter is a queued call without a connection.
type waiter struct {
	id       WaiterID
	call     *engine.Call
	kind     CallKind
	avoid    []ident.Endpoint
	since    time.Time
	timeout  time.Duration // from since until the caller stops waiting
	deadline time.Time     // when the call leaves the queue
	target   time.Time     // by when the call has to be answered, zero if it has no target before its deadline
	arrival  uint64
	late     bool    // its target can't be met any more, set by setOrder
	turn     float64 // its place among the calls of its class (see turns), set by setOrder
	granted  bool    // it has left the queue
	// nextOnTime and nextLate are the turns of its account, see nextTurn.
	nextOnTime, nextLate *nextTurn
	dial                 ConnID // the connection most recently opened for this call
}

func newWaiter(now time.Time, m Acquire, arrival uint64) *waiter {
	timeout := m.Deadline.Sub(now)
	w := &waiter{
		id: m.Waiter, call: m.Call, kind: KindOf(m.Call), avoid: m.Avoid, since: now, timeout: timeout,
		deadline: now.Add(time.Duration(waitShare * float64(timeout))), arrival: arrival,
	}
	// The call began one timeout before its deadline. A call that is tried again
	// at another endpoint has used part of its target already.
	began := now
	if m.Call.Timeout > timeout {
		began = m.Deadline.Add(-m.Call.Timeout)
	}
	if target := m.Call.Target; target > 0 && float64(target) < waitShare*float64(max(timeout, m.Call.Timeout)) {
		w.target = began.Add(target)
	}
	return w
}

// lateAfter reports whether the call would miss its target if it started at the
// given time. service is its expected service time.
func (w *waiter) lateAfter(start time.Time, service time.Duration) bool {
	return !w.target.IsZero() && start.Add(time.Duration(targetMargin*float64(service))).After(w.target)
}

// cancel removes the call of a caller that has left.
func (s *Scheduler) cancel(id WaiterID) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return w.id == id })
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
			late := s.unservable(now, w, at)
			if late {
				s.rejectUnservable(now, w, at)
			}
			return late
		}
		s.reject(now, w, s.timeoutReason(w), WaitedTooLong, s.primary.ExpectedAt.Sub(now))
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
