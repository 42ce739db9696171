package sched

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// dialWait is how long a call waits for the connection that is being opened
	// for it before it tries another endpoint. It is several times the usual
	// duration of a dial.
	dialWait = 60 * time.Millisecond
	// evictAfterCalls is how long a call waits for a connection of its own
	// account before it evicts another account's connection, in units of the
	// average service time of a call.
	evictAfterCalls = 2
)

// requirements are the conditions that an endpoint has to meet for a call.
type requirements struct {
	minPosition   ident.LogPosition
	floorAge      time.Duration
	verifyPrimary bool
}

// place grants a connection to w, or opens one for it. It reports whether w
// left the queue.
func (s *Scheduler) place(now time.Time, w *waiter) bool {
	required := s.requirements(now, w.call)
	e := s.choose(now, w, required)
	if e == nil {
		return false
	}
	if c := e.idleConn(w.call.Account); c != nil {
		s.setState(now, c, running)
		s.countCold(now, e)
		if !required.verifyPrimary {
			e.ejection.readGranted(c)
		}
		s.emit(Grant{
			Waiter: w.id, Conn: c.id, Endpoint: e.ID,
			After: required.minPosition, VerifyPrimary: required.verifyPrimary, FloorAge: required.floorAge, Waited: now.Sub(w.since),
		})
		return true
	}
	s.openConn(now, e, w)
	return false
}

// requirements returns the freshness requirements of a call. If no floor proof
// is recent enough, a read goes to the primary, whose answer provides a new
// proof.
func (s *Scheduler) requirements(now time.Time, c *engine.Call) requirements {
	if c.PrimaryOnly {
		return requirements{verifyPrimary: true}
	}
	position, age, ok := s.floors.floor(now, c.MaxLag)
	if !ok {
		return requirements{verifyPrimary: true}
	}
	if c.LastWrite.Term > position.Term || c.LastWrite.Covers(position) {
		position = c.LastWrite
	}
	return requirements{minPosition: position, floorAge: age}
}

// choose returns the endpoint that can take the call now and is expected to answer
// it first, or nil.
func (s *Scheduler) choose(now time.Time, w *waiter, required requirements) *endpoint {
	if required.verifyPrimary {
		return s.choosePrimary(now, w)
	}
	var best *endpoint
	var bestTime time.Duration
	for _, e := range s.sorted {
		if !s.eligible(now, e, w, required) {
			continue
		}
		if expected := s.expectedTime(now, e, w.call); best == nil || expected < bestTime {
			best, bestTime = e, expected
		}
	}
	if best == nil && len(w.avoid) > 0 {
		return s.choosePrimary(now, w)
	}
	return best
}

func (s *Scheduler) choosePrimary(now time.Time, w *waiter) *endpoint {
	if !s.primary.Usable {
		return nil
	}
	e := s.endpoints[s.primary.Endpoint]
	if e == nil || !e.hasSlot(now) || s.expired(now, e) || !s.coldAllows(now, e) {
		return nil
	}
	if e.idleConn(w.call.Account) == nil && !s.canDial(now, e, w) {
		return nil
	}
	return e
}

func (s *Scheduler) eligible(now time.Time, e *endpoint, w *waiter, required requirements) bool {
	switch {
	case e.leaving(), !e.hasSlot(now), now.Before(e.readsPausedUntil), slices.Contains(w.avoid, e.ID):
		return false
	case !s.coldAllows(now, e):
		return false
	case now.Before(e.behindUntil) && !e.position.Covers(required.minPosition):
		return false
	case e.ID == s.primary.Endpoint && !s.primary.Usable, s.refusesReads(now, e, w):
		return false
	}
	return e.idleConn(w.call.Account) != nil || s.canDial(now, e, w)
}

// canDial reports whether a connection can be opened for w, evicting an idle
// connection of another account if necessary.
func (s *Scheduler) canDial(now time.Time, e *endpoint, w *waiter) bool {
	if now.Before(e.noDialUntil) {
		return false
	}
	if c := s.conns[w.dial]; c != nil && c.state == dialling && now.Sub(c.since) < dialWait {
		return c.endpoint == e
	}
	if !e.atConnLimit(now, s.connShare()) {
		return true
	}
	return s.mayEvict(now, e, w) && e.oldestIdle() != nil
}

// mayEvict reports whether w may evict a connection of another account. As long
// as its own account has a connection at the endpoint, w waits: that connection
// becomes free in about the time that a dial takes, and needs no additional
// slot.
func (s *Scheduler) mayEvict(now time.Time, e *endpoint, w *waiter) bool {
	if now.Sub(w.since) >= evictAfterCalls*s.serviceTime {
		return true
	}
	for _, c := range e.conns {
		if c.account == w.call.Account && c.state != idleInTx {
			return false
		}
	}
	return true
}

// openConn opens a connection for w's account, unless one is already being
// opened.
func (s *Scheduler) openConn(now time.Time, e *endpoint, w *waiter) {
	account := w.call.Account
	for _, c := range e.conns {
		if c.account == account && c.state == dialling {
			w.dial = c.id
			return
		}
	}
	if e.atConnLimit(now, s.connShare()) {
		oldest := e.oldestIdle()
		if oldest == nil {
			return
		}
		s.closeConn(oldest)
	}
	s.lastConn++
	c := &conn{id: s.lastConn, endpoint: e, account: account, state: dialling, since: now}
	s.conns[c.id] = c
	w.dial = c.id
	e.conns[c.id] = c
	s.adjustCounts(c, 1)
	s.emit(Dial{Conn: c.id, Endpoint: e.Endpoint, Account: account})
}
