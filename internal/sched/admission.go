package sched

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// maxWaiting limits the waiting calls of one group.
	maxWaiting = 1024
	// maxAccountWaiting limits the waiting calls of one account, so that there
	// is room for others.
	maxAccountWaiting = maxWaiting * 3 / 4
	// minAccountWaiting is how many calls of an account may wait although the
	// queue is full.
	minAccountWaiting = 4
)

// acquire queues a call, or rejects it immediately if it can't be served in
// time.
func (s *Scheduler) acquire(now time.Time, m Acquire) {
	w := newWaiter(now, m, s.nextArrival)
	s.nextArrival++
	if !m.Call.PrimaryOnly {
		s.readLag = m.Call.MaxLag
	}
	if len(s.waiting) == 0 {
		s.forgetTurns()
	}
	if len(s.endpoints) == 0 {
		s.reject(now, w, engine.NoEndpoint, NoEndpointKnown, 0)
		return
	}
	servable := s.servableAt(now, m.Call)
	if s.unservable(now, w, servable) {
		s.rejectUnservable(now, w, servable)
		return
	}
	if m.Call.MayCommit() && s.primary.NoWrites {
		s.reject(now, w, engine.NoPrimary, NoCommits, s.primary.ExpectedAt.Sub(now))
		return
	}
	if !s.hasRoom(m.Call.Account) {
		s.reject(now, w, engine.Overloaded, QueueFull, 0)
		return
	}
	starts := now.Add(s.expectedWait(now, w))
	if servable.After(now) {
		starts = starts.Add(servable.Sub(now))
	}
	if starts.After(w.deadline) {
		s.reject(now, w, engine.Overloaded, QueueTooLong, starts.Sub(w.deadline))
		return
	}
	s.waiting = append(s.waiting, w)
}

// hasRoom reports whether a further call of an account may wait.
func (s *Scheduler) hasRoom(a ident.Account) bool {
	if len(s.waiting) < maxAccountWaiting {
		return true
	}
	count := 0
	for _, w := range s.waiting {
		if w.call.Account == a {
			count++
		}
	}
	return count < minAccountWaiting || count < maxAccountWaiting && len(s.waiting) < maxWaiting
}

// expectedWait estimates how long a new call would wait for the calls that run
// before it, and for a token if the endpoints that can run it are cold. A call
// that would miss its target meanwhile is served after the calls that can meet
// theirs.
func (s *Scheduler) expectedWait(now time.Time, w *waiter) time.Duration {
	if len(s.waiting) == 0 {
		return s.tokenWait(now, w)
	}
	s.setOrder(now)
	service := s.expectedService(w)
	w.late = w.lateAfter(now, service)
	wait := s.waitInOrder(now, w)
	if !w.late && w.lateAfter(now.Add(wait), service) {
		w.late = true
		wait = s.waitInOrder(now, w)
	}
	return wait
}

// waitInOrder estimates the wait of a new call in its class: the work of the
// calls that run before it, divided by the slots that can run it. Late calls get
// only a share of the slots, because further calls go before them. Some calls
// behind it run before it because they have waited longest.
func (s *Scheduler) waitInOrder(now time.Time, w *waiter) time.Duration {
	w.turn = s.nextTurn(w).value
	var demand [places]serviceDemand
	for _, other := range s.waiting {
		demand[w.placeOf(other)].add(other, s.expectedService(other))
	}
	slots := s.slotsFor(now, w.call)
	wait := slots.occupiedTime(w.call, demand[before]) + time.Duration(float64(slots.occupiedTime(w.call, demand[beforeLate]))/s.lateShare.value())
	wait += min(wait/(oldestGrantInterval-1), slots.occupiedTime(w.call, demand[behind]))
	return max(wait, s.tokenWait(now, w))
}

// serviceDemand is the expected time that a set of calls occupies slots, including
// round trips.
type serviceDemand struct {
	primaryOnly time.Duration
	anywhere    time.Duration
}

func (k *serviceDemand) add(w *waiter, service time.Duration) {
	if w.call.PrimaryOnly {
		k.primaryOnly += service
	} else {
		k.anywhere += service
	}
}

// slots are the slots of a group that can run calls.
type slots struct{ primary, replicas int }

// slotsFor returns the slots that can run calls like c now. If there are none,
// those of all endpoints count, because the call waits until some are usable.
func (s *Scheduler) slotsFor(now time.Time, c *engine.Call) slots {
	var usable, all slots
	for _, e := range s.sorted {
		n := max(1, e.Slots)
		if e.ID == s.primary.Endpoint {
			all.primary += n
			if c.PrimaryOnly || s.primary.Usable {
				usable.primary += n
			}
			continue
		}
		all.replicas += n
		if !e.leaving() && !now.Before(e.readsPausedUntil) && !s.lags(now, e, c) {
			usable.replicas += n
		}
	}
	if usable.primary+usable.replicas == 0 {
		return all
	}
	return usable
}

// occupiedTime returns how long the slots that can run a call are occupied by k.
// Calls that run anywhere use the slots of the primary in proportion.
func (n slots) occupiedTime(c *engine.Call, k serviceDemand) time.Duration {
	total := time.Duration(max(1, n.primary+n.replicas))
	if c.PrimaryOnly {
		return k.primaryOnly/time.Duration(max(1, n.primary)) + k.anywhere/total
	}
	wait := (k.primaryOnly + k.anywhere) / total
	if n.replicas > 0 {
		wait = min(wait, k.anywhere/time.Duration(n.replicas))
	}
	return wait
}

// spacing returns the average time between two calls of a kind that the slots
// start one after the other.
func (n slots) spacing(c *engine.Call, service time.Duration) time.Duration {
	if c.PrimaryOnly {
		return service / time.Duration(max(1, n.primary))
	}
	return service / time.Duration(max(1, n.primary+n.replicas))
}
