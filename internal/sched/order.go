package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// oldestGrantInterval is the number of grants of which one goes to the call that
// has waited longest. It bounds the wait of calls that others always precede.
const oldestGrantInterval = 8

// maxNextTurns is how many entries of accounts and classes are kept.
const maxNextTurns = 4096

// compareOrder compares two waiting calls by the order in which they are
// served: first the calls that can still meet their target, then by priority,
// lowest number first, by their turns, and by arrival.
func compareOrder(a, b *waiter) int {
	return cmp.Or(compareLate(a, b), cmp.Compare(a.call.Priority, b.call.Priority), cmp.Compare(a.turn, b.turn), cmp.Compare(a.arrival, b.arrival))
}

func compareLate(a, b *waiter) int {
	switch {
	case a.late == b.late:
		return 0
	case b.late:
		return -1
	}
	return 1
}

// place is where another waiting call stands relative to a new one.
type place uint8

const (
	before     place = iota // it runs first
	beforeLate              // it would, but late calls get a share of the slots only
	behind                  // it runs later, unless it has waited longest
	places
)

// placeOf returns where another waiting call stands relative to w.
func (w *waiter) placeOf(other *waiter) place {
	switch {
	case compareOrder(other, w) > 0:
		return behind
	case other.late:
		return beforeLate
	}
	return before
}

// accountClass identifies the waiting calls of an account in one class.
type accountClass struct {
	class
	account ident.Account
}

func (w *waiter) accountClass() accountClass {
	return accountClass{class: class{late: w.late, priority: w.call.Priority}, account: w.call.Account}
}

// nextTurn is the turn that a further call of an account in a class would get behind
// the account's waiting calls.
type nextTurn struct {
	value float64
	step  float64 // that a grant advances it by
	order uint64  // the call of setOrder that value and step belong to
}

// setOrder sets the class and the turn of each waiting call. The turns of an
// account's calls follow each other, so that an account with many waiting calls
// gets no more than its share when several connections become free at once.
func (s *Scheduler) setOrder(now time.Time) {
	s.orders++
	for _, w := range s.waiting {
		w.late = w.lateAfter(now, s.expectedService(w))
		next := s.nextTurn(w)
		w.turn = next.value
		next.value += next.step
	}
}

// nextTurn returns the turn that a further call like w would get. setOrder has to be
// called before. A waiting call keeps a pointer to the turns of its account, because
// looking them up by name dominates the cost of an arrival.
func (s *Scheduler) nextTurn(w *waiter) *nextTurn {
	next := &w.nextOnTime
	if w.late {
		next = &w.nextLate
	}
	if *next == nil {
		*next = s.turnsOf(w.accountClass())
	}
	if n := *next; n.order != s.orders {
		k := w.accountClass()
		*n = nextTurn{value: s.turns.first(k.class, k.account), step: s.turns.step(k.account), order: s.orders}
	}
	return *next
}

// forgetTurns drops the entries of the accounts, among which are those that are
// gone, if there are many. No call that refers to one may be waiting.
func (s *Scheduler) forgetTurns() {
	if len(s.nextTurns) > maxNextTurns {
		clear(s.nextTurns)
	}
}

// turnsOf returns the entry of an account in a class.
func (s *Scheduler) turnsOf(k accountClass) *nextTurn {
	next := s.nextTurns[k]
	if next == nil {
		next = &nextTurn{}
		s.nextTurns[k] = next
	}
	return next
}

// WaitingCalls returns how many waiting calls can still meet their target, and
// how many can't.
func (s *Scheduler) WaitingCalls(now time.Time) (onTime, late int) {
	for _, w := range s.waiting {
		if w.lateAfter(now, s.expectedService(w)) {
			late++
		} else {
			onTime++
		}
	}
	return onTime, late
}

// dispatch grants connections to the waiting calls in their order. One grant in
// oldestGrantInterval goes to the call that has waited longest.
func (s *Scheduler) dispatch(now time.Time) {
	if len(s.waiting) == 0 || !s.hasFreeSlot(now) {
		return
	}
	s.setOrder(now)
	oldestTried := false
	for _, w := range slices.SortedFunc(slices.Values(s.waiting), compareOrder) {
		if !s.hasFreeSlot(now) {
			break
		}
		if s.oldestDue() && !oldestTried {
			oldestTried = true
			s.placeOldest(now)
		}
		if !w.granted && s.place(now, w) {
			s.recordGrant(w)
		}
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return w.granted })
}

// hasFreeSlot reports whether any endpoint can take a call.
func (s *Scheduler) hasFreeSlot(now time.Time) bool {
	return slices.ContainsFunc(s.sorted, func(e *endpoint) bool { return e.hasSlot(now) })
}

// oldestDue reports whether the next grant belongs to the call that has waited
// longest.
func (s *Scheduler) oldestDue() bool { return s.grantsInOrder >= oldestGrantInterval-1 }

// placeOldest grants or opens a connection for the call that has waited longest
// of those that an endpoint can take. The waiting calls are kept by arrival.
func (s *Scheduler) placeOldest(now time.Time) {
	for _, w := range s.waiting {
		if w.granted || s.choose(now, w, s.requirements(now, w.call)) == nil {
			continue
		}
		if s.place(now, w) {
			s.recordGrant(w)
			s.grantsInOrder = 0
		}
		return
	}
}

// recordGrant records that a call has left the queue with a connection.
func (s *Scheduler) recordGrant(w *waiter) {
	w.granted = true
	s.grantsInOrder++
	s.lateShare.record(w.late || !s.onTimeWaiting())
	s.turns.granted(class{late: w.late, priority: w.call.Priority}, w.call.Account)
}
